"""Orders control hosts by their distance from a host.

A host is told only the IP numbers of control hosts. Those of one data centre share the
leading parts of their numbers, and the rows of upstreams say in which data centre their
addresses are. So the data centre of a control host is that of the upstreams with which
it shares the most leading parts, if they are all in one. Where no upstream tells it,
the parts that the control host shares with this host decide.
"""

from collections.abc import Iterable
from itertools import takewhile

from bergamotferry.direct_placement import Distance

from ..direct_host import DirectHost, distance_of

N_PREFIX_PARTS_MIN, N_PREFIX_PARTS_MAX = 2, 3
_RANKS: dict[Distance, int] = {"here": 0, "near": 1, "far": 2}


def nearest_first(host: DirectHost, names: Iterable[str]) -> list[str]:
    """Return the names of control hosts, without duplicates, the nearest first."""
    data_centres = _data_centres_by_prefix(host)

    def sort_key(name: str) -> tuple[int, int, str]:
        n_shared = _n_shared_parts(host.settings.name, name)
        return _rank(host, data_centres, name), -n_shared, name

    return sorted(set(names), key=sort_key)


def nearer_than(host: DirectHost, names: Iterable[str], followed: str) -> list[str]:
    """Return the control hosts that are nearer than the followed one, nearest first.

    Control hosts of one data centre are as near as each other, and so are those of
    other data centres of one region.
    """
    data_centres = _data_centres_by_prefix(host)
    rank = _rank(host, data_centres, followed)
    return [
        name
        for name in nearest_first(host, names)
        if _rank(host, data_centres, name) < rank
    ]


def _rank(host: DirectHost, data_centres: dict[str, set[str]], name: str) -> int:
    """Return 0 for this data centre, 1 for this region and 2 for another or unknown."""
    parts = name.split(".")
    for n_parts in range(N_PREFIX_PARTS_MAX, N_PREFIX_PARTS_MIN - 1, -1):
        known = data_centres.get(".".join(parts[:n_parts]))
        if known is not None and len(known) == 1:
            return _RANKS[distance_of(host.settings, next(iter(known)))]
    return _RANKS["far"]


def _data_centres_by_prefix(host: DirectHost) -> dict[str, set[str]]:
    """Return the data centres of all upstreams by the leading parts of addresses."""
    data_centres: dict[str, set[str]] = {}
    for upstream in host.upstreams.values():
        parts = upstream.row.address.partition(":")[0].split(".")
        for n_parts in range(N_PREFIX_PARTS_MIN, N_PREFIX_PARTS_MAX + 1):
            prefix = ".".join(parts[:n_parts])
            data_centres.setdefault(prefix, set()).add(upstream.row.data_centre)
    return data_centres


def _n_shared_parts(own_name: str, name: str) -> int:
    pairs = zip(own_name.split("."), name.split("."), strict=False)
    return len(list(takewhile(lambda pair: pair[0] == pair[1], pairs)))
