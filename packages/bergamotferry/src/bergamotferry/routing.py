"""Finds the data centre, the owner and the dispatcher of a request.

Routing reads only the replicated tables and has two steps. On the entry host, which
received the request from the caller, `route_request` decides whether the request may be
served, and which data centre holds its shard. In that data centre, `find_owner`
determines the upstream that owns the shard, and the host that dispatches to this
upstream.
"""

import hashlib
from typing import NamedTuple

from .data_centre_tables import DataCentreTables
from .global_tables import GlobalTables, region_rule, regions_allowed_for_shard
from .outcomes import Refused
from .records import Account, Dispatcher, Grant, Route, ShardId, UpstreamSession
from .result_codes import ResultCode
from .shards import shard_of_key


class RoutedRequest(NamedTuple):
    """A request that may be served, and the data centre that holds its shard."""

    account: Account
    route: Route
    shard: ShardId
    data_centre: str
    is_home_bound: bool


class Owner(NamedTuple):
    """The grant of a shard, and the session and the dispatcher of its owner."""

    grant: Grant
    session: UpstreamSession
    dispatcher: Dispatcher


def find_account(tables: GlobalTables, token: str) -> Account | Refused:
    """Return the account of a token.

    The digest of the token is looked up, and the token itself is never compared, so the
    time that the lookup takes reveals nothing about the tokens of accounts.
    """
    if not token:
        return Refused(ResultCode.MISSING_TOKEN, "send Authorization: Bearer <token>")
    digest = hashlib.sha256(token.encode()).hexdigest()
    by_token = tables.accounts_by_token
    if not by_token:
        by_token.update({row.token_sha256: row for row in tables.accounts.values()})
    account = by_token.get(digest)
    if account is not None:
        return account
    return Refused(ResultCode.UNKNOWN_TOKEN, "the token is not known")


def route_request(
    tables: GlobalTables,
    account: Account,
    service: str,
    route_name: str,
    method: str,
    key: str,
    own_region: str,
) -> RoutedRequest | Refused:
    """Decide where a request goes, before any of its body is read.

    Parameters
    ----------
    tables : GlobalTables
        Configuration in force on this host.
    account : Account
        The caller's account.
    service, route_name, method, key : str
        Service, route, method and key of the request.
    own_region : str
        Region of this host.

    Returns
    -------
    RoutedRequest or Refused
        A refused request was not run.
    """
    route = tables.routes.get(f"{service}/{route_name}")
    if route is None or route.method != method:
        return Refused(ResultCode.UNKNOWN_ROUTE, f"no {method} /{service}/{route_name}")
    if service not in account.services:
        return Refused(ResultCode.ACCOUNT_NOT_ALLOWED, f"not allowed: {service}")
    shard = shard_of_key(
        service,
        tables.services[service].n_shards,
        tables.home_regions.values(),
        key,
    )
    rule = region_rule(tables, service, shard.domain, account.name)
    if rule is not None and own_region not in rule.regions:
        regions = ", ".join(sorted(rule.regions))
        return Refused(ResultCode.OUTSIDE_HOME_REGION, f"ask a host in {regions}")
    data_centre = home_of_shard(tables, shard, account.name)
    if isinstance(data_centre, Refused):
        return data_centre
    return RoutedRequest(account, route, shard, data_centre, rule is not None)


def home_of_shard(tables: GlobalTables, shard: ShardId, account: str) -> str | Refused:
    """Return the data centre that holds a shard now, if the account may use it.

    The lookup is repeated for every attempt, since the shard may be handed over between
    attempts.
    """
    home = tables.shard_homes.get(shard)
    if home is None:
        return Refused(ResultCode.NO_OWNER, "the shard has no data centre yet")
    data_centre = tables.data_centres.get(home.data_centre)
    if data_centre is None:
        return Refused(ResultCode.NO_OWNER, "the shard's data centre is withdrawn")
    rule = region_rule(tables, shard.service, shard.domain, account)
    if rule is not None and data_centre.region not in rule.regions:
        return Refused(
            ResultCode.OUTSIDE_HOME_REGION, "the key's owner is outside the home region"
        )
    if data_centre.state != "in" and not home.next_data_centre:
        regions = regions_allowed_for_shard(tables, shard)
        if not any(
            row.state == "in" and row.region in regions
            for row in tables.data_centres.values()
        ):
            return Refused(
                ResultCode.DATA_CENTRE_OUT,
                f"{data_centre.name} is out, and no other may hold the key",
            )
    return data_centre.name


def find_owner(tables: DataCentreTables, shard: ShardId) -> Owner | Refused:
    """Return the owner of a shard and the host that dispatches to the owner."""
    grant = tables.grants.get(shard)
    if grant is None:
        return Refused(ResultCode.NO_OWNER, "the shard has no owner just now")
    if grant.state != "held":
        return Refused(ResultCode.NO_OWNER, "the shard is moving")
    session = tables.sessions.get(grant.upstream)
    if session is None or session.state != "serving":
        return Refused(ResultCode.NO_OWNER, "the owner is leaving")
    dispatcher = tables.dispatchers.get(grant.upstream)
    if dispatcher is None or dispatcher.state != "serving":
        return Refused(ResultCode.NOT_DISPATCHER, "the owner's dispatcher is changing")
    return Owner(grant, session, dispatcher)
