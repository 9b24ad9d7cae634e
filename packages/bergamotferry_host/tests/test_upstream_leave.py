"""An upstream that leaves through a control host that may not know it yet."""

import asyncio
from types import SimpleNamespace

import pytest

from bergamotferry.fleet_commands import UNKNOWN_BORN_MS, AssignRange
from bergamotferry.fleet_messages import SessionsReply
from bergamotferry.fleet_tables import (
    FleetTables,
    Retired,
    apply_fleet_command,
    find_retired,
)
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry.upstream_sessions import Heartbeat, SessionRow, record_heartbeat
from bergamotferry_host import fleet_control, upstream_leave
from bergamotferry_host.clock import now_ns
from bergamotferry_host.fleet_control import ControlHost
from bergamotferry_host.fleet_settings import FleetSettings
from bergamotferry_host.peer_link import PeerUnreachable
from bergamotferry_host.upstream_leave import RECENT_NS, retire_upstream

OTHERS = ("1.1.1.2", "1.1.1.3")
UNREACHABLE, SILENT = "unreachable", "silent"


def row(born_ms) -> SessionRow:
    return SessionRow("u1", born_ms, 1, "s", "1.1.2.1:1", "a", 2, "ready", 0)


class ControlHarness:
    """A control host, and what the other control hosts answer when they are asked."""

    def __init__(self, monkeypatch, *, others, own_born_ms=0, silent_ns=0):
        settings = FleetSettings("1.1.1.1", "c", "a", "n", {"a": "n"}, 1, ("1.1.1.1",))
        group = SimpleNamespace(tables=FleetTables(), applied=asyncio.Condition())
        network = SimpleNamespace(call=self.call)
        self.host = ControlHost(settings, network, group, lambda source: [], "p")
        self.host.control_hosts = {"1.1.1.1", *OTHERS[: len(others)]}
        self.answers = dict(zip(OTHERS, others, strict=False))
        self.is_leader_lost = False
        if own_born_ms:
            heartbeat = Heartbeat(
                "u1", own_born_ms, 1, "s", "1.1.2.1:1", "a", "", 2, "ready", 0
            )
            heard_ns = now_ns() - silent_ns
            record_heartbeat(self.host.sessions, self.host.tables, heartbeat, heard_ns)
        monkeypatch.setattr(fleet_control, "commit", self.commit)
        monkeypatch.setattr(upstream_leave, "LOOKUP_TIMEOUT_S", 0.1)

    async def call(self, other, message, timeout_s):
        answer = self.answers[other]
        if answer == UNREACHABLE:
            raise PeerUnreachable(other)
        if answer == SILENT:
            await asyncio.sleep(timeout_s)
            raise PeerUnreachable(other)
        return SessionsReply(answer)

    async def commit(self, group, command, timeout_s, origin):
        if self.is_leader_lost:
            return Refused(ResultCode.NO_LEADER, "no leader")
        return apply_fleet_command(group.tables, command)


@pytest.mark.parametrize(
    ("own_born_ms", "silent_ns", "others", "recorded"),
    [
        # It is known here.
        (5, 0, (UNREACHABLE,), (5,)),
        # This host has just started or was cut off. What another one knows may be the
        # incarnation before.
        (0, 0, ((row(5),), SILENT), (5, UNKNOWN_BORN_MS)),
        (0, 0, (UNREACHABLE, (row(5),)), (5, UNKNOWN_BORN_MS)),
        (0, 0, ((row(5),),), (5, UNKNOWN_BORN_MS)),
        # It knows only the incarnation before.
        (4, RECENT_NS, ((row(5),),), (5, UNKNOWN_BORN_MS)),
        # Nobody knows it: all control hosts have just started, or can't be asked, or it
        # has left before.
        (0, 0, ((), ()), (UNKNOWN_BORN_MS,)),
        (0, 0, (), (UNKNOWN_BORN_MS,)),
        (0, 0, (UNREACHABLE, SILENT), (UNKNOWN_BORN_MS,)),
    ],
)
def test_acknowledged_leave_is_committed_for_the_newest_incarnation_that_is_known(
    monkeypatch, own_born_ms, silent_ns, others, recorded
):
    """Guards against a leave that is acknowledged and bound to nothing."""

    async def run():
        harness = ControlHarness(
            monkeypatch, others=others, own_born_ms=own_born_ms, silent_ns=silent_ns
        )
        outcome = await retire_upstream(harness.host, "u1")
        assert isinstance(outcome, Accepted)
        retired = list(harness.host.tables.retired.values())
        assert retired == [Retired("u1", born_ms, "gone") for born_ms in recorded]

    asyncio.run(run())


def test_leave_of_a_silent_upstream_is_committed_for_a_newer_incarnation_too(
    monkeypatch,
):
    async def run():
        harness = ControlHarness(
            monkeypatch, others=((), SILENT), own_born_ms=4, silent_ns=RECENT_NS
        )
        assert isinstance(await retire_upstream(harness.host, "u1"), Accepted)
        named = Retired("u1", 4, "gone")
        unnamed = Retired("u1", UNKNOWN_BORN_MS, "gone")
        assert list(harness.host.tables.retired.values()) == [named, unnamed]
        # A repeat of it says nothing new of a newer one.
        assert isinstance(await retire_upstream(harness.host, "u1"), Accepted)
        assert list(harness.host.tables.retired.values()) == [unnamed, named]

    asyncio.run(run())


def test_leave_of_an_unknown_holder_of_keys_is_committed_for_that_holder(monkeypatch):
    async def run():
        harness = ControlHarness(monkeypatch, others=((), ()))
        tables = harness.host.tables
        apply_fleet_command(tables, AssignRange("s", 0, 9, "u1", 7, "1.1.2.1:1", "", 0))
        assert isinstance(await retire_upstream(harness.host, "u1"), Accepted)
        assert find_retired(tables, "u1", 7) == Retired("u1", 7, "gone")

    asyncio.run(run())


@pytest.mark.parametrize("own_born_ms", [0, 5])
def test_leave_that_is_not_committed_is_not_acknowledged(monkeypatch, own_born_ms):
    async def run():
        harness = ControlHarness(monkeypatch, others=((),), own_born_ms=own_born_ms)
        harness.is_leader_lost = True
        outcome = await retire_upstream(harness.host, "u1")
        assert isinstance(outcome, Refused)
        assert harness.host.tables.retired == {}

    asyncio.run(run())
