"""Commits commands through a group's leader, from any host.

A command may be committed although its proposer received no reply. All commands are
therefore designed so that proposing one again is harmless. An operator's order is also
harmless if it is proposed late: the leader refuses it if it would undo an order that
its proposer had not read (see `order_conflicts`).
"""

import asyncio

from bergamotferry.commands import Command
from bergamotferry.messages import OrderOrigin, Propose, ProposeReply
from bergamotferry.outcomes import Accepted, Refused, result_code
from bergamotferry.replication import last_index, propose
from bergamotferry.result_codes import ResultCode

from .clock import now_ns, time_of_day_ms
from .group_state import Group, unapplied_commands
from .logs import log, log_warning
from .peer_link import PeerUnreachable

PROPOSE_TIMEOUT_S = 2.0
PROPOSE_PAUSE_S = 0.05


async def commit(
    group: Group,
    command: Command,
    timeout_s: float = PROPOSE_TIMEOUT_S,
    origin: OrderOrigin | None = None,
) -> Accepted | Refused:
    """Commit a command through the leader, on this host or on another.

    ``origin`` is that of an operator's order.

    Returns
    -------
    Accepted or Refused
        After ``NO_LEADER`` the command may or may not be committed.
    """
    message = Propose(group.name, command, origin)
    deadline_ns = now_ns() + int(timeout_s * 1e9)
    while True:
        reply = await _propose_once(group, message, deadline_ns)
        if reply is not None and reply.code != ResultCode.NO_LEADER:
            return _outcome_of_reply(reply)
        if now_ns() + int(PROPOSE_PAUSE_S * 1e9) >= deadline_ns:
            return Refused(ResultCode.NO_LEADER, f"group {group.name} has no leader")
        await asyncio.sleep(PROPOSE_PAUSE_S)


async def commit_as_leader(
    group: Group, command: Command, term: int
) -> Accepted | Refused:
    """Commit a command that is only safe while this host leads in a certain term.

    It never goes through another leader. A leader that goes on after a freeze can thus
    commit nothing that the next leader does not know of: that one leads only once it
    has applied all earlier entries, and later ones of the old term are not committed.

    Returns
    -------
    Accepted or Refused
        After ``NO_LEADER`` the command may or may not be committed.
    """
    is_current = group.replica.term == term
    future = append_if_leader(group, command) if is_current else None
    if future is None:
        return Refused(ResultCode.NO_LEADER, f"{group.name}: term {term} is over")
    return await wait_committed(group, future)


async def answer_propose(group: Group, message: Propose) -> ProposeReply:
    """Commit a command that a peer or this host proposes, if this host leads."""
    refusal = _refuse_if_ordered_since(group, message)
    if refusal is not None:
        return refusal
    future = append_if_leader(group, message.command)
    if future is None:
        return ProposeReply(ResultCode.NO_LEADER, "not the leader", 0, group.leader)
    log_index = last_index(group.replica)
    outcome = await wait_committed(group, future)
    if message.origin is not None:
        _log_order(group, message, message.origin, log_index, outcome)
    if isinstance(outcome, Accepted):
        return ProposeReply(0, "", outcome.revision, "")
    return ProposeReply(outcome.code, outcome.detail, 0, "")


def append_if_leader(
    group: Group, command: Command
) -> asyncio.Future[Accepted | Refused] | None:
    """Append a command to the log without waiting for its commit.

    Returns
    -------
    asyncio.Future or None
        The outcome once the command is applied; None if this host does not lead.
    """
    if not group.is_leader:
        return None
    index = propose(group.replica, command, now_ns())
    if index is None:
        return None
    future: asyncio.Future[Accepted | Refused] = (
        asyncio.get_running_loop().create_future()
    )
    group.waiters[index] = (group.replica.term, future)

    def remove_waiter(completed: asyncio.Future[Accepted | Refused]) -> None:
        # After a change of leader, another command may have its waiter at this index.
        if group.waiters.get(index, (0, None))[1] is completed:
            del group.waiters[index]

    future.add_done_callback(remove_waiter)
    group.wake_event.set()
    return future


async def wait_committed(
    group: Group, future: asyncio.Future[Accepted | Refused]
) -> Accepted | Refused:
    """Wait for the outcome of a command that `append_if_leader` appended."""
    try:
        async with asyncio.timeout(PROPOSE_TIMEOUT_S):
            return await future
    except TimeoutError:
        return Refused(ResultCode.NO_LEADER, f"{group.name}: not committed in time")


async def _propose_once(
    group: Group, message: Propose, deadline_ns: int
) -> ProposeReply | None:
    candidates = [group.leader] if group.leader else list(group.sources)
    for host in candidates:
        remaining_s = (deadline_ns - now_ns()) / 1e9
        if remaining_s <= 0:
            return None
        try:
            reply = await group.network.call(host, message, remaining_s)
        except PeerUnreachable:
            group.leader_hint = ""
            continue
        if isinstance(reply, ProposeReply):
            group.leader_hint = reply.leader or host
            if reply.code != ResultCode.NO_LEADER:
                return reply
            if reply.leader and reply.leader != host:
                group.leader_hint = reply.leader
            else:
                group.leader_hint = ""
    return None


def _refuse_if_ordered_since(group: Group, message: Propose) -> ProposeReply | None:
    """Refuse an order that would undo one which its proposer had not read.

    Nothing is awaited between this and the append, so that no order comes between.
    Proposals of hosts of the version before have no origin, and are not refused.
    """
    origin = message.origin
    if origin is None or group.find_conflict is None or not group.is_leader:
        return None
    conflict = group.find_conflict(
        group.tables, unapplied_commands(group), message.command, origin.read_revision
    )
    if conflict is None:
        return None
    group.n_conflicts += 1
    log_warning(
        "order refused, ordered since",
        **_order_fields(group, message, origin),
        since_revision=conflict.revision,
        since_evacuated=conflict.is_evacuated,
    )
    detail = (
        f"revision {conflict.revision} ordered otherwise, "
        f"revision {origin.read_revision} was read"
    )
    return ProposeReply(ResultCode.ORDERED_SINCE, detail, 0, group.leader)


def _log_order(
    group: Group,
    message: Propose,
    origin: OrderOrigin,
    log_index: int,
    outcome: Accepted | Refused,
) -> None:
    log(
        "order proposed",
        **_order_fields(group, message, origin),
        log_index=log_index,
        revision=outcome.revision if isinstance(outcome, Accepted) else 0,
        code=result_code(outcome),
    )


def _order_fields(
    group: Group, message: Propose, origin: OrderOrigin
) -> dict[str, object]:
    """Return the fields of a line on an order; its age is by two hosts' clocks."""
    return {
        "group": group.name,
        "order": origin.order_id,
        "command": repr(message.command),
        "proposer": origin.host,
        "read_revision": origin.read_revision,
        "age_ms": time_of_day_ms() - origin.taken_at_ms,
    }


def _outcome_of_reply(reply: ProposeReply) -> Accepted | Refused:
    if reply.code == 0:
        return Accepted(reply.revision)
    return Refused(ResultCode(reply.code), reply.detail)
