"""The replicated log of one group: election, replication and commit.

Raft, as functions over a `Replica`. The shell feeds messages and ticks, then persists
what `take_unpersisted` returns, calls `mark_persisted`, and only then sends what
`take_messages` returns, so nothing is promised before it is on disk.

Elections start with a pre-vote, and a follower that has heard from a leader within the
shortest election timeout refuses its vote. This makes the leader's lease sound: no
other leader can be elected while a quorum of acknowledgements is younger than that.

A commit needs a majority of the voters and, where the group has any, at least one voter
with a disk, so that a restart of every process keeps what was acknowledged.
"""

import random
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

from .commands import Command, Noop
from .messages import (
    AppendEntries,
    AppendReply,
    LogEntry,
    Member,
    Membership,
    ReplicationMessage,
    RequestVote,
    VoteReply,
)

NS_PER_MS = 1_000_000
HEARTBEAT_NS = 60 * NS_PER_MS
ELECTION_MIN_NS = 350 * NS_PER_MS
ELECTION_MAX_NS = 600 * NS_PER_MS
# The holder's lease ends before the followers' patience, by the clocks' rate bound.
LEADER_LEASE_NS = 300 * NS_PER_MS
ENTRIES_PER_MESSAGE_MAX = 256

Role = Literal["follower", "pre_candidate", "candidate", "leader"]


class Unpersisted(NamedTuple):
    """What must reach the disk: the vote, and the log from an index on."""

    term: int
    voted_for: Member | None
    truncate_from: int
    entries: tuple[LogEntry, ...]


class Outgoing(NamedTuple):
    """A message and the host it goes to."""

    host: str
    message: ReplicationMessage


@dataclass(slots=True)
class Peer:
    """What a leader knows of another member."""

    next_index: int
    match_index: int = 0
    acknowledged_ns: int = 0
    last_sent_ns: int = 0


@dataclass(slots=True)
class Replica:
    """State of one member of a group."""

    group: str
    me: Member
    membership: Membership
    rng: random.Random
    term: int = 0
    voted_for: Member | None = None
    role: Role = "follower"
    leader: Member | None = None
    log: list[LogEntry] = field(default_factory=list)
    snapshot_index: int = 0
    snapshot_term: int = 0
    commit_index: int = 0
    persisted_index: int = 0
    heard_leader_ns: int = 0
    election_due_ns: int = 0
    won_at_ns: int = 0
    votes: set[Member] = field(default_factory=set)
    peers: dict[Member, Peer] = field(default_factory=dict)
    outgoing: list[Outgoing] = field(default_factory=list)
    is_vote_dirty: bool = False
    dirty_from: int = 0


def start_replica(replica: Replica, now_ns: int) -> None:
    """Begin as a follower that has just heard a leader.

    A restarted voter may have promised a leader its patience before it stopped, so it
    grants no vote until the shortest election timeout has passed.
    """
    replica.heard_leader_ns = now_ns
    replica.persisted_index = last_index(replica)
    _reset_election_timer(replica, now_ns)


def tick(replica: Replica, now_ns: int) -> None:
    """Send heartbeats that are due, or stand for election if no leader is heard."""
    if replica.role == "leader":
        _tick_leader(replica, now_ns)
    elif now_ns >= replica.election_due_ns and _is_voter(replica):
        _start_election(replica, now_ns, is_pre_vote=True)


def receive(replica: Replica, message: ReplicationMessage, now_ns: int) -> None:
    """Handle a message of the group."""
    match message:
        case RequestVote():
            _on_request_vote(replica, message, now_ns)
        case VoteReply():
            _on_vote_reply(replica, message, now_ns)
        case AppendEntries():
            _on_append_entries(replica, message, now_ns)
        case AppendReply():
            _on_append_reply(replica, message, now_ns)


def propose(replica: Replica, command: Command | Membership, now_ns: int) -> int | None:
    """Append a command to the leader's log.

    Returns
    -------
    int or None
        Index of the entry, or None if this member does not lead.
    """
    if replica.role != "leader":
        return None
    index = last_index(replica) + 1
    _append(replica, LogEntry(index, replica.term, command))
    _broadcast(replica, now_ns, is_forced=False)
    return index


def take_unpersisted(replica: Replica) -> Unpersisted | None:
    """Return what must be persisted before messages go out, and clear it."""
    if not replica.is_vote_dirty and not replica.dirty_from:
        return None
    first = replica.dirty_from
    entries = entries_from(replica, first) if first else ()
    replica.is_vote_dirty = False
    replica.dirty_from = 0
    return Unpersisted(replica.term, replica.voted_for, first, tuple(entries))


def mark_persisted(replica: Replica, index: int, now_ns: int) -> None:
    """Note that the log is on disk up to an index; a leader counts itself then."""
    replica.persisted_index = min(index, last_index(replica))
    if replica.role == "leader":
        _advance_commit(replica, now_ns)


def take_messages(replica: Replica) -> list[Outgoing]:
    """Return the messages to send, and clear them."""
    outgoing, replica.outgoing = replica.outgoing, []
    return outgoing


def leader_lease_until_ns(replica: Replica) -> int:
    """Return until when this leader may act without asking; 0 if it does not lead.

    It counts from the time the acknowledged heartbeats were sent, and a new leader has
    no lease until a quorum has acknowledged it.
    """
    if replica.role != "leader":
        return 0
    times = [
        replica.peers[voter].acknowledged_ns
        for voter in replica.membership.voters
        if voter != replica.me
    ]
    times.sort(reverse=True)
    n_others = len(replica.membership.voters) // 2
    if n_others == 0:
        return 1 << 62
    oldest_ns = times[n_others - 1]
    return oldest_ns + LEADER_LEASE_NS if oldest_ns else 0


def last_index(replica: Replica) -> int:
    """Return the index of the last entry."""
    return replica.log[-1].log_index if replica.log else replica.snapshot_index


def entries_from(replica: Replica, first: int) -> list[LogEntry]:
    """Return the entries from an index on."""
    return replica.log[max(0, first - replica.snapshot_index - 1) :]


def term_at(replica: Replica, index: int) -> int | None:
    """Return the term of an entry; None if the log no longer, or not yet, holds it."""
    if index == replica.snapshot_index:
        return replica.snapshot_term
    position = index - replica.snapshot_index - 1
    if 0 <= position < len(replica.log):
        return replica.log[position].term
    return None


def _is_voter(replica: Replica) -> bool:
    return replica.me in replica.membership.voters


def _reset_election_timer(replica: Replica, now_ns: int) -> None:
    wait_ns = replica.rng.randint(ELECTION_MIN_NS, ELECTION_MAX_NS)
    replica.election_due_ns = now_ns + wait_ns


def _send(replica: Replica, host: str, message: ReplicationMessage) -> None:
    replica.outgoing.append(Outgoing(host, message))


def _become_follower(replica: Replica, term: int, now_ns: int) -> None:
    if term > replica.term:
        replica.term = term
        replica.voted_for = None
        replica.is_vote_dirty = True
        replica.leader = None
    if replica.role == "leader":
        replica.leader = None
    replica.role = "follower"
    replica.votes.clear()
    _reset_election_timer(replica, now_ns)


def _start_election(
    replica: Replica, now_ns: int, is_pre_vote: bool, is_transfer: bool = False
) -> None:
    replica.leader = None
    if is_pre_vote:
        replica.role = "pre_candidate"
        term = replica.term + 1
    else:
        replica.role = "candidate"
        replica.term += 1
        replica.voted_for = replica.me
        replica.is_vote_dirty = True
        term = replica.term
    replica.votes = {replica.me}
    _reset_election_timer(replica, now_ns)
    request = RequestVote(
        replica.group,
        term,
        replica.me,
        last_index(replica),
        term_at(replica, last_index(replica)) or 0,
        is_pre_vote,
        is_transfer,
    )
    for voter in replica.membership.voters:
        if voter != replica.me:
            _send(replica, voter.host, request)
    _count_votes(replica, now_ns)


def _on_request_vote(replica: Replica, message: RequestVote, now_ns: int) -> None:
    is_patient = now_ns - replica.heard_leader_ns < ELECTION_MIN_NS
    if replica.role == "leader":
        is_patient = now_ns < leader_lease_until_ns(replica)
    if is_patient and not message.is_transfer:
        _reply_vote(replica, message, is_granted=False)
        return
    if message.term > replica.term and not message.is_pre_vote:
        _become_follower(replica, message.term, now_ns)
    mine = (term_at(replica, last_index(replica)) or 0, last_index(replica))
    is_up_to_date = (message.last_term, message.last_index) >= mine
    if message.is_pre_vote:
        is_granted = message.term > replica.term and is_up_to_date
    else:
        is_granted = (
            message.term == replica.term
            and is_up_to_date
            and replica.voted_for in (None, message.candidate)
        )
    if not _is_voter(replica):
        is_granted = False
    if is_granted and not message.is_pre_vote:
        replica.voted_for = message.candidate
        replica.is_vote_dirty = True
        _reset_election_timer(replica, now_ns)
    _reply_vote(replica, message, is_granted)


def _reply_vote(replica: Replica, request: RequestVote, is_granted: bool) -> None:
    term = request.term if is_granted else replica.term
    reply = VoteReply(replica.group, term, replica.me, is_granted, request.is_pre_vote)
    _send(replica, request.candidate.host, reply)


def _on_vote_reply(replica: Replica, message: VoteReply, now_ns: int) -> None:
    if not message.is_granted:
        if message.term > replica.term:
            _become_follower(replica, message.term, now_ns)
        return
    expected = "pre_candidate" if message.is_pre_vote else "candidate"
    expected_term = replica.term + 1 if message.is_pre_vote else replica.term
    if replica.role != expected or message.term != expected_term:
        return
    if message.voter in replica.membership.voters:
        replica.votes.add(message.voter)
    _count_votes(replica, now_ns)


def _count_votes(replica: Replica, now_ns: int) -> None:
    if len(replica.votes) * 2 <= len(replica.membership.voters):
        return
    if replica.role == "pre_candidate":
        _start_election(replica, now_ns, is_pre_vote=False)
    elif replica.role == "candidate":
        _become_leader(replica, now_ns)


def _become_leader(replica: Replica, now_ns: int) -> None:
    replica.role = "leader"
    replica.leader = replica.me
    replica.won_at_ns = now_ns
    next_index = last_index(replica) + 1
    members = replica.membership.voters + replica.membership.learners
    replica.peers = {member: Peer(next_index) for member in members}
    _append(replica, LogEntry(next_index, replica.term, Noop()))
    _broadcast(replica, now_ns, is_forced=True)


def _tick_leader(replica: Replica, now_ns: int) -> None:
    lease_until_ns = leader_lease_until_ns(replica)
    is_silent = now_ns - max(replica.won_at_ns, lease_until_ns) > ELECTION_MAX_NS
    if is_silent:
        # Check-quorum: a leader that hears no majority steps down.
        _become_follower(replica, replica.term, now_ns)
        return
    for member, peer in replica.peers.items():
        if member != replica.me and now_ns - peer.last_sent_ns >= HEARTBEAT_NS:
            _send_entries(replica, member, peer, now_ns)


def _broadcast(replica: Replica, now_ns: int, is_forced: bool) -> None:
    for member, peer in replica.peers.items():
        if member == replica.me:
            continue
        if is_forced or peer.next_index <= last_index(replica):
            _send_entries(replica, member, peer, now_ns)


def _send_entries(replica: Replica, member: Member, peer: Peer, now_ns: int) -> None:
    previous = peer.next_index - 1
    previous_term = term_at(replica, previous)
    if previous_term is None:
        return
    entries = entries_from(replica, peer.next_index)[:ENTRIES_PER_MESSAGE_MAX]
    peer.last_sent_ns = now_ns
    # Sent ahead of the reply; a refusal or a missing reply sets it back.
    peer.next_index += len(entries)
    message = AppendEntries(
        replica.group,
        replica.term,
        replica.me,
        previous,
        previous_term,
        tuple(entries),
        replica.commit_index,
        now_ns,
    )
    _send(replica, member.host, message)


def _append(replica: Replica, entry: LogEntry) -> None:
    replica.log.append(entry)
    _mark_dirty(replica, entry.log_index)


def _mark_dirty(replica: Replica, index: int) -> None:
    if not replica.dirty_from or index < replica.dirty_from:
        replica.dirty_from = index
    replica.persisted_index = min(replica.persisted_index, index - 1)


def _on_append_entries(replica: Replica, message: AppendEntries, now_ns: int) -> None:
    if message.term < replica.term:
        _reply_append(replica, message, is_accepted=False, match_index=0)
        return
    _become_follower(replica, message.term, now_ns)
    replica.leader = message.leader
    replica.heard_leader_ns = now_ns
    if message.previous_index < replica.commit_index:
        # What is committed here agrees with every leader; skip it.
        skip = replica.commit_index - message.previous_index
        entries = message.entries[skip:]
        previous, previous_term = replica.commit_index, None
    else:
        entries = message.entries
        previous, previous_term = message.previous_index, message.previous_term
    if previous_term is not None and term_at(replica, previous) != previous_term:
        hint = min(last_index(replica), message.previous_index - 1)
        _reply_append(replica, message, is_accepted=False, match_index=hint)
        return
    for entry in entries:
        _accept_entry(replica, entry)
    match_index = message.previous_index + len(message.entries)
    match_index = max(match_index, replica.commit_index)
    replica.commit_index = max(
        replica.commit_index, min(message.commit_index, match_index)
    )
    _reply_append(replica, message, is_accepted=True, match_index=match_index)


def _accept_entry(replica: Replica, entry: LogEntry) -> None:
    known_term = term_at(replica, entry.log_index)
    if known_term == entry.term:
        return
    if known_term is not None:
        del replica.log[entry.log_index - replica.snapshot_index - 1 :]
    _append(replica, entry)


def _reply_append(
    replica: Replica, request: AppendEntries, is_accepted: bool, match_index: int
) -> None:
    reply = AppendReply(
        replica.group,
        replica.term,
        replica.me,
        is_accepted,
        match_index,
        request.sent_ns,
    )
    _send(replica, request.leader.host, reply)


def _on_append_reply(replica: Replica, message: AppendReply, now_ns: int) -> None:
    if message.term > replica.term:
        _become_follower(replica, message.term, now_ns)
        return
    peer = replica.peers.get(message.follower)
    if replica.role != "leader" or message.term != replica.term or peer is None:
        return
    peer.acknowledged_ns = max(peer.acknowledged_ns, message.sent_ns)
    if message.is_accepted:
        peer.match_index = max(peer.match_index, message.match_index)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        _advance_commit(replica, now_ns)
    else:
        peer.next_index = max(1, peer.match_index + 1, message.match_index + 1)
        _send_entries(replica, message.follower, peer, now_ns)
        return
    if peer.next_index <= last_index(replica):
        _send_entries(replica, message.follower, peer, now_ns)


def _advance_commit(replica: Replica, now_ns: int) -> None:
    replica.peers[replica.me].match_index = replica.persisted_index
    voters = replica.membership.voters
    indexes = sorted(replica.peers[voter].match_index for voter in voters)
    by_majority = indexes[(len(voters) - 1) // 2]
    durable = [v for v in voters if v.is_durable]
    by_disk = max(
        (replica.peers[voter].match_index for voter in durable), default=by_majority
    )
    index = min(by_majority, by_disk)
    if index <= replica.commit_index or term_at(replica, index) != replica.term:
        return
    replica.commit_index = index
    # Followers learn of the commit at once, not with the next heartbeat.
    _broadcast(replica, now_ns, is_forced=True)
