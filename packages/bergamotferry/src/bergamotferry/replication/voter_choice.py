"""Choice of the hosts that should be a group's voters, and of its spare learners.

A machine that is removed after its successor has started counts as no loss. A voter may
therefore go for good just before the deployment's tolerated loss happens. The global
group has two voters more than the tolerated loss alone needs, as soon as enough hosts
with disks are alive. The number is odd: one more voter would enlarge the quorum without
tolerating a further loss, and an even group has no majority when it is cut in halves.

The global group takes only hosts with disks, and spreads them over data centres. Hosts
that are not needed as voters are learners, as spares: a learner holds the log, so it
becomes a voter by one committed entry. The group of a data centre fills its target in
this order:

1. its own hosts with disks,
2. hosts with disks in the same region, until two voters have a disk, so that a majority
   keeps its log when every process restarts,
3. its other hosts,
4. other hosts of the same region. Home-bound records may not leave the region.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from ..records import HostAddress

GLOBAL_GROUP = "global"
DATA_CENTRE_PREFIX = "dc:"
N_VOTERS_DEFAULT = 3
N_DURABLE_VOTERS = 2
N_EXTRA_VOTERS = 2
N_SPARES = 2


class Target(NamedTuple):
    """Names of the hosts that should be voters, and of those kept as learners."""

    voters: tuple[str, ...]
    spares: tuple[str, ...] = ()


def is_eligible_member(
    group: str, host: HostAddress, seeds: Iterable[HostAddress]
) -> bool:
    """Return whether a host may ever be a member of a group."""
    if group == GLOBAL_GROUP:
        return host.is_durable
    data_centre = group.removeprefix(DATA_CENTRE_PREFIX)
    regions = {seed.region for seed in seeds if seed.data_centre == data_centre}
    return host.region in regions


def choose_group_size(group: str, n_live: int, n_voters: int) -> int:
    """Return how many voters a group should have.

    Parameters
    ----------
    group : str
        Name of the group.
    n_live : int
        Number of hosts that are alive and may be voters.
    n_voters : int
        The smallest number whose majority survives the tolerated loss.

    Returns
    -------
    int
        ``n_voters``, or `N_EXTRA_VOTERS` more if as many hosts of the global group are
        alive; never less than ``n_voters``.
    """
    if group == GLOBAL_GROUP and n_live >= n_voters + N_EXTRA_VOTERS:
        return n_voters + N_EXTRA_VOTERS
    return n_voters


def choose_target(
    group: str,
    live: Iterable[HostAddress],
    current: Iterable[str],
    n_voters: int = N_VOTERS_DEFAULT,
) -> Target:
    """Return the hosts that should be voters and spares, in order of preference.

    Parameters
    ----------
    group : str
        Name of the group.
    live : iterable of HostAddress
        Hosts that are alive, may join and are not about to stop.
    current : iterable of str
        Names of the present voters' hosts, the leader's first. They are preferred among
        equals, to avoid needless membership changes.
    n_voters : int
        Number of voters that the group should have.
    """
    rank = {name: position for position, name in enumerate(current)}
    hosts = sorted(live, key=lambda host: (rank.get(host.name, len(rank)), host.name))
    if group == GLOBAL_GROUP:
        names = tuple(host.name for host in _spread(hosts, n_voters + N_SPARES))
        return Target(names[:n_voters], names[n_voters:])
    data_centre = group.removeprefix(DATA_CENTRE_PREFIX)
    own = [host for host in hosts if host.data_centre == data_centre]
    others = [host for host in hosts if host.data_centre != data_centre]
    chosen = [host for host in own if host.is_durable][:n_voters]
    n_durable_missing = max(0, N_DURABLE_VOTERS - len(chosen))
    chosen += [host for host in others if host.is_durable][:n_durable_missing]
    remaining = [host for host in own + others if host not in chosen]
    chosen += remaining[: n_voters - len(chosen)]
    return Target(tuple(host.name for host in chosen))


def _spread(hosts: list[HostAddress], n_hosts: int) -> list[HostAddress]:
    """Return the first hosts, each of the data centre with the fewest before it."""
    chosen: list[HostAddress] = []
    n_by_data_centre: Counter[str] = Counter()
    while len(chosen) < min(n_hosts, len(hosts)):
        remaining = [host for host in hosts if host not in chosen]
        host = min(remaining, key=lambda host: n_by_data_centre[host.data_centre])
        n_by_data_centre[host.data_centre] += 1
        chosen.append(host)
    return chosen
