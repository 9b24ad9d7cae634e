"""Heartbeats of the soak's upstreams, and upstreams that change their name often."""

import asyncio
import contextlib
import time

from platform_fleet import CONTROL_PORT, heartbeat, send_http_request
from platform_soak_state import CORES, Soak
from platform_soak_upstream import SoakUpstream

HEARTBEAT_INTERVAL_S = 0.4
HEARTBEAT_TIMEOUT_S = 0.5
IDLE_POLL_INTERVAL_S = 0.002
N_IDLE_POLLS = 250


async def send_heartbeats(soak: Soak) -> None:
    """Send the heartbeats of all upstreams until the soak has ended."""
    while not soak.is_finished:
        for upstream in (*soak.upstreams, *soak.keyed_upstreams):
            if not upstream.is_down:
                await _send_heartbeat(soak, upstream.name, _next_heartbeat(upstream))
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)


async def replace_often(soak: Soak, upstream: SoakUpstream) -> None:
    """Replace an upstream by its next incarnation at its interval, if it has one.

    The upstream ends while it runs nothing. Otherwise the same content would lose one
    upstream after the other, as only a request does that ends its upstreams.
    """
    if not upstream.replace_interval_s:
        return
    while not soak.is_finished:
        await asyncio.sleep(upstream.replace_interval_s)
        if await _wait_idle(upstream):
            await replace_upstream(soak, upstream)


async def _wait_idle(upstream: SoakUpstream) -> bool:
    """Wait until an upstream runs nothing; return whether that was the case soon."""
    for _ in range(N_IDLE_POLLS):
        if upstream.n_running == 0:
            return True
        await asyncio.sleep(IDLE_POLL_INTERVAL_S)
    return False


async def replace_upstream(soak: Soak, upstream: SoakUpstream) -> None:
    """Let the next incarnation of an upstream take its address, and say so at once.

    A heartbeat of the former one arrives after that, so that hosts know both at first.
    """
    soak.breaks.append(time.monotonic())
    soak.n_odd_by_kind["replaced at once"] += 1
    former_name, late_heartbeat = upstream.name, _next_heartbeat(upstream)
    await upstream.replace()
    await _send_heartbeat(soak, upstream.name, _next_heartbeat(upstream))
    await _send_heartbeat(soak, former_name, late_heartbeat)


def _next_heartbeat(upstream: SoakUpstream) -> dict[str, object]:
    upstream.sequence += 1
    body = heartbeat(
        upstream.sequence,
        address=upstream.address,
        incarnation=upstream.incarnation,
        service=upstream.service,
        n_slots=upstream.n_slots,
    )
    return {**body, "zone": upstream.zone}


async def _send_heartbeat(soak: Soak, name: str, body: dict[str, object]) -> None:
    url = f"http://{soak.rng.choice(CORES)}:{CONTROL_PORT}/api/instances/{name}"
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
            await send_http_request(soak.http, "PUT", url, json=body)
