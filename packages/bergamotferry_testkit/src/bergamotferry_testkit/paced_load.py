"""Lookups at a fixed rate over one path, for measuring what a path costs.

Requests start at planned times and latency counts from them, so that a stall shows.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import aiohttp


class Lookup(NamedTuple):
    """Where a lookup goes, and the body that must come back."""

    url: str
    headers: dict[str, str]
    expected: bytes


@dataclass(slots=True)
class PacedResult:
    """Latencies of right answers, and how many others there were."""

    latencies_ms: list[float] = field(default_factory=list)
    n_failed: int = 0

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latency; NaN if nothing was answered."""
        ordered = sorted(self.latencies_ms)
        if not ordered:
            return float("nan")
        return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


async def run_paced(
    lookup_of: Callable[[int], Lookup], rate_per_s: float, duration_s: float
) -> PacedResult:
    """Send lookups with equal gaps and wait for every answer."""
    result = PacedResult()
    n_lookups = int(rate_per_s * duration_s)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        start_s = time.monotonic()
        tasks = []
        for number in range(n_lookups):
            planned_s = start_s + number / rate_per_s
            delay_s = planned_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            work = _send(http, lookup_of(number), planned_s, result)
            tasks.append(asyncio.create_task(work))
        await asyncio.gather(*tasks)
    return result


async def _send(
    http: aiohttp.ClientSession, lookup: Lookup, planned_s: float, result: PacedResult
) -> None:
    try:
        async with http.get(lookup.url, headers=lookup.headers) as response:
            body = await response.read()
    except (aiohttp.ClientError, TimeoutError, ConnectionError):
        result.n_failed += 1
        return
    if response.status != 200 or body != lookup.expected:
        result.n_failed += 1
        return
    result.latencies_ms.append((time.monotonic() - planned_s) * 1000)
