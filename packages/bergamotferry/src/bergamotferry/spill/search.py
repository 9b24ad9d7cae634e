"""In which data centre a host places one request, and where else it looks.

The load is a burst that the rows of service load don't show yet, and the moments in
which a host finds its own data centre's upstreams full. A request is first placed where
it drew (`shares`), which is mostly the host's own data centre. If its answer would
probably be late there, nearby data centres are looked at, and the distant one that it
drew. The request leaves if the value that it gains exceeds the price of its bytes. So
an answer that would miss its latency objective leaves, and one that gains a few ms
stays.

What a host finds overrides its share: a request that would be late where its share
sends it goes home.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .shares import Draw

# A request that drew a planned place takes an answer with this value without a look at
# its own data centre.
GOOD_VALUE = 0.9
# A planned share goes to its place even if the request seems to lose this much there.
PLANNED_TOLERANCE = 0.05
# Number of nearby data centres that a request looks at.
N_NEAR_MAX = 2


@dataclass(slots=True)
class PlaceSearch:
    """The data centres that are considered for one request.

    ``prices`` is what each costs, in the order in which they are looked at. ``place``
    is the one that is looked at now, and ``left`` are those still to be looked at.
    ``gains`` is the value less the price of those that have been looked at.
    ``is_settled`` is set once ``place`` is final, and ``is_home_lost`` if no upstream
    of the host's own data centre can be reached.
    """

    own: str
    draw: Draw
    prices: dict[str, float]
    place: str
    left: list[str]
    gains: dict[str, float] = field(default_factory=dict)
    is_settled: bool = False
    is_home_lost: bool = False


def begin_search(
    own: str, draw: Draw, near: Iterable[str], prices: Mapping[str, float]
) -> PlaceSearch:
    """Return the search for a request's place.

    Parameters
    ----------
    own : str
        Data centre of the host.
    draw : Draw
        What the request has drawn.
    near : iterable of str
        Data centres of the region that may take single requests, the best first.
    prices : mapping of str to float
        What the request must gain to leave for each data centre that it may go to.
    """
    if draw.kind == "planned":
        return _search_in_order(
            own, draw, {draw.data_centre: -PLANNED_TOLERANCE, own: 0.0}
        )
    names = [name for name in near if name != own][:N_NEAR_MAX]
    if draw.kind == "overflow" and draw.data_centre not in names:
        names.append(draw.data_centre)
    others = {name: prices[name] for name in names}
    return _search_in_order(own, draw, {own: 0.0, **others})


def look_further(search: PlaceSearch, value: float) -> bool:
    """Record the value of an answer from the current place; return whether to move on.

    If so, the request is to be placed again, in the new ``search.place``. The value is
    0 where no upstream takes the request now.
    """
    if search.is_settled:
        return False
    price = search.prices[search.place]
    search.gains[search.place] = value - price if value > 0 else 0.0
    is_planned = search.draw.kind == "planned" and search.place != search.own
    is_good = is_planned and value >= GOOD_VALUE
    best = max(search.gains.values())
    while search.left and not is_good:
        name = search.left.pop(0)
        if best < 1.0 - search.prices[name]:
            search.place = name
            return True
    search.is_settled = True
    # Of equal gains, that of the host's own data centre counts.
    chosen = max(
        search.gains, key=lambda name: (search.gains[name], name == search.own)
    )
    if is_good or chosen == search.place:
        return False
    search.place = chosen
    return True


def restart_search(search: PlaceSearch) -> PlaceSearch:
    """Return a new search for a request that has waited, with the same draw."""
    return _search_in_order(search.own, search.draw, search.prices)


def reason_of(search: PlaceSearch) -> str:
    """Return why a request is placed there: home, planned, overflow or override."""
    if search.place == search.own:
        return "override" if search.draw.kind == "planned" else "home"
    return "planned" if search.draw.kind == "planned" else "overflow"


def _search_in_order(own: str, draw: Draw, prices: dict[str, float]) -> PlaceSearch:
    first, *others = prices
    return PlaceSearch(own, draw, prices, first, others)
