"""The replicated log of one group: Raft as functions over a `Replica`.

The shell feeds messages and ticks. It sends what `take_prompt_messages` returns at
once, persists what `take_unpersisted` returns, calls `mark_persisted`, and only then
sends what `take_messages` had returned together with it, so nothing is promised before
it is on disk, and heartbeats never wait for the disk.
"""

from .commands import Command
from .messages import (
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
from .replication_append import (
    accept_committed,
    acknowledge,
    advance_commit,
    on_append_entries,
    on_append_reply,
    send_entries,
    tick_leader,
)
from .replication_election import (
    begin_transfer,
    on_request_vote,
    on_timeout_now,
    on_vote_reply,
    start_election,
)
from .replication_snapshot import (
    install_snapshot,
    on_install_snapshot,
    on_snapshot_reply,
)
from .replication_state import (
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
    "accept_committed",
    "begin_transfer",
    "can_change_membership",
    "compact_log",
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
    "resign",
    "start_replica",
    "take_messages",
    "take_prompt_messages",
    "take_unpersisted",
    "term_at",
    "tick",
]


def start_replica(replica: Replica, now_ns: int) -> None:
    """Begin as a follower that has just heard a leader.

    A restarted voter may have promised a leader its patience before it stopped, so it
    grants no vote until the shortest election timeout has passed.
    """
    replica.heard_leader_ns = now_ns
    replica.commit_index = max(replica.commit_index, replica.snapshot_index)
    replica.persisted_index = last_index(replica)
    replica.persisted_term = replica.term
    load_memberships(replica)
    reset_election_timer(replica, now_ns)


def tick(replica: Replica, now_ns: int) -> None:
    """Send what is due, or stand for election if no leader is heard."""
    if replica.role == "leader":
        tick_leader(replica, now_ns)
    elif now_ns >= replica.election_due_ns:
        if is_voter(replica) and replica.stands_for_election:
            start_election(replica, now_ns, is_pre_vote=True)
        else:
            replica.leader = None
            replica.role = "follower"


def receive(replica: Replica, message: ReplicationMessage, now_ns: int) -> None:
    """Handle a message of the group."""
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
    """Append a command to the leader's log; the next tick sends it.

    Returns
    -------
    int or None
        Index of the entry, or None if this member does not lead, is handing over, or
        may not change the membership in this way now.
    """
    if replica.role != "leader" or replica.transfer_due_ns:
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
    """Return whether the last change is committed, and an entry of this term is.

    Without the second, two leaders that each changed an older membership could have
    quorums that don't meet.
    """
    is_settled = replica.memberships[-1][0] <= replica.commit_index
    is_own_term = term_at(replica, replica.commit_index) == replica.term
    return replica.role == "leader" and is_settled and is_own_term


def resign(replica: Replica, me: Member, now_ns: int) -> None:
    """Go on under another identity, which is no member, and promise nothing more.

    What was not on disk is dropped from the promises with the messages that held them.
    """
    replica.me = me
    replica.outgoing.clear()
    become_follower(replica, replica.term, now_ns)


def take_unpersisted(replica: Replica) -> Unpersisted | None:
    """Return what must be persisted before messages go out, and clear it."""
    is_dirty = replica.is_vote_dirty or replica.is_snapshot_dirty
    if not is_dirty and not replica.dirty_from:
        return None
    first = replica.dirty_from
    entries = entries_from(replica, first) if first else ()
    snapshot = replica.snapshot if replica.is_snapshot_dirty else None
    if snapshot is not None:
        # The new file begins with the snapshot, so it needs all entries after it.
        entries = entries_from(replica, snapshot.last_index + 1)
    replica.is_vote_dirty = False
    replica.is_snapshot_dirty = False
    replica.dirty_from = 0
    return Unpersisted(replica.term, replica.voted_for, first, tuple(entries), snapshot)


def mark_persisted(replica: Replica, term: int, index: int, now_ns: int) -> None:
    """Note that a term, and the log up to an index, are on disk.

    A leader counts itself then. What changed in the meantime is not on disk.
    """
    replica.persisted_term = term
    index = min(index, last_index(replica))
    if replica.dirty_from:
        index = min(index, replica.dirty_from - 1)
    replica.persisted_index = max(index, replica.snapshot_index)
    if replica.role == "leader":
        advance_commit(replica, now_ns)


def take_prompt_messages(replica: Replica) -> list[Outgoing]:
    """Return the messages that promise nothing that is not on disk, and clear them.

    What a leader sends stands in its own name, so only its term must be on disk.
    """
    if replica.role != "leader" or replica.persisted_term != replica.term:
        return []
    prompt: list[Outgoing] = []
    held: list[Outgoing] = []
    for row in replica.outgoing:
        is_prompt = isinstance(row.message, AppendEntries | InstallSnapshot)
        (prompt if is_prompt else held).append(row)
    replica.outgoing = held
    return prompt


def take_messages(replica: Replica) -> list[Outgoing]:
    """Return the messages to send, and clear them."""
    outgoing, replica.outgoing = replica.outgoing, []
    return outgoing


def _on_snapshot_reply(replica: Replica, message: SnapshotReply, now_ns: int) -> None:
    peer = acknowledge(replica, message.follower, message.term, message.sent_ns, now_ns)
    if peer is None:
        return
    if on_snapshot_reply(replica, peer, message):
        advance_commit(replica, now_ns)
        send_entries(replica, message.follower, peer, now_ns)


def _is_single_change(before: Membership, after: Membership) -> bool:
    n_changed = len(set(before.voters) ^ set(after.voters))
    is_learner_change = set(before.learners) != set(after.learners)
    return n_changed == 1 or (n_changed == 0 and is_learner_change)
