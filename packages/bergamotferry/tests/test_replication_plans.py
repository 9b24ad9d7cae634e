"""The orders of events that single guards of the log are there for, one plan each.

The state machine of `test_replication` finds such an order only now and then.
"""

import pytest
from replication_cluster import ClusterModel

from bergamotferry import replication_state
from bergamotferry.messages import AppendEntries, Membership
from bergamotferry.replication import last_index, propose, term_at

CANDIDATES = ("pre_candidate", "candidate", "leader")
PLAN_SEEDS = range(6)


@pytest.fixture(params=PLAN_SEEDS)
def cluster(request):
    model = ClusterModel()
    model.start(request.param)
    model.plans_membership = False
    yield model
    model.teardown()


def split_roles(cluster):
    """Return the leader and the two other voters, by name."""
    leader = cluster.leading()
    voters = [voter.host for voter in leader.replica.membership.voters]
    assert len(voters) == 3
    return leader.me.host, *(name for name in voters if name != leader.me.host)


def lead(cluster, name, *supporters):
    """Let a host win the votes of others, and cut it off the moment it leads anew."""
    for other in cluster.hosts.values():
        other.replica.stands_for_election = other.me.host == name
    replica = cluster.hosts[name].replica
    term = replica.term
    cluster.link_only(*((name, other) for other in supporters))
    cluster.run_until(lambda: replica.role == "leader" and replica.term > term)
    cluster.link_only()
    return replica


def heal_and_check(cluster):
    cluster.cut = set()
    for host in cluster.hosts.values():
        host.replica.stands_for_election = True
    cluster.run(3000)
    cluster.propose_at_leaders(2)
    cluster.run(1000)
    cluster.check_logs()


def test_no_vote_is_granted_within_the_lease_of_a_leader(cluster):
    """A voter loses the leader alone; the leader is cut off as that voter stands."""
    first, second, third = split_roles(cluster)
    cluster.link_only((first, third), (second, third))
    cluster.run_until(lambda: cluster.hosts[second].replica.role in CANDIDATES)
    cluster.link_only((second, third))
    cluster.run(1500)
    assert cluster.hosts[second].replica.role == "leader" or (
        cluster.hosts[third].replica.role == "leader"
    )


def test_two_candidates_of_one_term_do_not_both_win(cluster):
    """Both stand at the same moment, and the third voter is asked by both."""
    first, second, third = split_roles(cluster)
    cluster.link_only((second, third))
    cluster.run_until(lambda: cluster.hosts[first].replica.role == "follower")
    cluster.link_only()
    cluster.run(700)
    cluster.link_only((first, second), (first, third))
    term = max(cluster.hosts[name].replica.term for name in (second, third))
    for name in (second, third):
        host = cluster.hosts[name]
        host.replica.term, host.replica.role = term, "follower"
        host.replica.election_due_ns = cluster._clock(host)
    cluster.run(300)
    heal_and_check(cluster)


def test_vote_of_a_host_that_lost_its_memory_counts_for_nothing(cluster):
    """It held what was committed, and would now elect a host that lacks it."""
    voters = cluster.leading().replica.membership.voters
    by_disk = sorted(voters, key=lambda voter: not voter.is_durable)
    first, second, third = (voter.host for voter in by_disk)
    cluster.link_only()
    cluster.run(1500)
    replica = lead(cluster, first, third)
    cluster.link_only((first, third))
    cluster.propose_commands(first, 3)
    cluster.run_until(lambda: replica.commit_index == last_index(replica))
    cluster.restart(third, False, False)
    cluster.link_only((second, third))
    cluster.hosts[second].replica.stands_for_election = True
    cluster.run(3000)
    assert cluster.hosts[second].replica.role != "leader"
    heal_and_check(cluster)


def test_entry_of_an_earlier_term_that_a_majority_holds_may_still_be_replaced(cluster):
    """The order of events of figure 8 of the Raft paper, with three voters."""
    replication_state.ENTRIES_PER_MESSAGE_MAX = 1
    first, second, third = split_roles(cluster)
    cluster.link_only()
    cluster.propose_commands(first, 1)
    index = last_index(cluster.hosts[first].replica)
    lead(cluster, third, second)
    cluster.is_dropped = lambda message: (
        isinstance(message, AppendEntries)
        and any(entry.log_index > index for entry in message.entries)
    )
    replica = lead(cluster, first, second)
    cluster.link_only((first, second))
    holder = cluster.hosts[second].replica
    peers = {member.host: peer for member, peer in replica.peers.items()}
    cluster.run_until(lambda: peers[second].match_index >= index)
    assert term_at(holder, index) < replica.term
    cluster.check_logs()
    cluster.is_dropped = ClusterModel.is_dropped
    lead(cluster, third, second)
    cluster.link_only((third, second))
    cluster.run(500)
    heal_and_check(cluster)


def test_voter_that_was_cut_off_for_long_does_not_depose_the_leader(cluster):
    first, second, third = split_roles(cluster)
    term = cluster.hosts[first].replica.term
    cluster.link_only((first, third))
    cluster.run(4000)
    cluster.cut = set()
    cluster.run(1500)
    assert cluster.leading().me.host == first
    assert {cluster.hosts[n].replica.term for n in (first, second, third)} == {term}


def test_leader_that_is_cut_off_steps_down_and_its_proposals_go(cluster):
    first, second, third = split_roles(cluster)
    cluster.link_only((second, third))
    cluster.propose_commands(first, 3)
    cluster.run(1500)
    assert cluster.hosts[first].replica.role != "leader"
    new_leader = cluster.leading().me.host
    cluster.propose_at_leaders(3)
    cluster.run(500)
    heal_and_check(cluster)
    assert cluster.leading().me.host == new_leader


def test_leader_that_is_cut_off_can_not_shrink_the_group_to_itself(cluster):
    first, second, third = split_roles(cluster)
    cluster.link_only((second, third))
    replica = cluster.hosts[first].replica
    voters = replica.membership.voters
    me = next(v for v in voters if v.host == first)
    pair = (me, next(v for v in voters if v.host == second))
    for smaller in ((me,), pair, (me,)):
        propose(replica, Membership(smaller, ()), cluster._clock(cluster.hosts[first]))
    cluster.run(3000)
    cluster.propose_at_leaders(3)
    cluster.run(500)
    heal_and_check(cluster)


def test_two_leaders_do_not_both_change_the_membership_that_they_began_with(cluster):
    """Each of two leaders of four voters removes the other."""
    first, second, third = split_roles(cluster)
    spare = next(n for n in cluster.hosts if n not in (first, second, third))
    before = cluster.hosts[first].replica.membership.voters
    four = (*before, cluster.hosts[spare].me)
    change_membership(cluster, first, before, (cluster.hosts[spare].me,))
    cluster.run(500)
    change_membership(cluster, first, four, ())
    cluster.run(500)
    assert cluster.hosts[spare].replica.membership.voters == four
    cluster.link_only()
    change_membership(cluster, first, without(four, second), ())
    lead(cluster, second, third, spare)
    change_membership(cluster, second, without(four, first), ())
    cluster.link_only((second, spare))
    cluster.run(500)
    lead(cluster, first, third)
    cluster.link_only((first, third))
    cluster.run(500)
    heal_and_check(cluster)


def test_learner_counts_for_nothing(cluster):
    first, second, third = split_roles(cluster)
    spare = next(n for n in cluster.hosts if n not in (first, second, third))
    before = cluster.hosts[first].replica.membership.voters
    change_membership(cluster, first, before, (cluster.hosts[spare].me,))
    cluster.run(500)
    cluster.link_only((first, spare), (second, third))
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
