"""Open-loop load: requests start at planned times, whether or not earlier ones ended.

Latency counts from the planned time, so that a stall which delays later sends shows in
their latencies. Every answer is checked against the body expected for its request.
"""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

import aiohttp
from hdrh.histogram import HdrHistogram

from .answers import (
    BLOCK_BYTES,
    archive_block,
    archive_size_bytes,
    filing_answer,
    lookup_answer,
)
from .deployments import CALLER_TOKENS, DeploymentShape, RouteShape

LATENCY_MAX_US = 120_000_000
SIGNIFICANT_DIGITS = 3
CODE_SERVED = 0


class PlannedRequest(NamedTuple):
    """One request of a plan; ``at_s`` counts from the start of the load."""

    at_s: float
    route: RouteShape
    account: str
    key: str
    idempotency_key: str
    addresses: tuple[str, ...]


@dataclass(slots=True)
class RouteResult:
    """Counts and latencies of the requests of one route."""

    n_sent: int = 0
    n_answered: int = 0
    n_wrong: int = 0
    n_broken: int = 0
    n_rerouted: int = 0
    refused: Counter[int] = field(default_factory=Counter)
    latency_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
    )


@dataclass(slots=True)
class LoadResult:
    """Results by route, and the filings acknowledged and those refused as not run.

    The sets hold idempotency keys; a request without one adds an empty string.
    """

    routes: dict[str, RouteResult] = field(default_factory=dict)
    acknowledged: set[str] = field(default_factory=set)
    refused_not_run: set[str] = field(default_factory=set)


def plan_load(
    shape: DeploymentShape,
    addresses_by_region: dict[str, list[str]],
    rate_per_s: float,
    duration_s: float,
    n_keys: int,
    seed: int,
    n_requests_max: int | None = None,
) -> list[PlannedRequest]:
    """Plan requests with exponentially distributed gaps.

    Home-bound requests go to hosts of the home region, all others to any host. If there
    are two hosts or more, each request has a second address, which is used if the first
    host takes no connection.
    """
    rng = random.Random(seed)
    planned: list[PlannedRequest] = []
    all_addresses = [
        address for addresses in addresses_by_region.values() for address in addresses
    ]
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(rate_per_s)) < duration_s:
        if n_requests_max is not None and len(planned) >= n_requests_max:
            break
        route = rng.choices(shape.routes, [r.share for r in shape.routes])[0]
        is_home = route.service == shape.services[0].name and rng.random() < 0.1
        key = f"key-{rng.randrange(n_keys)}"
        addresses = tuple(all_addresses)
        if is_home:
            key = shape.home_prefix + key
            addresses = tuple(addresses_by_region[shape.home_region])
        account = "home" if is_home else "inspectors"
        # With only one ready host there is no second address.
        chosen = tuple(rng.sample(addresses, min(2, len(addresses))))
        filing_id = f"{seed}-{len(planned)}" if route.method == "POST" else ""
        planned.append(PlannedRequest(at_s, route, account, key, filing_id, chosen))
    return planned


async def run_load(planned: list[PlannedRequest], archive_bytes: int) -> LoadResult:
    """Run a plan and return its results."""
    result = LoadResult()
    start_s = time.monotonic()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        tasks: list[asyncio.Task[None]] = []
        for request in planned:
            delay_s = start_s + request.at_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            sending = _send_planned(
                http, request, start_s + request.at_s, archive_bytes, result
            )
            tasks.append(asyncio.create_task(sending))
        await asyncio.gather(*tasks)
    return result


async def _send_planned(
    http: aiohttp.ClientSession,
    request: PlannedRequest,
    planned_s: float,
    archive_bytes: int,
    result: LoadResult,
) -> None:
    route = request.route
    route_result = result.routes.setdefault(
        f"{route.service}/{route.name}", RouteResult()
    )
    route_result.n_sent += 1
    headers = {"Authorization": f"Bearer {CALLER_TOKENS[request.account]}"}
    body = None
    if request.idempotency_key:
        headers["Idempotency-Key"] = request.idempotency_key
        body = f"filing {request.idempotency_key}".encode()
    for address in request.addresses:
        try:
            await _request_host(
                http, request, address, headers, body, archive_bytes, result
            )
        except aiohttp.ClientConnectorError:
            # The platform's load balancer skips a host that takes no connection.
            route_result.n_rerouted += 1
            continue
        except (aiohttp.ClientError, TimeoutError, ConnectionError):
            route_result.n_broken += 1
            return
        latency_us = int((time.monotonic() - planned_s) * 1e6)
        route_result.latency_us.record_value(max(1, latency_us))
        return
    route_result.n_broken += 1


async def _request_host(
    http: aiohttp.ClientSession,
    request: PlannedRequest,
    address: str,
    headers: dict[str, str],
    body: bytes | None,
    archive_bytes: int,
    result: LoadResult,
) -> None:
    route = request.route
    route_result = result.routes[f"{route.service}/{route.name}"]
    url = f"http://{address}/v1/{route.service}/{route.name}/{request.key}"
    timeout = aiohttp.ClientTimeout(total=route.deadline_ms / 1000 + 5)
    async with http.request(
        route.method, url, headers=headers, data=body, timeout=timeout
    ) as response:
        code = int(response.headers.get("Bergamotferry-Code", "-1"))
        if code != CODE_SERVED:
            route_result.refused[code] += 1
            if response.headers.get("Bergamotferry-Not-Run") == "true":
                result.refused_not_run.add(request.idempotency_key)
        elif await _is_expected_answer(response, request, body or b"", archive_bytes):
            route_result.n_answered += 1
            result.acknowledged.add(request.idempotency_key)
        else:
            route_result.n_wrong += 1


async def _is_expected_answer(
    response: aiohttp.ClientResponse,
    request: PlannedRequest,
    body: bytes,
    archive_bytes: int,
) -> bool:
    route = request.route
    if response.status != 200:
        return False
    if route.traffic_class == "bulk":
        return await _is_expected_archive(response, request.key, archive_bytes)
    if route.method == "POST":
        expected = filing_answer(route.service, route.name, request.key, body)
    else:
        expected = lookup_answer(route.service, route.name, request.key)
    return await response.read() == expected


async def _is_expected_archive(
    response: aiohttp.ClientResponse, key: str, archive_bytes: int
) -> bool:
    size_bytes = archive_size_bytes(key, archive_bytes)
    for number in range(size_bytes // BLOCK_BYTES):
        block = await response.content.readexactly(BLOCK_BYTES)
        if block != archive_block(key, number):
            return False
    return await response.content.read() == b""
