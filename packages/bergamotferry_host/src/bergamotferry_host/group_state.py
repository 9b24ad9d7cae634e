"""State of a group on this host: its replica, its log on disk and its tables.

`group` runs the replica; other modules read the state or wait on it.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from bergamotferry.commands import Command
from bergamotferry.messages import Membership, ReplicationMessage
from bergamotferry.order_conflicts import OrderConflict
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.replication import (
    Replica,
    entries_from,
    leader_lease_until_ns,
    term_at,
)
from bergamotferry.replication.membership import JoinRequest
from bergamotferry.replication.voter_choice import N_VOTERS_DEFAULT

from .clock import now_ns
from .disk_log import DiskLog
from .peer_network import PeerNetwork

ApplyCommand = Callable[[Any, Command], Accepted | Refused]
# Finds the order that a proposed command would undo, see `find_order_conflict`.
FindConflict = Callable[[Any, Iterable[Command], Command, int], OrderConflict | None]


@dataclass(slots=True)
class Group:
    """A group's replica, tables and log on this host.

    ``sources`` are the hosts to fetch the log from; while no leader is known, calls to
    the leader are sent to them in turn. ``reads_log`` is whether this host fetches the
    log while it is no member. ``waiters`` holds, by log index, the term and the future
    of each command that waits for its commit. ``find_conflict`` decides on orders that
    are proposed late, and ``n_conflicts`` counts those that this host refused.
    ``n_voters`` is the smallest number of voters whose majority survives the tolerated
    loss. ``leave_requests`` holds when each host that is about to stop last asked the
    leader, this host, to be no voter.
    ``is_disk_full`` is set while a write is repeated because the disk has no space, and
    ``has_failed_disk`` after a write that failed for another reason.
    """

    name: str
    tables: Any
    apply_command: ApplyCommand
    network: PeerNetwork
    sources: list[str]
    replica: Replica
    disk_log: DiskLog | None = None
    reads_log: bool = True
    is_eligible_member: bool = False
    n_voters: int = N_VOTERS_DEFAULT
    inbox: list[ReplicationMessage] = field(default_factory=list)
    wake_event: asyncio.Event = field(default_factory=asyncio.Event)
    write_task: asyncio.Task[None] | None = None
    compaction_task: asyncio.Task[None] | None = None
    applied_index: int = 0
    applied: asyncio.Condition = field(default_factory=asyncio.Condition)
    leader_hint: str = ""
    join_requests: dict[str, JoinRequest] = field(default_factory=dict)
    leave_requests: dict[str, int] = field(default_factory=dict)
    waiters: dict[int, tuple[int, asyncio.Future[Accepted | Refused]]] = field(
        default_factory=dict
    )
    find_conflict: FindConflict | None = None
    n_conflicts: int = 0
    is_disk_full: bool = False
    has_failed_disk: bool = False
    is_stopping: bool = False

    @property
    def is_leader(self) -> bool:
        """Whether this host leads and its leader lease has not expired."""
        return now_ns() < leader_lease_until_ns(self.replica)

    @property
    def leader(self) -> str:
        """Name of the leader that this host knows of, or an empty string."""
        if self.replica.leader is not None:
            return self.replica.leader.host
        return self.leader_hint


def unapplied_commands(group: Group) -> Iterator[Command]:
    """Return the commands in this host's log that are not applied to its tables."""
    for entry in entries_from(group.replica, group.applied_index + 1):
        if not isinstance(entry.payload, Membership):
            yield entry.payload


def has_applied_own_term(group: Group) -> bool:
    """Return whether the tables here hold every command acknowledged in earlier terms.

    After a restart of all hosts, a leader obtains its lease before it knows the commit
    index again. Its tables are out of date until it has applied an entry of its term.
    """
    return term_at(group.replica, group.applied_index) == group.replica.term
