"""How a host finds a control host again, by what those that it knows do."""

import asyncio
import time

import pytest

from bergamotferry.fleet_messages import (
    AskCurrent,
    CurrentReply,
    FleetChanges,
    FollowFleet,
)
from bergamotferry_host import fleet_follower
from bergamotferry_host.direct_host import DirectHost
from bergamotferry_host.fleet_follower import find_current, run_follower
from bergamotferry_host.fleet_settings import FleetSettings
from bergamotferry_host.peer_link import PeerUnreachable

OWN = "10.1.0.9"
NEAR, OTHER, FAR = "10.1.0.1", "10.2.0.1", "10.3.0.1"


class Controls:
    """Control hosts that answer as told; stands in for the peer network."""

    def __init__(self, **behaviours):
        self.behaviours = behaviours
        self.links = {}
        self.followed = []
        self.is_far_followed = asyncio.Event()

    async def call(self, name, message, timeout_s):
        kind = self.behaviours[name]
        if kind == "dark":
            await asyncio.sleep(1.0)
            raise PeerUnreachable(name)
        if kind == "gone":
            raise PeerUnreachable(name)
        is_current = kind != "stale"
        revision = 3 if kind == "behind" else 7
        if isinstance(message, AskCurrent):
            return CurrentReply(is_current, revision)
        assert isinstance(message, FollowFleet)
        self.followed.append(name)
        if name == FAR:
            self.is_far_followed.set()
        await asyncio.sleep(message.wait_ms / 1000)
        return FleetChanges(
            name, is_current, 0, (), revision, 0, b"", (), (), (), (), 1
        )


def host_of(**behaviours):
    settings = FleetSettings(
        OWN, "h", "a", "north", {"a": "north"}, 1, tuple(behaviours)
    )
    host = DirectHost(settings, Controls(**behaviours), lambda source: [])
    host.control_hosts = list(behaviours)
    host.revision = 5
    return host


@pytest.mark.parametrize(
    ("near", "other", "far", "found"),
    [
        ("current", "current", "current", NEAR),
        ("gone", "current", "current", OTHER),
        ("dark", "dark", "current", FAR),
        ("stale", "behind", "current", FAR),
        ("stale", "behind", "gone", ""),
    ],
)
def test_the_nearest_that_is_current_is_found_without_waiting_for_the_dark(
    near, other, far, found
):
    host = host_of(**{FAR: far, OTHER: other, NEAR: near})
    began_s = time.monotonic()
    assert asyncio.run(find_current(host)) == found
    # One that can't be dialled costs a second.
    assert time.monotonic() - began_s < 0.5


def test_a_host_follows_another_when_its_own_is_lost():
    host = host_of(**{NEAR: "current", OTHER: "dark", FAR: "current"})

    async def play():
        follower = asyncio.create_task(run_follower(host))
        await asyncio.sleep(0.1)
        host.network.behaviours[NEAR] = "dark"
        lost_s = time.monotonic()
        async with asyncio.timeout(5):
            await host.network.is_far_followed.wait()
        follower.cancel()
        return time.monotonic() - lost_s

    took_s = asyncio.run(play())
    assert set(host.network.followed) == {NEAR, FAR}
    # The stand-in takes a second to say that it can't be reached.
    assert took_s < 1.0 + fleet_follower.FOLLOW_WAIT_MS / 1000 + 0.5
