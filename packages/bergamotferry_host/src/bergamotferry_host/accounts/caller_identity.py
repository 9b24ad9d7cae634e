"""Identifies the account of a request, and replaces its key by the account's name.

The key is used here and nowhere else: what a request's later steps send, compare or
pass on are the headers that `replace_key` has changed.
"""

from aiohttp import web
from multidict import CIMultiDict

from bergamotferry.accounts import (
    Account,
    carries_key,
    has_common_region,
    identify_caller,
)
from bergamotferry.configuration import DirectRoute
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode

from ..clock import now_ns
from ..direct_host import DirectHost
from .state_age import is_older_than

KEY_HEADER = "Authorization"


def identify_request(
    host: DirectHost, request: web.Request, route: DirectRoute
) -> Account | Refused | None:
    """Return the account of a request, None if it has none, or its refusal."""
    configuration = host.configuration
    authorizations = request.headers.getall(KEY_HEADER, [])
    if not host.trusts_keys and carries_key(authorizations):
        # Without accounts here too: those that were added may have been missed.
        untrusted = Refused(ResultCode.STATE_TOO_OLD, "the key may have been removed")
        return None if route.allows_anonymous else untrusted
    if not configuration.accounts:
        return None
    found = identify_caller(
        configuration.account_by_key, route.allows_anonymous, authorizations
    )
    if isinstance(found, Refused):
        return _may_be_newer(host, found) or found
    if not has_common_region(route.home_regions, found):
        detail = "route and account have no home region in common"
        return Refused(ResultCode.OUTSIDE_HOME_REGION, detail)
    if found is not None:
        host.metrics.account_requests[found.name,] += 1
    return found


def replace_key(
    host: DirectHost, headers: CIMultiDict[str], account: Account | None
) -> CIMultiDict[str]:
    """Replace the key in the headers for an upstream by the name of its account."""
    if host.configuration.accounts:
        name = host.settings.headers.account
        headers.popall(KEY_HEADER, None)
        headers.popall(name, None)
        if account is not None:
            headers[name] = account.name
    return headers


def _may_be_newer(host: DirectHost, refusal: Refused) -> Refused | None:
    """Return the refusal of a key that a newer configuration may have."""
    if refusal.code is not ResultCode.UNKNOWN_TOKEN:
        return None
    if not is_older_than(host, host.settings.bounds.configuration_apply_ms, now_ns()):
        return None
    return Refused(ResultCode.STATE_TOO_OLD, "the key may be newer than the state")
