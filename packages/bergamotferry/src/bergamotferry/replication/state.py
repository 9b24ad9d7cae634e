"""State of one replica of a group's log, and operations on the log itself.

The log holds the entries after the last snapshot. A `Membership` entry takes effect
when it is appended, before its commit. The replica therefore keeps the index of each
membership, and reverts to the previous one when the entry is truncated.
"""

import random
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

from ..messages import LogEntry, Member, Membership, ReplicationMessage

NS_PER_MS = 1_000_000
HEARTBEAT_NS = 60 * NS_PER_MS
ELECTION_MIN_NS = 350 * NS_PER_MS
ELECTION_MAX_NS = 600 * NS_PER_MS
# The margin to ELECTION_MIN_NS covers the assumed bound on clock rates, so that the
# leader's lease ends before any follower may vote for another candidate.
LEADER_LEASE_NS = 300 * NS_PER_MS
TRANSFER_TIMEOUT_NS = 400 * NS_PER_MS
ENTRIES_PER_MESSAGE_MAX = 256
BYTES_PER_MESSAGE_MAX = 512 * 1024
ENTRIES_IN_FLIGHT_MAX = 4096
SNAPSHOT_PART_BYTES = 256 * 1024
ENTRY_OVERHEAD_BYTES = 32
NEVER_EXPIRES_NS = 1 << 62

Role = Literal["follower", "pre_candidate", "candidate", "leader"]


class Snapshot(NamedTuple):
    """The encoded tables after all log entries up to ``last_index``."""

    last_index: int
    last_term: int
    membership: Membership
    data: bytes


class Unpersisted(NamedTuple):
    """State to write to disk: term and vote, log entries and a snapshot.

    ``entries`` replace the log from index ``truncate_from`` on; an index of 0 keeps the
    log. A new ``snapshot`` replaces the log file, and ``entries`` are then all entries
    after the snapshot.
    """

    term: int
    voted_for: Member | None
    truncate_from: int
    entries: tuple[LogEntry, ...]
    snapshot: Snapshot | None = None


class Outgoing(NamedTuple):
    """A queued message and the name of its destination host."""

    host: str
    message: ReplicationMessage


@dataclass(slots=True)
class Peer:
    """Replication progress of one member, as its leader knows it.

    ``acknowledged_ns`` is when the leader sent the newest message that the member
    acknowledged. ``backtracked_ns`` is when ``next_index`` was last set back after a
    refusal.
    """

    next_index: int
    match_index: int = 0
    acknowledged_ns: int = 0
    last_sent_ns: int = 0
    sent_commit_index: int = 0
    backtracked_ns: int = 0
    snapshot_index: int = 0
    snapshot_offset_bytes: int = 0


@dataclass(slots=True)
class IncomingSnapshot:
    """The bytes of a snapshot received so far."""

    last_index: int
    last_term: int
    data: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class Replica:
    """State of one member of a group, or of a host that only reads the group's log.

    ``memberships`` are pairs of log index and membership, oldest first.
    ``next_write_index`` is the index of the first entry that the next write must
    include, or 0.
    ``transfer_deadline_ns`` is the end of a leadership transfer in progress, or 0.
    """

    group: str
    own_member: Member
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
    leader_contact_ns: int = 0
    election_due_ns: int = 0
    elected_ns: int = 0
    may_stand_for_election: bool = True
    transfer_deadline_ns: int = 0
    votes: set[Member] = field(default_factory=set)
    peers: dict[Member, Peer] = field(default_factory=dict)
    memberships: list[tuple[int, Membership]] = field(default_factory=list)
    incoming: IncomingSnapshot | None = None
    outgoing: list[Outgoing] = field(default_factory=list)
    is_vote_dirty: bool = False
    is_snapshot_dirty: bool = False
    next_write_index: int = 0


def last_index(replica: Replica) -> int:
    """Return the index of the last entry."""
    return replica.log[-1].log_index if replica.log else replica.snapshot_index


def last_term(replica: Replica) -> int:
    """Return the term of the last entry."""
    return replica.log[-1].term if replica.log else replica.snapshot_term


def entries_from(replica: Replica, first: int) -> list[LogEntry]:
    """Return the entries from index ``first`` to the end of the log."""
    return replica.log[max(0, first - replica.snapshot_index - 1) :]


def entries_within(
    replica: Replica, first: int, last: int, max_bytes: int
) -> tuple[LogEntry, ...]:
    """Return entries from index ``first`` to ``last``, limited in size and number.

    The result has at most ``max_bytes`` by estimate, but always at least one entry if
    the range has any.
    """
    selected: list[LogEntry] = []
    size_bytes = 0
    start = max(0, first - replica.snapshot_index - 1)
    for position in range(start, len(replica.log)):
        entry = replica.log[position]
        size_bytes += estimate_size_bytes(entry)
        is_full = len(selected) >= ENTRIES_PER_MESSAGE_MAX or size_bytes > max_bytes
        if entry.log_index > last or (selected and is_full):
            break
        selected.append(entry)
    return tuple(selected)


def term_at(replica: Replica, index: int) -> int | None:
    """Return the term of the entry at an index.

    Returns
    -------
    int or None
        None if the entry was compacted or is not in the log yet.
    """
    if index == replica.snapshot_index:
        return replica.snapshot_term
    position = index - replica.snapshot_index - 1
    if 0 <= position < len(replica.log):
        return replica.log[position].term
    return None


def estimate_size_bytes(value: object) -> int:
    """Return an estimate of the encoded size of a value in bytes."""
    if isinstance(value, str | bytes):
        return len(value) + 2
    if isinstance(value, tuple):
        return ENTRY_OVERHEAD_BYTES + sum(estimate_size_bytes(item) for item in value)
    return 8


def append_entry(replica: Replica, entry: LogEntry) -> None:
    """Append an entry, and mark it as not persisted."""
    replica.log.append(entry)
    replica.log_size_bytes += estimate_size_bytes(entry)
    if not replica.next_write_index or entry.log_index < replica.next_write_index:
        replica.next_write_index = entry.log_index
    replica.persisted_index = min(replica.persisted_index, entry.log_index - 1)
    if isinstance(entry.payload, Membership):
        replica.memberships.append((entry.log_index, entry.payload))
        adopt_membership(replica)


def truncate_log(replica: Replica, first: int) -> None:
    """Remove the entries from an index on, and the memberships that they contain."""
    position = first - replica.snapshot_index - 1
    replica.log_size_bytes -= sum(
        estimate_size_bytes(entry) for entry in replica.log[position:]
    )
    del replica.log[position:]
    while replica.memberships[-1][0] >= first:
        replica.memberships.pop()
    adopt_membership(replica)


def adopt_membership(replica: Replica) -> None:
    """Put the newest membership of the log into effect.

    A leader starts to track added members and forgets removed ones.
    """
    replica.membership = replica.memberships[-1][1]
    if replica.role != "leader":
        return
    members = replica.membership.voters + replica.membership.learners
    for member in members:
        if member not in replica.peers:
            replica.peers[member] = Peer(last_index(replica) + 1)
    for member in set(replica.peers) - set(members) - {replica.own_member}:
        del replica.peers[member]


def membership_at(replica: Replica, index: int) -> Membership:
    """Return the membership in effect after the entry at an index."""
    earlier = [
        membership
        for entry_index, membership in replica.memberships
        if entry_index <= index
    ]
    return earlier[-1] if earlier else replica.memberships[0][1]


def load_memberships(replica: Replica) -> None:
    """Collect the memberships of a log that was recovered from disk."""
    replica.memberships = [(replica.snapshot_index, replica.membership)]
    for entry in replica.log:
        if isinstance(entry.payload, Membership):
            replica.memberships.append((entry.log_index, entry.payload))
    adopt_membership(replica)


def compact_log(replica: Replica, snapshot: Snapshot) -> None:
    """Replace the entries that a snapshot covers by the snapshot."""
    is_tail_valid = term_at(replica, snapshot.last_index) == snapshot.last_term
    tail = entries_from(replica, snapshot.last_index + 1) if is_tail_valid else []
    later = [pair for pair in replica.memberships if pair[0] > snapshot.last_index]
    replica.memberships = [(snapshot.last_index, snapshot.membership)]
    replica.memberships += later if is_tail_valid else []
    replica.log = list(tail)
    replica.log_size_bytes = sum(estimate_size_bytes(entry) for entry in replica.log)
    replica.snapshot = snapshot
    replica.snapshot_index = snapshot.last_index
    replica.snapshot_term = snapshot.last_term
    replica.commit_index = max(replica.commit_index, snapshot.last_index)
    replica.persisted_index = max(replica.persisted_index, snapshot.last_index)
    replica.persisted_index = min(replica.persisted_index, last_index(replica))
    if replica.next_write_index and replica.next_write_index <= snapshot.last_index:
        replica.next_write_index = snapshot.last_index + 1 if replica.log else 0
    adopt_membership(replica)


def queue_message(replica: Replica, host: str, message: ReplicationMessage) -> None:
    """Add a message to the queue of outgoing messages."""
    replica.outgoing.append(Outgoing(host, message))


def is_voter(replica: Replica) -> bool:
    """Return whether the newest membership in this log lists this member as voter."""
    return replica.own_member in replica.membership.voters


def reset_election_timer(replica: Replica, now_ns: int) -> None:
    """Restart the election timer with a random timeout."""
    wait_ns = replica.rng.randint(ELECTION_MIN_NS, ELECTION_MAX_NS)
    replica.election_due_ns = now_ns + wait_ns


def become_follower(replica: Replica, term: int, now_ns: int) -> None:
    """Become a follower in a term; a newer term clears the vote."""
    if term > replica.term:
        replica.term = term
        replica.voted_for = None
        replica.is_vote_dirty = True
        replica.leader = None
    if replica.role == "leader":
        replica.leader = None
    replica.role = "follower"
    replica.transfer_deadline_ns = 0
    replica.votes.clear()
    reset_election_timer(replica, now_ns)


def leader_lease_until_ns(replica: Replica) -> int:
    """Return when this leader's lease ends; 0 if it has none.

    Until then the leader may act without a round trip to a quorum. The lease counts
    from the sending time of the messages that a quorum has acknowledged, so a new
    leader has no lease before its first quorum. A leadership transfer ends the lease
    for the rest of the term, because the election of the successor does not wait for
    the election timeout.
    """
    if replica.role != "leader" or replica.transfer_deadline_ns:
        return 0
    oldest_ns = quorum_acknowledged_ns(replica)
    if oldest_ns == NEVER_EXPIRES_NS:
        return NEVER_EXPIRES_NS
    return oldest_ns + LEADER_LEASE_NS if oldest_ns else 0


def quorum_acknowledged_ns(replica: Replica) -> int:
    """Return the newest sending time that a quorum has acknowledged, or 0."""
    voters = replica.membership.voters
    times = [
        NEVER_EXPIRES_NS
        if voter == replica.own_member
        else replica.peers[voter].acknowledged_ns
        for voter in voters
    ]
    times.sort(reverse=True)
    return times[len(voters) // 2] if voters else 0
