"""How the names of overloaded holders reach the hosts that take requests."""

from types import SimpleNamespace

import pytest

from bergamotferry.configuration import CallerLimits, Configuration, DirectService
from bergamotferry.fleet_tables import FleetTables, KeyRange, range_key
from bergamotferry.hot_holders.overload import HotHolders, KnownHotHolders
from bergamotferry.key_load import KeyLoads, KeyWork, record_key_work, reported_bucket
from bergamotferry.upstream_sessions import SessionRow
from bergamotferry_host.clock import now_ns
from bergamotferry_host.hot_holders.naming import (
    EXPIRY_NS,
    hot_holders_for,
    hot_holders_of,
    name_hot_holders,
    record_hot_holders,
)

HOT = HotHolders(("u1",))


class FakeNetwork:
    def __init__(self):
        self.sent = []

    def notify(self, host, message):
        self.sent.append((host, message))


def control_host(*followers, work_ms=30_000):
    """Return a control host whose key loads hold some work for one key of ``u1``."""
    loads = KeyLoads()
    record_key_work(loads, [KeyWork("s", reported_bucket(5), work_ms)], now_ns())
    row = SessionRow("u1", 1, 1, "s", "u1:1", "a", 2, "ready", 0)
    key_range = KeyRange("s", 0, 65_535, "u1", 1, "u1:1", 1, "")
    service = DirectService("s", "/health", 9, 0.0, 0.0, True, 0.0)
    return SimpleNamespace(
        configuration=Configuration.from_rows(1, (), (service,), CallerLimits()),
        control_hosts={"c1", "c2"},
        hot_holders=KnownHotHolders(),
        key_loads=loads,
        load_table=SimpleNamespace(rounds_sent=dict.fromkeys(followers, 0)),
        network=FakeNetwork(),
        sessions=SimpleNamespace(rows={"u1": SimpleNamespace(row=row)}),
        settings=SimpleNamespace(name="c1"),
        tables=FleetTables(ranges={range_key("s", 0): key_range}),
    )


def test_leader_names_overloaded_holders_until_they_are_relieved():
    host = control_host("h1")
    name_hot_holders(host)
    assert host.network.sent == [("c2", HOT)]
    assert hot_holders_for(host, "h1") == ("u1",)
    host.key_loads = KeyLoads()
    name_hot_holders(host)
    name_hot_holders(host)
    # The other control hosts hear that there is none, and then nothing.
    assert host.network.sent == [("c2", HOT), ("c2", HotHolders(()))]
    assert hot_holders_for(host, "h1") == ()


def test_nothing_is_sent_without_an_overloaded_holder():
    host = control_host("h1", work_ms=1_000)
    name_hot_holders(host)
    assert host.network.sent == []


def test_hosts_of_the_version_before_get_no_names():
    host = control_host()
    name_hot_holders(host)
    assert host.network.sent == []
    assert hot_holders_for(host, "h1") == ()


@pytest.mark.parametrize(("age_ns", "names"), [(0, ("u1",)), (EXPIRY_NS + 1, ())])
def test_names_that_the_leader_does_not_repeat_are_dropped(age_ns, names):
    """Guards against requests refused for the load of a leader that was lost."""
    host = control_host("h1")
    record_hot_holders(host, HOT)
    host.hot_holders.named_ns -= age_ns
    assert hot_holders_of(host) == names
