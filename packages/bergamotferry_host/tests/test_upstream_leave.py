"""An upstream that leaves through a control host that may not know it yet."""

import asyncio
from types import SimpleNamespace

import pytest

from bergamotferry.fleet_messages import SessionsReply
from bergamotferry.fleet_tables import FleetTables, apply_fleet_command, find_retired
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry.upstream_sessions import Heartbeat, SessionRow, record_heartbeat
from bergamotferry_host import fleet_control, upstream_leave
from bergamotferry_host.clock import now_ns
from bergamotferry_host.fleet_control import ControlHost
from bergamotferry_host.fleet_settings import FleetSettings
from bergamotferry_host.peer_link import PeerUnreachable
from bergamotferry_host.upstream_leave import SETTLE_NS, retire_upstream

OTHERS = ("1.1.1.2", "1.1.1.3")
UNREACHABLE, SILENT = "unreachable", "silent"


def row(born_ms) -> SessionRow:
    return SessionRow("u1", born_ms, 1, "s", "1.1.2.1:1", "a", 2, "ready", 0)


class ControlHarness:
    """A control host, and what the other control hosts answer when they are asked."""

    def __init__(self, monkeypatch, *, is_settled, others, own_born_ms=0):
        settings = FleetSettings("1.1.1.1", "c", "a", "n", {"a": "n"}, 1, ("1.1.1.1",))
        group = SimpleNamespace(tables=FleetTables(), applied=asyncio.Condition())
        network = SimpleNamespace(call=self.call)
        self.host = ControlHost(settings, network, group, lambda source: [], "p")
        self.host.control_hosts = {"1.1.1.1", *OTHERS[: len(others)]}
        self.answers = dict(zip(OTHERS, others, strict=False))
        if is_settled:
            self.host.began_ns -= SETTLE_NS
        if own_born_ms:
            heartbeat = Heartbeat(
                "u1", own_born_ms, 1, "s", "1.1.2.1:1", "a", "", 2, "ready", 0
            )
            record_heartbeat(self.host.sessions, self.host.tables, heartbeat, now_ns())
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

    async def commit(self, group, command, timeout_s):
        return apply_fleet_command(group.tables, command)


@pytest.mark.parametrize(
    ("is_settled", "own_born_ms", "others", "retired_born_ms"),
    [
        # It is known here.
        (True, 5, (UNREACHABLE,), 5),
        # This host has just started, and another one knows the upstream.
        (False, 0, ((row(5),), SILENT), 5),
        (False, 0, (UNREACHABLE, (row(5),)), 5),
        # A host that was cut off has missed it.
        (True, 0, ((row(5),),), 5),
        # It knows only the incarnation before.
        (False, 4, ((row(5),),), 5),
    ],
)
def test_leave_is_committed_for_the_newest_incarnation_that_any_host_knows(
    monkeypatch, is_settled, own_born_ms, others, retired_born_ms
):
    """Guards against an acknowledged leave that is forgotten."""

    async def run():
        harness = ControlHarness(
            monkeypatch, is_settled=is_settled, others=others, own_born_ms=own_born_ms
        )
        outcome = await retire_upstream(harness.host, "u1")
        assert isinstance(outcome, Accepted)
        retired = find_retired(harness.host.tables, "u1", retired_born_ms)
        assert retired is not None and retired.state == "gone"
        assert find_retired(harness.host.tables, "u1", retired_born_ms + 1) is None

    asyncio.run(run())


@pytest.mark.parametrize(
    ("is_settled", "others", "is_accepted"),
    [
        # Nobody knows it, for instance as it has left before.
        (True, ((), ()), True),
        (True, (UNREACHABLE, ()), True),
        (True, (), True),
        # All control hosts may have just started.
        (False, ((), ()), False),
        (False, (), False),
        # No other control host can be asked.
        (True, (UNREACHABLE, SILENT), False),
    ],
)
def test_leave_of_an_unknown_upstream_is_acknowledged_only_if_nobody_can_know_it(
    monkeypatch, is_settled, others, is_accepted
):
    async def run():
        harness = ControlHarness(monkeypatch, is_settled=is_settled, others=others)
        outcome = await retire_upstream(harness.host, "u1")
        assert harness.host.tables.retired == {}
        if is_accepted:
            assert isinstance(outcome, Accepted)
        else:
            assert isinstance(outcome, Refused)
            assert outcome.code == ResultCode.HOST_NOT_READY

    asyncio.run(run())
