"""Takes a host that is about to stop out of the voters of its group.

A voter that stops without it counts until the leader takes it for lost, and meanwhile
the group bears one loss fewer. So the host asks the leader to be replaced, and stops
when that is committed. If too few hosts are alive to replace it, or no leader answers
in time, it stops as a voter: that is the loss of one host, which the group tolerates.
"""

import asyncio

from bergamotferry.messages import LeaveGroup, LeaveReply
from bergamotferry.replication.membership import can_replace_leaving

from .clock import now_ns
from .group_members import host_requests
from .group_state import Group
from .logs import log
from .peer_link import PeerUnreachable

LEAVE_TIMEOUT_S = 2.0
LEAVE_POLL_S = 0.05
LEAVE_CALL_TIMEOUT_S = 0.5


async def leave_voters(group: Group, timeout_s: float) -> bool:
    """Ask the leader to take this host out of the voters, until that is committed.

    Parameters
    ----------
    group : Group
        The group, whose leadership this host has handed over.
    timeout_s : float
        The longest wait in seconds; it is at most `LEAVE_TIMEOUT_S` in any case.

    Returns
    -------
    bool
        Whether this host is no voter of the group any more.
    """
    own_member = group.replica.own_member
    membership = group.replica.membership
    if own_member not in membership.voters + membership.learners:
        return True
    # A learner asks as well, so that the leader doesn't make it a voter now.
    message = LeaveGroup(group.name, own_member)
    reason = "no leader answered in time"
    try:
        async with asyncio.timeout(max(0.0, min(timeout_s, LEAVE_TIMEOUT_S))):
            while True:
                reply = await _ask_leader(group, message)
                if reply is not None and reply.has_left:
                    log("left the voters", group=group.name)
                    return True
                if reply is not None and not reply.is_possible:
                    reason = "too few hosts are alive to replace it"
                    break
                if reply is not None:
                    reason = "the removal was not committed in time"
                await asyncio.sleep(LEAVE_POLL_S)
    except TimeoutError:
        pass
    log("stops as a voter", group=group.name, why=reason)
    return False


def answer_leave(group: Group, message: LeaveGroup) -> LeaveReply:
    """Record a host that is about to stop, if this host leads."""
    if not group.is_leader:
        return LeaveReply(False, group.leader, False, True)
    replica = group.replica
    group.leave_requests[message.member.host] = now_ns()
    is_committed = replica.memberships[-1][0] <= replica.commit_index
    has_left = is_committed and message.member not in replica.membership.voters
    is_possible = can_replace_leaving(
        replica,
        host_requests(group),
        group.network.addresses.values(),
        now_ns(),
        group.n_voters,
    )
    return LeaveReply(True, group.network.own_name, has_left, is_possible)


async def _ask_leader(group: Group, message: LeaveGroup) -> LeaveReply | None:
    """Return the reply of the leader, or None if none of the hosts asked leads."""
    own_name = group.network.own_name
    voters = [voter.host for voter in group.replica.membership.voters]
    for host in dict.fromkeys([group.leader, *voters]):
        if host in ("", own_name):
            continue
        try:
            reply = await group.network.call(host, message, LEAVE_CALL_TIMEOUT_S)
        except PeerUnreachable:
            continue
        if isinstance(reply, LeaveReply) and reply.is_leader:
            return reply
    return None
