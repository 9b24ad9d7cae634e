"""Chooses the first voters of each group.

The global group starts with an odd number of durable hosts, up to three, in the order
of their names. A data centre's group starts with up to three durable hosts: its own
first, then those of sibling data centres. Siblings are in the same region, so that no
home-bound record leaves the region. The leader adds other members later, see
``bergamotferry.replication.voter_choice``.
"""

from collections.abc import Iterable

from bergamotferry.messages import Member, Membership
from bergamotferry.records import HostAddress
from bergamotferry.replication.voter_choice import DATA_CENTRE_PREFIX, GLOBAL_GROUP

from .data_folder import BOOTSTRAP_INCARNATION

__all__ = ["DATA_CENTRE_PREFIX", "GLOBAL_GROUP"]

N_GLOBAL_VOTERS = 3
N_DATA_CENTRE_VOTERS = 3


def data_centre_group(data_centre: str) -> str:
    """Return the name of a data centre's group."""
    return DATA_CENTRE_PREFIX + data_centre


def first_membership(group: str, seeds: Iterable[HostAddress]) -> Membership:
    """Return the membership of a group at the first start of a deployment."""
    sorted_seeds = sorted(seeds)
    durable = [seed for seed in sorted_seeds if seed.is_durable]
    if group == GLOBAL_GROUP:
        chosen = durable[:N_GLOBAL_VOTERS]
        # An even number of voters tolerates no more losses than one fewer.
        if len(chosen) % 2 == 0:
            chosen = chosen[:-1]
    else:
        data_centre = group.removeprefix(DATA_CENTRE_PREFIX)
        regions = {
            seed.region for seed in sorted_seeds if seed.data_centre == data_centre
        }
        in_region = [seed for seed in durable if seed.region in regions]
        in_region.sort(key=lambda seed: seed.data_centre != data_centre)
        chosen = in_region[:N_DATA_CENTRE_VOTERS]
    voters = tuple(Member(seed.name, BOOTSTRAP_INCARNATION, True) for seed in chosen)
    return Membership(voters, ())


def groups_of_host(host: HostAddress, seeds: Iterable[HostAddress]) -> list[str]:
    """Return the groups of which a host runs a replica.

    In each of them the host is a member, is a reader, or may become a member. Records
    of a data centre must stay in its region, so these are only the global group and the
    groups of data centres in the host's own region.
    """
    region_centres = {seed.data_centre for seed in seeds if seed.region == host.region}
    siblings = sorted(region_centres - {host.data_centre})
    names = [GLOBAL_GROUP, data_centre_group(host.data_centre)]
    return names + [data_centre_group(sibling) for sibling in siblings]
