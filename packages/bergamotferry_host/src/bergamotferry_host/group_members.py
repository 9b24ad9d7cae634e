"""Maintains a group's membership: hosts request to join, and the leader decides.

A host that is no voter, or that has no contact with a leader, sends a join request to
the leader. The request names the host and the incarnation of its memory or data folder.
The leader runs `plan_membership` over the requests and proposes one change at a time.
"""

import asyncio

from bergamotferry.messages import JoinGroup, JoinReply, Membership
from bergamotferry.replication import (
    begin_transfer,
    can_change_membership,
    is_voter,
    propose,
)
from bergamotferry.replication.membership import (
    HostRequests,
    JoinRequest,
    must_leader_yield,
    plan_membership,
)
from bergamotferry.replication.voter_choice import N_SPARES

from .clock import now_ns
from .group import run_replica
from .group_reader import has_leader_contact, run_reader
from .group_standstill import StandstillWatch, member_names, watch_standstill
from .group_state import Group
from .logs import log
from .peer_link import PeerUnreachable

MEMBERSHIP_TICK_S = 0.1
JOIN_RETRY_MS = 500
JOIN_NOT_NEEDED_RETRY_MS = 2000
JOIN_TIMEOUT_S = 0.5


async def run_group(group: Group) -> None:
    """Run a group on this host until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(run_replica(group))
        tasks.create_task(run_reader(group))
        tasks.create_task(run_membership(group))


async def run_membership(group: Group) -> None:
    """Change the membership while leading; otherwise request to join."""
    next_join_ns = 0
    standstill = StandstillWatch()
    while True:
        await asyncio.sleep(MEMBERSHIP_TICK_S)
        watch_standstill(group, standstill)
        _add_voters_to_sources(group)
        if group.is_leader:
            _propose_membership(group)
        elif should_join(group) and now_ns() >= next_join_ns:
            retry_ms = await _join(group)
            next_join_ns = now_ns() + retry_ms * 1_000_000


def answer_join(group: Group, message: JoinGroup) -> JoinReply:
    """Record a host that requests to become a member, if this host leads."""
    if not group.is_leader:
        return JoinReply(False, group.leader, JOIN_RETRY_MS)
    host = message.member.host
    if group.network.address_of(host) is not None:
        group.join_requests[host] = JoinRequest(message.member, now_ns())
        group.leave_requests.pop(host, None)
    membership = group.replica.membership
    is_member = message.member in membership.voters + membership.learners
    is_full = len(membership.voters) >= group.n_voters and (
        len(membership.learners) >= N_SPARES
    )
    retry_ms = JOIN_NOT_NEEDED_RETRY_MS if is_member or is_full else JOIN_RETRY_MS
    return JoinReply(True, group.network.own_name, retry_ms)


def host_requests(group: Group) -> HostRequests:
    """Return what hosts requested of this host, if it leads."""
    return HostRequests(group.join_requests, group.leave_requests)


def _propose_membership(group: Group) -> None:
    replica = group.replica
    if not can_change_membership(replica):
        return
    known_hosts = group.network.addresses.values()
    situation = (
        replica,
        host_requests(group),
        known_hosts,
        now_ns(),
        group.n_voters,
    )
    membership = plan_membership(*situation)
    if membership is None:
        if must_leader_yield(*situation):
            begin_transfer(replica, now_ns())
        return
    if propose(replica, membership, now_ns()) is not None:
        group.wake_event.set()
        log(
            "membership",
            group=group.name,
            before=_member_names(replica.memberships[-2][1]),
            after=_member_names(membership),
        )


def should_join(group: Group) -> bool:
    """Return whether this host should request to become a member of the group."""
    if group.has_failed_disk or group.is_disk_full:
        return False
    if not group.is_eligible_member or group.is_stopping:
        return False
    return not (is_voter(group.replica) and has_leader_contact(group.replica))


async def _join(group: Group) -> int:
    """Send a join request to the leader; return the delay before the next, in ms."""
    message = JoinGroup(group.name, group.replica.own_member)
    candidates = [group.leader] if group.leader else list(group.sources)
    for host in candidates:
        if host == group.network.own_name:
            continue
        try:
            reply = await group.network.call(host, message, JOIN_TIMEOUT_S)
        except PeerUnreachable:
            group.leader_hint = ""
            continue
        if isinstance(reply, JoinReply):
            group.leader_hint = reply.leader if reply.leader != host else host
            if reply.is_leader:
                return reply.retry_ms
    return JOIN_RETRY_MS


def _add_voters_to_sources(group: Group) -> None:
    """Add the current voters to the sources; the initial voters stay as a fallback."""
    for voter in group.replica.membership.voters:
        if voter.host not in group.sources:
            group.sources.append(voter.host)


def _member_names(membership: Membership) -> dict[str, list[str]]:
    return {
        "voters": member_names(membership.voters),
        "learners": member_names(membership.learners),
    }
