"""Tests of the first voters of a group, given where its durable hosts are."""

import pytest

from bergamotferry.records import HostAddress
from bergamotferry_host.bootstrap import first_membership, groups_of_host


def make_seeds(text):
    """Parse words like ``r/a1*``: region, data centre, number, ``*`` if durable."""
    seeds = []
    for word in text.split():
        region, name = word.rstrip("*").split("/")
        is_durable = word.endswith("*")
        seeds.append(HostAddress(name, name[0], region, "", is_durable))
    return seeds


@pytest.mark.parametrize(
    ("group", "seeds", "voters"),
    [
        ("global", "r/a1* r/b1* s/c1* s/d1*", "a1 b1 c1"),
        ("global", "r/a1* r/b1*", "a1"),
        ("dc:a", "r/a1* r/a2 r/b1* s/c1*", "a1 b1"),
        ("dc:a", "r/a1* r/a2* r/a3* r/b1*", "a1 a2 a3"),
        ("dc:b", "r/a1* r/a2* r/b1 s/c1*", "a1 a2"),
        ("dc:b", "r/a1* r/b1* s/c1*", "b1 a1"),
    ],
)
def test_first_voters_are_durable_hosts(group, seeds, voters):
    chosen = first_membership(group, make_seeds(seeds)).voters
    assert [voter.host for voter in chosen] == voters.split()


def test_host_joins_the_global_group_and_groups_of_its_region():
    seeds = make_seeds("r/a1* r/a2 r/b1* s/c1*")
    assert groups_of_host(seeds[1], seeds) == ["global", "dc:a", "dc:b"]
