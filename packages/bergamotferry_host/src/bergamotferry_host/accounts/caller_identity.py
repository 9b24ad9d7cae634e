"""Identifies the account of a request, and replaces its key by the account's name.

The key is used here and nowhere else: what a request's later steps send, compare or
pass on are the headers that `upstream_headers` returns.
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

from ..answer_framing import HOP_HEADERS
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


def upstream_headers(
    host: DirectHost, request: web.Request, account: Account | None
) -> CIMultiDict[str]:
    """Return the headers for an upstream: the end-to-end ones, without the key.

    Where there are accounts, the name of the request's account takes the place of the
    key. A caller that waits for a 100 got it from this host, which reads the body.
    """
    named = request.headers.get("Connection", "").lower().split(",")
    dropped = HOP_HEADERS | {"expect"} | {name.strip() for name in named}
    account_header = host.settings.headers.account
    if host.configuration.accounts:
        dropped |= {KEY_HEADER.lower(), account_header.lower()}
    headers = CIMultiDict(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in dropped
    )
    if account is not None:
        headers[account_header] = account.name
    return headers


def _may_be_newer(host: DirectHost, refusal: Refused) -> Refused | None:
    """Return the refusal of a key that a newer configuration may have."""
    if refusal.code is not ResultCode.UNKNOWN_TOKEN:
        return None
    if not is_older_than(host, host.settings.bounds.configuration_apply_ms, now_ns()):
        return None
    return Refused(ResultCode.STATE_TOO_OLD, "the key may be newer than the state")
