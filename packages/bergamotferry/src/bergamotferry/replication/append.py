"""Replication of log entries from the leader to the members, and their commit.

The leader pipelines entries: it sends the next ones without waiting for replies. When a
message was lost, the follower refuses the next message, at the latest the next
heartbeat, and the leader resends from the end of the follower's log.

An entry is committed when a majority of the voters hold it and, if any voter has a
disk, at least one voter with a disk does. Acknowledged entries therefore survive a
restart of every process.
"""

from ..messages import AppendEntries, AppendReply, LogEntry, Member
from .snapshot import send_snapshot
from .state import (
    BYTES_PER_MESSAGE_MAX,
    ELECTION_MAX_NS,
    ENTRIES_IN_FLIGHT_MAX,
    HEARTBEAT_NS,
    LEADER_LEASE_NS,
    Peer,
    Replica,
    append_entry,
    become_follower,
    entries_within,
    last_index,
    queue_message,
    quorum_acknowledged_ns,
    term_at,
    truncate_log,
)


def tick_leader(replica: Replica, now_ns: int) -> None:
    """Send due entries and heartbeats to each member.

    The leader steps down if no quorum has replied for longer than its lease plus the
    longest election timeout, or if a leadership transfer has timed out.
    """
    quorum_contact_ns = max(replica.elected_ns, quorum_acknowledged_ns(replica))
    is_transfer_expired = 0 < replica.transfer_deadline_ns <= now_ns
    has_lost_quorum = now_ns - quorum_contact_ns > LEADER_LEASE_NS + ELECTION_MAX_NS
    if has_lost_quorum or is_transfer_expired:
        become_follower(replica, replica.term, now_ns)
        return
    for member, peer in replica.peers.items():
        if member == replica.own_member:
            continue
        n_in_flight = peer.next_index - peer.match_index
        has_entries_to_send = peer.next_index <= last_index(replica)
        is_send_due = has_entries_to_send and n_in_flight <= ENTRIES_IN_FLIGHT_MAX
        is_send_due |= peer.sent_commit_index < replica.commit_index
        if peer.next_index <= replica.snapshot_index:
            # Parts of a snapshot are sent only on replies and with heartbeats.
            is_send_due = False
        if is_send_due or now_ns - peer.last_sent_ns >= HEARTBEAT_NS:
            send_entries(replica, member, peer, now_ns)


def send_entries(replica: Replica, member: Member, peer: Peer, now_ns: int) -> None:
    """Send a member its next entries, or a heartbeat if there are none to send.

    If the entries that the member needs have been compacted, send it a part of the
    snapshot.
    """
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
        replica.own_member,
        previous,
        previous_term,
        entries,
        replica.commit_index,
        now_ns,
    )
    queue_message(replica, member.host, message)


def on_append_entries(replica: Replica, message: AppendEntries, now_ns: int) -> None:
    """Append the leader's entries if the entry before them matches this log."""
    if message.term < replica.term:
        # The refusing member does not promise to withhold its vote, so the refusal must
        # not extend the stale leader's lease as an acknowledgement would. A sending
        # time of 0 never counts.
        refused_request = message._replace(sent_ns=0)
        _reply_append(replica, refused_request, is_accepted=False, match_index=0)
        return
    become_follower(replica, message.term, now_ns)
    replica.leader = message.leader
    replica.leader_contact_ns = now_ns
    # Committed entries match every leader's log; only later ones need the check.
    is_previous_committed = message.previous_index < replica.commit_index
    previous_term = term_at(replica, message.previous_index)
    if not is_previous_committed and previous_term != message.previous_term:
        last_possible_match = min(last_index(replica), message.previous_index - 1)
        _reply_append(
            replica, message, is_accepted=False, match_index=last_possible_match
        )
        return
    for entry in message.entries:
        if entry.log_index > replica.commit_index:
            accept_entry(replica, entry)
    match_index = message.previous_index + len(message.entries)
    match_index = max(match_index, replica.commit_index)
    commit_index = min(message.commit_index, match_index)
    replica.commit_index = max(replica.commit_index, commit_index)
    _reply_append(replica, message, is_accepted=True, match_index=match_index)


def append_committed(
    replica: Replica, entries: tuple[LogEntry, ...], commit_index: int, now_ns: int
) -> None:
    """Append entries that a reader fetched, and commit those up to an index.

    Entries after a gap are ignored.
    """
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
    """Append an entry unless the log holds it already.

    An entry of another term at the same index conflicts; it is removed first, together
    with all entries after it.
    """
    existing_term = term_at(replica, entry.log_index)
    if existing_term == entry.term:
        return
    if existing_term is not None:
        truncate_log(replica, entry.log_index)
    append_entry(replica, entry)


def on_append_reply(replica: Replica, message: AppendReply, now_ns: int) -> None:
    """Record how far a member's log matches, or resend from the end of its log."""
    peer = record_acknowledgement(
        replica, message.follower, message.term, message.sent_ns, now_ns
    )
    if peer is None:
        return
    if message.is_accepted:
        peer.match_index = max(peer.match_index, message.match_index)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        advance_commit(replica, now_ns)
    elif message.sent_ns >= peer.backtracked_ns:
        # A refusal of a message that was sent before the last backtrack is ignored,
        # because the backtrack resent the entries.
        peer.backtracked_ns = now_ns
        peer.next_index = max(1, peer.match_index + 1, message.match_index + 1)
        send_entries(replica, message.follower, peer, now_ns)


def record_acknowledgement(
    replica: Replica, follower: Member, term: int, sent_ns: int, now_ns: int
) -> Peer | None:
    """Record that a member acknowledged a message of this leader.

    A reply of a newer term makes this host a follower.

    Returns
    -------
    Peer or None
        State of the member. None if the sender is not a member, if this host is not
        the leader, or if the reply, or the message that it answers, belongs to another
        term.
    """
    if term > replica.term:
        become_follower(replica, term, now_ns)
        return None
    peer = replica.peers.get(follower)
    if replica.role != "leader" or term != replica.term:
        return None
    if sent_ns < replica.elected_ns:
        # The reply answers a message that this host sent in an earlier term.
        return None
    if peer is not None:
        peer.acknowledged_ns = max(peer.acknowledged_ns, sent_ns)
    return peer


def advance_commit(replica: Replica, now_ns: int) -> None:
    """Commit the entries that a majority and at least one voter with a disk hold.

    A leader that is no longer a voter steps down once its removal is committed.
    """
    if replica.own_member in replica.peers:
        replica.peers[replica.own_member].match_index = replica.persisted_index
    voters = replica.membership.voters
    indexes = sorted(replica.peers[voter].match_index for voter in voters)
    majority_index = indexes[(len(voters) - 1) // 2]
    durable_index = max(
        (replica.peers[v].match_index for v in voters if v.is_durable),
        default=majority_index,
    )
    index = min(majority_index, durable_index)
    # Entries of earlier terms are committed only by an entry of the current term.
    if index <= replica.commit_index or term_at(replica, index) != replica.term:
        return
    replica.commit_index = index
    is_membership_committed = replica.memberships[-1][0] <= index
    if is_membership_committed and replica.own_member not in voters:
        become_follower(replica, replica.term, now_ns)


def _reply_append(
    replica: Replica, request: AppendEntries, is_accepted: bool, match_index: int
) -> None:
    reply = AppendReply(
        replica.group,
        replica.term,
        replica.own_member,
        is_accepted,
        match_index,
        request.sent_ns,
    )
    queue_message(replica, request.leader.host, reply)
