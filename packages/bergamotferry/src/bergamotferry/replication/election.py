"""Election of a leader: pre-vote, vote and leadership transfer.

A follower refuses its vote for the shortest election timeout after a message from a
leader. The leader's lease relies on this: no other leader can be elected while a quorum
has acknowledged a message that is younger than this timeout. The only exception is a
leadership transfer, for which the leader gives up its lease first.

Any member grants votes, even if it does not know yet that it is a voter. The candidate
counts only votes of the incarnations that its own membership lists as voters.
"""

from ..commands import Noop
from ..messages import LogEntry, Member, RequestVote, TimeoutNow, VoteReply
from .state import (
    ELECTION_MIN_NS,
    TRANSFER_TIMEOUT_NS,
    Peer,
    Replica,
    append_entry,
    become_follower,
    is_voter,
    last_index,
    last_term,
    leader_lease_until_ns,
    queue_message,
    reset_election_timer,
)


def start_election(
    replica: Replica, now_ns: int, is_pre_vote: bool, is_transfer: bool = False
) -> None:
    """Request votes, or pre-votes, from every other voter.

    A pre-vote asks whether the voter would grant its vote; it changes no term.
    """
    replica.leader = None
    term = replica.term + 1
    if is_pre_vote:
        replica.role = "pre_candidate"
    else:
        replica.role = "candidate"
        replica.term = term
        replica.voted_for = replica.own_member
        replica.is_vote_dirty = True
    replica.votes = {replica.own_member}
    reset_election_timer(replica, now_ns)
    request = RequestVote(
        replica.group,
        term,
        replica.own_member,
        last_index(replica),
        last_term(replica),
        is_pre_vote,
        is_transfer,
    )
    for voter in replica.membership.voters:
        if voter != replica.own_member:
            queue_message(replica, voter.host, request)
    _count_votes(replica, now_ns)


def on_request_vote(replica: Replica, message: RequestVote, now_ns: int) -> None:
    """Grant or refuse a vote or a pre-vote."""
    if _must_refuse_votes(replica, now_ns) and not message.is_transfer:
        _reply_vote(replica, message, is_granted=False)
        return
    if message.term > replica.term and not message.is_pre_vote:
        become_follower(replica, message.term, now_ns)
    own_position = (last_term(replica), last_index(replica))
    is_up_to_date = (message.last_term, message.last_index) >= own_position
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
    """Count a granted vote, or follow a newer term that a refusal names."""
    if not message.is_granted:
        if message.term > replica.term:
            become_follower(replica, message.term, now_ns)
        return
    expected_role = "pre_candidate" if message.is_pre_vote else "candidate"
    expected_term = replica.term + 1 if message.is_pre_vote else replica.term
    if replica.role != expected_role or message.term != expected_term:
        return
    replica.votes.add(message.voter)
    _count_votes(replica, now_ns)


def on_timeout_now(replica: Replica, message: TimeoutNow, now_ns: int) -> None:
    """Start an election at once, because the leader transfers its leadership."""
    if message.term == replica.term and replica.role == "follower":
        if is_voter(replica) and replica.may_stand_for_election:
            start_election(replica, now_ns, is_pre_vote=False, is_transfer=True)


def begin_transfer(replica: Replica, now_ns: int) -> Member | None:
    """Give up the leader's lease and ask another voter to take over.

    The successor is the voter whose log matches furthest; among equals, the one that
    acknowledged the newest message.

    Returns
    -------
    Member or None
        The successor. None if this member is not the leader, is the only voter, or has
        a transfer in progress.
    """
    if replica.role != "leader" or replica.transfer_deadline_ns:
        return None
    others = [v for v in replica.membership.voters if v != replica.own_member]
    if not others:
        return None
    successor = max(
        others,
        key=lambda voter: (
            replica.peers[voter].match_index,
            replica.peers[voter].acknowledged_ns,
        ),
    )
    # The lease stays void for the rest of the term, even if this transfer times out,
    # because the successor may receive the request late.
    replica.transfer_deadline_ns = now_ns + TRANSFER_TIMEOUT_NS
    request = TimeoutNow(replica.group, replica.term, replica.own_member)
    queue_message(replica, successor.host, request)
    return successor


def _must_refuse_votes(replica: Replica, now_ns: int) -> bool:
    if replica.role == "leader":
        return now_ns < leader_lease_until_ns(replica)
    return now_ns - replica.leader_contact_ns < ELECTION_MIN_NS


def _reply_vote(replica: Replica, request: RequestVote, is_granted: bool) -> None:
    term = request.term if is_granted else replica.term
    reply = VoteReply(
        replica.group, term, replica.own_member, is_granted, request.is_pre_vote
    )
    queue_message(replica, request.candidate.host, reply)


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
    replica.leader = replica.own_member
    replica.elected_ns = now_ns
    replica.transfer_deadline_ns = 0
    next_index = last_index(replica) + 1
    members = replica.membership.voters + replica.membership.learners
    replica.peers = {member: Peer(next_index) for member in members}
    append_entry(replica, LogEntry(next_index, replica.term, Noop()))
    if replica.memberships[-1][0] == 0:
        # The membership of the bootstrap is in no log entry yet; readers and snapshots
        # need it in the log.
        entry = LogEntry(next_index + 1, replica.term, replica.membership)
        append_entry(replica, entry)
