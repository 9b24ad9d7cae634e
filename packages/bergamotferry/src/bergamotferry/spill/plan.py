"""How much of a service's load each data centre sends to each other one.

The load is one that exceeds the slots of some data centres for seconds while others
have room. As the slots of a data centre fill up, each further unit of load makes more
answers late, first a few and then all of them. The plan moves units of load one after
the other, always the one that saves the most value, until no move saves more than its
bytes and its way cost. All data centres are solved for together: every host finds the
same flows from the same rows, so that two data centres with too much load divide the
room of a third one instead of filling it twice.

If all data centres are short of slots, nothing moves, since no move would save
anything.
"""

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from ..direct_placement import LINK_LATENCY_MS, Distance
from .loads import PlaceLoad
from .value import LATE_VALUE, bytes_price

# The largest data centre's slots are this many units of load.
N_UNITS = 50
# A data centre's requests wait as in one queue before this share of its slots, since no
# host knows the queues of all its upstreams.
POOLED_SLOTS_SHARE = 0.5
# Usual response time without a queue, in multiples of the work time: some upstreams are
# slow by themselves, or are slowed by their neighbours.
RESPONSE_PER_WORK = 1.3
# With less room than this between work and objective, in multiples of the work, load
# counts as if there were this much.
SLACK_MIN = 0.5
# A flow that exists continues as long as it saves this share of its price.
CONTINUE_PRICE_SHARE = 0.5
# Utilization up to which load may come by the decisions of single requests.
ROOM_UTILIZATION = 0.95
# Utilization from which a data centre counts as one that uses the room of others.
BUSY_UTILIZATION = 0.8

Pair = tuple[str, str]


class ServiceTraffic(NamedTuple):
    """Mean work, latency objective and bytes of bodies of a service's free requests."""

    work_ms: float
    objective_ms: float
    n_body_bytes: float


class SpillPlan(NamedTuple):
    """Flows between data centres, in slots that they keep busy.

    ``flows`` is by source and target. ``room`` is the load that each data centre may
    still get from single requests elsewhere, and ``n_sharing`` how many data centres
    divide it.
    """

    flows: dict[Pair, float]
    room: dict[str, float]
    n_sharing: int


@dataclass(slots=True)
class _Balance:
    """Slots, load and free load by data centre while units of load move.

    ``far_left`` is how much more each region may send to others.
    """

    slots: dict[str, float]
    load: dict[str, float]
    free: dict[str, float]
    far_left: dict[str, float]

    def utilization(self, name: str) -> float:
        n_slots = self.slots[name]
        return self.load[name] / n_slots if n_slots > 0 else math.inf


def distance_between(regions: Mapping[str, str], first: str, second: str) -> Distance:
    """Return the distance between two data centres."""
    if first == second:
        return "here"
    return "near" if regions.get(first) == regions.get(second) else "far"


def marginal_loss(load: float, n_slots: float, slack: float) -> float:
    """Return the value that one more unit of load costs, per unit, from 0 to 1.

    Requests wait longer than their slack with a probability that falls exponentially
    with the slots that are free; the marginal loss is the derivative of all late load.

    Parameters
    ----------
    load : float
        Slots that are kept busy.
    n_slots : float
        Slots that can be kept busy.
    slack : float
        Time that a request may wait, in multiples of its work time.
    """
    if load >= n_slots:
        return 1.0
    utilization = load / n_slots
    decay = max(1.0, POOLED_SLOTS_SHARE * n_slots) * slack
    late_share = math.exp(-decay * (1.0 - utilization))
    return min(1.0, (1.0 - LATE_VALUE) * late_share * (1.0 + decay * utilization))


def plan_flows(
    loads: Sequence[PlaceLoad],
    regions: Mapping[str, str],
    traffic: ServiceTraffic,
    far_slots_max: float,
    in_use: Collection[Pair] = (),
) -> SpillPlan:
    """Solve for the flows of one service between all data centres.

    Parameters
    ----------
    loads : sequence of PlaceLoad
        Load of each data centre with a current row.
    regions : mapping of str to str
        Region of each data centre.
    traffic : ServiceTraffic
        What the requests of the service are like.
    far_slots_max : float
        Largest flow from one region to others that their link has room for.
    in_use : collection of pairs
        Flows that exist already, from a source to a target.
    """
    slack = max(SLACK_MIN, traffic.objective_ms / traffic.work_ms - RESPONSE_PER_WORK)
    balance = _Balance(
        {row.data_centre: row.n_slots for row in loads},
        {row.data_centre: row.free_slots + row.bound_slots for row in loads},
        {row.data_centre: row.free_slots for row in loads},
        dict.fromkeys(regions.values(), far_slots_max),
    )
    n_busy = sum(balance.utilization(name) > BUSY_UTILIZATION for name in balance.load)
    unit = max(balance.slots.values(), default=0.0) / N_UNITS
    prices = _prices(list(balance.load), regions, traffic, in_use)
    flows: dict[Pair, float] = {}
    while unit > 0 and (best := _best_move(balance, prices, unit, slack, regions)):
        source, target = best
        flows[best] = flows.get(best, 0.0) + unit
        balance.free[source] -= unit
        balance.load[source] -= unit
        balance.load[target] += unit
        if distance_between(regions, source, target) == "far":
            balance.far_left[regions[source]] -= unit
    room = {
        name: max(0.0, ROOM_UTILIZATION * balance.slots[name] - load)
        for name, load in balance.load.items()
    }
    return SpillPlan(flows, room, max(1, min(len(loads) - 1, n_busy)))


def _best_move(
    balance: _Balance,
    prices: Mapping[Pair, float],
    unit: float,
    slack: float,
    regions: Mapping[str, str],
) -> Pair | None:
    """Return the move of a unit that saves the most value; None if none saves any."""
    slots, load = balance.slots, balance.load
    loss = {name: marginal_loss(load[name], slots[name], slack) for name in load}
    loss_after = {
        name: marginal_loss(load[name] + unit, slots[name], slack) for name in load
    }
    best: Pair | None = None
    best_key = 0.0, 0.0
    for (source, target), price in prices.items():
        is_near = distance_between(regions, source, target) == "near"
        may_leave = is_near or balance.far_left[regions[source]] >= unit
        gain = round(loss[source] - loss_after[target] - price, 6)
        # Of equal gains, the data centre that lacks more slots goes first.
        key = gain, balance.utilization(source)
        if gain > 0 and may_leave and balance.free[source] >= unit and key > best_key:
            best, best_key = (source, target), key
    return best


def _prices(
    names: Sequence[str],
    regions: Mapping[str, str],
    traffic: ServiceTraffic,
    in_use: Collection[Pair],
) -> dict[Pair, float]:
    """Return the price of each flow: its bytes, and the time of its way."""
    prices: dict[Pair, float] = {}
    for source in names:
        for target in names:
            distance = distance_between(regions, source, target)
            if distance == "here" or source not in regions or target not in regions:
                continue
            price = bytes_price(distance, traffic.n_body_bytes)
            price += LINK_LATENCY_MS[distance] / max(1.0, traffic.objective_ms)
            is_in_use = (source, target) in in_use
            prices[source, target] = price * (CONTINUE_PRICE_SHARE if is_in_use else 1)
    return prices
