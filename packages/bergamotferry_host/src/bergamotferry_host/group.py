"""A group on this host: its replica, its tables, and commits through its leader.

Every host holds a replica. A member's is fed by the leader; that of a host that only
reads is fed by fetching (see ``group_reader``). Both end in the same place: committed
entries are applied in order to the group's tables, and whoever waits for them is woken.

The disk is written by one task at a time while the loop goes on. What a message
promises is on disk before it is sent; a leader's heartbeats don't wait for the disk.
"""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bergamotferry.commands import Command
from bergamotferry.messages import (
    GroupStatus,
    LogEntry,
    Member,
    Membership,
    ReplicationMessage,
)
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.replication import (
    Outgoing,
    Replica,
    Unpersisted,
    begin_transfer,
    entries_from,
    is_voter,
    last_index,
    leader_lease_until_ns,
    mark_persisted,
    receive,
    resign,
    start_replica,
    take_messages,
    take_prompt_messages,
    take_unpersisted,
    term_at,
    tick,
)
from bergamotferry.replication_membership import N_VOTERS, Joiner
from bergamotferry.result_codes import ResultCode

from .background import log_failure
from .clock import now_ns
from .disk_log import DiskLog, persist
from .group_compaction import compact_if_long
from .logs import log, log_warning
from .peer_network import PeerNetwork
from .table_snapshot import load_tables

TICK_S = 0.02
IDLE_TICK_S = 0.1
HAND_OVER_TIMEOUT_S = 1.0

ApplyCommand = Callable[[Any, Command], Accepted | Refused]


@dataclass(slots=True)
class Group:
    """A group's tables and replica on this host."""

    name: str
    tables: Any
    apply_command: ApplyCommand
    network: PeerNetwork
    sources: list[str]
    replica: Replica
    disk_log: DiskLog | None = None
    reads_log: bool = True
    may_join: bool = False
    n_voters: int = N_VOTERS
    inbox: list[ReplicationMessage] = field(default_factory=list)
    woken: asyncio.Event = field(default_factory=asyncio.Event)
    writing: asyncio.Task[None] | None = None
    compacting: asyncio.Task[None] | None = None
    applied_index: int = 0
    applied: asyncio.Condition = field(default_factory=asyncio.Condition)
    leader_hint: str = ""
    joiners: dict[str, Joiner] = field(default_factory=dict)
    waiters: dict[int, tuple[int, asyncio.Future[Accepted | Refused]]] = field(
        default_factory=dict
    )
    has_failed_disk: bool = False
    is_stopping: bool = False

    @property
    def is_leader(self) -> bool:
        """Whether this host leads and its leader lease has not run out."""
        return now_ns() < leader_lease_until_ns(self.replica)

    @property
    def leader(self) -> str:
        """Name of the leader as far as this host knows, or empty."""
        if self.replica.leader is not None:
            return self.replica.leader.host
        return self.leader_hint


async def run_replica(group: Group) -> None:
    """Run a group's replica on this host until cancelled."""
    replica = group.replica
    start_replica(replica, now_ns())
    if replica.snapshot is not None:
        await _apply_committed(group, replica)
    last_role = replica.role
    while True:
        tick_s = TICK_S if is_voter(replica) else IDLE_TICK_S
        await _wait_woken(group, tick_s)
        inbox, group.inbox = group.inbox, []
        for message in inbox:
            receive(replica, message, now_ns())
        tick(replica, now_ns())
        _send(group, take_prompt_messages(replica))
        if group.writing is None:
            _begin_write(group, replica)
        if replica.role != last_role:
            log("role changed", group=group.name, role=replica.role, term=replica.term)
            last_role = replica.role
        await _apply_committed(group, replica)
        compact_if_long(group, replica)


def post(group: Group, message: ReplicationMessage) -> None:
    """Hand a message from a peer to the group's replica."""
    group.inbox.append(message)
    group.woken.set()


async def hand_over_leadership(group: Group) -> bool:
    """Before a planned stop: give up leadership, and don't stand for election again.

    Returns
    -------
    bool
        Whether this host does not lead any more.
    """
    group.is_stopping = True
    group.replica.stands_for_election = False
    successor = begin_transfer(group.replica, now_ns())
    if successor is None:
        return group.replica.role != "leader"
    log("leadership handed over", group=group.name, successor=successor.host)
    group.woken.set()
    for _ in range(int(HAND_OVER_TIMEOUT_S / TICK_S)):
        if group.replica.role != "leader":
            break
        await asyncio.sleep(TICK_S)
    return group.replica.role != "leader"


async def wait_applied(group: Group, index: int, timeout_s: float) -> int:
    """Wait until an index is applied here; return the index applied by then."""
    async with group.applied:
        try:
            async with asyncio.timeout(timeout_s):
                await group.applied.wait_for(lambda: group.applied_index >= index)
        except TimeoutError:
            pass
    return group.applied_index


def has_applied_own_term(group: Group) -> bool:
    """Return whether the tables here hold all that was acknowledged in earlier terms.

    After a restart of all hosts a leader has its lease before it knows again how far
    its log was committed; until then its tables are old.
    """
    return term_at(group.replica, group.applied_index) == group.replica.term


def group_status(group: Group) -> GroupStatus:
    """Return the group as this host sees it."""
    replica = group.replica
    role: str = replica.role if is_voter(replica) else "reader"
    if replica.me in replica.membership.learners:
        role = "learner"
    return GroupStatus(
        group.name,
        role,
        replica.term,
        group.leader,
        replica.commit_index,
        group.applied_index,
        tuple(voter.host for voter in replica.membership.voters),
    )


async def _wait_woken(group: Group, timeout_s: float) -> None:
    """Wait for work; ``wait_for`` could swallow a cancellation that comes with it."""
    try:
        async with asyncio.timeout(timeout_s):
            await group.woken.wait()
    except TimeoutError:
        pass
    group.woken.clear()


def _send(group: Group, messages: list[Outgoing]) -> None:
    for outgoing in messages:
        group.network.notify(outgoing.host, outgoing.message)


def _begin_write(group: Group, replica: Replica) -> None:
    """Persist what changed, and then send what depends on it."""
    unpersisted = take_unpersisted(replica)
    held = take_messages(replica)
    if unpersisted is None:
        _send(group, held)
        return
    index = last_index(replica)
    if group.disk_log is None:
        _finish_write(group, replica, unpersisted.term, index, held)
        return
    work = _write(group, replica, group.disk_log, unpersisted, index, held)
    group.writing = asyncio.get_running_loop().create_task(work)


async def _write(
    group: Group,
    replica: Replica,
    disk_log: DiskLog,
    unpersisted: Unpersisted,
    index: int,
    held: list[Outgoing],
) -> None:
    try:
        await asyncio.to_thread(persist, disk_log, unpersisted)
        _finish_write(group, replica, unpersisted.term, index, held)
    except Exception as error:
        # Whatever broke it off, what it should have written is no longer known to be
        # on the disk, and a later write would leave a gap.
        if not isinstance(error, OSError):
            log_failure(error)
        _stop_voting(group, replica, error)
    finally:
        group.writing = None
        group.woken.set()


def _finish_write(
    group: Group, replica: Replica, term: int, index: int, held: list[Outgoing]
) -> None:
    mark_persisted(replica, term, index, now_ns())
    _send(group, held)
    group.woken.set()


def _stop_voting(group: Group, replica: Replica, error: Exception) -> None:
    """Go on as a reader under a new identity; the old one may promise no more.

    After a failed sync nothing that was written can be relied on, and a second sync
    would say that all is well.
    """
    log_warning(
        "disk failed, voting stopped until the host is restarted",
        group=group.name,
        why=str(error) if isinstance(error, OSError) else type(error).__name__,
    )
    group.has_failed_disk = True
    group.disk_log = None
    resign(replica, Member(replica.me.host, secrets.token_hex(8), False), now_ns())


async def _apply_committed(group: Group, replica: Replica) -> None:
    if group.applied_index >= replica.commit_index:
        return
    async with group.applied:
        if replica.snapshot is not None and group.applied_index < (
            replica.snapshot_index
        ):
            load_tables(group.tables, replica.snapshot.data)
            group.applied_index = replica.snapshot_index
            log("snapshot loaded", group=group.name, index=replica.snapshot_index)
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
