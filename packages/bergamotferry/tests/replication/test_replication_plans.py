"""Sequences of faults that would break the replicated log without a safety check.

Each test replays the sequence that one check guards against, because the state machine
of `test_replication` generates this sequence only occasionally.
"""

import pytest
from replication_cluster import ClusterModel

from bergamotferry.messages import AppendEntries, Membership
from bergamotferry.replication import last_index, propose, term_at
from bergamotferry.replication import state as replication_state

CANDIDATES = ("pre_candidate", "candidate", "leader")
PLAN_SEEDS = range(6)


@pytest.fixture(params=PLAN_SEEDS)
def cluster(request):
    model = ClusterModel()
    model.start(request.param)
    model.plans_membership = False
    yield model
    model.teardown()


def voters_leader_first(cluster):
    """Return the names of the leader and of the two other voters."""
    leader = cluster.newest_leader()
    voters = [voter.host for voter in leader.replica.membership.voters]
    assert len(voters) == 3
    return leader.member.host, *(name for name in voters if name != leader.member.host)


def elect_and_isolate(cluster, name, *supporters):
    """Let a host be elected by its supporters, and isolate it once it is elected."""
    for host in cluster.hosts.values():
        host.replica.may_stand_for_election = host.member.host == name
    replica = cluster.hosts[name].replica
    term = replica.term
    cluster.keep_links_only(*((name, supporter) for supporter in supporters))
    cluster.run_until(lambda: replica.role == "leader" and replica.term > term)
    cluster.keep_links_only()
    return replica


def heal_and_check(cluster):
    cluster.cuts = set()
    for host in cluster.hosts.values():
        host.replica.may_stand_for_election = True
    cluster.run(3000)
    cluster.propose_at_leaders(2)
    cluster.run(1000)
    cluster.check_logs()


def test_no_vote_is_granted_within_the_lease_of_a_leader(cluster):
    """One voter loses contact with the leader, which still holds its lease.

    As soon as that voter starts an election, the leader is isolated. If the third voter
    granted its vote at once, two leaders could hold a lease.
    """
    first, second, third = voters_leader_first(cluster)
    cluster.keep_links_only((first, third), (second, third))
    cluster.run_until(lambda: cluster.hosts[second].replica.role in CANDIDATES)
    cluster.keep_links_only((second, third))
    cluster.run(1500)
    assert cluster.hosts[second].replica.role == "leader" or (
        cluster.hosts[third].replica.role == "leader"
    )


def test_two_candidates_of_one_term_are_not_both_elected(cluster):
    """Both candidates start an election at once and request the first voter's vote."""
    first, second, third = voters_leader_first(cluster)
    cluster.keep_links_only((second, third))
    cluster.run_until(lambda: cluster.hosts[first].replica.role == "follower")
    cluster.keep_links_only()
    cluster.run(700)
    cluster.keep_links_only((first, second), (first, third))
    term = max(cluster.hosts[name].replica.term for name in (second, third))
    for name in (second, third):
        host = cluster.hosts[name]
        host.replica.term, host.replica.role = term, "follower"
        host.replica.election_due_ns = cluster._clock(host)
    cluster.run(300)
    heal_and_check(cluster)


def test_vote_of_a_restarted_voter_without_a_disk_is_not_counted(cluster):
    """A voter without a disk restarts and forgets the committed entries it held.

    If its vote still counted, it could elect a host that lacks those entries.
    """
    voters = cluster.newest_leader().replica.membership.voters
    durable_first = sorted(voters, key=lambda voter: not voter.is_durable)
    first, second, third = (voter.host for voter in durable_first)
    cluster.keep_links_only()
    cluster.run(1500)
    replica = elect_and_isolate(cluster, first, third)
    cluster.keep_links_only((first, third))
    cluster.propose_commands(first, 3)
    cluster.run_until(lambda: replica.commit_index == last_index(replica))
    cluster.restart(third, False, False)
    cluster.keep_links_only((second, third))
    cluster.hosts[second].replica.may_stand_for_election = True
    cluster.run(3000)
    assert cluster.hosts[second].replica.role != "leader"
    heal_and_check(cluster)


def test_entry_of_an_earlier_term_is_not_committed_by_its_replicas_alone(cluster):
    """The sequence of figure 8 of the Raft paper, with three voters.

    If an entry of an earlier term were committed by the count of its replicas alone, a
    committed entry would be lost here.
    """
    replication_state.ENTRIES_PER_MESSAGE_MAX = 1
    first, second, third = voters_leader_first(cluster)
    cluster.keep_links_only()
    cluster.propose_commands(first, 1)
    index = last_index(cluster.hosts[first].replica)
    elect_and_isolate(cluster, third, second)
    cluster.is_dropped = lambda message: (
        isinstance(message, AppendEntries)
        and any(entry.log_index > index for entry in message.entries)
    )
    replica = elect_and_isolate(cluster, first, second)
    cluster.keep_links_only((first, second))
    follower = cluster.hosts[second].replica
    peers = {member.host: peer for member, peer in replica.peers.items()}
    cluster.run_until(lambda: peers[second].match_index >= index)
    assert term_at(follower, index) < replica.term
    cluster.check_logs()
    cluster.is_dropped = ClusterModel.is_dropped
    elect_and_isolate(cluster, third, second)
    cluster.keep_links_only((third, second))
    cluster.run(500)
    heal_and_check(cluster)


def test_voter_that_was_isolated_for_long_does_not_depose_the_leader(cluster):
    first, second, third = voters_leader_first(cluster)
    term = cluster.hosts[first].replica.term
    cluster.keep_links_only((first, third))
    cluster.run(4000)
    cluster.cuts = set()
    cluster.run(1500)
    assert cluster.newest_leader().member.host == first
    assert {cluster.hosts[name].replica.term for name in (first, second, third)} == {
        term
    }


def test_isolated_leader_steps_down_and_its_proposals_are_discarded(cluster):
    first, second, third = voters_leader_first(cluster)
    cluster.keep_links_only((second, third))
    cluster.propose_commands(first, 3)
    cluster.run(1500)
    assert cluster.hosts[first].replica.role != "leader"
    new_leader = cluster.newest_leader().member.host
    cluster.propose_at_leaders(3)
    cluster.run(500)
    heal_and_check(cluster)
    assert cluster.newest_leader().member.host == new_leader


def test_isolated_leader_cannot_shrink_the_group_to_itself(cluster):
    first, second, third = voters_leader_first(cluster)
    cluster.keep_links_only((second, third))
    replica = cluster.hosts[first].replica
    voters = replica.membership.voters
    leader_member = next(voter for voter in voters if voter.host == first)
    two_voters = (
        leader_member,
        next(voter for voter in voters if voter.host == second),
    )
    for voters_left in ((leader_member,), two_voters, (leader_member,)):
        propose(
            replica, Membership(voters_left, ()), cluster._clock(cluster.hosts[first])
        )
    cluster.run(3000)
    cluster.propose_at_leaders(3)
    cluster.run(500)
    heal_and_check(cluster)


def test_two_leaders_cannot_both_change_the_same_initial_membership(cluster):
    """Two leaders of a group of four voters each remove the other.

    If both changes were allowed, the two leaders would commit with disjoint majorities
    of their three remaining voters.
    """
    first, second, third = voters_leader_first(cluster)
    spare = next(name for name in cluster.hosts if name not in (first, second, third))
    voters_before = cluster.hosts[first].replica.membership.voters
    four_voters = (*voters_before, cluster.hosts[spare].member)
    change_membership(cluster, first, voters_before, (cluster.hosts[spare].member,))
    cluster.run(500)
    change_membership(cluster, first, four_voters, ())
    cluster.run(500)
    assert cluster.hosts[spare].replica.membership.voters == four_voters
    cluster.keep_links_only()
    change_membership(cluster, first, without(four_voters, second), ())
    elect_and_isolate(cluster, second, third, spare)
    change_membership(cluster, second, without(four_voters, first), ())
    cluster.keep_links_only((second, spare))
    cluster.run(500)
    elect_and_isolate(cluster, first, third)
    cluster.keep_links_only((first, third))
    cluster.run(500)
    heal_and_check(cluster)


def test_learner_does_not_count_towards_a_quorum(cluster):
    first, second, third = voters_leader_first(cluster)
    spare = next(name for name in cluster.hosts if name not in (first, second, third))
    voters_before = cluster.hosts[first].replica.membership.voters
    change_membership(cluster, first, voters_before, (cluster.hosts[spare].member,))
    cluster.run(500)
    cluster.keep_links_only((first, spare), (second, third))
    cluster.propose_commands(first, 3)
    cluster.run(1500)
    cluster.propose_at_leaders(3)
    cluster.run(500)
    heal_and_check(cluster)


def change_membership(cluster, name, voters, learners):
    host = cluster.hosts[name]
    propose(host.replica, Membership(voters, learners), cluster._clock(host))


def without(voters, name):
    return tuple(voter for voter in voters if voter.host != name)
