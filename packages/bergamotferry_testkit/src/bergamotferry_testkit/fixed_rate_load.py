"""Sends lookups at a fixed rate over one path, to measure what the path costs.

Each request has a scheduled start, and its latency counts from that time. A stall of
the sender or of the path therefore shows in the latencies.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import aiohttp


class Lookup(NamedTuple):
    """URL and headers of a lookup, and the body that its answer must have."""

    url: str
    headers: dict[str, str]
    expected: bytes


@dataclass(slots=True)
class FixedRateResult:
    """Latencies of the correct answers, and the number of failed lookups."""

    latencies_ms: list[float] = field(default_factory=list)
    n_failed: int = 0

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latencies in ms; NaN if there is no answer."""
        ordered = sorted(self.latencies_ms)
        if not ordered:
            return float("nan")
        return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


async def run_at_fixed_rate(
    lookup_of: Callable[[int], Lookup], rate_per_s: float, duration_s: float
) -> FixedRateResult:
    """Send lookups at equal intervals and wait for all answers."""
    result = FixedRateResult()
    n_lookups = int(rate_per_s * duration_s)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        start_s = time.monotonic()
        tasks = []
        for number in range(n_lookups):
            scheduled_s = start_s + number / rate_per_s
            delay_s = scheduled_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            sending = _send(http, lookup_of(number), scheduled_s, result)
            tasks.append(asyncio.create_task(sending))
        await asyncio.gather(*tasks)
    return result


async def _send(
    http: aiohttp.ClientSession,
    lookup: Lookup,
    scheduled_s: float,
    result: FixedRateResult,
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
    result.latencies_ms.append((time.monotonic() - scheduled_s) * 1000)
