"""Which data centre a single request takes, by what its host finds there."""

import pytest

from bergamotferry.spill.search import (
    begin_search,
    look_further,
    reason_of,
    restart_search,
)
from bergamotferry.spill.shares import Draw

PRICES = {"b": 0.1, "c": 0.2, "d": 0.2}


HOME = Draw("home")


def search(values, draw=HOME, near=("b",)):
    """Return where a request goes, the places looked at, and why, by place's value."""
    found = begin_search("a", draw, near, PRICES)
    looked_at = [found.place]
    while look_further(found, values[found.place]):
        looked_at.append(found.place)
    return found.place, looked_at, reason_of(found)


def test_request_stays_without_looking_elsewhere_if_it_will_be_in_time():
    assert search({"a": 0.95}) == ("a", ["a"], "home")


@pytest.mark.parametrize(
    ("home", "near", "place"), [(0.5, 0.9, "b"), (0.85, 0.9, "a"), (0.0, 0.05, "a")]
)
def test_request_leaves_if_it_gains_more_than_its_bytes_cost(home, near, place):
    assert search({"a": home, "b": near})[0] == place


def test_other_regions_are_looked_at_by_those_who_drew_them_only():
    values = {"a": 0.2, "b": 0.3, "c": 0.95}
    assert search(values)[:2] == ("a", ["a", "b", "a"])
    assert search(values, Draw("overflow", "c")) == ("c", ["a", "b", "c"], "overflow")


def test_planned_request_goes_where_its_share_sends_it():
    draw = Draw("planned", "c")
    assert search({"c": 0.95}, draw) == ("c", ["c"], "planned")
    # It does so even if it might be a little better off at home.
    assert search({"c": 0.85, "a": 0.88}, draw)[0] == "c"


def test_full_data_centre_overrides_the_share():
    """Guards against a share that sends requests where a host finds no slot."""
    draw = Draw("planned", "c")
    assert search({"c": 0.2, "a": 0.6}, draw) == ("a", ["c", "a"], "override")


def test_request_that_no_place_takes_waits_at_home():
    """Guards against a request that waits where no upstream takes it."""
    assert search({"c": 0.0, "a": 0.0}, Draw("planned", "c"))[0] == "a"
    assert search({"a": 0.0, "b": 0.0})[0] == "a"


def test_request_that_waited_looks_again_in_all_places():
    draw = Draw("overflow", "c")
    found = begin_search("a", draw, ("b",), PRICES)
    while look_further(found, 0.0):
        pass
    assert found.place == "a"
    again = restart_search(found)
    assert look_further(again, 0.0) and again.place == "b"
    assert look_further(again, 0.9) is False and reason_of(again) == "overflow"
