"""Replication of entries from the leader to the members, and their commit.

Entries are sent ahead of the replies. A message that was lost shows in the refusal of
the next one, at the latest of the next heartbeat, and the leader goes back to where the
follower's log ends.

A commit needs a majority of the voters and, where the group has any, at least one voter
with a disk, so that a restart of every process keeps what was acknowledged.
"""

from .messages import AppendEntries, AppendReply, LogEntry, Member
from .replication_snapshot import send_snapshot
from .replication_state import (
    BYTES_PER_MESSAGE_MAX,
    ELECTION_MAX_NS,
    ENTRIES_IN_FLIGHT_MAX,
    HEARTBEAT_NS,
    LEADER_LEASE_NS,
    Peer,
    Replica,
    append_entry,
    become_follower,
    cut_log,
    entries_within,
    last_index,
    quorum_acknowledged_ns,
    send,
    term_at,
)


def tick_leader(replica: Replica, now_ns: int) -> None:
    """Send what members lack, and step down if no majority answers."""
    silent_since_ns = max(replica.won_at_ns, quorum_acknowledged_ns(replica))
    is_transfer_over = 0 < replica.transfer_due_ns <= now_ns
    is_alone = now_ns - silent_since_ns > LEADER_LEASE_NS + ELECTION_MAX_NS
    if is_alone or is_transfer_over:
        become_follower(replica, replica.term, now_ns)
        return
    for member, peer in replica.peers.items():
        if member == replica.me:
            continue
        n_in_flight = peer.next_index - peer.match_index
        has_entries = peer.next_index <= last_index(replica)
        has_news = has_entries and n_in_flight <= ENTRIES_IN_FLIGHT_MAX
        has_news |= peer.sent_commit_index < replica.commit_index
        if peer.next_index <= replica.snapshot_index:
            has_news = False
        if has_news or now_ns - peer.last_sent_ns >= HEARTBEAT_NS:
            send_entries(replica, member, peer, now_ns)


def send_entries(replica: Replica, member: Member, peer: Peer, now_ns: int) -> None:
    """Send the next entries, a heartbeat, or a part of the snapshot."""
    previous = peer.next_index - 1
    previous_term = term_at(replica, previous)
    peer.last_sent_ns = now_ns
    if previous_term is None:
        send_snapshot(replica, member, peer, now_ns)
        return
    entries: tuple[LogEntry, ...] = ()
    if peer.next_index - peer.match_index <= ENTRIES_IN_FLIGHT_MAX:
        last = last_index(replica)
        first = peer.next_index
        entries = entries_within(replica, first, last, BYTES_PER_MESSAGE_MAX)
    peer.next_index += len(entries)
    peer.sent_commit_index = replica.commit_index
    message = AppendEntries(
        replica.group,
        replica.term,
        replica.me,
        previous,
        previous_term,
        entries,
        replica.commit_index,
        now_ns,
    )
    send(replica, member.host, message)


def on_append_entries(replica: Replica, message: AppendEntries, now_ns: int) -> None:
    """Take the leader's entries where they follow on from this log."""
    if message.term < replica.term:
        # A refusal promises no patience, so it must not pass for an acknowledgement.
        refused = message._replace(sent_ns=0)
        _reply_append(replica, refused, is_accepted=False, match_index=0)
        return
    become_follower(replica, message.term, now_ns)
    replica.leader = message.leader
    replica.heard_leader_ns = now_ns
    # What is committed here agrees with every leader; only the rest is compared.
    is_known = message.previous_index < replica.commit_index
    previous_term = term_at(replica, message.previous_index)
    if not is_known and previous_term != message.previous_term:
        hint = min(last_index(replica), message.previous_index - 1)
        _reply_append(replica, message, is_accepted=False, match_index=hint)
        return
    for entry in message.entries:
        if entry.log_index > replica.commit_index:
            accept_entry(replica, entry)
    match_index = message.previous_index + len(message.entries)
    match_index = max(match_index, replica.commit_index)
    commit_index = min(message.commit_index, match_index)
    replica.commit_index = max(replica.commit_index, commit_index)
    _reply_append(replica, message, is_accepted=True, match_index=match_index)


def accept_committed(
    replica: Replica, entries: tuple[LogEntry, ...], commit_index: int, now_ns: int
) -> None:
    """Take committed entries that a reader fetched; they are final."""
    for entry in entries:
        if entry.log_index <= replica.commit_index:
            continue
        if entry.log_index > last_index(replica) + 1:
            return
        if entry.term > replica.term:
            become_follower(replica, entry.term, now_ns)
        accept_entry(replica, entry)
        if entry.log_index <= commit_index:
            replica.commit_index = entry.log_index


def accept_entry(replica: Replica, entry: LogEntry) -> None:
    """Append an entry; one of another term at its place goes, with all after it."""
    known_term = term_at(replica, entry.log_index)
    if known_term == entry.term:
        return
    if known_term is not None:
        cut_log(replica, entry.log_index)
    append_entry(replica, entry)


def on_append_reply(replica: Replica, message: AppendReply, now_ns: int) -> None:
    """Note how far a member's log agrees, or go back to where it ends."""
    peer = acknowledge(replica, message.follower, message.term, message.sent_ns, now_ns)
    if peer is None:
        return
    if message.is_accepted:
        peer.match_index = max(peer.match_index, message.match_index)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        advance_commit(replica, now_ns)
    elif message.sent_ns >= peer.reset_ns:
        # Refusals of what was sent before the last return are answered already.
        peer.reset_ns = now_ns
        peer.next_index = max(1, peer.match_index + 1, message.match_index + 1)
        send_entries(replica, message.follower, peer, now_ns)


def acknowledge(
    replica: Replica, follower: Member, term: int, sent_ns: int, now_ns: int
) -> Peer | None:
    """Note that a member follows; None if the reply is void or not from a member."""
    if term > replica.term:
        become_follower(replica, term, now_ns)
        return None
    peer = replica.peers.get(follower)
    if replica.role != "leader" or term != replica.term:
        return None
    if sent_ns < replica.won_at_ns:
        # It answers a message of an earlier term of this host.
        return None
    if peer is not None:
        peer.acknowledged_ns = max(peer.acknowledged_ns, sent_ns)
    return peer


def advance_commit(replica: Replica, now_ns: int) -> None:
    """Commit what a majority, and a voter with a disk, holds."""
    if replica.me in replica.peers:
        replica.peers[replica.me].match_index = replica.persisted_index
    voters = replica.membership.voters
    indexes = sorted(replica.peers[voter].match_index for voter in voters)
    by_majority = indexes[(len(voters) - 1) // 2]
    by_disk = max(
        (replica.peers[v].match_index for v in voters if v.is_durable),
        default=by_majority,
    )
    index = min(by_majority, by_disk)
    # Entries of earlier terms are committed only together with one of this term.
    if index <= replica.commit_index or term_at(replica, index) != replica.term:
        return
    replica.commit_index = index
    is_settled = replica.memberships[-1][0] <= index
    if is_settled and replica.me not in voters:
        become_follower(replica, replica.term, now_ns)


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
    send(replica, request.leader.host, reply)
