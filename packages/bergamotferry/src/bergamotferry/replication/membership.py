"""Choice of a group's learners and voters, changed one member at a time.

`plan_membership` compares the members with the live hosts and returns the next change
towards the target, or None. A member is a host together with the incarnation of its
memory or data folder. A host that lost the votes and entries that it had acknowledged
is therefore a new member, and rejoins as a learner.

The target has three voters unless the deployment sets another number. The global group
takes only hosts with disks. The group of a data centre fills its target in this order:

1. its own hosts with disks,
2. hosts with disks in the same region, until two voters have a disk, so that a majority
   keeps its log when every process restarts,
3. its other hosts,
4. other hosts of the same region. Home-bound records may not leave the region.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..messages import Member, Membership
from ..records import HostAddress
from .state import NS_PER_MS, Replica

GLOBAL_GROUP = "global"
DATA_CENTRE_PREFIX = "dc:"
N_VOTERS_DEFAULT = 3
N_DURABLE_VOTERS = 2
JOINER_MAX_AGE_NS = 5_000 * NS_PER_MS
ALIVE_MAX_SILENCE_NS = 2_000 * NS_PER_MS
LOST_AFTER_NS = 5_000 * NS_PER_MS
# Applies to a voter with a disk whose successor has no disk: the disk outlives the
# voter's process, so the voter may return with its log.
DURABLE_LOST_AFTER_NS = 30_000 * NS_PER_MS
CAUGHT_UP_MAX_LAG_ENTRIES = 64


class JoinRequest(NamedTuple):
    """The member that a host last requested to join as, and the time of receipt."""

    member: Member
    received_ns: int


class _GroupView(NamedTuple):
    voters: tuple[Member, ...]
    learners: tuple[Member, ...]
    silent_ns: Mapping[Member, int]
    caught_up: frozenset[Member]
    superseded: frozenset[Member]
    joiners: Mapping[str, Member]
    target: tuple[str, ...]
    n_voters: int


def is_eligible_member(
    group: str, host: HostAddress, seeds: Iterable[HostAddress]
) -> bool:
    """Return whether a host may ever be a member of a group."""
    if group == GLOBAL_GROUP:
        return host.is_durable
    data_centre = group.removeprefix(DATA_CENTRE_PREFIX)
    regions = {seed.region for seed in seeds if seed.data_centre == data_centre}
    return host.region in regions


def choose_target(
    group: str,
    live: Iterable[HostAddress],
    current: frozenset[str],
    n_voters: int = N_VOTERS_DEFAULT,
) -> tuple[str, ...]:
    """Return the hosts that should be voters, in order of preference.

    Parameters
    ----------
    group : str
        Name of the group.
    live : iterable of HostAddress
        Hosts that are alive and may join.
    current : frozenset of str
        Names of the present voters' hosts. They are preferred among equals, to avoid
        needless membership changes.
    n_voters : int
        Number of voters that the group should have.

    Returns
    -------
    tuple of str
        Names of at most ``n_voters`` hosts.
    """
    hosts = sorted(live, key=lambda host: (host.name not in current, host.name))
    if group == GLOBAL_GROUP:
        return tuple(host.name for host in hosts[:n_voters])
    data_centre = group.removeprefix(DATA_CENTRE_PREFIX)
    own = [host for host in hosts if host.data_centre == data_centre]
    others = [host for host in hosts if host.data_centre != data_centre]
    chosen = [host for host in own if host.is_durable][:n_voters]
    n_durable_missing = max(0, N_DURABLE_VOTERS - len(chosen))
    chosen += [host for host in others if host.is_durable][:n_durable_missing]
    remaining = [host for host in own + others if host not in chosen]
    chosen += remaining[: n_voters - len(chosen)]
    return tuple(host.name for host in chosen)


def plan_membership(
    replica: Replica,
    join_requests: Mapping[str, JoinRequest],
    seeds: Iterable[HostAddress],
    now_ns: int,
    n_voters: int = N_VOTERS_DEFAULT,
) -> Membership | None:
    """Return the next membership that the leader should propose, or None.

    Parameters
    ----------
    replica : Replica
        The leader's replica.
    join_requests : mapping of str to JoinRequest
        Newest join request of each host, by host name.
    seeds : iterable of HostAddress
        All hosts of the settings.
    now_ns : int
        Current time.
    n_voters : int
        Number of voters that the group should have.
    """
    view = _build_view(replica, join_requests, list(seeds), now_ns, n_voters)
    voters, learners = view.voters, view.learners
    for voter in voters:
        if voter in view.superseded and _is_quorum_alive(view, voter):
            return Membership(_without(voters, voter), learners)
    for learner in learners:
        is_lost = learner in view.superseded or view.silent_ns[learner] > LOST_AFTER_NS
        if is_lost or learner.host not in view.target:
            return Membership(voters, _without(learners, learner))
    surplus_voter = _surplus_voter(replica, view)
    if surplus_voter is not None:
        return Membership(_without(voters, surplus_voter), learners)
    for learner in learners:
        if learner in view.caught_up:
            return _promote(replica, view, learner)
    known_hosts = {member.host for member in voters + learners}
    for host in view.target:
        if host not in known_hosts and host in view.joiners:
            return Membership(voters, (*learners, view.joiners[host]))
    return None


def _build_view(
    replica: Replica,
    join_requests: Mapping[str, JoinRequest],
    seeds: list[HostAddress],
    now_ns: int,
    n_voters: int,
) -> _GroupView:
    recent_joiners = {
        host: join_request.member
        for host, join_request in join_requests.items()
        if now_ns - join_request.received_ns < JOINER_MAX_AGE_NS
    }
    voters, learners = replica.membership.voters, replica.membership.learners
    silent_ns = {replica.own_member: 0}
    for member, peer in replica.peers.items():
        if member != replica.own_member:
            last_contact_ns = max(peer.acknowledged_ns, replica.elected_ns)
            silent_ns[member] = now_ns - last_contact_ns
    superseded = frozenset(
        member
        for member in voters + learners
        if member != replica.own_member
        and recent_joiners.get(member.host, member) != member
    )
    live_hosts = set(recent_joiners) | {
        member.host
        for member, silence_ns in silent_ns.items()
        if silence_ns <= LOST_AFTER_NS
    }
    live = [
        seed
        for seed in seeds
        if seed.name in live_hosts and is_eligible_member(replica.group, seed, seeds)
    ]
    current = frozenset(voter.host for voter in voters)
    target = choose_target(replica.group, live, current, n_voters)
    caught_up = frozenset(
        learner
        for learner in learners
        if learner in replica.peers
        and replica.peers[learner].acknowledged_ns > replica.elected_ns
        and silent_ns[learner] < ALIVE_MAX_SILENCE_NS
        and replica.peers[learner].match_index + CAUGHT_UP_MAX_LAG_ENTRIES
        >= replica.commit_index
        and replica.peers[learner].match_index >= replica.memberships[-1][0]
    )
    return _GroupView(
        voters,
        learners,
        silent_ns,
        caught_up,
        superseded,
        recent_joiners,
        target,
        n_voters,
    )


def _is_quorum_alive(view: _GroupView, leaving: Member) -> bool:
    """Return whether a majority of the voters other than ``leaving`` is alive."""
    remaining = _without(view.voters, leaving)
    n_alive = sum(
        view.silent_ns[voter] < ALIVE_MAX_SILENCE_NS and voter not in view.superseded
        for voter in remaining
    )
    return n_alive * 2 > len(remaining)


def _surplus_voter(replica: Replica, view: _GroupView) -> Member | None:
    """Return the voter to remove from a group with too many voters, or None.

    Of the voters that may be removed, the one that has been silent longest is returned.
    The leader itself is never returned.
    """
    if len(view.voters) <= view.n_voters:
        return None
    leaving = [
        voter
        for voter in view.voters
        if voter != replica.own_member
        and voter.host not in view.target
        and _is_quorum_alive(view, voter)
    ]
    return max(leaving, key=lambda voter: view.silent_ns[voter], default=None)


def _promote(replica: Replica, view: _GroupView, learner: Member) -> Membership | None:
    """Return the next membership towards making a learner a voter, or None.

    If the group has all its voters, a lost voter is removed first. A live voter outside
    the target is removed only after its successor was added.
    """
    voters = view.voters
    if len(voters) < view.n_voters:
        return Membership((*voters, learner), _without(view.learners, learner))
    for voter in voters:
        if voter == replica.own_member or voter.host in view.target:
            continue
        keeps_durability = learner.is_durable or not voter.is_durable
        lost_after_ns = LOST_AFTER_NS if keeps_durability else DURABLE_LOST_AFTER_NS
        if view.silent_ns[voter] <= LOST_AFTER_NS:
            # The voter is alive, so its successor is added before it is removed.
            return Membership((*voters, learner), _without(view.learners, learner))
        if view.silent_ns[voter] > lost_after_ns and _is_quorum_alive(view, voter):
            return Membership(_without(voters, voter), view.learners)
    return None


def _without(members: tuple[Member, ...], member: Member) -> tuple[Member, ...]:
    return tuple(other for other in members if other != member)
