"""Probes of single keys: how long until they are served again after a fault."""

import asyncio
import time
from collections.abc import Sequence
from typing import NamedTuple

import aiohttp

from .deployments import CALLER_TOKENS

PROBE_TIMEOUT_S = 10.0


class ProbeResult(NamedTuple):
    """What probes saw: times count from the fault, and a failure by its code."""

    n_sent: int
    n_failed: int
    served_again_s: float
    failure_codes: tuple[int, ...]


class Probe(NamedTuple):
    """One probe: when it was sent and answered, and its result code."""

    sent_s: float
    answered_s: float
    code: int


async def probe_keys(
    address: str,
    path: str,
    keys: Sequence[str],
    every_s: float,
    duration_s: float,
) -> list[Probe]:
    """Ask for each key at fixed intervals, whatever became of earlier probes."""
    probes: list[Probe] = []
    headers = {"Authorization": f"Bearer {CALLER_TOKENS['inspectors']}"}
    timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        headers=headers, timeout=timeout, connector=connector
    ) as http:

        async def ask(key: str) -> None:
            sent_s = time.monotonic()
            url = f"http://{address}/v1/{path}/{key}"
            try:
                async with http.get(url) as response:
                    await response.read()
                    code = int(response.headers.get("Bergamotferry-Code", "-1"))
            except (aiohttp.ClientError, TimeoutError):
                code = -1
            probes.append(Probe(sent_s, time.monotonic(), code))

        tasks: list[asyncio.Task[None]] = []
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            tasks += [asyncio.create_task(ask(key)) for key in keys]
            await asyncio.sleep(every_s)
        await asyncio.gather(*tasks)
    return probes


def judge_probes(probes: Sequence[Probe], fault_s: float) -> ProbeResult:
    """Return how long after a fault the last probe waited for its answer.

    The longest wait among probes sent after the fault, counted from the fault, is the
    time until every probed key was served again.
    """
    later = [probe for probe in probes if probe.answered_s >= fault_s]
    failed = [probe.code for probe in later if probe.code != 0]
    waits = [
        probe.answered_s - fault_s
        for probe in later
        if probe.code != 0 or probe.answered_s - probe.sent_s > _usual_s(probes)
    ]
    return ProbeResult(
        len(later), len(failed), max(waits, default=0.0), tuple(sorted(set(failed)))
    )


def _usual_s(probes: Sequence[Probe]) -> float:
    took = sorted(probe.answered_s - probe.sent_s for probe in probes)
    # Three times the median separates a wait for a new owner from a slow answer.
    return max(0.1, 3 * took[len(took) // 2]) if took else 0.1
