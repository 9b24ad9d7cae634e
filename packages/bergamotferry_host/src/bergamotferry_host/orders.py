"""Orders to upstreams: grants and releases, and what this host has stopped.

Only the dispatcher of an upstream gives it orders, and only while it holds its lease.
"""

import aiohttp

from bergamotferry.records import ShardId

from .dispatcher_table import UpstreamWork
from .host_state import HostState
from .logs import log

ORDER_TIMEOUT_S = 1.0


async def order_grants(
    state: HostState, http: aiohttp.ClientSession, work: UpstreamWork
) -> None:
    """Order new grants and releases from an upstream, and note what it confirmed."""
    work.is_ordering = True
    try:
        granted, released = _orders_due(state, work)
        if not granted and not released:
            return
        order = {
            "dispatcher_epoch": work.epoch,
            "incarnation": work.session.incarnation,
            "granted": [[shard_text(shard), epoch] for shard, epoch in granted],
            "released": [[shard_text(shard), epoch] for shard, epoch in released],
        }
        url = f"http://{work.session.address}/bergamotferry/v1/grants"
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        if not state.has_host_lease:
            return
        async with http.post(url, json=order, timeout=timeout) as response:
            if response.status != 200:
                log("order refused", upstream=work.session.name, status=response.status)
                return
        work.confirmed.update(granted)
        work.released.update(released)
    except (aiohttp.ClientError, ConnectionError, TimeoutError):
        return
    finally:
        work.is_ordering = False


def _orders_due(
    state: HostState, work: UpstreamWork
) -> tuple[list[tuple[ShardId, int]], list[tuple[ShardId, int]]]:
    dispatcher = state.own_tables.dispatchers.get(work.session.name)
    if dispatcher is None or dispatcher.state != "serving":
        return [], []
    granted: list[tuple[ShardId, int]] = []
    released: list[tuple[ShardId, int]] = []
    for shard, grant in state.own_tables.grants.items():
        if grant.upstream != work.session.name:
            continue
        if grant.state == "held" and work.confirmed.get(shard) != grant.epoch:
            granted.append((shard, grant.epoch))
        elif grant.state == "revoking" and (shard, grant.epoch) not in work.released:
            if shard not in work.in_flight:
                released.append((shard, grant.epoch))
    return granted, released


def shard_text(shard: ShardId) -> str:
    """Return a shard as upstreams see it, such as ``testlog//17``."""
    return f"{shard.service}/{shard.domain}/{shard.number}"


def drained_upstreams(state: HostState) -> tuple[tuple[str, int], ...]:
    """Return the upstreams, with epoch, that this host has stopped sending to."""
    drained: list[tuple[str, int]] = []
    tables = state.own_tables
    for name, dispatcher in tables.dispatchers.items():
        session = tables.sessions.get(name)
        if dispatcher.host != state.host.name or session is None:
            continue
        is_stopped = session.state != "serving" or dispatcher.state != "serving"
        work = state.dispatchers.works.get(name)
        if is_stopped and (work is None or not work.in_flight):
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
