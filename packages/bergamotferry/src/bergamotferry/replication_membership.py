"""Which hosts a group's leader makes learners and voters, one change at a time.

`plan_membership` compares the members with the hosts that are alive and returns the
next change towards the target, or None. A member is a host together with the
incarnation of its memory or data folder, so a host that has forgotten what it promised
comes back as another member, first as a learner.

The target has three voters, or as many as the deployment asks for. The global group
takes hosts with disks only. A data centre's group takes its own hosts with disks, hosts
with disks of the same region until two voters have one (so that a restart of everything
finds a majority), then its own hosts, then others of the region, which is as far as
home-bound records may go.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .messages import Member, Membership
from .records import HostAddress
from .replication_state import NS_PER_MS, Replica

GLOBAL_GROUP = "global"
DATA_CENTRE_PREFIX = "dc:"
N_VOTERS = 3
N_DURABLE_VOTERS = 2
JOINER_MAX_AGE_NS = 5_000 * NS_PER_MS
ALIVE_NS = 2_000 * NS_PER_MS
SILENT_NS = 5_000 * NS_PER_MS
# A disk outlives its process, so one without a successor that has a disk is kept long.
SILENT_DURABLE_NS = 30_000 * NS_PER_MS
CAUGHT_UP_LAG_ENTRIES = 64


class Joiner(NamedTuple):
    """A host's member as the host itself last named it, and when that was."""

    member: Member
    seen_ns: int


class _View(NamedTuple):
    voters: tuple[Member, ...]
    learners: tuple[Member, ...]
    silent_ns: Mapping[Member, int]
    caught_up: frozenset[Member]
    superseded: frozenset[Member]
    joiners: Mapping[str, Member]
    target: tuple[str, ...]
    n_voters: int


def may_join(group: str, host: HostAddress, seeds: Iterable[HostAddress]) -> bool:
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
    n_voters: int = N_VOTERS,
) -> tuple[str, ...]:
    """Return the hosts that should be the voters, best first.

    Parameters
    ----------
    group : str
        Name of the group.
    live : iterable of HostAddress
        Hosts that are alive and may join.
    current : frozenset of str
        Hosts that are voters now; they go first among equals, so nothing moves idly.
    n_voters : int
        How many voters the group should have.
    """
    hosts = sorted(live, key=lambda host: (host.name not in current, host.name))
    if group == GLOBAL_GROUP:
        return tuple(host.name for host in hosts[:n_voters])
    data_centre = group.removeprefix(DATA_CENTRE_PREFIX)
    own = [host for host in hosts if host.data_centre == data_centre]
    others = [host for host in hosts if host.data_centre != data_centre]
    chosen = [host for host in own if host.is_durable][:n_voters]
    n_lacking = max(0, N_DURABLE_VOTERS - len(chosen))
    chosen += [host for host in others if host.is_durable][:n_lacking]
    rest = [host for host in own + others if host not in chosen]
    chosen += rest[: n_voters - len(chosen)]
    return tuple(host.name for host in chosen)


def plan_membership(
    replica: Replica,
    joiners: Mapping[str, Joiner],
    seeds: Iterable[HostAddress],
    now_ns: int,
    n_voters: int = N_VOTERS,
) -> Membership | None:
    """Return the next membership that the leader should propose, or None."""
    view = _view(replica, joiners, list(seeds), now_ns, n_voters)
    voters, learners = view.voters, view.learners
    for voter in voters:
        if voter in view.superseded and _is_quorum_alive(view, voter):
            return Membership(_without(voters, voter), learners)
    for learner in learners:
        is_gone = learner in view.superseded or view.silent_ns[learner] > SILENT_NS
        if is_gone or learner.host not in view.target:
            return Membership(voters, _without(learners, learner))
    surplus = _surplus_voter(replica, view)
    if surplus is not None:
        return Membership(_without(voters, surplus), learners)
    for learner in learners:
        if learner in view.caught_up:
            return _promote(replica, view, learner)
    known_hosts = {member.host for member in voters + learners}
    for host in view.target:
        if host not in known_hosts and host in view.joiners:
            return Membership(voters, (*learners, view.joiners[host]))
    return None


def _view(
    replica: Replica,
    joiners: Mapping[str, Joiner],
    seeds: list[HostAddress],
    now_ns: int,
    n_voters: int,
) -> _View:
    fresh = {
        host: joiner.member
        for host, joiner in joiners.items()
        if now_ns - joiner.seen_ns < JOINER_MAX_AGE_NS
    }
    voters, learners = replica.membership.voters, replica.membership.learners
    silent_ns = {replica.me: 0}
    for member, peer in replica.peers.items():
        if member != replica.me:
            heard_ns = max(peer.acknowledged_ns, replica.won_at_ns)
            silent_ns[member] = now_ns - heard_ns
    superseded = frozenset(
        member
        for member in voters + learners
        if member != replica.me and fresh.get(member.host, member) != member
    )
    live_hosts = set(fresh) | {
        member.host for member, age_ns in silent_ns.items() if age_ns <= SILENT_NS
    }
    live = [
        seed
        for seed in seeds
        if seed.name in live_hosts and may_join(replica.group, seed, seeds)
    ]
    current = frozenset(voter.host for voter in voters)
    target = choose_target(replica.group, live, current, n_voters)
    caught_up = frozenset(
        learner
        for learner in learners
        if learner in replica.peers
        and replica.peers[learner].acknowledged_ns > replica.won_at_ns
        and silent_ns[learner] < ALIVE_NS
        and replica.peers[learner].match_index + CAUGHT_UP_LAG_ENTRIES
        >= replica.commit_index
        and replica.peers[learner].match_index >= replica.memberships[-1][0]
    )
    return _View(
        voters, learners, silent_ns, caught_up, superseded, fresh, target, n_voters
    )


def _is_quorum_alive(view: _View, leaving: Member) -> bool:
    """Whether the voters that stay hold a quorum that answers."""
    rest = _without(view.voters, leaving)
    n_alive = sum(
        view.silent_ns[voter] < ALIVE_NS and voter not in view.superseded
        for voter in rest
    )
    return n_alive * 2 > len(rest)


def _surplus_voter(replica: Replica, view: _View) -> Member | None:
    """Return a voter over the target number that may go; never the leader itself."""
    if len(view.voters) <= view.n_voters:
        return None
    leaving = [
        voter
        for voter in view.voters
        if voter != replica.me
        and voter.host not in view.target
        and _is_quorum_alive(view, voter)
    ]
    return max(leaving, key=lambda voter: view.silent_ns[voter], default=None)


def _promote(replica: Replica, view: _View, learner: Member) -> Membership | None:
    """Make a learner a voter; a voter that is lost makes room for it first."""
    voters = view.voters
    if len(voters) < view.n_voters:
        return Membership((*voters, learner), _without(view.learners, learner))
    for voter in voters:
        if voter == replica.me or voter.host in view.target:
            continue
        is_like_for_like = learner.is_durable or not voter.is_durable
        patience_ns = SILENT_NS if is_like_for_like else SILENT_DURABLE_NS
        if view.silent_ns[voter] <= SILENT_NS:
            # It is alive: add its successor before it goes.
            return Membership((*voters, learner), _without(view.learners, learner))
        if view.silent_ns[voter] > patience_ns and _is_quorum_alive(view, voter):
            return Membership(_without(voters, voter), view.learners)
    return None


def _without(members: tuple[Member, ...], member: Member) -> tuple[Member, ...]:
    return tuple(row for row in members if row != member)
