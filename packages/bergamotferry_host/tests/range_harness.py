"""Test harness: a leader that assigns ranges of keys, and simulated upstreams."""

import asyncio
from random import Random
from types import SimpleNamespace

from simulated_time import SimulatedClock

from bergamotferry.configuration import CallerLimits, Configuration, DirectService
from bergamotferry.fleet_commands import AssignRange
from bergamotferry.fleet_tables import FleetTables, apply_fleet_command
from bergamotferry.messages import Member, Membership
from bergamotferry.outcomes import Refused
from bergamotferry.replication import Replica
from bergamotferry.result_codes import ResultCode
from bergamotferry.upstream_sessions import Heartbeat, Sessions, record_heartbeat
from bergamotferry_host import range_assignment, range_holders
from bergamotferry_host.clock import now_ns
from bergamotferry_host.fleet_control import ControlHost
from bergamotferry_host.fleet_settings import FleetBounds, FleetSettings
from bergamotferry_host.range_assignment import run_range_assignment
from bergamotferry_host.range_calls import RangeAnswer, RangeCallNames
from bergamotferry_host.range_holds import RangeAssignments

HOLD_MAX_MS = 800
HOLD_S = HOLD_MAX_MS / 1000 * range_assignment.HOLD_SHARE_OF_MAX

# Results of a grant and of a release, by the mode of the holder.
FAILED_CALL_RESULTS = {
    "ended": ("no_process", "no_process"),
    "silent": ("unsure", "unsure"),
    "unreachable": ("not_sent", "not_sent"),
    "address_reused": ("refused", "no_process"),
    # The process is up, and its link to the leader refuses connections.
    "cut_off": ("no_listener", "no_listener"),
}


class SimulatedHolder:
    """A simulated process with its ranges; ``mode`` selects how it answers calls.

    ``unanswered`` are those in ``until_ns`` whose last grant was not answered.
    """

    def __init__(self, harness, name):
        self.harness, self.name = harness, name
        self.until_ns: dict[int, int] = {}
        self.unanswered: set[int] = set()
        self.mode = "answers"

    def grant(self, key_range, hold_ms):
        self.hold(key_range.first_key, hold_ms)

    def hold(self, first_key, hold_ms):
        self.until_ns[first_key] = now_ns() + int(hold_ms * 1e6)
        if self.mode == "answer_lost":
            self.unanswered.add(first_key)
        else:
            self.unanswered.discard(first_key)
        self.harness.record_overlap(first_key)

    def release(self, first_key):
        """Release a range, unless its last grant takes effect after the release.

        Only a grant that was not answered can; its hold counts from its arrival.
        """
        if self.mode != "answer_lost" or first_key not in self.unanswered:
            self.until_ns.pop(first_key, None)

    def holds(self, first_key):
        has_ended = self.mode in ("ended", "address_reused")
        return not has_ended and self.until_ns.get(first_key, 0) > now_ns()


class RangeHarness:
    """A leader and the simulated upstreams of one service.

    ``doubly_held`` lists the first keys of ranges that two holders had at once.
    """

    holder_class = SimulatedHolder

    def __init__(self, monkeypatch, *names):
        self.clock = SimulatedClock()
        self.clock.install(monkeypatch)
        self.holders = {name: self.holder_class(self, name) for name in names}
        self.doubly_held: list[int] = []
        self.assigned: list[str] = []
        bounds = FleetBounds(hold_max_ms=HOLD_MAX_MS)
        settings = FleetSettings(
            "1.1.1.1", "c", "a", "n", {"a": "n"}, 1, ("1.1.1.1",), bounds=bounds
        )
        self.replica = Replica(
            "global", Member("1.1.1.1", "1", True), Membership((), ()), Random(1)
        )
        self.replica.term = self.replica.snapshot_term = 1
        group = SimpleNamespace(
            is_leader=True,
            replica=self.replica,
            tables=FleetTables(),
            applied_index=0,
        )
        self.host = ControlHost(settings, None, group, lambda source: [], "p")
        service = DirectService("s", "/health", 9, 0.0, 0.0, True, 0.0)
        self.host.configuration = Configuration.from_rows(
            1, [], [service], CallerLimits()
        )
        self.host.sessions = Sessions()
        monkeypatch.setattr(range_holders, "SETTLE_S", 0.0)
        monkeypatch.setattr(range_assignment, "TICK_S", 0.01)
        monkeypatch.setattr(range_assignment, "RENEW_EVERY_S", 0.1)
        monkeypatch.setattr(range_assignment, "RETRY_CALL_EVERY_S", 0.05)
        monkeypatch.setattr(range_assignment, "HOLD_MARGIN_S", 0.05)
        monkeypatch.setattr(range_assignment, "GRANT_TIMEOUT_S", 0.0)
        monkeypatch.setattr(range_assignment, "commit_as_leader", self.commit)
        monkeypatch.setattr(range_assignment, "call_grant", self.call_grant)
        monkeypatch.setattr(range_assignment, "call_release", self.call_release)

    def send_heartbeats(self, *names, phase="ready", born_ms=1):
        for name in names:
            address = f"1.1.1.1:{sorted(self.holders).index(name) + 1}"
            heartbeat = Heartbeat(
                name, born_ms, now_ns(), "s", address, "a", "", 2, phase, 0
            )
            record_heartbeat(self.host.sessions, self.host.tables, heartbeat, now_ns())

    def record_overlap(self, first_key):
        holding = [
            holder.name for holder in self.holders.values() if holder.holds(first_key)
        ]
        if len(holding) > 1:
            self.doubly_held.append(first_key)

    async def commit(self, group, command, term):
        if not group.is_leader or group.replica.term != term:
            return Refused(ResultCode.NO_LEADER, "")
        if isinstance(command, AssignRange):
            self.assigned.append(command.upstream)
        return apply_fleet_command(group.tables, command)

    async def call_grant(self, http, call_names, key_range, hold_ms, headers):
        holder = self.holders[key_range.upstream]
        if holder.mode in FAILED_CALL_RESULTS:
            return RangeAnswer(FAILED_CALL_RESULTS[holder.mode][0])
        if holder.grant(key_range, hold_ms) is False:
            return RangeAnswer("newer_token")
        if holder.mode == "answer_lost":
            return RangeAnswer("unsure")
        return RangeAnswer("done")

    async def call_release(self, http, call_names, key_range, headers):
        holder = self.holders[key_range.upstream]
        if holder.mode in FAILED_CALL_RESULTS:
            return RangeAnswer(FAILED_CALL_RESULTS[holder.mode][1])
        holder.release(key_range.first_key)
        return RangeAnswer("done", f"from {holder.name}")

    def n_held(self, name):
        ranges = self.host.tables.ranges.values()
        return sum(key_range.upstream == name for key_range in ranges)


def run_steps(harness, *steps):
    """Run range assignment while the steps run, each after its pause in seconds."""

    async def run():
        assignment_task = asyncio.create_task(
            run_range_assignment(
                harness.host, None, RangeCallNames(), RangeAssignments()
            )
        )
        for pause_s, step in steps:
            await asyncio.sleep(pause_s)
            step()
        assignment_task.cancel()
        await asyncio.gather(assignment_task, return_exceptions=True)

    harness.clock.run(run())
