"""Failover of a follower between control hosts that fail in different ways."""

import asyncio
import time

import pytest

from bergamotferry.fleet_messages import (
    AskCurrent,
    CurrentReply,
    FleetChanges,
    FollowFleet,
)
from bergamotferry.upstream_sessions import SessionRow
from bergamotferry_host import fleet_follower
from bergamotferry_host.direct_host import DirectHost
from bergamotferry_host.fleet_changes import apply_changes
from bergamotferry_host.fleet_follower import find_current_control_host, run_follower
from bergamotferry_host.fleet_settings import FleetSettings
from bergamotferry_host.following import failback
from bergamotferry_host.peer_link import PeerUnreachable

OWN_HOST = "10.1.0.9"
NEAR, REMOTE_1, REMOTE_2 = "10.1.0.1", "10.2.0.1", "10.3.0.1"


class FakeControlHosts:
    """Fake peer network whose control hosts behave as configured by name."""

    def __init__(self, **behaviours):
        self.behaviours = behaviours
        self.links = {}
        self.followed = []
        self.is_remote_2_followed = asyncio.Event()
        self.is_near_followed = asyncio.Event()

    async def call(self, name, message, timeout_s):
        behaviour = self.behaviours[name]
        if behaviour == "timeout":
            await asyncio.sleep(1.0)
            raise PeerUnreachable(name)
        if behaviour == "unreachable":
            raise PeerUnreachable(name)
        is_current = behaviour != "not current"
        revision = 3 if behaviour == "lagging" else 7
        if isinstance(message, AskCurrent):
            return CurrentReply(is_current, revision)
        assert isinstance(message, FollowFleet)
        self.followed.append(name)
        if name == REMOTE_2:
            self.is_remote_2_followed.set()
        if name == NEAR:
            self.is_near_followed.set()
        await asyncio.sleep(message.wait_ms / 1000)
        return FleetChanges(
            name, is_current, 0, (), revision, 0, b"", (), (), (), (), 1
        )


def host_of(**behaviours):
    settings = FleetSettings(
        OWN_HOST, "h", "a", "north", {"a": "north"}, 1, tuple(behaviours)
    )
    host = DirectHost(settings, FakeControlHosts(**behaviours), lambda source: [])
    host.control_hosts = list(behaviours)
    host.revision = 5
    return host


@pytest.mark.parametrize(
    ("near", "remote_1", "remote_2", "expected"),
    [
        ("current", "current", "current", NEAR),
        ("unreachable", "current", "current", REMOTE_1),
        ("timeout", "timeout", "current", REMOTE_2),
        ("not current", "lagging", "current", REMOTE_2),
        ("not current", "lagging", "unreachable", ""),
    ],
)
def test_probes_find_the_nearest_current_host_without_waiting_for_timeouts(
    near, remote_1, remote_2, expected
):
    host = host_of(**{REMOTE_2: remote_2, REMOTE_1: remote_1, NEAR: near})
    start_s = time.monotonic()
    assert asyncio.run(find_current_control_host(host)) == expected
    # A probe that times out takes a second, so the probes must run concurrently.
    assert time.monotonic() - start_s < 0.5


def test_follower_fails_over_when_its_control_host_is_lost():
    host = host_of(**{NEAR: "current", REMOTE_1: "timeout", REMOTE_2: "current"})

    async def lose_followed_host():
        follower = asyncio.create_task(run_follower(host))
        await asyncio.sleep(0.1)
        host.network.behaviours[NEAR] = "timeout"
        lost_s = time.monotonic()
        async with asyncio.timeout(5):
            await host.network.is_remote_2_followed.wait()
        follower.cancel()
        return time.monotonic() - lost_s

    failover_s = asyncio.run(lose_followed_host())
    assert set(host.network.followed) == {NEAR, REMOTE_2}
    # The fake raises PeerUnreachable only after a second.
    assert failover_s < 1.0 + fleet_follower.FOLLOW_WAIT_MS / 1000 + 0.5


def test_nearer_control_host_is_followed_again_once_it_has_proved_current(monkeypatch):
    """Guards against hosts that follow a control host of another region for good."""
    monkeypatch.setattr(failback, "PROBE_INTERVAL_S", 0.05)
    host = host_of(**{NEAR: "unreachable", REMOTE_1: "current"})
    row = SessionRow("u", 1, 1, "lamps", "10.1.64.5:1", "a", 2, "ready", 0)
    apply_changes(host, changes_of("p", (row,)))

    async def run():
        follower = asyncio.create_task(run_follower(host))
        await asyncio.sleep(0.3)
        assert set(host.network.followed) == {REMOTE_1}
        host.network.behaviours[NEAR] = "current"
        async with asyncio.timeout(5):
            await host.network.is_near_followed.wait()
        n_before = len(host.network.followed)
        await asyncio.sleep(0.3)
        assert set(host.network.followed[n_before:]) == {NEAR}
        follower.cancel()

    asyncio.run(run())


@pytest.mark.parametrize("behaviour", ["not current", "lagging", "timeout"])
def test_nearer_control_host_that_is_not_current_is_not_followed(
    behaviour, monkeypatch
):
    monkeypatch.setattr(failback, "PROBE_INTERVAL_S", 0.05)
    host = host_of(**{NEAR: behaviour, REMOTE_1: "current"})
    row = SessionRow("u", 1, 1, "lamps", "10.1.64.5:1", "a", 2, "ready", 0)
    apply_changes(host, changes_of("p", (row,)))

    async def run():
        follower = asyncio.create_task(run_follower(host))
        await asyncio.sleep(0.6)
        follower.cancel()

    asyncio.run(run())
    assert set(host.network.followed) == {REMOTE_1}


class ScriptedControlHost:
    """A control host that lists given rows in its first replies, and then is silent."""

    def __init__(self, process, *replies):
        self.process = process
        self.replies = list(replies)
        self.messages = []

    async def call(self, name, message, timeout_s):
        self.messages.append(message)
        if not self.replies:
            raise PeerUnreachable(name)
        return changes_of(self.process, self.replies.pop(0))


def changes_of(process, rows):
    return FleetChanges(process, True, 1, rows, 7, 0, b"", (), (), (), (), 1)


U, V = (SessionRow(n, 5, 1, "lamps", f"{n}:1", "a", 2, "ready", 0) for n in "uv")


@pytest.mark.parametrize(
    ("process", "replies", "reported"),
    [
        # All of control has restarted and knows nothing.
        ("new", [(), (), ()], (U, V)),
        # It hears of them while it lists what it knows.
        ("new", [(U,), (V,), ()], ()),
        # It knows the incarnation before.
        ("new", [(U, V._replace(born_ms=4)), (), ()], (V,)),
        ("new", [(U, V._replace(phase="lost")), (), ()], ()),
        # The same process lists only what has changed.
        ("known", [(), (), ()], ()),
    ],
)
def test_new_control_process_hears_of_upstreams_that_it_lacks(
    process, replies, reported
):
    """Guards against rows that followers use and no control host ever ends."""
    host = host_of(**{NEAR: "current"})
    apply_changes(host, changes_of("known", (U, V)))
    host.network = ScriptedControlHost(process, *replies)

    async def run():
        with pytest.raises(PeerUnreachable):
            await fleet_follower._follow(host, NEAR)

    asyncio.run(run())
    assert [message.unlisted for message in host.network.messages] == [
        (),
        (),
        reported,
        (),
    ]
