"""Which account a request belongs to, and what follows from it.

The load is every request of a deployment with accounts: up to some 1,000 a second on
all hosts, from 85 accounts. A host decides from its own configuration, without a
message, so that an account costs a request some microseconds and no wait.
"""

from collections.abc import Mapping, Sequence

from ..outcomes import Refused
from ..result_codes import ResultCode
from .rows import Account, key_digest


def bearer_key(authorization: str) -> str:
    """Return the key in the value of an ``Authorization`` header; empty if none is."""
    scheme, _, key = authorization.partition(" ")
    return key.strip(" \t") if scheme.lower() == "bearer" else ""


def carries_key(authorizations: Sequence[str]) -> bool:
    """Return whether any of the values of ``Authorization`` headers contains a key."""
    return any(bearer_key(value) for value in authorizations)


def identify_caller(
    account_by_key: Mapping[bytes, Account],
    allows_anonymous: bool,
    authorizations: Sequence[str],
) -> Account | Refused | None:
    """Return the account of a request, None if it has none, or its refusal.

    Parameters
    ----------
    account_by_key : mapping of bytes to Account
        The accounts by digest of their keys.
    allows_anonymous : bool
        Whether the route serves requests without a known key.
    authorizations : sequence of str
        The values of all ``Authorization`` headers of the request. If there are
        several, hosts could disagree on which one counts, so none is known.
    """
    if not carries_key(authorizations):
        missing = Refused(ResultCode.MISSING_TOKEN, "no key was sent")
        return None if allows_anonymous else missing
    if len(authorizations) == 1:
        account = account_by_key.get(key_digest(bearer_key(authorizations[0])))
        if account is not None:
            return account
    unknown = Refused(ResultCode.UNKNOWN_TOKEN, "the key is not known")
    return None if allows_anonymous else unknown


def request_priority(route_priority: int, account: Account | None) -> int:
    """Return the priority of a request; 0 is the most urgent."""
    if account is None or account.priority is None:
        return route_priority
    return account.priority


def allows_region(
    route_homes: Sequence[str], account: Account | None, region: str
) -> bool:
    """Return whether a request may be served in a region, by route and account."""
    account_homes = account.home_regions if account is not None else ()
    return all(not homes or region in homes for homes in (route_homes, account_homes))


def common_regions(
    route_homes: Sequence[str], account: Account | None
) -> tuple[str, ...]:
    """Return the regions in which a request may be served; any if there are none.

    `has_common_region` must hold.
    """
    account_homes = account.home_regions if account is not None else ()
    if not route_homes or not account_homes:
        return tuple(route_homes) or account_homes
    return tuple(region for region in route_homes if region in account_homes)


def has_common_region(route_homes: Sequence[str], account: Account | None) -> bool:
    """Return whether there is any region in which a request may be served."""
    if account is None or not route_homes or not account.home_regions:
        return True
    return not set(route_homes).isdisjoint(account.home_regions)
