"""Exhaustive search of the losses that strike while the leader changes the members.

The search visits every state that a few hosts can reach by losses within the tolerance,
each at any instant between the append and the commit of a membership. In each state a
majority of the voters must hold their disks, counting those that are frozen: otherwise
the group would never commit an entry again, with all hosts back.

A membership that is appended may be committed or, by the next leader, be truncated. So
both the membership before and the one after must keep such a majority.
"""

import itertools
import random
from typing import NamedTuple

import pytest

from bergamotferry.commands import Noop
from bergamotferry.messages import LogEntry, Member, Membership
from bergamotferry.records import HostAddress
from bergamotferry.replication import (
    Replica,
    can_change_membership,
    start_replica,
    voter_choice,
)
from bergamotferry.replication import membership as membership_module
from bergamotferry.replication.membership import (
    HostRequests,
    JoinRequest,
    can_replace_leaving,
    plan_membership,
)
from bergamotferry.replication.state import Peer
from bergamotferry.replication.voter_choice import choose_group_size

NOW_NS = 100 * 10**9
# A silence that the leader doesn't notice yet, one after which a host counts as lost,
# and one that is longer than any freeze.
SHORT_SILENCE_NS = 10**9
LONG_SILENCE_NS = 6 * 10**9
FINAL_SILENCE_NS = 40 * 10**9
N_SETTLING_STEPS_MAX = 20
N_LOST_MAX = 1
# A test replaces it to see the search fail.
planner = plan_membership


class State(NamedTuple):
    """Members, hosts and losses so far.

    ``incarnations`` holds the number of lost disks of each host. ``n_lost`` disks are
    lost and ``n_removed`` hosts ended without a word and for good since the group was
    last complete.
    """

    membership: Membership
    incarnations: tuple[tuple[str, int], ...]
    frozen: frozenset[str]
    gone: frozenset[str]
    leaving: frozenset[str]
    n_lost: int = 0
    n_removed: int = 0


class Limits(NamedTuple):
    """Which losses a search plays."""

    hosts: str
    n_frozen_max: int
    n_removed_max: int
    n_leaving_max: int


def member_of(state, host):
    return Member(host, str(dict(state.incarnations)[host]), True)


def seeds_of(state):
    return [
        HostAddress(host, host, "r", "", True) for host, _ in sorted(state.incarnations)
    ]


def make_leader(state, leader, silences):
    """Return the replica of a leader that has heard the other hosts up to a time."""
    replica = Replica(
        "global", member_of(state, leader), state.membership, random.Random(1)
    )
    replica.log = [LogEntry(1, 1, Noop())]
    replica.term = 1
    start_replica(replica, 0)
    replica.role = "leader"
    replica.commit_index = 1
    replica.elected_ns = 1
    for member in state.membership.voters + state.membership.learners:
        acknowledged_ns = NOW_NS - silences.get(member.host, 0)
        replica.peers[member] = Peer(2, 1, acknowledged_ns)
    assert can_change_membership(replica)
    return replica


def requests_of(state):
    joins = {
        host: JoinRequest(member_of(state, host), NOW_NS)
        for host, _ in state.incarnations
        if is_up(state, host) and host not in state.leaving
    }
    return HostRequests(joins, dict.fromkeys(state.leaving, NOW_NS))


def is_up(state, host):
    return host not in state.frozen | state.gone


def intact_voters(state, membership):
    return [
        voter
        for voter in membership.voters
        if voter.host not in state.gone and voter == member_of(state, voter.host)
    ]


def has_majority(state, membership):
    """Return whether a majority of the voters could vote, were all hosts thawed."""
    return 2 * len(intact_voters(state, membership)) > len(membership.voters)


def leaders_of(state):
    """Return the voters that could lead now."""
    active = [
        voter.host
        for voter in intact_voters(state, state.membership)
        if is_up(state, voter.host)
    ]
    if 2 * len(active) <= len(state.membership.voters):
        return []
    return [host for host in active if host not in state.leaving]


def views_of(state):
    """Return what a leader may know: each silence, of any length."""
    members = state.membership.voters + state.membership.learners
    silences = {
        member.host: [SHORT_SILENCE_NS, LONG_SILENCE_NS]
        + [FINAL_SILENCE_NS] * (member.host in state.gone)
        for member in members
        if not is_up(state, member.host)
    }
    for chosen in itertools.product(*silences.values()):
        yield dict(zip(silences, chosen, strict=True))


def planned_memberships(state):
    for leader in leaders_of(state):
        for silences in views_of(state):
            replica = make_leader(state, leader, silences)
            planned = planner(
                replica, requests_of(state), seeds_of(state), NOW_NS, 2 * N_LOST_MAX + 1
            )
            if planned is not None:
                yield planned


def lose_disk(state, host):
    incarnations = dict(state.incarnations)
    incarnations[host] += 1
    return state._replace(
        incarnations=tuple(sorted(incarnations.items())),
        frozen=state.frozen - {host},
        n_lost=state.n_lost + 1,
    )


def losses_of(state, limits):
    """Return the states after one more loss for good within the tolerance."""
    hosts = [host for host in limits.hosts if host not in state.gone]
    if state.n_lost < N_LOST_MAX:
        yield from (lose_disk(state, host) for host in hosts)
    # A host may end for good as soon as its successor is ready: one end for each host
    # beyond the four of the fleet.
    n_successors = len(limits.hosts) - 4
    n_gone = len(state.gone | state.leaving)
    if state.n_removed < limits.n_removed_max and n_gone < n_successors:
        for host in hosts:
            if host not in state.leaving:
                yield state._replace(
                    gone=state.gone | {host},
                    frozen=state.frozen - {host},
                    n_removed=state.n_removed + 1,
                )


def other_events(state, limits):
    """Return the states after a freeze, a thaw, or a step of a planned leave."""
    for host in state.frozen:
        yield state._replace(frozen=state.frozen - {host})
    n_successors = len(limits.hosts) - 4
    for host in limits.hosts:
        if host in state.gone | state.frozen:
            continue
        if host in state.leaving:
            if member_of(state, host) not in state.membership.voters:
                yield state._replace(
                    gone=state.gone | {host}, leaving=state.leaving - {host}
                )
            continue
        if len(state.frozen) < limits.n_frozen_max:
            yield state._replace(frozen=state.frozen | {host})
        n_gone = len(state.gone | state.leaving)
        if len(state.leaving) < limits.n_leaving_max and n_gone < n_successors:
            yield state._replace(leaving=state.leaving | {host})


def settle(state):
    """Return the state after `catchup-s` with all hosts up, if it is reached.

    The group must then be as strong as at the start.
    """
    if state.frozen or state.leaving:
        return None
    membership = state.membership
    for _ in range(N_SETTLING_STEPS_MAX):
        state = state._replace(membership=membership)
        (leader, *_) = leaders_of(state)
        silences = dict.fromkeys(state.gone, FINAL_SILENCE_NS)
        planned = plan_membership(
            make_leader(state, leader, silences),
            requests_of(state),
            seeds_of(state),
            NOW_NS,
            2 * N_LOST_MAX + 1,
        )
        if planned is None:
            break
        membership = planned
    voters = membership.voters
    assert planned is None, f"the members don't settle: {state}"
    assert intact_voters(state, membership) == list(voters), state
    n_up = len([host for host, _ in state.incarnations if host not in state.gone])
    n_expected = choose_group_size("global", n_up, 2 * N_LOST_MAX + 1)
    assert len(voters) == n_expected, state
    # Only whether an incarnation is a member's matters, so the numbers start anew.
    numbers = {host: 0 for host, _ in state.incarnations}
    membership = Membership(
        tuple(sorted(member._replace(incarnation="0") for member in voters)),
        tuple(
            sorted(member._replace(incarnation="0") for member in membership.learners)
        ),
    )
    return state._replace(
        membership=membership,
        incarnations=tuple(sorted(numbers.items())),
        n_lost=0,
        n_removed=0,
    )


def first_state(hosts):
    voters = tuple(Member(host, "0", True) for host in hosts[:3])
    numbers = tuple((host, 0) for host in sorted(hosts))
    nobody = frozenset()
    state = settle(State(Membership(voters, ()), numbers, nobody, nobody, nobody))
    assert state is not None
    return state


def check_losses(state, memberships, limits):
    """Every loss within the tolerance leaves each membership a majority."""
    for after in [state, *losses_of(state, limits)]:
        for membership in memberships:
            assert has_majority(after, membership), (
                f"stopped for good: {membership} after {after}"
            )


def search(limits):
    """Visit all states, and return their number."""
    first = first_state(limits.hosts)
    seen, waiting = {first}, [first]
    while waiting:
        state = waiting.pop()
        check_losses(state, [state.membership], limits)
        next_states = [*losses_of(state, limits), *other_events(state, limits)]
        for planned in set(planned_memberships(state)):
            check_losses(state, [state.membership, planned], limits)
            next_states.append(state._replace(membership=planned))
        settled = settle(state)
        if settled is not None:
            next_states.append(settled)
        for next_state in next_states:
            if next_state not in seen:
                seen.add(next_state)
                waiting.append(next_state)
    return len(seen)


# Four hosts: losses overlap with freezes. Five: a host ends at once and for good after
# its successor is ready, and a disk is lost at any instant after. Six: two hosts leave
# as planned, at once, and a disk is lost at any instant.
SEARCHES = {
    "freezes and a lost disk": Limits("abcd", 4, 0, 0),
    "a sudden end, a freeze and a lost disk": Limits("abcde", 1, 1, 0),
    "two leaves at once and a lost disk": Limits("abcdef", 0, 0, 2),
}


@pytest.mark.parametrize("name", SEARCHES)
def test_no_loss_within_the_tolerance_stops_the_group_for_good(name):
    """Guards against review cases 11 and 12: a core without a majority for good."""
    assert search(SEARCHES[name]) > 100


def remove_silent_voter_first(replica, requests, seeds, now_ns, n_voters):
    """Plan as `plan_membership`, but remove a silent voter before all else."""
    for voter in replica.membership.voters:
        silence_ns = now_ns - replica.peers[voter].acknowledged_ns
        if silence_ns > membership_module.LOST_AFTER_NS:
            voters = membership_module._without(replica.membership.voters, voter)
            return Membership(voters, replica.membership.learners)
    return plan_membership(replica, requests, seeds, now_ns, n_voters)


@pytest.mark.parametrize(
    ("name", "owner", "guard", "without"),
    [
        # Review case 12.
        (
            "freezes and a lost disk",
            __name__,
            "planner",
            remove_silent_voter_first,
        ),
        # Review case 11.
        (
            "a sudden end, a freeze and a lost disk",
            voter_choice.__name__,
            "N_EXTRA_VOTERS",
            10,
        ),
        (
            "a sudden end, a freeze and a lost disk",
            membership_module.__name__,
            "ABANDONED_AFTER_NS",
            membership_module.LOST_AFTER_NS,
        ),
    ],
)
def test_search_finds_a_guard_taken_out(name, owner, guard, without, monkeypatch):
    """Guards against a search that proves nothing."""
    monkeypatch.setattr(f"{owner}.{guard}", without)
    with pytest.raises(AssertionError, match="stopped for good"):
        search(SEARCHES[name])


@pytest.mark.parametrize(
    ("hosts", "leaving", "is_possible"),
    [("abcd", "a", True), ("abc", "a", False), ("abcd", "ab", False)],
)
def test_leave_is_possible_while_enough_hosts_stay(hosts, leaving, is_possible):
    """Guards against stops that wait in vain, and against a group that shrinks."""
    voters = tuple(Member(host, "0", True) for host in "abc")
    numbers = tuple((host, 0) for host in hosts)
    nobody = frozenset()
    state = State(Membership(voters, ()), numbers, nobody, nobody, frozenset(leaving))
    replica = make_leader(state, "c", {})
    arguments = (replica, requests_of(state), seeds_of(state), NOW_NS, 3)
    assert can_replace_leaving(*arguments) == is_possible
