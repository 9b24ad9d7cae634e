"""Load of a service in each data centre, as the solver of flows needs it.

The load is that of services whose demand swings by half within seconds, out of step in
each data centre, and that at times exceeds one data centre's slots. It is read from
the rows of service load, which count work where its callers arrive, before any of it
leaves. So the flows that a host solves for do not feed back into the rows.

Work that is bound to a region can't leave it. It counts as load of the data centres
that will run it: of its own, or in another region of all data centres there, by their
slots.
"""

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ..accounts import (
    Account,
    common_regions,
    has_common_region,
    request_priority,
)
from ..configuration import DirectRoute
from ..service_load.rows import ServiceLoad

# Rows that are older than this say too little of the present: demand may swing by half
# within some seconds.
ROW_AGE_MAX_MS = 3_000.0
# Part of a new row in the smoothed load. Rows of half a second hold few requests.
ROW_SMOOTHING = 0.7
# Share of the slots that work can use, since neighbours slow some upstreams.
USABLE_SLOTS_SHARE = 0.9

# Home regions by priority, of the priorities whose routes are all bound alike.
BoundPriorities = Mapping[int, tuple[str, ...]]


class PlaceLoad(NamedTuple):
    """Load of one service in one data centre, in busy slots of usual speed.

    ``n_slots`` is how many of them the data centre can keep busy. ``free_slots`` is the
    load of its callers that may leave, and ``bound_slots`` the load that may not,
    including that of callers elsewhere.
    """

    data_centre: str
    n_slots: float
    free_slots: float
    bound_slots: float


@dataclass(slots=True)
class SmoothedLoads:
    """Offered slots by data centre and priority, smoothed over the last rows.

    ``slots`` is how many slots of usual speed each data centre has. ``age_ms`` is the
    age of the oldest row in use, and ``rows`` the rows that were counted last.
    """

    offered: dict[str, dict[int, float]] = field(default_factory=dict)
    slots: dict[str, float] = field(default_factory=dict)
    age_ms: float = 0.0
    rows: dict[str, ServiceLoad] = field(default_factory=dict)


def smooth_rows(
    loads: SmoothedLoads, rows: Iterable[ServiceLoad], since_arrival_ms: float
) -> None:
    """Update the loads of a service by its newest rows, and drop data that is too old.

    Parameters
    ----------
    loads : SmoothedLoads
        Updated in place.
    rows : iterable of ServiceLoad
        The newest row of each data centre. A row that is the same as the last one of
        its data centre is not counted again.
    since_arrival_ms : float
        Time since the rows arrived here.
    """
    current = {
        row.data_centre: row
        for row in rows
        if row.age_ms + since_arrival_ms <= ROW_AGE_MAX_MS
    }
    for data_centre in loads.offered.keys() - current.keys():
        del loads.offered[data_centre], loads.slots[data_centre]
    for data_centre, row in current.items():
        if loads.rows.get(data_centre) == row and data_centre in loads.offered:
            continue
        offered = dict(row.offered_slots)
        before = loads.offered.get(data_centre, offered)
        loads.slots[data_centre] = max(0.0, row.n_slots)
        loads.offered[data_centre] = {
            priority: _smoothed(before.get(priority, 0.0), offered.get(priority, 0.0))
            for priority in before.keys() | offered.keys()
        }
    loads.rows = current
    loads.age_ms = max(
        (row.age_ms + since_arrival_ms for row in current.values()), default=0.0
    )


def place_loads(
    loads: SmoothedLoads,
    n_known_slots: Callable[[str], float],
    bound: BoundPriorities,
    regions: Mapping[str, str],
) -> list[PlaceLoad]:
    """Return the load of each data centre with a current row, sorted by name.

    Parameters
    ----------
    loads : SmoothedLoads
        Loads of one service.
    n_known_slots : callable
        Returns how many warm slots this host knows of in a data centre that may be
        used. A row that claims more is not believed.
    bound : mapping of int to tuple of str
        Home regions of the priorities that are bound.
    regions : mapping of str to str
        Region of each data centre.
    """
    slots = {
        data_centre: USABLE_SLOTS_SHARE * min(n_slots, n_known_slots(data_centre))
        for data_centre, n_slots in loads.slots.items()
    }
    free = dict.fromkeys(slots, 0.0)
    bound_slots = dict.fromkeys(slots, 0.0)
    for data_centre, offered in loads.offered.items():
        for priority, work in offered.items():
            homes = bound.get(priority, ())
            if not homes:
                free[data_centre] += work
            elif regions.get(data_centre, "") in homes and slots[data_centre] > 0:
                bound_slots[data_centre] += work
            else:
                _add_by_slots(bound_slots, work, slots, homes, regions)
    return [
        PlaceLoad(name, slots[name], free[name], bound_slots[name])
        for name in sorted(slots)
    ]


def bound_priorities(
    routes: Iterable[DirectRoute], accounts: Collection[Account] = ()
) -> dict[str, dict[int, tuple[str, ...]]]:
    """Return the bound priorities of each service.

    A priority counts as bound only if all requests of the service that may have it, by
    their route and account, are bound to the same home regions.
    """
    homes: dict[tuple[str, int], set[tuple[str, ...]]] = {}
    for route in routes:
        kinds = set(_kinds_of_requests(route, accounts))
        for part in route.services:
            for priority, regions in kinds:
                homes.setdefault((part.service, priority), set()).add(regions)
    bound: dict[str, dict[int, tuple[str, ...]]] = {}
    for (service, priority), found in homes.items():
        if len(found) == 1 and any(found):
            bound.setdefault(service, {})[priority] = next(iter(found))
    return bound


def _kinds_of_requests(
    route: DirectRoute, accounts: Collection[Account]
) -> Iterator[tuple[int, tuple[str, ...]]]:
    """Yield priority and home regions of the requests that a route may get."""
    callers: list[Account | None] = list(accounts)
    if route.allows_anonymous or not accounts:
        callers.append(None)
    for account in callers:
        if has_common_region(route.home_regions, account):
            regions = tuple(sorted(common_regions(route.home_regions, account)))
            yield request_priority(route.priority, account), regions


def _smoothed(before: float, now: float) -> float:
    return before + ROW_SMOOTHING * (max(0.0, now) - before)


def _add_by_slots(
    loads: dict[str, float],
    work: float,
    slots: Mapping[str, float],
    homes: tuple[str, ...],
    regions: Mapping[str, str],
) -> None:
    """Divide work among the data centres of its home regions, by their slots."""
    at_home = {
        name: n_slots
        for name, n_slots in slots.items()
        if regions.get(name, "") in homes
    }
    total = sum(at_home.values())
    for name, n_slots in at_home.items():
        loads[name] += work * n_slots / total if total > 0 else 0.0
