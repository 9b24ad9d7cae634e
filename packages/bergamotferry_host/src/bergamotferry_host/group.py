"""A group on this host: as a member it runs the replica, otherwise it reads the log.

Both kinds end in the same place: committed entries are applied in order to the group's
tables, and whoever waits for them is woken.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bergamotferry.commands import Command
from bergamotferry.messages import (
    FetchLog,
    FetchLogReply,
    GroupStatus,
    LogEntry,
    Membership,
    Propose,
    ProposeReply,
    ReplicationMessage,
)
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.replication import (
    Replica,
    entries_from,
    leader_lease_until_ns,
    mark_persisted,
    propose,
    receive,
    start_replica,
    take_messages,
    take_unpersisted,
    tick,
)
from bergamotferry.result_codes import ResultCode

from .clock import now_ns
from .disk_log import DiskLog, append_record
from .logs import log, log_warning
from .peer_link import PeerUnreachable
from .peer_network import PeerNetwork

TICK_S = 0.02
FETCH_WAIT_MS = 1000
FETCH_ENTRIES_MAX = 512
PROPOSE_TIMEOUT_S = 2.0
PROPOSE_PAUSE_S = 0.05

ApplyCommand = Callable[[Any, Command], Accepted | Refused]


@dataclass(slots=True)
class Group:
    """A group's tables on this host, and its replica if the host is a member."""

    name: str
    tables: Any
    apply_command: ApplyCommand
    network: PeerNetwork
    sources: list[str]
    replica: Replica | None = None
    disk_log: DiskLog | None = None
    inbox: list[ReplicationMessage] = field(default_factory=list)
    woken: asyncio.Event = field(default_factory=asyncio.Event)
    applied_index: int = 0
    applied: asyncio.Condition = field(default_factory=asyncio.Condition)
    fetched: list[LogEntry] = field(default_factory=list)
    fetched_commit_index: int = 0
    leader_hint: str = ""
    waiters: dict[int, tuple[int, asyncio.Future[Accepted | Refused]]] = field(
        default_factory=dict
    )
    has_failed_disk: bool = False

    @property
    def is_leader(self) -> bool:
        """Whether this host leads and its leader lease has not run out."""
        replica = self.replica
        if replica is None or replica.role != "leader":
            return False
        return now_ns() < leader_lease_until_ns(replica)

    @property
    def leader(self) -> str:
        """Name of the leader as far as this host knows, or empty."""
        if self.replica is not None:
            return self.replica.leader.host if self.replica.leader else ""
        return self.leader_hint


async def run_group(group: Group) -> None:
    """Run a group on this host until cancelled."""
    if group.replica is not None:
        await _run_member(group, group.replica)
    else:
        await _run_reader(group)


def post(group: Group, message: ReplicationMessage) -> None:
    """Hand a message from a peer to the group's replica."""
    group.inbox.append(message)
    group.woken.set()


async def commit(
    group: Group, command: Command, timeout_s: float = PROPOSE_TIMEOUT_S
) -> Accepted | Refused:
    """Commit a command through the leader, wherever it is.

    Returns
    -------
    Accepted or Refused
        ``NO_LEADER`` means that it may or may not be committed; commands are made so
        that sending one again is harmless.
    """
    deadline_ns = now_ns() + int(timeout_s * 1e9)
    while True:
        reply = await _try_commit(group, command, deadline_ns)
        if reply is not None and reply.code != ResultCode.NO_LEADER:
            return _outcome(reply)
        if now_ns() + int(PROPOSE_PAUSE_S * 1e9) >= deadline_ns:
            return Refused(ResultCode.NO_LEADER, f"group {group.name} has no leader")
        await asyncio.sleep(PROPOSE_PAUSE_S)


async def answer_propose(group: Group, message: Propose) -> ProposeReply:
    """Commit a command here if this host leads; a peer or this host asks."""
    future = append_here(group, message.command)
    if future is None:
        return ProposeReply(ResultCode.NO_LEADER, "not the leader", 0, group.leader)
    outcome = await wait_committed(group, future)
    if isinstance(outcome, Accepted):
        return ProposeReply(0, "", outcome.revision, "")
    return ProposeReply(outcome.code, outcome.detail, 0, "")


def append_here(
    group: Group, command: Command
) -> asyncio.Future[Accepted | Refused] | None:
    """Append a command to the log at once if this host leads; None if it does not."""
    if group.replica is None or not group.is_leader:
        return None
    index = propose(group.replica, command, now_ns())
    if index is None:
        return None
    future: asyncio.Future[Accepted | Refused] = (
        asyncio.get_running_loop().create_future()
    )
    group.waiters[index] = (group.replica.term, future)
    future.add_done_callback(lambda _: group.waiters.pop(index, None))
    group.woken.set()
    return future


async def wait_committed(
    group: Group, future: asyncio.Future[Accepted | Refused]
) -> Accepted | Refused:
    """Wait for the outcome of a command that was appended here."""
    try:
        return await asyncio.wait_for(future, PROPOSE_TIMEOUT_S)
    except TimeoutError:
        return Refused(ResultCode.NO_LEADER, f"{group.name}: not committed in time")


async def answer_fetch(group: Group, message: FetchLog) -> FetchLogReply:
    """Return committed entries after an index, waiting a little for the first."""
    commit_index = await wait_applied(
        group, message.after_index + 1, message.wait_ms / 1000
    )
    if group.replica is not None:
        entries = entries_from(group.replica, message.after_index + 1)
    else:
        entries = group.fetched[message.after_index :]
    n_entries = min(FETCH_ENTRIES_MAX, max(0, commit_index - message.after_index))
    return FetchLogReply(
        group.name, tuple(entries[:n_entries]), 0, b"", commit_index, group.leader
    )


async def wait_applied(group: Group, index: int, timeout_s: float) -> int:
    """Wait until an index is applied here; return the index applied by then."""
    async with group.applied:
        try:
            await asyncio.wait_for(
                group.applied.wait_for(lambda: group.applied_index >= index), timeout_s
            )
        except TimeoutError:
            pass
    return group.applied_index


def group_status(group: Group) -> GroupStatus:
    """Return the group as this host sees it."""
    replica = group.replica
    if replica is None:
        return GroupStatus(
            group.name,
            "reader",
            0,
            group.leader_hint,
            group.fetched_commit_index,
            group.applied_index,
            (),
        )
    voters = tuple(voter.host for voter in replica.membership.voters)
    return GroupStatus(
        group.name,
        replica.role,
        replica.term,
        group.leader,
        replica.commit_index,
        group.applied_index,
        voters,
    )


async def _run_member(group: Group, replica: Replica) -> None:
    start_replica(replica, now_ns())
    last_role = replica.role
    while not group.has_failed_disk:
        try:
            await asyncio.wait_for(group.woken.wait(), TICK_S)
        except TimeoutError:
            pass
        group.woken.clear()
        inbox, group.inbox = group.inbox, []
        for message in inbox:
            receive(replica, message, now_ns())
        tick(replica, now_ns())
        if not await _persist(group, replica):
            return
        for outgoing in take_messages(replica):
            group.network.notify(outgoing.host, outgoing.message)
        if replica.role != last_role:
            log("role changed", group=group.name, role=replica.role, term=replica.term)
            last_role = replica.role
        await _apply_committed(group, replica)


async def _persist(group: Group, replica: Replica) -> bool:
    unpersisted = take_unpersisted(replica)
    if unpersisted is None:
        return True
    last = replica.log[-1].log_index if replica.log else replica.snapshot_index
    if group.disk_log is not None:
        try:
            await asyncio.to_thread(append_record, group.disk_log, unpersisted)
        except OSError as error:
            # After a failed sync nothing that was written can be relied on.
            group.has_failed_disk = True
            log_warning("disk failed, voting stopped", group=group.name, why=str(error))
            return False
    mark_persisted(replica, last, now_ns())
    return True


async def _apply_committed(group: Group, replica: Replica) -> None:
    if group.applied_index >= replica.commit_index:
        return
    async with group.applied:
        for entry in entries_from(replica, group.applied_index + 1):
            if entry.log_index > replica.commit_index:
                break
            _apply_entry(group, entry)
        group.applied.notify_all()


def _apply_entry(group: Group, entry: LogEntry) -> None:
    outcome: Accepted | Refused = Accepted(entry.log_index)
    if not isinstance(entry.payload, Membership):
        outcome = group.apply_command(group.tables, entry.payload)
    group.applied_index = entry.log_index
    waiter = group.waiters.pop(entry.log_index, None)
    if waiter is None:
        return
    term, future = waiter
    if future.done():
        return
    if term == entry.term:
        future.set_result(outcome)
    else:
        # Another leader's entry took the place of the one that was waited for.
        future.set_result(Refused(ResultCode.NO_LEADER, "leadership was lost"))


async def _run_reader(group: Group) -> None:
    position = 0
    while True:
        source = group.sources[position % len(group.sources)]
        message = FetchLog(group.name, group.applied_index, FETCH_WAIT_MS)
        try:
            reply = await group.network.call(source, message, 2 * FETCH_WAIT_MS / 1000)
        except PeerUnreachable:
            position += 1
            await asyncio.sleep(PROPOSE_PAUSE_S)
            continue
        if not isinstance(reply, FetchLogReply):
            position += 1
            await asyncio.sleep(PROPOSE_PAUSE_S)
            continue
        await _apply_fetched(group, reply)


async def _apply_fetched(group: Group, reply: FetchLogReply) -> None:
    async with group.applied:
        for entry in reply.entries:
            if entry.log_index == group.applied_index + 1:
                group.fetched.append(entry)
                _apply_entry(group, entry)
        group.fetched_commit_index = reply.commit_index
        group.leader_hint = reply.leader or group.leader_hint
        group.applied.notify_all()


async def _try_commit(
    group: Group, command: Command, deadline_ns: int
) -> ProposeReply | None:
    message = Propose(group.name, command)
    candidates = [group.leader] if group.leader else list(group.sources)
    for host in candidates:
        left_s = (deadline_ns - now_ns()) / 1e9
        if left_s <= 0:
            return None
        try:
            reply = await group.network.call(host, message, left_s)
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


def _outcome(reply: ProposeReply) -> Accepted | Refused:
    if reply.code == 0:
        return Accepted(reply.revision)
    return Refused(ResultCode(reply.code), reply.detail)
