"""What the leader of a group does beside replication.

The leader of a data centre's group grants leases and runs the ownership systems; the
global leader places shards on data centres. Both act only while their leader lease
holds and after they have applied an entry of their own term, so that they know
everything their predecessor committed.
"""

import asyncio

from bergamotferry.commands import Command
from bergamotferry.global_placement import run_global_placement
from bergamotferry.leases import (
    HOST_LEASE_MS,
    SESSION_LEASE_MS,
    assume_all_granted,
    renew_host,
    renew_session,
)
from bergamotferry.messages import CapacityReport, RenewLeases, RenewLeasesReply
from bergamotferry.ownership import run_ownership
from bergamotferry.replication import term_at

from .bootstrap import DATA_CENTRE_PREFIX, data_centre_group
from .clock import now_ns
from .group import Group, commit
from .host_state import HostState, LeaderState
from .logs import log
from .peer_link import PeerUnreachable
from .peer_network import hosts_of_data_centre

OWNERSHIP_TICK_S = 0.03
PLACEMENT_TICK_S = 0.2
REPORT_TIMEOUT_S = 0.5
REPORT_MAX_AGE_NS = 3_000_000_000


async def run_ownership_duty(state: HostState, group: Group) -> None:
    """Run the ownership systems whenever this host leads a data centre's group."""
    data_centre = group.name.removeprefix(DATA_CENTRE_PREFIX)
    while True:
        await asyncio.sleep(OWNERSHIP_TICK_S)
        leader = leader_state(state, group)
        if leader is None:
            continue
        commands = run_ownership(
            group.tables, state.global_tables, leader.leases, data_centre, now_ns()
        )
        for command in commands:
            await _commit_and_log(group, command)


async def run_placement_duty(state: HostState) -> None:
    """Place shards on data centres whenever this host leads the global group."""
    group = state.global_group
    while True:
        await asyncio.sleep(PLACEMENT_TICK_S)
        leader = leader_state(state, group)
        if leader is None:
            continue
        fresh = {
            name: report
            for name, report in leader.reports.items()
            if now_ns() - leader.report_times_ns[name] < REPORT_MAX_AGE_NS
        }
        for command in run_global_placement(group.tables, fresh):
            await _commit_and_log(group, command)


async def run_capacity_reports(state: HostState, group: Group) -> None:
    """Tell the global leader what a data centre can serve, while leading its group."""
    while True:
        await asyncio.sleep(PLACEMENT_TICK_S)
        if leader_state(state, group) is None:
            continue
        target = state.global_group.leader
        if not target:
            continue
        try:
            await state.network.call(
                target, capacity_report(state, group), REPORT_TIMEOUT_S
            )
        except PeerUnreachable:
            continue


def leader_state(state: HostState, group: Group) -> LeaderState | None:
    """Return the leader's state if this host may act as the group's leader now."""
    replica = group.replica
    if not group.is_leader:
        return None
    if term_at(replica, group.applied_index) != replica.term:
        return None
    leader = state.leaders.setdefault(group.name, LeaderState())
    if leader.term != replica.term:
        state.leaders[group.name] = leader = LeaderState(term=replica.term)
        if group.name.startswith(DATA_CENTRE_PREFIX):
            data_centre = group.name.removeprefix(DATA_CENTRE_PREFIX)
            hosts = hosts_of_data_centre(state.network.addresses, data_centre)
            assume_all_granted(leader.leases, hosts, group.tables.sessions, now_ns())
        log("leadership began", group=group.name, term=replica.term)
    return leader


def answer_renewal(state: HostState, message: RenewLeases) -> RenewLeasesReply:
    """Grant leases to a host and to the upstreams' sessions that it names."""
    group = state.groups.get(data_centre_group(message.data_centre))
    leader = leader_state(state, group) if group else None
    if group is None or leader is None:
        return RenewLeasesReply(False, group.leader if group else "", 0, 0, ())
    leases = leader.leases
    renew_host(
        leases, message.host.name, message.incarnation, message.is_stopping, now_ns()
    )
    lost: list[str] = []
    for name, incarnation in message.sessions:
        session = group.tables.sessions.get(name)
        is_known = session is not None and session.incarnation == incarnation
        if is_known and session.state != "expired":
            renew_session(leases, name, now_ns())
        else:
            lost.append(name)
    leases.drained.update(dict(message.drained))
    leases.released.update(message.released)
    return RenewLeasesReply(
        True, state.host.name, HOST_LEASE_MS, SESSION_LEASE_MS, tuple(lost)
    )


def answer_capacity(state: HostState, message: CapacityReport) -> bool:
    """Keep a data centre's report, if this host leads the global group."""
    leader = leader_state(state, state.global_group)
    if leader is None:
        return False
    leader.reports[message.data_centre] = message
    leader.report_times_ns[message.data_centre] = now_ns()
    return True


def capacity_report(state: HostState, group: Group) -> CapacityReport:
    """Return what the leader of a data centre's group reports."""
    data_centre = group.name.removeprefix(DATA_CENTRE_PREFIX)
    n_slots: dict[str, int] = {}
    for session in group.tables.sessions.values():
        if session.state == "serving":
            known = n_slots.get(session.service, 0)
            n_slots[session.service] = known + session.n_slots
    released = tuple(
        (shard, home.epoch)
        for shard, home in state.global_tables.shard_homes.items()
        if home.data_centre == data_centre
        and home.next_data_centre
        and group.tables.released_homes.get(shard, 0) >= home.epoch
    )
    return CapacityReport(data_centre, tuple(sorted(n_slots.items())), released)


async def _commit_and_log(group: Group, command: Command) -> None:
    outcome = await commit(group, command)
    fields = {
        name: value if isinstance(value, str | int | bool) else str(value)[:200]
        for name, value in command._asdict().items()
    }
    log(
        "placement",
        group=group.name,
        command=type(command).__name__,
        inputs=fields,
        outcome=str(outcome),
    )
