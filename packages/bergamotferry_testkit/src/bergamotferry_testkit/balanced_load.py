"""Steady load on the hosts that are ready, as behind the platform's load balancer.

A poller checks the readiness of every host, and requests go to ready hosts only.
Failures are recorded with their times, so that a test can attribute each to a fault.
"""

import asyncio
import random
import time
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import aiohttp

from .deployments import DeploymentShape
from .load import LoadResult, PlannedRequest, plan_load, run_load
from .local_deployment import HostProcess

POLL_S = 0.1
PROBE_TIMEOUT_S = 0.5


class Failure(NamedTuple):
    """A request without the expected answer; ``at_s`` is the time of its send."""

    at_s: float
    request: PlannedRequest
    outcome: str


@dataclass(slots=True)
class BalancedLoad:
    """Load that runs until it is stopped, and its results so far."""

    shape: DeploymentShape
    hosts: list[HostProcess]
    rate_per_s: float
    archive_bytes: int
    rng: random.Random
    ready: set[str] = field(default_factory=set)
    failures: list[Failure] = field(default_factory=list)
    acknowledged: set[str] = field(default_factory=set)
    refused_not_run: set[str] = field(default_factory=set)
    n_sent: int = 0
    is_stopping: bool = False

    async def run(self) -> None:
        """Send requests until ``is_stopping`` is set, then wait for the answers."""
        poller = asyncio.create_task(self._poll())
        tasks: list[asyncio.Task[None]] = []
        while not self.is_stopping:
            await asyncio.sleep(self.rng.expovariate(self.rate_per_s))
            if self.ready:
                tasks.append(asyncio.create_task(self._send_request()))
        await asyncio.gather(*tasks)
        poller.cancel()

    def failures_since(self, start_s: float) -> list[Failure]:
        """Return the failures of requests sent since a monotonic time, in seconds."""
        return [failure for failure in self.failures if failure.at_s >= start_s]

    async def _send_request(self) -> None:
        self.n_sent += 1
        sent_s = time.monotonic()
        addresses_by_region = ready_addresses(self.hosts, self.ready)
        seed = self.rng.getrandbits(48)
        planned = plan_load(self.shape, addresses_by_region, 1.0, 1e9, 400, seed, 1)
        request = planned[0]._replace(at_s=0.0)
        result = await run_load([request], self.archive_bytes)
        self.acknowledged |= result.acknowledged
        self.refused_not_run |= result.refused_not_run
        outcome = _failure_text(result)
        if outcome:
            self.failures.append(Failure(sent_s, request, outcome))

    async def _poll(self) -> None:
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as http:
            while True:
                await asyncio.gather(*(self._probe(http, host) for host in self.hosts))
                await asyncio.sleep(POLL_S)

    async def _probe(self, http: aiohttp.ClientSession, host: HostProcess) -> None:
        try:
            async with http.get(f"http://{host.caller_address}/ready") as response:
                is_ready = response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            is_ready = False
        if is_ready:
            self.ready.add(host.name)
        else:
            self.ready.discard(host.name)


def ready_addresses(
    hosts: Iterable[HostProcess], ready: Collection[str]
) -> dict[str, list[str]]:
    """Return the addresses that serve the callers of each region.

    Callers of a region without a ready host use the ready hosts of other regions, as
    behind a load balancer. A region may lack a ready host without a fault: on a busy
    machine the probes of all its hosts may be late at once.
    """
    all_hosts = list(hosts)
    all_ready = [host.caller_address for host in all_hosts if host.name in ready]
    addresses_by_region: dict[str, list[str]] = {}
    for region in sorted({host.region for host in all_hosts}):
        own = [
            host.caller_address
            for host in all_hosts
            if host.region == region and host.name in ready
        ]
        addresses_by_region[region] = own or all_ready
    return addresses_by_region


def _failure_text(result: LoadResult) -> str:
    for route_result in result.routes.values():
        if route_result.n_answered != route_result.n_sent:
            codes = ",".join(str(code) for code in route_result.refused)
            return f"refused {codes}" if codes else f"broken {route_result.n_broken}"
    return ""
