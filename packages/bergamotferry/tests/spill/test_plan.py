"""Flows between data centres: when they begin, where they go, and what bounds them."""

import pytest

from bergamotferry.spill.loads import PlaceLoad
from bergamotferry.spill.plan import (
    ROOM_UTILIZATION,
    ServiceTraffic,
    marginal_loss,
    plan_flows,
)

REGIONS = {"a": "north", "b": "north", "c": "south", "d": "south"}
TRAFFIC = ServiceTraffic(work_ms=76.0, objective_ms=300.0, n_body_bytes=2_000.0)
N_SLOTS = 20.0
NO_LIMIT = 1e9


def plan(traffic=TRAFFIC, far_slots_max=NO_LIMIT, in_use=(), bound=(), **utilization):
    bound = dict(bound)
    loads = [
        PlaceLoad(name, N_SLOTS, N_SLOTS * share, N_SLOTS * bound.get(name, 0.0))
        for name, share in utilization.items()
    ]
    return plan_flows(loads, REGIONS, traffic, far_slots_max, in_use)


def load_after(plan_, name, utilization):
    flows = plan_.flows.items()
    sent = sum(flow for (source, _), flow in flows if source == name)
    got = sum(flow for (_, target), flow in flows if target == name)
    return N_SLOTS * utilization + got - sent


def test_marginal_loss_rises_from_nothing_to_all():
    losses = [marginal_loss(load, N_SLOTS, 2.6) for load in range(0, 25)]
    assert losses == sorted(losses)
    assert losses[10] < 0.01 and losses[20] == 1.0 and marginal_loss(1, 0, 2.6) == 1.0
    # More time to wait, or more slots to share, leave less to lose.
    assert marginal_loss(18, 20, 4.0) < marginal_loss(18, 20, 2.6)
    assert marginal_loss(90, 100, 2.6) < marginal_loss(18, 20, 2.6)


@pytest.mark.parametrize("utilization", [0.2, 0.5, 0.7])
def test_nothing_leaves_while_there_is_room_at_home(utilization):
    assert plan(a=utilization, b=0.1, c=0.1, d=0.1).flows == {}


def test_excess_goes_to_the_near_data_centre_first():
    result = plan(a=1.15, b=0.4, c=0.1, d=0.1)
    assert set(result.flows) == {("a", "b")}
    assert load_after(result, "a", 1.15) <= 0.95 * N_SLOTS
    # Once that one is full, the rest goes to another region.
    result = plan(a=1.4, b=0.7, c=0.1, d=0.1)
    assert {target for _, target in result.flows} >= {"b", "c"}


def test_data_centres_that_lack_slots_divide_the_room_of_a_third_one():
    """Guards against two data centres that both fill a third one which is idle."""
    result = plan(a=1.4, b=1.4, c=0.4)
    shares = [result.flows.get((name, "c"), 0.0) for name in "ab"]
    assert min(shares) > 0 and max(shares) <= 1.2 * min(shares)
    assert load_after(result, "c", 0.4) <= ROOM_UTILIZATION * N_SLOTS
    assert result.n_sharing == 2


def test_nothing_moves_if_all_data_centres_are_short_of_slots():
    """Guards against an exchange of load that serves nobody and fills the links."""
    result = plan(a=1.3, b=1.1, c=1.2, d=1.05)
    assert result.flows == {} and set(result.room.values()) == {0.0}


def test_flow_to_other_regions_stops_at_the_room_of_their_link():
    utilization = {"a": 1.3, "b": 1.3, "c": 0.2, "d": 0.2}
    free_flow = sum(plan(**utilization).flows.values())
    assert free_flow > 5.0
    assert sum(plan(far_slots_max=3.0, **utilization).flows.values()) <= 3.0
    assert plan(far_slots_max=0.0, **utilization).flows == {}


def test_large_answers_leave_later_than_small_ones():
    small = plan(a=0.95, b=1.0, c=0.2).flows.get(("a", "c"), 0.0)
    large_traffic = TRAFFIC._replace(n_body_bytes=90_000.0)
    large = plan(large_traffic, a=0.95, b=1.0, c=0.2).flows.get(("a", "c"), 0.0)
    assert large < small


def test_flow_that_exists_continues_a_little_longer():
    """Guards against shares that begin and end with each fluctuation of the rows."""
    loads = {"a": 0.8, "b": 0.5}
    assert plan(in_use=[("a", "b")], **loads).flows != {}
    assert plan(**loads).flows == {}
    assert plan(in_use=[("a", "b")], a=0.7, b=0.5).flows == {}


def test_bound_work_does_not_leave_and_takes_room():
    free = plan(a=0.4, b=0.3)
    result = plan(bound={"a": 0.8}, a=0.4, b=0.3)
    assert free.flows == {}
    assert 0 < result.flows["a", "b"] <= 0.4 * N_SLOTS
    assert plan(bound={"b": 0.7}, a=1.2, b=0.3).flows == {}


def test_data_centre_without_slots_sends_everything():
    loads = [PlaceLoad("a", 0.0, 5.0, 0.0), PlaceLoad("b", N_SLOTS, 5.0, 0.0)]
    flows = plan_flows(loads, REGIONS, TRAFFIC, NO_LIMIT).flows
    assert flows["a", "b"] == pytest.approx(5.0, abs=N_SLOTS / 50)
