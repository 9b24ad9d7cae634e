"""The replicated log of one group: Raft as functions over a `Replica`.

The host calls `receive` for each message and `tick` at regular intervals. After each
round it sends the messages of `take_immediate_messages` at once, so that heartbeats
never wait for the disk. If no write is in progress, it then

1. takes the state from `take_unpersisted` and the messages from `take_messages`,
2. writes the state to disk and calls `mark_persisted`,
3. sends the messages of step 1.

Messages that promise something, such as a vote or an acknowledgement, are therefore
sent only after the state that they depend on is on disk.
"""

from ..commands import Command
from ..messages import (
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    LogEntry,
    Member,
    Membership,
    ReplicationMessage,
    RequestVote,
    SnapshotReply,
    TimeoutNow,
    VoteReply,
)
from .append import (
    advance_commit,
    append_committed,
    on_append_entries,
    on_append_reply,
    record_acknowledgement,
    send_entries,
    tick_leader,
)
from .election import (
    begin_transfer,
    on_request_vote,
    on_timeout_now,
    on_vote_reply,
    start_election,
)
from .snapshot import (
    install_snapshot,
    on_install_snapshot,
    on_snapshot_reply,
)
from .state import (
    ELECTION_MIN_NS,
    LEADER_LEASE_NS,
    Outgoing,
    Replica,
    Snapshot,
    Unpersisted,
    append_entry,
    become_follower,
    compact_log,
    entries_from,
    entries_within,
    is_voter,
    last_index,
    leader_lease_until_ns,
    load_memberships,
    membership_at,
    reset_election_timer,
    term_at,
)

__all__ = [
    "ELECTION_MIN_NS",
    "LEADER_LEASE_NS",
    "Outgoing",
    "Replica",
    "Snapshot",
    "Unpersisted",
    "append_committed",
    "begin_transfer",
    "can_change_membership",
    "compact_log",
    "discard_messages",
    "entries_from",
    "entries_within",
    "install_snapshot",
    "is_voter",
    "last_index",
    "leader_lease_until_ns",
    "mark_persisted",
    "membership_at",
    "propose",
    "receive",
    "leave_group",
    "start_replica",
    "take_messages",
    "take_immediate_messages",
    "take_unpersisted",
    "term_at",
    "tick",
]


def start_replica(replica: Replica, now_ns: int) -> None:
    """Initialise a replica as a follower, as if a leader's message had just arrived.

    A voter may have acknowledged a heartbeat just before it restarted, and the leader's
    lease relies on that acknowledgement. The restarted voter therefore grants no vote
    until the shortest election timeout has passed.
    """
    replica.leader_contact_ns = now_ns
    replica.commit_index = max(replica.commit_index, replica.snapshot_index)
    replica.persisted_index = last_index(replica)
    replica.persisted_term = replica.term
    load_memberships(replica)
    reset_election_timer(replica, now_ns)


def tick(replica: Replica, now_ns: int) -> None:
    """Send due messages as the leader, or start an election after the timeout."""
    if replica.role == "leader":
        tick_leader(replica, now_ns)
    elif now_ns >= replica.election_due_ns:
        if is_voter(replica) and replica.may_stand_for_election:
            start_election(replica, now_ns, is_pre_vote=True)
        else:
            replica.leader = None
            replica.role = "follower"


def receive(replica: Replica, message: ReplicationMessage, now_ns: int) -> None:
    """Dispatch a message to the handler of its type."""
    match message:
        case RequestVote():
            on_request_vote(replica, message, now_ns)
        case VoteReply():
            on_vote_reply(replica, message, now_ns)
        case AppendEntries():
            on_append_entries(replica, message, now_ns)
        case AppendReply():
            on_append_reply(replica, message, now_ns)
        case InstallSnapshot():
            on_install_snapshot(replica, message, now_ns)
        case SnapshotReply():
            _on_snapshot_reply(replica, message, now_ns)
        case TimeoutNow():
            on_timeout_now(replica, message, now_ns)


def propose(replica: Replica, command: Command | Membership, now_ns: int) -> int | None:
    """Append a command to the leader's log; the next tick sends it to the members.

    Returns
    -------
    int or None
        Index of the entry. None if this member is not the leader, is transferring its
        leadership, or may not make this membership change now.
    """
    if replica.role != "leader" or replica.transfer_deadline_ns:
        return None
    if isinstance(command, Membership):
        if not can_change_membership(replica) or not _is_single_change(
            replica.membership, command
        ):
            return None
    index = last_index(replica) + 1
    append_entry(replica, LogEntry(index, replica.term, command))
    return index


def can_change_membership(replica: Replica) -> bool:
    """Return whether this leader may propose a membership change.

    The last membership change and an entry of the leader's own term must be committed.
    Without the second condition, two leaders could each change the same older
    membership and obtain quorums that do not intersect.
    """
    is_last_change_committed = replica.memberships[-1][0] <= replica.commit_index
    has_committed_in_term = term_at(replica, replica.commit_index) == replica.term
    return (
        replica.role == "leader" and is_last_change_committed and has_committed_in_term
    )


def leave_group(replica: Replica, own_member: Member, now_ns: int) -> None:
    """Continue as a reader under a new identity that is not a member of the group.

    The queued messages are discarded, because they may promise state that is not on
    disk.
    """
    replica.own_member = own_member
    replica.outgoing.clear()
    become_follower(replica, replica.term, now_ns)


def take_unpersisted(replica: Replica) -> Unpersisted | None:
    """Return the state to persist before the next messages are sent, and clear it.

    Returns
    -------
    Unpersisted or None
        None if all state is on disk or is being written already.
    """
    has_unpersisted_state = replica.is_vote_dirty or replica.is_snapshot_dirty
    if not has_unpersisted_state and not replica.next_write_index:
        return None
    first = replica.next_write_index
    entries = entries_from(replica, first) if first else ()
    snapshot = replica.snapshot if replica.is_snapshot_dirty else None
    if snapshot is not None:
        # A snapshot starts a new log file, which needs every entry after the snapshot.
        entries = entries_from(replica, snapshot.last_index + 1)
    replica.is_vote_dirty = False
    replica.is_snapshot_dirty = False
    replica.next_write_index = 0
    return Unpersisted(replica.term, replica.voted_for, first, tuple(entries), snapshot)


def mark_persisted(replica: Replica, term: int, index: int, now_ns: int) -> None:
    """Record that a term, and the log up to an index, are on disk.

    Entries that changed after the write began are not counted as persisted. The leader
    counts its own persisted entries towards a commit.
    """
    replica.persisted_term = term
    index = min(index, last_index(replica))
    if replica.next_write_index:
        index = min(index, replica.next_write_index - 1)
    replica.persisted_index = max(index, replica.snapshot_index)
    if replica.role == "leader":
        advance_commit(replica, now_ns)


def take_immediate_messages(replica: Replica) -> list[Outgoing]:
    """Return the messages that may be sent before the next write, and clear them.

    These are the entries, heartbeats and snapshot parts of a leader. They state nothing
    about the leader's own disk except its term, so only the term must be persisted.
    """
    if replica.role != "leader" or replica.persisted_term != replica.term:
        return []
    immediate: list[Outgoing] = []
    deferred: list[Outgoing] = []
    for queued in replica.outgoing:
        is_immediate = isinstance(queued.message, AppendEntries | InstallSnapshot)
        (immediate if is_immediate else deferred).append(queued)
    replica.outgoing = deferred
    return immediate


def discard_messages(replica: Replica) -> None:
    """Discard the queued messages; each is repeated or replaced if it is needed."""
    replica.outgoing.clear()


def take_messages(replica: Replica) -> list[Outgoing]:
    """Return the queued messages, and clear the queue."""
    outgoing, replica.outgoing = replica.outgoing, []
    return outgoing


def _on_snapshot_reply(replica: Replica, message: SnapshotReply, now_ns: int) -> None:
    peer = record_acknowledgement(
        replica, message.follower, message.term, message.sent_ns, now_ns
    )
    if peer is None:
        return
    if on_snapshot_reply(replica, peer, message):
        advance_commit(replica, now_ns)
        send_entries(replica, message.follower, peer, now_ns)


def _is_single_change(before: Membership, after: Membership) -> bool:
    n_changed = len(set(before.voters) ^ set(after.voters))
    is_learner_change = set(before.learners) != set(after.learners)
    return n_changed == 1 or (n_changed == 0 and is_learner_change)
