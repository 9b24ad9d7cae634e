"""Sends orders to upstreams; reports drained upstreams and released shards.

An order grants shards to an upstream or asks the upstream to release shards. Only the
dispatcher of an upstream may send it orders, and only while the dispatcher's host holds
its lease.
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
    """Send due grants and releases to an upstream, and record what it confirms.

    Finding the due orders scans all grants. When none is due or can become due, the
    applied index is stored as ``settled_index``, and the scan is not repeated before
    the tables change.
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
        work.last_order_number += 1
        order = {
            "dispatcher_epoch": work.epoch,
            "session_epoch": work.session.opened_epoch,
            "order": work.last_order_number,
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
        work.released.update(completed_releases(released, fences, busy))
    except (aiohttp.ClientError, ConnectionError, TimeoutError):
        return
    except (ValueError, LookupError):
        # A reply that can't be read confirms nothing. A charset that is not a text
        # encoding raises LookupError.
        log("order reply unreadable", upstream=work.session.name)
    except WriteRefusedError:
        return
    finally:
        work.is_ordering = False


def release_fences(
    state: HostState, released: list[tuple[ShardId, int]]
) -> dict[tuple[ShardId, int], tuple[ShardId, int]]:
    """Return the other shards that releases must wait for, with the epochs to wait for.

    A release that waits only for requests of its own shard has no entry.
    """
    fences = {
        release: release_fence(state.own_tables, *release) for release in released
    }
    return {release: fence for release, fence in fences.items() if fence is not None}


def completed_releases(
    released: list[tuple[ShardId, int]],
    fences: dict[tuple[ShardId, int], tuple[ShardId, int]],
    busy: set[str],
) -> list[tuple[ShardId, int]]:
    """Return the releases that are complete, given the shards reported as busy."""
    return [
        release
        for release in released
        if shard_text(release[0]) not in busy
        and (release not in fences or shard_text(fences[release][0]) not in busy)
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
    # An upstream keeps a shard while it runs requests of that shard. Its release is
    # ordered again by a later call of `order_grants`.
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
        is_same_upstream = grant.upstream == work.session.name
        if not is_same_upstream:
            continue
        # Grants of an earlier incarnation are under revocation. Requests that an
        # earlier dispatcher sent under such a grant may run in the new process, so
        # the new process must confirm the release as well.
        is_current = grant.incarnation == work.session.incarnation
        if (
            is_current
            and grant.state == "held"
            and work.confirmed.get(shard) != grant.epoch
        ):
            granted.append((shard, grant.epoch))
        elif grant.state == "revoking" and (shard, grant.epoch) not in work.released:
            fence = release_fence(state.own_tables, shard, grant.epoch)
            blocking = [(shard, grant.epoch), *([fence] if fence else [])]
            if not any(_is_in_flight(work, *grant_key) for grant_key in blocking):
                released.append((shard, grant.epoch))
    return granted, released


def _is_settled(state: HostState, work: UpstreamWork) -> bool:
    """Return whether no order can become due before the tables change.

    Two events make an order due without a change of the tables: the host obtains its
    lease, or the last request in flight that delays the release of a shard ends.
    """
    has_pending_release = any(
        grant.upstream == work.session.name
        and grant.state == "revoking"
        and (shard, grant.epoch) not in work.released
        for shard, grant in state.own_tables.grants.items()
    )
    return _may_order(state, work) and not has_pending_release


def _is_in_flight(work: UpstreamWork, shard: ShardId, epoch: int) -> bool:
    return any(
        sent_shard == shard and sent_epoch <= epoch
        for sent_shard, sent_epoch in work.in_flight
    )


def shard_text(shard: ShardId) -> str:
    """Return a shard as text for upstreams, such as ``testlog//17``."""
    return f"{shard.service}/{shard.domain}/{shard.number}"


def drained_upstreams(state: HostState) -> tuple[tuple[str, int], ...]:
    """Return upstream and dispatcher epoch wherever this host has stopped sending.

    The report is final: the host never again sends to the upstream under that epoch.
    """
    drained: list[tuple[str, int]] = []
    tables = state.own_tables
    for name, dispatcher in tables.dispatchers.items():
        session = tables.sessions.get(name)
        if dispatcher.host != state.host.name or session is None:
            continue
        is_stopped = session.state == "expired" or dispatcher.state != "serving"
        work = state.dispatchers.work_by_upstream.get(name)
        is_idle = work is None or not (work.in_flight or work.is_ordering)
        if is_stopped and is_idle:
            drained.append((name, dispatcher.epoch))
    return tuple(drained)


def released_shards(state: HostState) -> tuple[tuple[ShardId, int], ...]:
    """Return shard and epoch of each revoked grant that its upstream has released."""
    grants = state.own_tables.grants
    released: list[tuple[ShardId, int]] = []
    for work in state.dispatchers.work_by_upstream.values():
        for shard, epoch in work.released:
            grant = grants.get(shard)
            if grant is not None and grant.epoch == epoch:
                released.append((shard, epoch))
    return tuple(released)
