"""Election of a leader: pre-vote, vote, and the handover of leadership.

A follower that has heard from a leader within the shortest election timeout refuses its
vote. This makes the leader's lease sound: no other leader can be elected while a quorum
of acknowledgements is younger than that. The one exception is a handover, for which the
leader gives its lease up first.

Any member grants votes, also one that does not know yet that it is a voter; the
candidate counts only the incarnations that its membership names as voters.
"""

from .commands import Noop
from .messages import LogEntry, Member, RequestVote, TimeoutNow, VoteReply
from .replication_state import (
    ELECTION_MIN_NS,
    TRANSFER_NS,
    Peer,
    Replica,
    append_entry,
    become_follower,
    is_voter,
    last_index,
    last_term,
    leader_lease_until_ns,
    reset_election_timer,
    send,
)


def start_election(
    replica: Replica, now_ns: int, is_pre_vote: bool, is_transfer: bool = False
) -> None:
    """Ask every voter for its vote, or first whether it would give it."""
    replica.leader = None
    term = replica.term + 1
    if is_pre_vote:
        replica.role = "pre_candidate"
    else:
        replica.role = "candidate"
        replica.term = term
        replica.voted_for = replica.me
        replica.is_vote_dirty = True
    replica.votes = {replica.me}
    reset_election_timer(replica, now_ns)
    request = RequestVote(
        replica.group,
        term,
        replica.me,
        last_index(replica),
        last_term(replica),
        is_pre_vote,
        is_transfer,
    )
    for voter in replica.membership.voters:
        if voter != replica.me:
            send(replica, voter.host, request)
    _count_votes(replica, now_ns)


def on_request_vote(replica: Replica, message: RequestVote, now_ns: int) -> None:
    """Grant or refuse a vote."""
    if _is_patient(replica, now_ns) and not message.is_transfer:
        _reply_vote(replica, message, is_granted=False)
        return
    if message.term > replica.term and not message.is_pre_vote:
        become_follower(replica, message.term, now_ns)
    mine = (last_term(replica), last_index(replica))
    is_up_to_date = (message.last_term, message.last_index) >= mine
    if message.is_pre_vote:
        is_granted = message.term > replica.term and is_up_to_date
    else:
        is_granted = (
            message.term == replica.term
            and is_up_to_date
            and replica.voted_for in (None, message.candidate)
        )
    if is_granted and not message.is_pre_vote:
        replica.voted_for = message.candidate
        replica.is_vote_dirty = True
        reset_election_timer(replica, now_ns)
    _reply_vote(replica, message, is_granted)


def on_vote_reply(replica: Replica, message: VoteReply, now_ns: int) -> None:
    """Count a vote."""
    if not message.is_granted:
        if message.term > replica.term:
            become_follower(replica, message.term, now_ns)
        return
    expected = "pre_candidate" if message.is_pre_vote else "candidate"
    expected_term = replica.term + 1 if message.is_pre_vote else replica.term
    if replica.role != expected or message.term != expected_term:
        return
    replica.votes.add(message.voter)
    _count_votes(replica, now_ns)


def on_timeout_now(replica: Replica, message: TimeoutNow, now_ns: int) -> None:
    """Stand for election at once, since the leader hands over."""
    if message.term == replica.term and replica.role == "follower":
        if is_voter(replica) and replica.stands_for_election:
            start_election(replica, now_ns, is_pre_vote=False, is_transfer=True)


def begin_transfer(replica: Replica, now_ns: int) -> Member | None:
    """Give the leader's lease up and ask the best voter to take over.

    Returns
    -------
    Member or None
        Who was asked; None if this member does not lead or is alone.
    """
    if replica.role != "leader" or replica.transfer_due_ns:
        return None
    others = [v for v in replica.membership.voters if v != replica.me]
    if not others:
        return None
    successor = max(
        others,
        key=lambda voter: (
            replica.peers[voter].match_index,
            replica.peers[voter].acknowledged_ns,
        ),
    )
    # From here on the lease is void for the rest of the term, whatever comes of it: the
    # request may arrive late.
    replica.transfer_due_ns = now_ns + TRANSFER_NS
    request = TimeoutNow(replica.group, replica.term, replica.me)
    send(replica, successor.host, request)
    return successor


def _is_patient(replica: Replica, now_ns: int) -> bool:
    if replica.role == "leader":
        return now_ns < leader_lease_until_ns(replica)
    return now_ns - replica.heard_leader_ns < ELECTION_MIN_NS


def _reply_vote(replica: Replica, request: RequestVote, is_granted: bool) -> None:
    term = request.term if is_granted else replica.term
    reply = VoteReply(replica.group, term, replica.me, is_granted, request.is_pre_vote)
    send(replica, request.candidate.host, reply)


def _count_votes(replica: Replica, now_ns: int) -> None:
    voters = replica.membership.voters
    if len(replica.votes.intersection(voters)) * 2 <= len(voters):
        return
    if replica.role == "pre_candidate":
        start_election(replica, now_ns, is_pre_vote=False)
    elif replica.role == "candidate":
        _become_leader(replica, now_ns)


def _become_leader(replica: Replica, now_ns: int) -> None:
    replica.role = "leader"
    replica.leader = replica.me
    replica.won_at_ns = now_ns
    replica.transfer_due_ns = 0
    next_index = last_index(replica) + 1
    members = replica.membership.voters + replica.membership.learners
    replica.peers = {member: Peer(next_index) for member in members}
    append_entry(replica, LogEntry(next_index, replica.term, Noop()))
    if replica.memberships[-1][0] == 0:
        # The first membership stands in no log; readers and snapshots need it there.
        entry = LogEntry(next_index + 1, replica.term, replica.membership)
        append_entry(replica, entry)
