"""Single safety rules of the replicated log, each with messages that could break it."""

import random

import pytest

from bergamotferry.commands import Noop
from bergamotferry.messages import (
    AppendEntries,
    AppendReply,
    LogEntry,
    Member,
    Membership,
    RequestVote,
    VoteReply,
)
from bergamotferry.records import HostAddress
from bergamotferry.replication import (
    ELECTION_MIN_NS,
    Replica,
    begin_transfer,
    can_change_membership,
    leader_lease_until_ns,
    mark_persisted,
    propose,
    receive,
    start_replica,
    take_messages,
    take_unpersisted,
    tick,
)
from bergamotferry.replication.membership import (
    HostRequests,
    JoinRequest,
    plan_membership,
)

A, B, C = (Member(name, "1", name != "c") for name in "abc")
THREE_VOTERS = Membership((A, B, C), ())
START_NS = 10**10


def make_replica(own_member=A, membership=THREE_VOTERS, terms=()):
    log = [LogEntry(index, term, Noop()) for index, term in enumerate(terms, 1)]
    replica = Replica("g", own_member, membership, random.Random(1), log=log)
    replica.term = max(terms, default=0)
    start_replica(replica, START_NS)
    return replica


def make_leader(now_ns, terms=(), membership=THREE_VOTERS):
    """Return a leader elected by the vote of b, with its entries on disk."""
    replica = make_replica(membership=membership, terms=terms)
    for expects_pre_vote in (1, 0):
        tick(replica, now_ns)
        request = take_messages(replica)[-1].message
        assert isinstance(request, RequestVote) and request.is_pre_vote == bool(
            expects_pre_vote
        )
        vote = grant_vote(request, membership.voters[1])
        receive(replica, vote, now_ns)
    assert replica.role == "leader"
    take_unpersisted(replica)
    mark_persisted(replica, replica.term, replica.log[-1].log_index, now_ns)
    tick(replica, now_ns)
    take_messages(replica)
    return replica


def grant_vote(request, voter):
    return VoteReply("g", request.term, voter, True, request.is_pre_vote)


def acknowledge(leader, follower, match_index, sent_ns, now_ns):
    reply = AppendReply("g", leader.term, follower, True, match_index, sent_ns)
    receive(leader, reply, now_ns)


@pytest.mark.parametrize(
    ("age_ns", "is_transfer", "is_granted"),
    [
        (ELECTION_MIN_NS - 1, False, False),
        (ELECTION_MIN_NS, False, True),
        (0, True, True),
    ],
)
def test_vote_is_refused_within_the_election_timeout(age_ns, is_transfer, is_granted):
    voter = make_replica(own_member=B)
    receive(voter, AppendEntries("g", 1, A, 0, 0, (), 0, 5), START_NS)
    take_messages(voter)
    request = RequestVote("g", 2, C, 0, 0, False, is_transfer)
    receive(voter, request, START_NS + age_ns)
    (reply,) = take_messages(voter)
    assert reply.message.is_granted == is_granted


def test_restarted_voter_grants_no_vote_within_the_election_timeout():
    voter = make_replica(own_member=B)
    receive(voter, RequestVote("g", 2, C, 0, 0, False, False), START_NS + 1)
    assert not take_messages(voter)[0].message.is_granted


def test_voter_grants_one_candidate_per_term():
    voter = make_replica(own_member=B)
    after_timeout_ns = START_NS + ELECTION_MIN_NS
    for candidate, is_granted in ((A, True), (C, False), (A, True)):
        receive(
            voter, RequestVote("g", 2, candidate, 0, 0, False, False), after_timeout_ns
        )
        assert take_messages(voter)[0].message.is_granted == is_granted
    assert take_unpersisted(voter).voted_for == A


def test_vote_is_persisted_even_if_its_term_already_is():
    voter = make_replica(own_member=B)
    voter.term = 2
    after_timeout_ns = START_NS + ELECTION_MIN_NS
    receive(voter, RequestVote("g", 2, A, 0, 0, False, False), after_timeout_ns)
    assert take_messages(voter)[0].message.is_granted
    assert take_unpersisted(voter)[:2] == (2, A)


def test_entry_of_an_earlier_term_commits_only_with_one_of_the_current_term():
    now_ns = START_NS + 10**9
    leader = make_leader(now_ns, terms=(1, 1))
    acknowledge(leader, B, 2, now_ns, now_ns)
    assert leader.commit_index == 0
    acknowledge(leader, B, 3, now_ns, now_ns)
    assert leader.commit_index == 3


def test_commit_needs_a_voter_with_a_disk():
    now_ns = START_NS + 10**9
    b_without_disk = B._replace(is_durable=False)
    leader = make_leader(now_ns, membership=Membership((A, b_without_disk, C), ()))
    index = propose(leader, Noop(), now_ns)
    # The leader's write has not finished, and the other voters have no disk.
    for follower in (b_without_disk, C):
        acknowledge(leader, follower, index, now_ns, now_ns)
    assert leader.commit_index < index
    take_unpersisted(leader)
    mark_persisted(leader, leader.term, index, now_ns)
    assert leader.commit_index == index


@pytest.mark.parametrize("sent_ns", [0, START_NS])
def test_reply_to_a_message_of_an_earlier_term_does_not_extend_the_lease(sent_ns):
    now_ns = START_NS + 10**9
    leader = make_leader(now_ns)
    for follower in (B, C):
        reply = AppendReply("g", leader.term, follower, False, 0, sent_ns)
        receive(leader, reply, now_ns)
    assert leader_lease_until_ns(leader) == 0


def test_refusal_of_entries_of_a_stale_leader_is_not_an_acknowledgement():
    follower = make_replica(own_member=B, terms=(3,))
    receive(follower, AppendEntries("g", 2, A, 0, 0, (), 0, START_NS), START_NS)
    (reply,) = take_messages(follower)
    assert (reply.message.term, reply.message.sent_ns) == (3, 0)


def test_leadership_transfer_ends_the_lease_for_the_rest_of_the_term():
    now_ns = START_NS + 10**9
    leader = make_leader(now_ns)
    acknowledge(leader, B, 2, now_ns, now_ns)
    assert leader_lease_until_ns(leader) > now_ns
    assert begin_transfer(leader, now_ns) == B
    acknowledge(leader, B, 2, now_ns, now_ns)
    assert leader_lease_until_ns(leader) == 0
    assert propose(leader, Noop(), now_ns) is None


def test_membership_change_waits_for_a_commit_in_the_term_and_for_the_last_change():
    now_ns = START_NS + 10**9
    leader = make_leader(now_ns, terms=(1,))
    two_voters = Membership((A, B), ())
    assert not can_change_membership(leader)
    assert propose(leader, two_voters, now_ns) is None
    acknowledge(leader, B, 3, now_ns, now_ns)
    assert propose(leader, Membership((A,), ()), now_ns) is None
    assert propose(leader, two_voters, now_ns) is not None
    assert propose(leader, THREE_VOTERS, now_ns) is None


def test_restarted_voter_without_a_disk_is_removed_and_promoted_once_caught_up():
    now_ns = START_NS + 10**9
    leader = make_leader(now_ns)
    leader.group = "dc:x"
    seeds = [HostAddress(name, "x", "r", "", name != "c") for name in "abc"]
    new_c = C._replace(incarnation="2")
    join_requests = HostRequests({"c": JoinRequest(new_c, now_ns)}, {})
    acknowledge(leader, B, 2, now_ns, now_ns)
    steps = [Membership((A, B), ()), Membership((A, B), (new_c,))]
    for expected in steps:
        planned = plan_membership(leader, join_requests, seeds, now_ns)
        assert planned == expected
        index = propose(leader, planned, now_ns)
        take_unpersisted(leader)
        mark_persisted(leader, leader.term, index, now_ns)
        acknowledge(leader, B, index, now_ns, now_ns)
    # The learner has not acknowledged any entry yet.
    assert plan_membership(leader, join_requests, seeds, now_ns) is None
    leader.elected_ns -= 1
    acknowledge(leader, new_c, leader.commit_index, now_ns, now_ns)
    planned = plan_membership(leader, join_requests, seeds, now_ns)
    assert planned == Membership((A, B, new_c), ())


def test_group_grows_to_five_voters_to_survive_the_loss_of_two_disks():
    now_ns = START_NS + 10**9
    leader = make_leader(now_ns)
    leader.group = "global"
    spares = [Member(name, "1", True) for name in "def"]
    seeds = [HostAddress(name, "", "", "", True) for name in "abcdef"]
    join_requests = HostRequests(
        {spare.host: JoinRequest(spare, now_ns) for spare in spares}, {}
    )
    for member in (B, C):
        acknowledge(leader, member, 2, now_ns, now_ns)
    leader.elected_ns -= 1
    for _ in range(10):
        members = leader.membership.voters + leader.membership.learners
        for member in members:
            if member != A:
                acknowledge(leader, member, leader.commit_index, now_ns, now_ns)
        planned = plan_membership(leader, join_requests, seeds, now_ns, 5)
        if planned is None:
            break
        index = propose(leader, planned, now_ns)
        take_unpersisted(leader)
        mark_persisted(leader, leader.term, index, now_ns)
        for member in members:
            if member != A:
                acknowledge(leader, member, index, now_ns, now_ns)
    voters = leader.membership.voters
    assert [voter.host for voter in voters] == ["a", "b", "c", "d", "e"]
    # The sixth host is kept up to date as a spare.
    assert leader.membership.learners == (spares[-1],)


@pytest.mark.parametrize(
    ("silent_s", "is_lost_durable", "is_successor_durable", "is_replaced"),
    [
        (4, False, False, False),
        (6, False, False, True),
        (6, True, True, True),
        (6, True, False, False),
        (29, True, False, False),
        (31, True, False, True),
    ],
)
def test_silent_voter_is_replaced_after_its_timeout(
    silent_s, is_lost_durable, is_successor_durable, is_replaced
):
    elected_at_ns = START_NS + 10**9
    lost = C._replace(is_durable=is_lost_durable)
    successor = Member("d", "1", is_successor_durable)
    leader = make_leader(
        elected_at_ns, membership=Membership((A, B, lost), (successor,))
    )
    leader.group = "dc:x"
    now_ns = elected_at_ns + silent_s * 10**9
    for member in (B, successor):
        acknowledge(leader, member, 2, now_ns, now_ns)
    seeds = [
        HostAddress(member.host, "x", "r", "", member.is_durable)
        for member in (A, B, lost, successor)
    ]
    requests = HostRequests({"d": JoinRequest(successor, now_ns)}, {})
    planned = plan_membership(leader, requests, seeds, now_ns)
    if is_replaced:
        # The successor is added first: without the lost voter, the group would need
        # both of the others.
        assert planned == Membership((A, B, lost, successor), ())
        index = propose(leader, planned, now_ns)
        for member in (B, successor):
            acknowledge(leader, member, index, now_ns, now_ns)
        take_unpersisted(leader)
        mark_persisted(leader, leader.term, index, now_ns)
        planned = plan_membership(leader, requests, seeds, now_ns)
        assert planned == Membership((A, B, successor), ())
    elif silent_s > 5:
        assert planned is None
    else:
        # The silent voter still counts as alive, so the learner is surplus.
        assert planned == Membership((A, B, lost), ())
