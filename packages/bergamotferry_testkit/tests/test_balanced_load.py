"""Checks which hosts the callers of each region use, depending on ready hosts."""

from types import SimpleNamespace

from bergamotferry_testkit.balanced_load import ready_addresses

HOSTS = [
    SimpleNamespace(name=name, region=region, caller_address=f"{name}:1")
    for name, region in (("a1", "north"), ("a2", "north"), ("b1", "south"))
]


def test_callers_use_the_ready_hosts_of_their_region():
    assert ready_addresses(HOSTS, {"a2", "b1"}) == {
        "north": ["a2:1"],
        "south": ["b1:1"],
    }


def test_callers_of_a_region_without_ready_hosts_use_other_regions():
    assert ready_addresses(HOSTS, {"b1"}) == {"north": ["b1:1"], "south": ["b1:1"]}
