"""Probes single keys to measure how long a fault keeps them from being served."""

import asyncio
import time
from collections.abc import Sequence
from typing import NamedTuple

import aiohttp

from .deployments import CALLER_TOKENS

PROBE_TIMEOUT_S = 10.0


class ProbeResult(NamedTuple):
    """Summary of the probes answered after a fault; the time counts from the fault."""

    n_sent: int
    n_failed: int
    served_again_s: float
    failure_codes: tuple[int, ...]


class Probe(NamedTuple):
    """One probe: when it was sent and answered, and its result code.

    The code is 0 for a served request, and -1 if no answer came or it had no code.
    """

    sent_s: float
    answered_s: float
    code: int


async def probe_keys(
    address: str,
    path: str,
    keys: Sequence[str],
    interval_s: float,
    duration_s: float,
) -> list[Probe]:
    """Probe each key at fixed intervals without waiting for earlier probes."""
    probes: list[Probe] = []
    headers = {"Authorization": f"Bearer {CALLER_TOKENS['inspectors']}"}
    timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        headers=headers, timeout=timeout, connector=connector
    ) as http:

        async def probe_key(key: str) -> None:
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
            tasks += [asyncio.create_task(probe_key(key)) for key in keys]
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)
    return probes


def summarize_probes(probes: Sequence[Probe], fault_s: float) -> ProbeResult:
    """Return when all probed keys were served again after a fault, and the failures.

    Only probes answered after the fault count. The time runs from the fault to the last
    answer that failed or was slow; it is 0 if there is none.
    """
    after_fault = [probe for probe in probes if probe.answered_s >= fault_s]
    failed = [probe.code for probe in after_fault if probe.code != 0]
    waits_s = [
        probe.answered_s - fault_s
        for probe in after_fault
        if probe.code != 0 or probe.answered_s - probe.sent_s > _slow_answer_s(probes)
    ]
    return ProbeResult(
        len(after_fault),
        len(failed),
        max(waits_s, default=0.0),
        tuple(sorted(set(failed))),
    )


def _slow_answer_s(probes: Sequence[Probe]) -> float:
    durations_s = sorted(probe.answered_s - probe.sent_s for probe in probes)
    # An answer that took more than three times the median, and more than 0.1 s, is
    # taken to have waited for a new owner.
    return max(0.1, 3 * durations_s[len(durations_s) // 2]) if durations_s else 0.1
