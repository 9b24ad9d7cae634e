"""Duties of a group's leader besides replication.

The leader of a data centre's group grants leases and assigns shards and dispatchers to
upstreams (`bergamotferry.ownership`); the global leader places shards on data centres.
A leader performs these duties only while its leader lease is valid and after it has
applied an entry of its own term, so that it knows everything that earlier leaders
committed.
"""

import asyncio
from collections.abc import Sequence

from bergamotferry.commands import Command, DataCentreCommand
from bergamotferry.dispatcher_spread import record_bulk_upstreams
from bergamotferry.global_placement import (
    capacity_after_out,
    is_placement_due,
    record_placement_run,
    run_global_placement,
)
from bergamotferry.hot_key_placement import run_key_exceptions
from bergamotferry.hot_keys import record_hot_key_report
from bergamotferry.leases import (
    HOST_LEASE_MS,
    SESSION_LEASE_MS,
    assume_all_granted,
    record_reports,
    renew_host,
    renew_session,
    session_ages,
)
from bergamotferry.messages import (
    CapacityAnswer,
    CapacityQuestion,
    CapacityReport,
    RenewLeases,
    RenewLeasesReply,
)
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.ownership import run_ownership
from bergamotferry.ownership_schedule import record_run, record_tables_and_check_due
from bergamotferry.replication import last_index

from .bootstrap import DATA_CENTRE_PREFIX, data_centre_group
from .clock import now_ns
from .decision_log import log_placement
from .group_commit import append_if_leader, wait_committed
from .group_state import Group, has_applied_own_term
from .host_state import HostState, LeaderState
from .logs import log
from .outcome_transfer import (
    open_shards_of_fenced_data_centres,
    released_homes_in_handover,
    transfer_outcomes,
)
from .peer_link import PeerUnreachable
from .peer_network import hosts_of_data_centre
from .straggler_detection import evaluate_if_due, record_latencies

OWNERSHIP_TICK_S = 0.02
HOT_KEYS_INTERVAL_NS = 100_000_000
FOLLOW_UP_TICK_S = 0.005
PLACEMENT_TICK_S = 0.2
REPORT_TIMEOUT_S = 0.5
REPORT_MAX_AGE_NS = 3_000_000_000


async def run_ownership_loop(state: HostState, group: Group) -> None:
    """Assign shards and dispatchers whenever this host leads a data centre's group."""
    data_centre = group.name.removeprefix(DATA_CENTRE_PREFIX)
    has_acted = False
    hot_keys_run_ns = 0
    while True:
        # One decision often makes another one due: a released shard can be granted.
        await asyncio.sleep(FOLLOW_UP_TICK_S if has_acted else OWNERSHIP_TICK_S)
        has_acted = False
        leader = leader_state(state, group)
        if leader is None:
            continue
        if "stragglers" not in state.settings.request_policies_off:
            evaluate_if_due(leader.stragglers, group.tables, group.name, now_ns())
        decision_inputs = (
            group.applied_index,
            state.global_group.applied_index,
            tuple(leader.stragglers.weights.items()),
        )
        commands: list[DataCentreCommand] = []
        is_due = record_tables_and_check_due(
            leader.ownership_schedule, leader.leases, decision_inputs, now_ns()
        )
        if is_due:
            commands += run_ownership(
                group.tables,
                state.global_tables,
                leader.leases,
                data_centre,
                now_ns(),
                leader.stragglers.weights,
            )
        if is_due or now_ns() - hot_keys_run_ns >= HOT_KEYS_INTERVAL_NS:
            hot_keys_run_ns = now_ns()
            commands += _hot_key_commands(state, group, leader, data_centre)
        has_acted = bool(commands)
        if is_due:
            record_run(leader.ownership_schedule, leader.leases, has_acted, now_ns())
        await _commit_all(group, commands)


def _hot_key_commands(
    state: HostState, group: Group, leader: LeaderState, data_centre: str
) -> list[DataCentreCommand]:
    if "hot-keys" in state.settings.request_policies_off:
        return []
    return run_key_exceptions(
        group.tables,
        state.global_tables,
        leader.leases,
        leader.hot_keys,
        data_centre,
        now_ns(),
    )


async def run_placement_loop(state: HostState) -> None:
    """Place shards on data centres whenever this host leads the global group."""
    group = state.global_group
    while True:
        await asyncio.sleep(PLACEMENT_TICK_S)
        leader = leader_state(state, group)
        if leader is None:
            continue
        reports = fresh_reports(leader)
        decision_inputs = (group.applied_index, reports)
        if not is_placement_due(leader.rebalance, decision_inputs):
            continue
        commands = run_global_placement(
            group.tables, reports, leader.rebalance, now_ns()
        )
        record_placement_run(leader.rebalance, decision_inputs, bool(commands))
        await _commit_all(group, commands)


def fresh_reports(leader: LeaderState) -> dict[str, CapacityReport]:
    """Return the capacity reports younger than ``REPORT_MAX_AGE_NS``."""
    return {
        name: report
        for name, report in leader.capacity_reports.items()
        if now_ns() - leader.report_times_ns[name] < REPORT_MAX_AGE_NS
    }


async def run_capacity_reports(state: HostState, group: Group) -> None:
    """Report a data centre's capacity to the global leader, while leading its group.

    Each round first sends the outcomes of shards in handover to their next data
    centre, and opens the shards whose outcomes were lost with a fenced data centre.
    """
    while True:
        await asyncio.sleep(PLACEMENT_TICK_S)
        leader = leader_state(state, group)
        if leader is None:
            continue
        await transfer_outcomes(state, group, leader)
        await open_shards_of_fenced_data_centres(state, group)
        global_leader = state.global_group.leader
        if not global_leader:
            continue
        try:
            await state.network.call(
                global_leader, capacity_report(state, group, leader), REPORT_TIMEOUT_S
            )
        except PeerUnreachable:
            continue


def leader_state(state: HostState, group: Group) -> LeaderState | None:
    """Return the leader's state, or None if this host may not act as leader now."""
    replica = group.replica
    if not group.is_leader or not has_applied_own_term(group):
        return None
    leader = state.leaders.setdefault(group.name, LeaderState())
    if leader.term != replica.term:
        state.leaders[group.name] = leader = LeaderState(term=replica.term)
        if group.name.startswith(DATA_CENTRE_PREFIX):
            data_centre = group.name.removeprefix(DATA_CENTRE_PREFIX)
            hosts = set(hosts_of_data_centre(state.network.addresses, data_centre))
            hosts |= {
                dispatcher.host for dispatcher in group.tables.dispatchers.values()
            }
            assume_all_granted(leader.leases, hosts, group.tables.sessions, now_ns())
        log("leadership began", group=group.name, term=replica.term)
    return leader


def answer_renewal(state: HostState, message: RenewLeases) -> RenewLeasesReply:
    """Grant leases to a host and to the upstream sessions that it lists."""
    group = state.groups.get(data_centre_group(message.data_centre))
    leader = leader_state(state, group) if group else None
    if group is None or leader is None:
        return RenewLeasesReply(False, group.leader if group else "", 0, 0, (), 0)
    leases = leader.leases
    known = leases.hosts.get(message.host.name)
    has_just_started = known is None or known.incarnation != message.incarnation
    lease = renew_host(
        leases,
        message.host.name,
        message.incarnation,
        message.is_stopping,
        last_index(group.replica) if group.replica else 0,
        now_ns(),
    )
    lost_names: list[str] = []
    for name, incarnation in message.sessions:
        session = group.tables.sessions.get(name)
        is_known = session is not None and session.incarnation == incarnation
        if not is_known or not renew_session(leases, session, now_ns()):
            lost_names.append(name)
    record_reports(leases, message.drained, message.released)
    record_bulk_upstreams(leases, message.host.name, message.bulk_upstreams)
    record_latencies(leader.stragglers, message)
    record_hot_key_report(
        leader.hot_keys,
        message.host.name,
        message.hot_keys,
        message.upstream_rates,
        now_ns(),
    )
    return RenewLeasesReply(
        True,
        state.host.name,
        HOST_LEASE_MS,
        SESSION_LEASE_MS,
        tuple(lost_names),
        lease.since_index,
        session_ages(leases, group.tables.sessions, now_ns())
        if has_just_started
        else (),
    )


def store_capacity_report(state: HostState, message: CapacityReport) -> bool:
    """Store a data centre's capacity report, if this host is the global leader."""
    leader = leader_state(state, state.global_group)
    if leader is None:
        return False
    leader.capacity_reports[message.data_centre] = message
    leader.report_times_ns[message.data_centre] = now_ns()
    return True


def answer_capacity_question(
    state: HostState, message: CapacityQuestion
) -> CapacityAnswer:
    """Return the capacity left without a data centre, if this host leads globally."""
    leader = leader_state(state, state.global_group)
    if leader is None:
        return CapacityAnswer(False, state.global_group.leader, ())
    rows = capacity_after_out(
        state.global_tables, fresh_reports(leader), message.data_centre
    )
    return CapacityAnswer(True, state.host.name, tuple(rows))


async def query_capacity(state: HostState, data_centre: str) -> CapacityAnswer | None:
    """Query the global leader for the capacity left without a data centre.

    If the queried host names another leader, that host is queried next, once.

    Returns None if no leader is known, the leader is unreachable, or its reply is not a
    `CapacityAnswer`.
    """
    host = state.global_group.leader
    for _ in range(2):
        if not host:
            return None
        try:
            reply = await state.network.call(
                host, CapacityQuestion(data_centre), REPORT_TIMEOUT_S
            )
        except PeerUnreachable:
            return None
        if not isinstance(reply, CapacityAnswer) or reply.is_leader:
            return reply if isinstance(reply, CapacityAnswer) else None
        host = reply.leader
    return None


def capacity_report(
    state: HostState, group: Group, leader: LeaderState
) -> CapacityReport:
    """Return the slots of a data centre by service, and its released shards."""
    data_centre = group.name.removeprefix(DATA_CENTRE_PREFIX)
    n_slots: dict[str, int] = {}
    for session in group.tables.sessions.values():
        if session.state == "serving":
            known = n_slots.get(session.service, 0)
            n_slots[session.service] = known + session.n_slots
    released = tuple(
        (shard, home.epoch)
        for shard, home in released_homes_in_handover(state, group).items()
        if leader.exported_home_epochs.get(shard) == home.epoch
    )
    return CapacityReport(data_centre, tuple(sorted(n_slots.items())), released)


async def _commit_all(group: Group, commands: Sequence[Command]) -> None:
    # All commands are appended before any other task of this host runs: a lease that
    # begins after the decision must begin at a log index after these commands.
    pending = [(command, append_if_leader(group, command)) for command in commands]
    for command, future in pending:
        if future is None:
            return
        _log_command(group, command, await wait_committed(group, future))


def _log_command(group: Group, command: Command, outcome: Accepted | Refused) -> None:
    reason = (type(command).__doc__ or "").partition("\n")[0]
    log_placement(group.name, command, reason, outcome)
