"""Operators' queries about a data centre, answered by any host of that data centre.

The host that serves an operator queries one host of each data centre over the peer
network. A query names shards and fingerprints, never keys, so a home-bound key does not
leave the operator's machine.
"""

import asyncio
from typing import Any

from bergamotferry.commands import ReleaseQuarantine
from bergamotferry.hot_key_messages import ExceptionRow, HotKeyList, ListHotKeys
from bergamotferry.hot_keys import hottest_keys
from bergamotferry.messages import (
    FindGrant,
    GrantReport,
    LiftQuarantine,
    ListQuarantine,
    ListUpstreams,
    OperatorQuery,
    QuarantineList,
    UpstreamList,
    UpstreamRow,
)
from bergamotferry.outcomes import Refused
from bergamotferry.records import ShardId

from .clock import now_ns
from .group_commit import commit
from .host_state import HostState
from .logs import log
from .peer_link import PeerUnreachable
from .peer_network import hosts_of_data_centre

QUERY_TIMEOUT_S = 1.5


async def answer_query(state: HostState, query: OperatorQuery) -> Any:
    """Answer a query about this host's own data centre."""
    match query:
        case ListUpstreams():
            return _upstream_list(state)
        case FindGrant():
            report = _grant_report(state, query.shard)
            exceptions = state.own_tables.key_exceptions.values()
            return report._replace(
                n_exceptions=sum(
                    exception.home == query.shard for exception in exceptions
                )
            )
        case ListHotKeys():
            return _hot_key_list(state)
        case ListQuarantine():
            quarantined = tuple(state.own_tables.quarantine.values())
            return QuarantineList(state.host.data_centre, quarantined)
        case LiftQuarantine():
            command = ReleaseQuarantine(query.fingerprint)
            outcome = await commit(state.own_group, command)
            log("quarantine lifted", outcome=str(outcome))
            return int(outcome.code) if isinstance(outcome, Refused) else 0


async def query_data_centre(
    state: HostState, data_centre: str, query: OperatorQuery
) -> Any:
    """Return the first answer of a host of a data centre, or None if none answers.

    This host answers queries about its own data centre itself.
    """
    names = hosts_of_data_centre(state.network.addresses, data_centre)
    if state.host.name in names:
        names = [state.host.name]
    for name in names:
        try:
            reply = await state.network.call(name, query, QUERY_TIMEOUT_S)
        except PeerUnreachable:
            continue
        if reply is not None:
            return reply
    return None


async def query_data_centres(state: HostState, query: OperatorQuery) -> dict[str, Any]:
    """Query one host of each data centre; None stands for a missing answer."""
    names = sorted(
        {address.data_centre for address in state.network.addresses.values()}
    )
    replies = await asyncio.gather(
        *(query_data_centre(state, name, query) for name in names)
    )
    return dict(zip(names, replies, strict=True))


async def query_hot_keys(state: HostState) -> dict[str, HotKeyList | None]:
    """Return the hot keys of each host of this data centre; None without an answer.

    Hosts of other data centres are not queried, so that no key hash leaves this one.
    """

    async def query_host(name: str) -> HotKeyList | None:
        try:
            reply = await state.network.call(name, ListHotKeys(), QUERY_TIMEOUT_S)
        except PeerUnreachable:
            return None
        return reply if isinstance(reply, HotKeyList) else None

    names = hosts_of_data_centre(state.network.addresses, state.host.data_centre)
    replies = await asyncio.gather(*(query_host(name) for name in names))
    return dict(zip(names, replies, strict=True))


def _hot_key_list(state: HostState) -> HotKeyList:
    rows = []
    for exception in state.own_tables.key_exceptions.values():
        grant = state.own_tables.grants.get(exception.shard)
        owner_and_state = (grant.upstream, grant.state) if grant else ("", "free")
        rows.append(
            ExceptionRow(
                exception.home, exception.key_hash, exception.shard, *owner_and_state
            )
        )
    rates = hottest_keys(state.dispatchers.hot_keys, now_ns())
    return HotKeyList(tuple(rows), rates)


def _upstream_list(state: HostState) -> UpstreamList:
    tables = state.own_tables
    counts: dict[str, int] = {}
    for grant in tables.grants.values():
        counts[grant.upstream] = counts.get(grant.upstream, 0) + 1
    rows = []
    for name, session in sorted(tables.sessions.items()):
        dispatcher = tables.dispatchers.get(name)
        host = dispatcher.host if dispatcher else ""
        rows.append(UpstreamRow(session, host, counts.get(name, 0)))
    return UpstreamList(state.host.data_centre, tuple(rows))


def _grant_report(state: HostState, shard: ShardId) -> GrantReport:
    reporter = (state.host.data_centre, state.host.name)
    grant = state.own_tables.grants.get(shard)
    if grant is None:
        return GrantReport(
            *reporter, "", 0, "", "", 0, 0, "no upstream holds the shard"
        )
    dispatcher = state.own_tables.dispatchers.get(grant.upstream)
    observed = state.grant_history.grants.get(shard)
    is_observed = observed is not None and observed.epoch == grant.epoch
    return GrantReport(
        *reporter,
        grant.upstream,
        grant.epoch,
        grant.state,
        dispatcher.host if dispatcher else "",
        dispatcher.epoch if dispatcher else 0,
        observed.seen_at_s if observed and is_observed else 0,
        observed.reason
        if observed and is_observed
        else "granted before this host started",
    )
