"""Keeps a group's membership: hosts name themselves, the leader decides.

A host that is no voter, or that hears no leader, names its member to the leader: itself
with the incarnation of its memory or data folder. The leader runs `plan_membership`
over what it heard and proposes one change at a time.
"""

import asyncio

from bergamotferry.messages import JoinGroup, JoinReply, Membership
from bergamotferry.replication import (
    begin_transfer,
    can_change_membership,
    is_voter,
    propose,
)
from bergamotferry.replication_membership import Joiner, plan_membership

from .clock import now_ns
from .group import Group, run_replica
from .group_reader import is_fed, run_reader
from .logs import log
from .peer_link import PeerUnreachable

MEMBERSHIP_TICK_S = 0.1
JOIN_RETRY_MS = 500
JOIN_SPARE_RETRY_MS = 2000
JOIN_TIMEOUT_S = 0.5


async def run_group(group: Group) -> None:
    """Run a group on this host until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(run_replica(group))
        tasks.create_task(run_reader(group))
        tasks.create_task(run_membership(group))


async def run_membership(group: Group) -> None:
    """Plan the membership while leading, and name this host to the leader if not."""
    next_join_ns = 0
    while True:
        await asyncio.sleep(MEMBERSHIP_TICK_S)
        _follow_voters(group)
        if group.is_leader:
            _plan(group)
        elif _should_join(group) and now_ns() >= next_join_ns:
            retry_ms = await _join(group)
            next_join_ns = now_ns() + retry_ms * 1_000_000


def answer_join(group: Group, message: JoinGroup) -> JoinReply:
    """Note a host that may become a member, if this host leads."""
    if not group.is_leader:
        return JoinReply(False, group.leader, JOIN_RETRY_MS)
    host = message.member.host
    if group.network.address_of(host) is not None:
        group.joiners[host] = Joiner(message.member, now_ns())
    membership = group.replica.membership
    is_full = len(membership.voters) >= group.n_voters and not membership.learners
    retry_ms = JOIN_SPARE_RETRY_MS if is_full else JOIN_RETRY_MS
    return JoinReply(True, group.network.own_name, retry_ms)


def _plan(group: Group) -> None:
    replica = group.replica
    if not can_change_membership(replica):
        return
    seeds = group.network.addresses.values()
    membership = plan_membership(
        replica, group.joiners, seeds, now_ns(), group.n_voters
    )
    if membership is None:
        if len(replica.membership.voters) > group.n_voters:
            # The one too many is this host, and a leader does not remove itself.
            begin_transfer(replica, now_ns())
        return
    if propose(replica, membership, now_ns()) is not None:
        group.woken.set()
        log(
            "membership",
            group=group.name,
            before=_names(replica.memberships[-2][1]),
            after=_names(membership),
        )


def _should_join(group: Group) -> bool:
    if not group.may_join or group.has_failed_disk or group.is_stopping:
        return False
    return not (is_voter(group.replica) and is_fed(group.replica))


async def _join(group: Group) -> int:
    """Name this host to the leader; return when to do so again, in ms."""
    message = JoinGroup(group.name, group.replica.me)
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


def _follow_voters(group: Group) -> None:
    """Ask the voters first, wherever they are; the first voters stay as a fallback."""
    for voter in group.replica.membership.voters:
        if voter.host not in group.sources:
            group.sources.append(voter.host)


def _names(membership: Membership) -> dict[str, list[str]]:
    return {
        "voters": [f"{row.host}/{row.incarnation}" for row in membership.voters],
        "learners": [f"{row.host}/{row.incarnation}" for row in membership.learners],
    }
