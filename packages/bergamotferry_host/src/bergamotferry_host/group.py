"""A group on this host: its replica, its log on disk and its tables.

Every host that joins a group holds a replica. The leader sends entries to members; a
reader fetches them (see ``group_reader``). In both cases committed entries are applied
in log order to the group's tables, and tasks that wait for an index are woken.

The disk is written on a thread, by one task at a time, so that the event loop is not
blocked. A message that acknowledges or votes is sent only after the state it depends on
is on disk. A leader's heartbeats don't wait for the disk.

A full disk is treated like one that hangs: the write is repeated until it succeeds, and
meanwhile this host acknowledges nothing and votes for nobody. It stays a member under
its identity, since all that it has acknowledged is still on its disk.
"""

import asyncio
import secrets

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
    discard_messages,
    entries_from,
    is_voter,
    last_index,
    leave_group,
    mark_persisted,
    receive,
    start_replica,
    take_immediate_messages,
    take_messages,
    take_unpersisted,
    tick,
)
from bergamotferry.result_codes import ResultCode

from .background import log_failure
from .clock import now_ns
from .disk_log import DiskFullError, DiskLog, persist
from .group_compaction import compact_if_over_limit
from .group_state import Group
from .logs import log, log_warning
from .table_snapshot import load_tables

TICK_S = 0.02
IDLE_TICK_S = 0.1
TRANSFER_TIMEOUT_S = 1.0
DISK_FULL_RETRY_S = 0.25


async def run_replica(group: Group) -> None:
    """Run a group's replica on this host until cancelled."""
    replica = group.replica
    start_replica(replica, now_ns())
    if replica.snapshot is not None:
        await _apply_committed(group, replica)
    last_role = replica.role
    while True:
        tick_s = TICK_S if is_voter(replica) else IDLE_TICK_S
        await _wait_for_work(group, tick_s)
        inbox, group.inbox = group.inbox, []
        for message in inbox:
            receive(replica, message, now_ns())
        tick(replica, now_ns())
        _send(group, take_immediate_messages(replica))
        if group.write_task is None:
            _begin_write(group, replica)
        if replica.role != last_role:
            log("role changed", group=group.name, role=replica.role, term=replica.term)
            last_role = replica.role
        await _apply_committed(group, replica)
        compact_if_over_limit(group, replica)


def deliver_message(group: Group, message: ReplicationMessage) -> None:
    """Queue a peer's message for the group's replica and wake its task."""
    group.inbox.append(message)
    group.wake_event.set()


async def transfer_leadership(group: Group) -> bool:
    """Transfer leadership before a planned stop; never stand for election again.

    Returns
    -------
    bool
        Whether this host no longer leads.
    """
    group.is_stopping = True
    group.replica.may_stand_for_election = False
    successor = begin_transfer(group.replica, now_ns())
    if successor is None:
        return group.replica.role != "leader"
    log("leadership handed over", group=group.name, successor=successor.host)
    group.wake_event.set()
    for _ in range(int(TRANSFER_TIMEOUT_S / TICK_S)):
        if group.replica.role != "leader":
            break
        await asyncio.sleep(TICK_S)
    return group.replica.role != "leader"


async def wait_applied(group: Group, index: int, timeout_s: float) -> int:
    """Wait until an index is applied on this host, or until the timeout.

    Returns
    -------
    int
        The applied index after the wait; below ``index`` after a timeout.
    """
    async with group.applied:
        try:
            async with asyncio.timeout(timeout_s):
                await group.applied.wait_for(lambda: group.applied_index >= index)
        except TimeoutError:
            pass
    return group.applied_index


def group_status(group: Group) -> GroupStatus:
    """Return the state of the group as known to this host."""
    replica = group.replica
    role: str = replica.role if is_voter(replica) else "reader"
    if replica.own_member in replica.membership.learners:
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


async def _wait_for_work(group: Group, timeout_s: float) -> None:
    """Wait until the replica has work or the timeout has passed.

    ``asyncio.wait_for`` is not used: it could swallow a cancellation that arrives
    together with the event.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await group.wake_event.wait()
    except TimeoutError:
        pass
    group.wake_event.clear()


def _send(group: Group, messages: list[Outgoing]) -> None:
    for outgoing in messages:
        group.network.notify(outgoing.host, outgoing.message)


def _begin_write(group: Group, replica: Replica) -> None:
    """Start to persist changed state; then send the messages that depend on it."""
    unpersisted = take_unpersisted(replica)
    held_messages = take_messages(replica)
    if unpersisted is None:
        _send(group, held_messages)
        return
    index = last_index(replica)
    if group.disk_log is None:
        _finish_write(group, replica, unpersisted.term, index, held_messages)
        return
    write_coroutine = _write(
        group, replica, group.disk_log, unpersisted, index, held_messages
    )
    group.write_task = asyncio.get_running_loop().create_task(write_coroutine)


async def _write(
    group: Group,
    replica: Replica,
    disk_log: DiskLog,
    unpersisted: Unpersisted,
    index: int,
    held_messages: list[Outgoing],
) -> None:
    try:
        await _persist_once_there_is_space(group, replica, disk_log, unpersisted)
        _finish_write(group, replica, unpersisted.term, index, held_messages)
    except Exception as error:
        # After a failed write of any cause, this state is not known to be on disk, and
        # a later write would leave a gap in the log.
        if not isinstance(error, OSError):
            log_failure(error)
        _stop_voting(group, replica, error)
    finally:
        group.write_task = None
        group.wake_event.set()


async def _persist_once_there_is_space(
    group: Group, replica: Replica, disk_log: DiskLog, unpersisted: Unpersisted
) -> None:
    """Write to disk; while the disk has no space, repeat the write.

    Raises
    ------
    OSError
        If the write fails for another reason.
    """
    while True:
        try:
            await asyncio.to_thread(persist, disk_log, unpersisted)
        except DiskFullError as error:
            if not group.is_disk_full:
                log_warning("disk full, no votes", group=group.name, why=str(error))
            group.is_disk_full = True
            await asyncio.sleep(DISK_FULL_RETRY_S)
            discard_messages(replica)
            continue
        if group.is_disk_full:
            log("disk has space again", group=group.name)
        group.is_disk_full = False
        return


def _finish_write(
    group: Group, replica: Replica, term: int, index: int, held_messages: list[Outgoing]
) -> None:
    mark_persisted(replica, term, index, now_ns())
    _send(group, held_messages)
    group.wake_event.set()


def _stop_voting(group: Group, replica: Replica, error: Exception) -> None:
    """Continue as a reader under a new identity; the old one acknowledges no more.

    After a failed sync none of the written data can be relied on, and a second sync
    would report success although the data may be lost.
    """
    log_warning(
        "disk failed, voting stopped until the host is restarted",
        group=group.name,
        why=str(error) if isinstance(error, OSError) else type(error).__name__,
    )
    group.has_failed_disk = True
    group.disk_log = None
    leave_group(
        replica, Member(replica.own_member.host, secrets.token_hex(8), False), now_ns()
    )


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
        # The entry of another leader replaced the proposed one at this index.
        future.set_result(Refused(ResultCode.NO_LEADER, "leadership was lost"))
