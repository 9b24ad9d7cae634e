"""Routes are found by host and longest path prefix, and invalid ones are reported."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotferry.accounts import Account
from bergamotferry.configuration import (
    CallerLimits,
    Configuration,
    DirectRoute,
    DirectService,
    WeightedService,
    check_configuration,
    choose_service,
    find_route,
    is_most_urgent,
)

SERVICE = DirectService("lamps", "/health", 10, 3.0, 4.0, False, 0.0)
ROUTE = DirectRoute(
    "r", "a.example", "/x/", "safe", 1000, 500, 1, 2, (WeightedService("lamps", 1),), ()
)


def configuration(*routes: DirectRoute) -> Configuration:
    return Configuration.from_rows(1, routes, [SERVICE], CallerLimits())


def test_longest_prefix_that_ends_at_a_slash_wins():
    routes = [ROUTE, ROUTE._replace(name="deep", path_prefix="/x/y/")]
    indexed = configuration(*routes)
    expected_names = {
        "/x/1": "r",
        "/x/": "r",
        "/x/y/1": "deep",
        "/x/yy/1": "r",
        "/x": None,
        "/z/1": None,
        "": None,
    }
    found = {path: find_route(indexed, "a.example", path) for path in expected_names}
    assert {
        path: route and route.name for path, route in found.items()
    } == expected_names
    assert find_route(indexed, "b.example", "/x/1") is None


@pytest.mark.parametrize(
    ("changes", "detail"),
    [
        ({"services": (WeightedService("none", 1),)}, "unknown service none"),
        ({"services": (WeightedService("lamps", 0),)}, "the weights add up to 0"),
        ({"path_prefix": "x/"}, "the path prefix does not begin with a slash"),
        ({"timeout_ms": 600_001}, "the timeout is not within 600000 ms"),
        (
            {"latency_objective_ms": 61_000},
            "the latency objective is far above the timeout",
        ),
    ],
)
def test_each_broken_rule_is_reported(changes, detail):
    errors = check_configuration(configuration(ROUTE._replace(**changes)))
    assert [error.detail for error in errors] == [detail]


def test_duplicate_route_is_refused_and_a_valid_one_is_accepted():
    assert check_configuration(configuration(ROUTE)) == []
    errors = check_configuration(configuration(ROUTE, ROUTE._replace(name="other")))
    assert [(error.place, error.detail) for error in errors] == [
        ("other", "host and prefix stand twice")
    ]


@given(st.floats(0, 1, exclude_max=True))
def test_services_get_requests_by_weight_and_none_at_weight_0(fraction):
    parts = (
        WeightedService("a", 3),
        WeightedService("none", 0),
        WeightedService("b", 1),
    )
    expected = "a" if fraction < 0.75 else "b"
    assert choose_service(ROUTE._replace(services=parts), fraction) == expected


def test_most_urgent_routes_of_a_service_are_those_that_send_to_it():
    """A route of weight 0 sends nothing, so it makes no other route less urgent."""
    other_service = SERVICE._replace(name="proofs")
    both = (WeightedService("lamps", 1), WeightedService("proofs", 0))
    rows = [
        ROUTE._replace(name="first", path_prefix="/1/", priority=0, services=both),
        ROUTE._replace(name="second", path_prefix="/2/", priority=1),
        ROUTE._replace(
            name="third",
            path_prefix="/3/",
            priority=2,
            services=(WeightedService("proofs", 1),),
        ),
    ]
    indexed = Configuration.from_rows(1, rows, [SERVICE, other_service], CallerLimits())
    urgent = {
        (route.name, part.service)
        for route in rows
        for part in route.services
        if part.weight > 0 and is_most_urgent(indexed, route, part.service)
    }
    assert urgent == {("first", "lamps"), ("third", "proofs")}
    # A route that the configuration in force no longer has may still be in progress.
    assert is_most_urgent(Configuration(0), ROUTE, "lamps")


ANN = Account("ann", (b"1", b"2"), 1, (), 0.0, 0.0)


def test_accounts_that_share_a_key_or_a_name_are_refused():
    """Guards against a request that belongs to one account here and another there."""
    accounts = [
        ANN,
        ANN._replace(name="bob", key_digests=(b"3", b"2")),
        ANN._replace(key_digests=(b"4",)),
        ANN._replace(name="cat", key_digests=(b"5", b"5")),
        ANN._replace(name="dan", key_digests=()),
    ]
    indexed = Configuration.from_rows(1, [ROUTE], [SERVICE], CallerLimits(), accounts)
    assert check_configuration(indexed) == [
        ("bob", "key number 2 is also one of account ann"),
        ("ann", "the account stands twice"),
    ]


@pytest.mark.parametrize("name", ["", "a\nb", "ann ", "\tann", "a\x00"])
def test_account_whose_name_no_header_can_hold_is_refused(name):
    """Guards against sends that fail, and against one account taken for another."""
    accounts = [ANN, ANN._replace(name=name, key_digests=(b"3",))]
    indexed = Configuration.from_rows(1, [ROUTE], [SERVICE], CallerLimits(), accounts)
    assert check_configuration(indexed) == [(name, "the name can't stand in a header")]
    accounts[1] = ANN._replace(name="Café No. 1", key_digests=(b"3",))
    indexed = Configuration.from_rows(1, [ROUTE], [SERVICE], CallerLimits(), accounts)
    assert check_configuration(indexed) == []


@pytest.mark.parametrize(
    ("allows_anonymous", "priorities", "most_urgent"),
    [
        (False, (), 3),
        (False, (5, 4), 4),
        (False, (5, None), 3),
        (True, (5, 4), 3),
        (True, (2,), 2),
    ],
)
def test_most_urgent_priority_is_that_of_requests_which_a_service_can_get(
    allows_anonymous, priorities, most_urgent
):
    """Guards against holders whose queue is kept free for requests that never come."""
    route = ROUTE._replace(priority=3, allows_anonymous=allows_anonymous)
    accounts = [ANN._replace(name=str(p), priority=p) for p in priorities]
    indexed = Configuration.from_rows(1, [route], [SERVICE], CallerLimits(), accounts)
    assert indexed.most_urgent == {"lamps": most_urgent}
    for account in accounts:
        effective = 3 if account.priority is None else account.priority
        is_urgent = is_most_urgent(indexed, route, "lamps", account)
        assert is_urgent == (effective == most_urgent)
