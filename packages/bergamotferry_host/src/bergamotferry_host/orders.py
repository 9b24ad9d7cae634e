"""Orders to upstreams: grants and releases, and what this host has stopped.

Only the dispatcher of an upstream gives it orders, and only while it holds its lease.
"""

import json

import aiohttp

from bergamotferry.key_exceptions import release_fence
from bergamotferry.outcomes import Refused
from bergamotferry.records import ShardId
from bergamotferry.result_codes import ResultCode

from .dispatcher_table import UpstreamWork
from .host_state import HostState
from .logs import log
from .write_guard import WriteRefusedError

ORDER_TIMEOUT_S = 1.0


async def order_grants(
    state: HostState, http: aiohttp.ClientSession, work: UpstreamWork
) -> None:
    """Order new grants and releases from an upstream, and note what it confirmed.

    What is due is looked for among all grants, so not again before the tables change.
    """
    work.is_ordering = True

    def guard() -> Refused | None:
        if _may_order(state, work):
            return None
        return Refused(ResultCode.NOT_DISPATCHER, "another host may give orders")

    try:
        granted, released = _orders_due(state, work)
        if not granted and not released:
            if _is_settled(state, work):
                work.settled_index = state.own_group.applied_index
            return
        fences = release_fences(state, released)
        work.n_orders += 1
        order = {
            "dispatcher_epoch": work.epoch,
            "session_epoch": work.session.opened_epoch,
            "order": work.n_orders,
            "incarnation": work.session.incarnation,
            "granted": [[shard_text(shard), epoch] for shard, epoch in granted],
            "released": [
                [shard_text(shard), epoch]
                for shard, epoch in [*released, *fences.values()]
            ],
        }
        url = f"http://{work.session.address}/bergamotferry/v1/grants"
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        async with http.post(
            url, json=order, timeout=timeout, trace_request_ctx=guard
        ) as response:
            if response.status != 200:
                log("order refused", upstream=work.session.name, status=response.status)
                return
            busy = _busy_shards(await response.text())
        work.confirmed.update(granted)
        work.released.update(given_back(released, fences, busy))
    except (aiohttp.ClientError, ConnectionError, TimeoutError):
        return
    except (ValueError, LookupError):
        # The reply can't be read, so nothing is taken as confirmed; a charset that is
        # none of text is a LookupError.
        log("order reply unreadable", upstream=work.session.name)
    except WriteRefusedError:
        return
    finally:
        work.is_ordering = False


def release_fences(
    state: HostState, released: list[tuple[ShardId, int]]
) -> dict[tuple[ShardId, int], tuple[ShardId, int]]:
    """Return, by release, the earlier work under another shard that must end too."""
    fences = {row: release_fence(state.own_tables, *row) for row in released}
    return {row: fence for row, fence in fences.items() if fence is not None}


def given_back(
    released: list[tuple[ShardId, int]],
    fences: dict[tuple[ShardId, int], tuple[ShardId, int]],
    busy: set[str],
) -> list[tuple[ShardId, int]]:
    """Return the shards given back, by what an upstream says is still running."""
    return [
        row
        for row in released
        if shard_text(row[0]) not in busy
        and (row not in fences or shard_text(fences[row][0]) not in busy)
    ]


def _may_order(state: HostState, work: UpstreamWork) -> bool:
    tables = state.own_tables
    dispatcher = tables.dispatchers.get(work.session.name)
    session = tables.sessions.get(work.session.name)
    return (
        state.has_host_lease
        and dispatcher is not None
        and dispatcher.host == state.host.name
        and dispatcher.epoch == work.epoch
        and dispatcher.state == "serving"
        and session is not None
        and session.opened_epoch == work.session.opened_epoch
        and session.state != "expired"
    )


def _busy_shards(text: str) -> set[str]:
    # An upstream that still runs requests of a shard keeps it and is asked again.
    try:
        reply = json.loads(text) if text else {}
    except RecursionError as error:
        raise ValueError("the reply is nested too deeply") from error
    busy = reply.get("busy", []) if isinstance(reply, dict) else []
    if not isinstance(busy, list):
        raise ValueError("busy is not a list")
    return {shard for shard in busy if isinstance(shard, str)}


def _orders_due(
    state: HostState, work: UpstreamWork
) -> tuple[list[tuple[ShardId, int]], list[tuple[ShardId, int]]]:
    if not _may_order(state, work):
        return [], []
    granted: list[tuple[ShardId, int]] = []
    released: list[tuple[ShardId, int]] = []
    for shard, grant in state.own_tables.grants.items():
        is_mine = grant.upstream == work.session.name
        if not is_mine:
            continue
        # Grants of an earlier incarnation are under revocation. What an old dispatcher
        # sent under them may run in the new process, which is asked before they go.
        is_current = grant.incarnation == work.session.incarnation
        if (
            is_current
            and grant.state == "held"
            and work.confirmed.get(shard) != grant.epoch
        ):
            granted.append((shard, grant.epoch))
        elif grant.state == "revoking" and (shard, grant.epoch) not in work.released:
            fence = release_fence(state.own_tables, shard, grant.epoch)
            needed = [(shard, grant.epoch), *([fence] if fence else [])]
            if not any(_is_in_flight(work, *row) for row in needed):
                released.append((shard, grant.epoch))
    return granted, released


def _is_settled(state: HostState, work: UpstreamWork) -> bool:
    """Return whether no order can become due before the tables change.

    One can when the host gets its lease, or when the last request ends that a shard is
    waited for which is to be given back.
    """
    is_waiting = any(
        grant.upstream == work.session.name
        and grant.state == "revoking"
        and (shard, grant.epoch) not in work.released
        for shard, grant in state.own_tables.grants.items()
    )
    return _may_order(state, work) and not is_waiting


def _is_in_flight(work: UpstreamWork, shard: ShardId, epoch: int) -> bool:
    return any(known == shard and at <= epoch for known, at in work.in_flight)


def shard_text(shard: ShardId) -> str:
    """Return a shard as upstreams see it, such as ``testlog//17``."""
    return f"{shard.service}/{shard.domain}/{shard.number}"


def drained_upstreams(state: HostState) -> tuple[tuple[str, int], ...]:
    """Return the upstreams, with epoch, that this host has stopped sending to.

    What is reported here must hold for ever: under that epoch it never sends again.
    """
    drained: list[tuple[str, int]] = []
    tables = state.own_tables
    for name, dispatcher in tables.dispatchers.items():
        session = tables.sessions.get(name)
        if dispatcher.host != state.host.name or session is None:
            continue
        is_stopped = session.state == "expired" or dispatcher.state != "serving"
        work = state.dispatchers.works.get(name)
        is_idle = work is None or not (work.in_flight or work.is_ordering)
        if is_stopped and is_idle:
            drained.append((name, dispatcher.epoch))
    return tuple(drained)


def released_shards(state: HostState) -> tuple[tuple[ShardId, int], ...]:
    """Return the shards under revocation that their upstream has given back."""
    grants = state.own_tables.grants
    released: list[tuple[ShardId, int]] = []
    for work in state.dispatchers.works.values():
        for shard, epoch in work.released:
            grant = grants.get(shard)
            if grant is not None and grant.epoch == epoch:
                released.append((shard, epoch))
    return tuple(released)
