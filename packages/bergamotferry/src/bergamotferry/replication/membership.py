"""Changes of a group's learners and voters, one member at a time.

`plan_membership` compares the members with the live hosts and returns the next change
towards the target (see `voter_choice`), or None. A member is a host together with the
incarnation of its memory or data folder. A host that lost the votes and entries that it
had acknowledged is therefore a new member, and rejoins as a learner.

A membership counts as soon as it is appended, and can't be changed again before it is
committed. A change whose commit needs a voter that then loses its disk would stop the
group for good. So a successor is added before a voter is removed, and `_can_remove`
states which losses the group must survive at any instant between append and commit.
Only a voter that certainly never votes again, because its host has joined with another
incarnation, is removed at once: the voters left have the same members and never a
larger quorum.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..messages import Member, Membership
from ..records import HostAddress
from .quorum import quorum_size
from .state import NS_PER_MS, Replica
from .voter_choice import (
    N_VOTERS_DEFAULT,
    Target,
    choose_group_size,
    choose_target,
    is_eligible_member,
)

JOINER_MAX_AGE_NS = 5_000 * NS_PER_MS
LEAVER_MAX_AGE_NS = 5_000 * NS_PER_MS
ALIVE_MAX_SILENCE_NS = 2_000 * NS_PER_MS
# A learner must have been heard this recently to become a voter: a voter that has just
# gone would enlarge the quorum for nothing.
PROMOTED_MAX_SILENCE_NS = 500 * NS_PER_MS
LOST_AFTER_NS = 5_000 * NS_PER_MS
# Applies to a voter with a disk whose successor has no disk: the disk outlives the
# voter's process, so the voter may return with its log.
DURABLE_LOST_AFTER_NS = 30_000 * NS_PER_MS
# A voter without a successor stays one for as long. While it is silent only, its vote
# may still be needed: another voter may have gone for good, unnoticed as yet.
ABANDONED_AFTER_NS = 30_000 * NS_PER_MS
CAUGHT_UP_MAX_LAG_ENTRIES = 64


class JoinRequest(NamedTuple):
    """The member that a host last requested to join as, and the time of receipt."""

    member: Member
    received_ns: int


class HostRequests(NamedTuple):
    """What hosts requested of the leader, by host name.

    ``joins`` holds the newest join request of each host. ``leaves`` holds when a host
    that is about to stop last requested to be no voter.
    """

    joins: Mapping[str, JoinRequest]
    leaves: Mapping[str, int]


class _GroupView(NamedTuple):
    voters: tuple[Member, ...]
    learners: tuple[Member, ...]
    silent_ns: Mapping[Member, int]
    caught_up: frozenset[Member]
    superseded: frozenset[Member]
    joiners: Mapping[str, Member]
    leaving: frozenset[str]
    target: Target
    n_voters: int
    n_lost_max: int


def plan_membership(
    replica: Replica,
    requests: HostRequests,
    seeds: Iterable[HostAddress],
    now_ns: int,
    n_voters: int = N_VOTERS_DEFAULT,
) -> Membership | None:
    """Return the next membership that the leader should propose, or None.

    Parameters
    ----------
    replica : Replica
        The leader's replica.
    requests : HostRequests
        Which hosts requested to join, and which to leave.
    seeds : iterable of HostAddress
        All hosts of the settings.
    now_ns : int
        Current time.
    n_voters : int
        The smallest number of voters whose majority survives the tolerated loss.
    """
    view = _build_view(replica, requests, list(seeds), now_ns, n_voters)
    voters, learners = view.voters, view.learners
    for voter in voters:
        if voter in view.superseded and _is_majority_alive(view, voter):
            return Membership(_without(voters, voter), learners)
    wanted = view.target.voters + view.target.spares
    for learner in learners:
        is_lost = learner in view.superseded or view.silent_ns[learner] > LOST_AFTER_NS
        if is_lost or learner.host not in wanted:
            return Membership(voters, _without(learners, learner))
    surplus_voter = _surplus_voter(replica, view)
    if surplus_voter is not None:
        return _remove_voter(view, surplus_voter)
    for learner in learners:
        if learner in view.caught_up and _is_needed_as_voter(replica, view, learner):
            return Membership((*voters, learner), _without(learners, learner))
    known_hosts = {member.host for member in voters + learners}
    for host in wanted:
        if host not in known_hosts and host in view.joiners:
            return Membership(voters, (*learners, view.joiners[host]))
    return None


def must_leader_yield(
    replica: Replica,
    requests: HostRequests,
    seeds: Iterable[HostAddress],
    now_ns: int,
    n_voters: int = N_VOTERS_DEFAULT,
) -> bool:
    """Return whether the leader itself is the only voter to be removed.

    A leader can't remove itself, so it first transfers its leadership. The parameters
    are those of `plan_membership`.
    """
    view = _build_view(replica, requests, list(seeds), now_ns, n_voters)
    if len(view.voters) <= view.n_voters:
        return False
    outside = [voter for voter in view.voters if voter.host not in view.target.voters]
    return outside == [replica.own_member]


def can_replace_leaving(
    replica: Replica,
    requests: HostRequests,
    seeds: Iterable[HostAddress],
    now_ns: int,
    n_voters: int = N_VOTERS_DEFAULT,
) -> bool:
    """Return whether enough hosts stay to take the votes of those that leave.

    The parameters are those of `plan_membership`.
    """
    view = _build_view(replica, requests, list(seeds), now_ns, n_voters)
    return len(view.target.voters) >= n_voters


def _build_view(
    replica: Replica,
    requests: HostRequests,
    seeds: list[HostAddress],
    now_ns: int,
    n_voters: int,
) -> _GroupView:
    joiners = {
        host: join_request.member
        for host, join_request in requests.joins.items()
        if now_ns - join_request.received_ns < JOINER_MAX_AGE_NS
    }
    leaving = frozenset(
        host
        for host, received_ns in requests.leaves.items()
        if now_ns - received_ns < LEAVER_MAX_AGE_NS
    )
    voters, learners = replica.membership.voters, replica.membership.learners
    silent_ns = _silent_ns(replica, now_ns)
    superseded = frozenset(
        member
        for member in voters + learners
        if member != replica.own_member and joiners.get(member.host, member) != member
    )
    live_hosts = set(joiners) | {
        member.host
        for member, silence_ns in silent_ns.items()
        if silence_ns <= LOST_AFTER_NS
    }
    live = [
        seed
        for seed in seeds
        if seed.name in live_hosts - leaving
        and is_eligible_member(replica.group, seed, seeds)
    ]
    n_awaited = sum(
        LOST_AFTER_NS < silent_ns[voter] <= ABANDONED_AFTER_NS
        and voter not in superseded
        for voter in voters
    )
    n_target = choose_group_size(replica.group, len(live) + n_awaited, n_voters)
    leader_first = sorted(voters, key=lambda voter: voter != replica.own_member)
    current = [voter.host for voter in leader_first]
    return _GroupView(
        voters,
        learners,
        silent_ns,
        _caught_up_learners(replica, silent_ns),
        superseded,
        joiners,
        leaving,
        choose_target(replica.group, live, current, n_target),
        n_target,
        n_voters // 2,
    )


def _silent_ns(replica: Replica, now_ns: int) -> dict[Member, int]:
    """Return how long the leader has heard nothing of each member."""
    silent_ns = {replica.own_member: 0}
    for member, peer in replica.peers.items():
        if member != replica.own_member:
            last_contact_ns = max(peer.acknowledged_ns, replica.elected_ns)
            silent_ns[member] = now_ns - last_contact_ns
    return silent_ns


def _caught_up_learners(
    replica: Replica, silent_ns: Mapping[Member, int]
) -> frozenset[Member]:
    return frozenset(
        learner
        for learner in replica.membership.learners
        if learner in replica.peers
        and replica.peers[learner].acknowledged_ns > replica.elected_ns
        and silent_ns[learner] < PROMOTED_MAX_SILENCE_NS
        and replica.peers[learner].match_index + CAUGHT_UP_MAX_LAG_ENTRIES
        >= replica.commit_index
        and replica.peers[learner].match_index >= replica.memberships[-1][0]
    )


def _n_alive(view: _GroupView, voters: tuple[Member, ...]) -> int:
    """Return how many voters were heard recently and can still vote."""
    return sum(
        view.silent_ns[voter] < ALIVE_MAX_SILENCE_NS and voter not in view.superseded
        for voter in voters
    )


def _is_majority_alive(view: _GroupView, leaving: Member) -> bool:
    """Return whether a majority of the voters other than ``leaving`` is alive."""
    remaining = _without(view.voters, leaving)
    return _n_alive(view, remaining) >= quorum_size(len(remaining))


def _can_remove(view: _GroupView, voter: Member) -> bool:
    """Return whether the removal of a voter that may return can't strand the group.

    Two losses may strike between the append and the commit of the removal:

    - The tolerated number of voters lose their disks, while all that are silent return
      with theirs. What was heard recently says nothing about this, so every voter left
      counts as a possible loss.
    - Silent voters don't return. Then the group must survive as many further losses
      as before, or as many as are tolerated.
    """
    remaining = _without(view.voters, voter)
    n_intact = sum(voter not in view.superseded for voter in remaining)
    if n_intact - view.n_lost_max < quorum_size(len(remaining)):
        return False
    margin_before = _n_alive(view, view.voters) - quorum_size(len(view.voters))
    margin = _n_alive(view, remaining) - quorum_size(len(remaining))
    return margin >= min(margin_before, view.n_lost_max)


def _surplus_voter(replica: Replica, view: _GroupView) -> Member | None:
    """Return the voter to remove from a group with too many voters, or None.

    Of the voters that may be removed, one that is about to stop is returned first, then
    the one that has been silent longest. The leader itself is never returned.
    """
    if len(view.voters) <= view.n_voters:
        return None
    candidates = [
        voter
        for voter in view.voters
        if voter != replica.own_member
        and voter.host not in view.target.voters
        and _can_remove(view, voter)
    ]
    return max(
        candidates,
        key=lambda voter: (voter.host in view.leaving, view.silent_ns[voter]),
        default=None,
    )


def _remove_voter(view: _GroupView, voter: Member) -> Membership:
    """Return the membership without a voter, which becomes a learner if it is wanted.

    The successor that was added before it has its place.
    """
    learners = view.learners
    if voter.host in view.target.spares:
        learners = (*learners, voter)
    return Membership(_without(view.voters, voter), learners)


def _is_needed_as_voter(replica: Replica, view: _GroupView, learner: Member) -> bool:
    """Return whether a learner should be made a voter now.

    It is, if the group has too few voters, or if a voter outside the target waits for a
    successor. That voter is removed only after its successor was added.
    """
    if learner.host not in view.target.voters:
        return False
    if len(view.voters) != view.n_voters:
        return len(view.voters) < view.n_voters
    for voter in view.voters:
        if voter == replica.own_member or voter.host in view.target.voters:
            continue
        keeps_durability = learner.is_durable or not voter.is_durable
        lost_after_ns = LOST_AFTER_NS if keeps_durability else DURABLE_LOST_AFTER_NS
        is_alive = view.silent_ns[voter] <= LOST_AFTER_NS
        if is_alive or view.silent_ns[voter] > lost_after_ns:
            return True
    return False


def _without(members: tuple[Member, ...], member: Member) -> tuple[Member, ...]:
    return tuple(other for other in members if other != member)
