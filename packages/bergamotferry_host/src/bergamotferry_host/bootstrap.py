"""Which hosts are the first voters of each group.

The global group begins with an odd number of hosts that have disks, spread over the
data centres. A data centre's group begins with its own hosts that have disks and, where
there are fewer than three, with one of the sibling data centre of the same region, so
that no home-bound record leaves the region. The leader adds others, see
``bergamotferry.replication_membership``.
"""

from collections.abc import Iterable

from bergamotferry.messages import Member, Membership
from bergamotferry.records import HostAddress
from bergamotferry.replication_membership import DATA_CENTRE_PREFIX, GLOBAL_GROUP

from .data_folder import BOOTSTRAP_INCARNATION

__all__ = ["DATA_CENTRE_PREFIX", "GLOBAL_GROUP"]

N_GLOBAL_VOTERS = 3
N_DATA_CENTRE_VOTERS = 3


def data_centre_group(data_centre: str) -> str:
    """Return the name of a data centre's group."""
    return DATA_CENTRE_PREFIX + data_centre


def first_membership(group: str, seeds: Iterable[HostAddress]) -> Membership:
    """Return the voters of a group at the first start of a deployment."""
    rows = sorted(seeds)
    durable = [seed for seed in rows if seed.is_durable]
    if group == GLOBAL_GROUP:
        chosen = durable[:N_GLOBAL_VOTERS]
        # An even number of voters tolerates no more losses than one fewer.
        if len(chosen) % 2 == 0:
            chosen = chosen[:-1]
    else:
        data_centre = group.removeprefix(DATA_CENTRE_PREFIX)
        regions = {seed.region for seed in rows if seed.data_centre == data_centre}
        within = [seed for seed in durable if seed.region in regions]
        within.sort(key=lambda seed: seed.data_centre != data_centre)
        chosen = within[:N_DATA_CENTRE_VOTERS]
    voters = tuple(Member(seed.name, BOOTSTRAP_INCARNATION, True) for seed in chosen)
    return Membership(voters, ())


def groups_of_host(host: HostAddress, seeds: Iterable[HostAddress]) -> list[str]:
    """Return the groups a host takes part in: as member, as reader or as a spare.

    Its region is as far as the records of a data centre may go.
    """
    region_centres = {s.data_centre for s in seeds if s.region == host.region}
    siblings = sorted(region_centres - {host.data_centre})
    names = [GLOBAL_GROUP, data_centre_group(host.data_centre)]
    return names + [data_centre_group(sibling) for sibling in siblings]
