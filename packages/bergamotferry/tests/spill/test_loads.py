"""What the rows of service load are taken to say, and what they are not believed."""

import pytest

from bergamotferry.accounts import Account
from bergamotferry.configuration import DirectRoute, WeightedService
from bergamotferry.service_load.rows import ServiceLoad
from bergamotferry.spill.loads import (
    ROW_AGE_MAX_MS,
    USABLE_SLOTS_SHARE,
    SmoothedLoads,
    bound_priorities,
    place_loads,
    smooth_rows,
)

REGIONS = {"a": "north", "b": "north", "c": "south", "d": "south"}


def row(data_centre, n_slots=20.0, free=5.0, bound=0.0, age_ms=500):
    return ServiceLoad("s", data_centre, n_slots, ((0, free), (1, bound)), age_ms)


def loads_of(*rows, since_arrival_ms=0.0, n_known_slots=lambda name: 100.0, bound=()):
    loads = SmoothedLoads()
    smooth_rows(loads, rows, since_arrival_ms)
    places = place_loads(loads, n_known_slots, dict(bound), REGIONS)
    return {place.data_centre: place for place in places}


def test_load_follows_rows_smoothed_and_each_row_counts_once():
    loads = SmoothedLoads()
    smooth_rows(loads, [row("a", free=10.0)], 0)
    assert loads.offered["a"][0] == 10.0
    for _ in range(5):
        smooth_rows(loads, [row("a", free=20.0)], 0)
    assert 10.0 < loads.offered["a"][0] < 20.0
    smooth_rows(loads, [row("a", free=20.0, age_ms=501)], 0)
    assert loads.offered["a"][0] > 18.0


def test_rows_that_are_too_old_count_as_missing():
    old = row("b", age_ms=int(ROW_AGE_MAX_MS) - 400)
    assert set(loads_of(row("a"), old)) == {"a", "b"}
    assert set(loads_of(row("a"), old, since_arrival_ms=500.0)) == {"a"}
    loads = SmoothedLoads()
    smooth_rows(loads, [row("a"), row("b")], 0.0)
    smooth_rows(loads, [row("a"), row("b")], ROW_AGE_MAX_MS)
    assert loads.offered == {} and loads.slots == {}


def test_row_that_claims_more_slots_than_are_known_is_not_believed():
    """Guards against a false row, and against one of an evacuated data centre."""
    known = {"a": 20.0, "b": 8.0, "c": 0.0}
    places = loads_of(
        row("a", 18.0), row("b", 1e9), row("c", 20.0), n_known_slots=known.__getitem__
    )
    slots = {name: place.n_slots for name, place in places.items()}
    assert slots == {
        "a": pytest.approx(18.0 * USABLE_SLOTS_SHARE),
        "b": pytest.approx(8.0 * USABLE_SLOTS_SHARE),
        "c": 0.0,
    }


def test_bound_work_counts_where_it_will_run():
    rows = [
        row("a", 20.0, 1.0, 4.0),
        row("b", 10.0, 1.0, 0.0),
        row("c", 20.0, 1.0, 6.0),
    ]
    places = loads_of(*rows, bound={1: ("north",)})
    # That of c is divided by the slots of a and b; that of a stays.
    bound = {name: place.bound_slots for name, place in places.items()}
    assert bound == {"a": 4.0 + 4.0, "b": pytest.approx(2.0), "c": 0.0}
    assert {place.free_slots for place in places.values()} == {1.0}
    # The upstreams of a can't be used, so b gets all of it.
    known = {"a": 0.0, "b": 10.0, "c": 20.0}
    places = loads_of(*rows, bound={1: ("north",)}, n_known_slots=known.__getitem__)
    assert places["b"].bound_slots == 10.0


def route(name, priority, homes=()):
    services = (WeightedService("s", 1),)
    return DirectRoute(
        name, "h", f"/{name}/", "safe", 400, 300, priority, 2, services, homes
    )


def test_priority_is_bound_only_if_all_its_routes_are_bound_alike():
    routes = [
        route("r", 0),
        route("s", 1, ("south", "north")),
        route("t", 1, ("north", "south")),
        route("u", 2, ("south",)),
        route("v", 2),
    ]
    assert bound_priorities(routes) == {"s": {1: ("north", "south")}}
    assert bound_priorities(routes[:1]) == {}


def test_priority_of_accounts_counts_in_place_of_that_of_the_routes():
    """Guards against free work that counts as bound, so that nothing may leave.

    All accounts have the priority that only the bound route has by itself.
    """
    routes = [route("r", 0), route("s", 1, ("south",))]
    ann = Account("ann", (), 1, (), 0.0, 0.0)
    assert bound_priorities(routes) == {"s": {1: ("south",)}}
    assert bound_priorities(routes, [ann]) == {}
    # Accounts bind requests too.
    south = ann._replace(name="bob", home_regions=("south", "north"), priority=2)
    assert bound_priorities(routes[1:], [south]) == {"s": {2: ("south",)}}
    assert bound_priorities(routes[:1], [south]) == {"s": {2: ("north", "south")}}
    # One without a region in common is refused, so it is no load.
    assert bound_priorities(routes[1:], [ann._replace(home_regions=("north",))]) == {}
    # Anonymous requests have the priority of their route.
    is_open = [row._replace(allows_anonymous=True) for row in routes]
    assert bound_priorities(is_open, [ann]) == {}
    assert bound_priorities(is_open[1:], [south]) == {
        "s": {1: ("south",), 2: ("south",)}
    }
