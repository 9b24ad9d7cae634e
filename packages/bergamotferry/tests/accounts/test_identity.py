"""Which account a request belongs to, and what the account changes."""

import pytest

from bergamotferry.accounts import (
    Account,
    allows_region,
    has_common_region,
    identify_caller,
    index_keys,
    key_digest,
    request_priority,
)
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode

ANN = Account("ann", (key_digest("k-1"), key_digest("k-2")), 1, (), 0.0, 0.0)
BOB = ANN._replace(name="bob", key_digests=(key_digest("k\u00e9"),), priority=None)
INDEX = index_keys([ANN, BOB])


def identified(allows_anonymous, *values):
    """Return the name of the account, None, or the code of the refusal."""
    found = identify_caller(INDEX, allows_anonymous, values)
    if isinstance(found, Refused):
        return found.code
    return found and found.name


@pytest.mark.parametrize(
    ("values", "with_key", "anonymous"),
    [
        ((), ResultCode.MISSING_TOKEN, None),
        (("",), ResultCode.MISSING_TOKEN, None),
        (("Bearer",), ResultCode.MISSING_TOKEN, None),
        (("Bearer  ",), ResultCode.MISSING_TOKEN, None),
        (("Basic k-1",), ResultCode.MISSING_TOKEN, None),
        (("Bearer k-1",), "ann", "ann"),
        (("bearer \tk-2 ",), "ann", "ann"),
        # Bytes that are UTF-8 arrive as such, others as surrogates.
        (("Bearer k\u00e9",), "bob", "bob"),
        (("Bearer k\udce9",), ResultCode.UNKNOWN_TOKEN, None),
        (("Bearer k-3",), ResultCode.UNKNOWN_TOKEN, None),
        (("Bearer k-1 k-2",), ResultCode.UNKNOWN_TOKEN, None),
        (("Bearer k-1", "Bearer k-1"), ResultCode.UNKNOWN_TOKEN, None),
    ],
)
def test_account_follows_from_the_key_and_the_route(values, with_key, anonymous):
    """Guards against a key that is taken for another one, or for none."""
    assert identified(False, *values) == with_key
    assert identified(True, *values) == anonymous


def test_refusals_and_rows_reveal_no_key():
    """Guards against keys in log lines, which contain refusals and rows."""
    refusal = identify_caller(INDEX, False, ("Bearer k-secret",))
    assert "k-secret" not in repr(refusal)
    assert "k-1" not in repr(ANN)
    assert "k-1" not in repr(INDEX)


@pytest.mark.parametrize(
    ("route_homes", "account_homes", "allowed"),
    [
        ((), (), {"north", "south"}),
        (("north",), (), {"north"}),
        ((), ("south",), {"south"}),
        (("north", "south"), ("south",), {"south"}),
        (("north",), ("south",), set()),
    ],
)
def test_home_regions_of_route_and_account_both_bind(
    route_homes, account_homes, allowed
):
    account = ANN._replace(home_regions=account_homes)
    assert {
        region
        for region in ("north", "south")
        if allows_region(route_homes, account, region)
    } == allowed
    assert has_common_region(route_homes, account) is bool(allowed)


def test_requests_without_an_account_keep_the_regions_and_priority_of_their_route():
    assert allows_region(("north",), None, "north")
    assert not allows_region(("north",), None, "south")
    assert has_common_region(("north",), None)
    assert request_priority(5, None) == 5


def test_priority_of_the_account_takes_precedence_if_it_has_one():
    assert request_priority(5, ANN) == 1
    assert request_priority(0, ANN) == 1
    assert request_priority(5, BOB) == 5
