"""Planned stop of a host beside another host that stays, stops too, or is gone."""

import asyncio
from types import SimpleNamespace

import pytest

from bergamotferry.messages import HostStatus, Member, Membership
from bergamotferry.records import Dispatcher, HostAddress
from bergamotferry_host import planned_stop
from bergamotferry_host.peer_link import PeerUnreachable

NS_PER_S = 1_000_000_000
OTHER_HOST_STATUSES = {
    "stays": HostStatus("a-2", "a", "north", "1", 1, False, (), (), True),
    "stops": HostStatus("a-2", "a", "north", "1", 1, True, (), (), False),
    "gone": None,
}


@pytest.fixture
def clock(monkeypatch):
    """Replace time by a fake clock that advances only in ``asyncio.sleep``."""
    fake_clock = SimpleNamespace(now_ns=NS_PER_S, at_tick=lambda: None)
    real_sleep = asyncio.sleep

    async def pass_time(duration_s):
        fake_clock.now_ns += int(duration_s * NS_PER_S)
        fake_clock.at_tick()
        await real_sleep(0)

    monkeypatch.setattr(asyncio, "sleep", pass_time)
    monkeypatch.setattr(planned_stop, "now_ns", lambda: fake_clock.now_ns)
    return fake_clock


@pytest.fixture
def stop(state, clock, monkeypatch):
    """Return a function that stops a host beside another host.

    It returns each handover of leadership, with the host's state at that moment, and
    the duration of the stop in seconds.
    """
    handed_over = []

    async def hand_over(group):
        handed_over.append((group.name, state.is_refusing_requests, state.n_in_flight))

    def stop_beside(other):
        async def call(host, message, timeout_s):
            if OTHER_HOST_STATUSES[other] is None:
                raise PeerUnreachable(host)
            return OTHER_HOST_STATUSES[other]

        addresses = {
            name: HostAddress(name, "a", "north", "127.0.0.1:9", False)
            for name in ("a-1", "a-2")
        }
        state.network = SimpleNamespace(addresses=addresses, call=call)
        voters = tuple(Member(name, "1", False) for name in addresses)
        for group in state.groups.values():
            group.replica.membership = Membership(voters, ())
        monkeypatch.setattr(planned_stop, "transfer_leadership", hand_over)
        started_ns = clock.now_ns
        asyncio.run(planned_stop.drain(state))
        return handed_over, (clock.now_ns - started_ns) / NS_PER_S

    state.own_tables.dispatchers["u"] = Dispatcher("u", "a-1", 1, "serving")
    return stop_beside


@pytest.mark.parametrize(
    ("other", "took_s"), [("stays", 4.3), ("stops", 1.3), ("gone", 1.3)]
)
def test_stop_waits_for_a_successor_only_if_another_host_stays(stop, other, took_s):
    assert stop(other)[1] == pytest.approx(took_s, abs=0.1)


@pytest.mark.parametrize("other", ["stops", "gone"])
def test_stopping_host_without_a_successor_leads_until_its_requests_end(
    state, clock, stop, other
):
    state.n_in_flight = 1
    done_ns = clock.now_ns + 5 * NS_PER_S

    def at_tick():
        state.n_in_flight = int(clock.now_ns < done_ns)

    clock.at_tick = at_tick
    handed_over, took_s = stop(other)
    assert handed_over == [("global", True, 0), ("dc:a", True, 0)]
    assert took_s == pytest.approx(5.0, abs=0.1)


def test_leadership_is_handed_to_a_staying_host_before_any_refusal(state, stop):
    state.n_in_flight = 1
    handed_over, _ = stop("stays")
    assert handed_over == [("global", False, 1), ("dc:a", False, 1)]
