"""What one data centre knows and has decided about the spill of one service.

This joins the parts for a service whose load exceeds one data centre's slots at times:
rows of service load are smoothed, the flows between all data centres are solved for,
and this data centre's shares move one step towards them. The state is rebuilt from the
rows within seconds, and is empty until the first row arrives: until then requests are
placed as if there were no shares.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ..service_load.rows import ServiceLoad
from .loads import BoundPriorities, PlaceLoad, SmoothedLoads, place_loads, smooth_rows
from .plan import Pair, ServiceTraffic, SpillPlan, plan_flows
from .shares import START_SHARE, ServiceShares, update_shares


@dataclass(slots=True)
class ServiceSpill:
    """Smoothed loads and shares of one service.

    ``places`` are the loads of the last update, and ``plan`` the flows between them;
    None if the row of this host's data centre is too old.
    """

    loads: SmoothedLoads = field(default_factory=SmoothedLoads)
    shares: ServiceShares = field(default_factory=ServiceShares)
    places: list[PlaceLoad] = field(default_factory=list)
    plan: SpillPlan | None = None


def update_service(
    spill: ServiceSpill,
    rows: Iterable[ServiceLoad],
    since_arrival_ms: float,
    own: str,
    regions: Mapping[str, str],
    traffic: ServiceTraffic,
    bound: BoundPriorities,
    n_known_slots: Callable[[str], float],
    far_slots_max: float,
) -> None:
    """Take the newest rows of a service and move its shares by one step.

    Parameters
    ----------
    spill : ServiceSpill
        Updated in place.
    rows : iterable of ServiceLoad
        The newest row of each data centre.
    since_arrival_ms : float
        Time since the rows arrived here.
    own : str
        This host's data centre.
    regions : mapping of str to str
        Region of each data centre.
    traffic : ServiceTraffic
        What the requests of the service are like.
    bound : mapping of int to tuple of str
        Home regions of the priorities that are bound.
    n_known_slots : callable
        Returns how many warm slots of the service this host knows of in a data centre;
        0 if the data centre is evacuated.
    far_slots_max : float
        Largest flow to other regions that their link has room for, in slots.
    """
    in_use = _flows_in_use(spill)
    smooth_rows(spill.loads, rows, since_arrival_ms)
    spill.places = place_loads(spill.loads, n_known_slots, bound, regions)
    own_load = [row for row in spill.places if row.data_centre == own]
    spill.plan = None
    if own_load:
        spill.plan = plan_flows(spill.places, regions, traffic, far_slots_max, in_use)
    offered_slots = own_load[0].free_slots if own_load else 0.0
    n_slots = own_load[0].n_slots if own_load else 0.0
    update_shares(spill.shares, spill.plan, own, offered_slots, n_slots)


def _flows_in_use(spill: ServiceSpill) -> list[Pair]:
    """Return the flows of the last plan that are large enough to begin a share.

    These are the flows of all data centres and not the shares of this one: if each
    counted its own as existing, each would plan to take the room that others use.
    """
    if spill.plan is None:
        return []
    least = {row.data_centre: START_SHARE * row.free_slots for row in spill.places}
    return [
        pair for pair, flow in spill.plan.flows.items() if flow >= least.get(pair[0], 0)
    ]


def far_flow(spill: ServiceSpill, own: str, regions: Mapping[str, str]) -> float:
    """Return the flow of the plan out of the region of a data centre, in slots."""
    flows = spill.plan.flows.items() if spill.plan is not None else ()
    region = regions.get(own)
    return sum(
        flow
        for (source, target), flow in flows
        if regions.get(source) == region and regions.get(target) != region
    )
