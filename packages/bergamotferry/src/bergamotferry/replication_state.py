"""State of one member of a replicated log, and the log itself.

The log holds the entries after a snapshot. A `Membership` in the log counts from the
moment it is appended, so the state keeps where each came from and goes back to the one
before when its entry is cut off.
"""

import random
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

from .messages import LogEntry, Member, Membership, ReplicationMessage

NS_PER_MS = 1_000_000
HEARTBEAT_NS = 60 * NS_PER_MS
ELECTION_MIN_NS = 350 * NS_PER_MS
ELECTION_MAX_NS = 600 * NS_PER_MS
# The holder's lease ends before the followers' patience, by the clocks' rate bound.
LEADER_LEASE_NS = 300 * NS_PER_MS
TRANSFER_NS = 400 * NS_PER_MS
ENTRIES_PER_MESSAGE_MAX = 256
BYTES_PER_MESSAGE_MAX = 512 * 1024
ENTRIES_IN_FLIGHT_MAX = 4096
SNAPSHOT_CHUNK_BYTES = 256 * 1024
ENTRY_OVERHEAD_BYTES = 32
FOREVER_NS = 1 << 62

Role = Literal["follower", "pre_candidate", "candidate", "leader"]


class Snapshot(NamedTuple):
    """The tables as encoded bytes, after all entries up to an index."""

    last_index: int
    last_term: int
    membership: Membership
    data: bytes


class Unpersisted(NamedTuple):
    """What must reach the disk: the vote, the log from an index on, a snapshot."""

    term: int
    voted_for: Member | None
    truncate_from: int
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None = None


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
    sent_commit_index: int = 0
    reset_ns: int = 0
    snapshot_index: int = 0
    snapshot_offset_bytes: int = 0


@dataclass(slots=True)
class IncomingSnapshot:
    """The part of a snapshot that has come so far."""

    last_index: int
    last_term: int
    data: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class Replica:
    """State of one member of a group, or of a host that only reads its log."""

    group: str
    me: Member
    membership: Membership
    rng: random.Random
    term: int = 0
    voted_for: Member | None = None
    role: Role = "follower"
    leader: Member | None = None
    log: list[LogEntry] = field(default_factory=list)
    log_size_bytes: int = 0
    snapshot: Snapshot | None = None
    snapshot_index: int = 0
    snapshot_term: int = 0
    commit_index: int = 0
    persisted_index: int = 0
    persisted_term: int = 0
    heard_leader_ns: int = 0
    election_due_ns: int = 0
    won_at_ns: int = 0
    stands_for_election: bool = True
    transfer_due_ns: int = 0
    votes: set[Member] = field(default_factory=set)
    peers: dict[Member, Peer] = field(default_factory=dict)
    memberships: list[tuple[int, Membership]] = field(default_factory=list)
    incoming: IncomingSnapshot | None = None
    outgoing: list[Outgoing] = field(default_factory=list)
    is_vote_dirty: bool = False
    is_snapshot_dirty: bool = False
    dirty_from: int = 0


def last_index(replica: Replica) -> int:
    """Return the index of the last entry."""
    return replica.log[-1].log_index if replica.log else replica.snapshot_index


def last_term(replica: Replica) -> int:
    """Return the term of the last entry."""
    return replica.log[-1].term if replica.log else replica.snapshot_term


def entries_from(replica: Replica, first: int) -> list[LogEntry]:
    """Return the entries from an index on."""
    return replica.log[max(0, first - replica.snapshot_index - 1) :]


def entries_within(
    replica: Replica, first: int, last: int, max_bytes: int
) -> tuple[LogEntry, ...]:
    """Return entries from one index to another, one at least, within a size."""
    chosen: list[LogEntry] = []
    size_bytes = 0
    start = max(0, first - replica.snapshot_index - 1)
    for position in range(start, len(replica.log)):
        entry = replica.log[position]
        size_bytes += size_of(entry)
        is_full = len(chosen) >= ENTRIES_PER_MESSAGE_MAX or size_bytes > max_bytes
        if entry.log_index > last or (chosen and is_full):
            break
        chosen.append(entry)
    return tuple(chosen)


def term_at(replica: Replica, index: int) -> int | None:
    """Return the term of an entry; None if the log no longer, or not yet, holds it."""
    if index == replica.snapshot_index:
        return replica.snapshot_term
    position = index - replica.snapshot_index - 1
    if 0 <= position < len(replica.log):
        return replica.log[position].term
    return None


def size_of(value: object) -> int:
    """Return about how many bytes a value takes on the wire."""
    if isinstance(value, str | bytes):
        return len(value) + 2
    if isinstance(value, tuple):
        return ENTRY_OVERHEAD_BYTES + sum(size_of(item) for item in value)
    return 8


def append_entry(replica: Replica, entry: LogEntry) -> None:
    """Append an entry and note that it is not on disk yet."""
    replica.log.append(entry)
    replica.log_size_bytes += size_of(entry)
    if not replica.dirty_from or entry.log_index < replica.dirty_from:
        replica.dirty_from = entry.log_index
    replica.persisted_index = min(replica.persisted_index, entry.log_index - 1)
    if isinstance(entry.payload, Membership):
        replica.memberships.append((entry.log_index, entry.payload))
        adopt_membership(replica)


def cut_log(replica: Replica, first: int) -> None:
    """Drop the entries from an index on, and the memberships that they brought."""
    position = first - replica.snapshot_index - 1
    replica.log_size_bytes -= sum(size_of(entry) for entry in replica.log[position:])
    del replica.log[position:]
    while replica.memberships[-1][0] >= first:
        replica.memberships.pop()
    adopt_membership(replica)


def adopt_membership(replica: Replica) -> None:
    """Make the newest membership in the log the one that counts."""
    replica.membership = replica.memberships[-1][1]
    if replica.role != "leader":
        return
    members = replica.membership.voters + replica.membership.learners
    for member in members:
        if member not in replica.peers:
            replica.peers[member] = Peer(last_index(replica) + 1)
    for member in set(replica.peers) - set(members) - {replica.me}:
        del replica.peers[member]


def membership_at(replica: Replica, index: int) -> Membership:
    """Return the membership that counts after the entry of an index."""
    known = [row for at, row in replica.memberships if at <= index]
    return known[-1] if known else replica.memberships[0][1]


def load_memberships(replica: Replica) -> None:
    """Find the memberships in a log that was just recovered."""
    replica.memberships = [(replica.snapshot_index, replica.membership)]
    for entry in replica.log:
        if isinstance(entry.payload, Membership):
            replica.memberships.append((entry.log_index, entry.payload))
    adopt_membership(replica)


def compact_log(replica: Replica, snapshot: Snapshot) -> None:
    """Replace the entries that a snapshot covers by the snapshot."""
    keeps_tail = term_at(replica, snapshot.last_index) == snapshot.last_term
    tail = entries_from(replica, snapshot.last_index + 1) if keeps_tail else []
    later = [row for row in replica.memberships if row[0] > snapshot.last_index]
    replica.memberships = [(snapshot.last_index, snapshot.membership)]
    replica.memberships += later if keeps_tail else []
    replica.log = list(tail)
    replica.log_size_bytes = sum(size_of(entry) for entry in replica.log)
    replica.snapshot = snapshot
    replica.snapshot_index = snapshot.last_index
    replica.snapshot_term = snapshot.last_term
    replica.commit_index = max(replica.commit_index, snapshot.last_index)
    replica.persisted_index = max(replica.persisted_index, snapshot.last_index)
    replica.persisted_index = min(replica.persisted_index, last_index(replica))
    if replica.dirty_from and replica.dirty_from <= snapshot.last_index:
        replica.dirty_from = snapshot.last_index + 1 if replica.log else 0
    adopt_membership(replica)


def send(replica: Replica, host: str, message: ReplicationMessage) -> None:
    """Put a message among those to be sent."""
    replica.outgoing.append(Outgoing(host, message))


def is_voter(replica: Replica) -> bool:
    """Return whether this member votes, as far as it knows."""
    return replica.me in replica.membership.voters


def reset_election_timer(replica: Replica, now_ns: int) -> None:
    """Wait for a leader anew."""
    wait_ns = replica.rng.randint(ELECTION_MIN_NS, ELECTION_MAX_NS)
    replica.election_due_ns = now_ns + wait_ns


def become_follower(replica: Replica, term: int, now_ns: int) -> None:
    """Follow in a term; a higher one voids the vote."""
    if term > replica.term:
        replica.term = term
        replica.voted_for = None
        replica.is_vote_dirty = True
        replica.leader = None
    if replica.role == "leader":
        replica.leader = None
    replica.role = "follower"
    replica.transfer_due_ns = 0
    replica.votes.clear()
    reset_election_timer(replica, now_ns)


def leader_lease_until_ns(replica: Replica) -> int:
    """Return until when this leader may act without asking; 0 if it does not lead.

    It counts from the time the acknowledged heartbeats were sent, and a new leader has
    no lease until a quorum has acknowledged it. A leader that hands over has given its
    lease up for good, since its successor need not wait for the followers' patience.
    """
    if replica.role != "leader" or replica.transfer_due_ns:
        return 0
    oldest_ns = quorum_acknowledged_ns(replica)
    if oldest_ns == FOREVER_NS:
        return FOREVER_NS
    return oldest_ns + LEADER_LEASE_NS if oldest_ns else 0


def quorum_acknowledged_ns(replica: Replica) -> int:
    """Return the time of sending that a quorum has acknowledged, or 0."""
    voters = replica.membership.voters
    times = [
        FOREVER_NS if voter == replica.me else replica.peers[voter].acknowledged_ns
        for voter in voters
    ]
    times.sort(reverse=True)
    return times[len(voters) // 2] if voters else 0
