"""A deployment of two hosts and one upstream, on which paths are compared.

The upstream stands in the first data centre, whose only host dispatches for it. A
lookup goes to the stand-in itself, through that host alone, or through both hosts.
"""

import asyncio
import json
import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Literal, NamedTuple

from bergamotferry.shards import shard_of_key
from bergamotferry_host.orders import shard_text

from .answers import lookup_answer
from .deployment_start import READY_TIMEOUT_S, apply_first_note, wait_owned
from .deployments import CALLER_TOKENS, DeploymentShape, RouteShape, ServiceShape
from .local_deployment import HOST_MODULE, HostProcess, LocalDeployment, wait_ready
from .paced_load import Lookup

BenchPath = Literal["direct", "one_host", "two_hosts"]

N_KEYS = 1000
N_SHARDS = 64
N_SLOTS = 1024
SERVICE_TIME_MS = 0.5
SETTLE_S = 2.0
SERVICE = "testlog"
ROUTE = "lookup"

BENCH_SHAPE = DeploymentShape(
    "bench",
    {"ishikari": ("ishikari-a", "ishikari-b")},
    1,
    (ServiceShape(SERVICE, 1, N_SLOTS, N_SHARDS, SERVICE_TIME_MS),),
    (RouteShape(SERVICE, ROUTE, "GET", "lookup", 30_000, 1.0),),
    "asahikawa-",
    "ishikari",
)


class Granted(NamedTuple):
    """The epochs under which the upstream takes a request without a host."""

    epochs: dict[str, int]
    dispatcher_epoch: int


@dataclass(slots=True)
class Bench:
    """The running deployment and its parts."""

    deployment: LocalDeployment

    @property
    def dispatcher(self) -> HostProcess:
        """The host that dispatches for the upstream."""
        return self.deployment.hosts[0]

    @property
    def entry(self) -> HostProcess:
        """The host of the other data centre."""
        return self.deployment.hosts[1]

    @property
    def upstream_address(self) -> str:
        """Where the stand-in listens."""
        word = self.deployment.stand_in_words["ishikari-a"][0]
        return f"127.0.0.1:{word.split(',')[2]}"


async def start_bench(folder: Path, host_module: str = HOST_MODULE) -> Bench:
    """Start the deployment and wait until every shard has its owner."""
    return Bench(await start_settled(BENCH_SHAPE, folder, host_module))


async def start_settled(
    shape: DeploymentShape, folder: Path, host_module: str = HOST_MODULE
) -> LocalDeployment:
    """Start a deployment in a folder of its own and wait until it has settled."""
    deployment = LocalDeployment.from_config(shape, folder / str(time.time_ns()))
    deployment.host_module = host_module
    try:
        deployment.start()
        await apply_first_note(deployment)
        if not await wait_ready(deployment.hosts, READY_TIMEOUT_S):
            raise RuntimeError("the hosts did not become ready in time")
        if any(service.n_upstreams for service in shape.services):
            await wait_owned(deployment, READY_TIMEOUT_S)
        await asyncio.sleep(SETTLE_S)
    except BaseException:
        deployment.stop()
        raise
    return deployment


def lookups_of(bench: Bench, path: BenchPath) -> Callable[[int], Lookup]:
    """Return the lookups of a path, by number; keys repeat after `N_KEYS`."""
    keys = [f"key-{number}" for number in range(N_KEYS)]
    answers = [lookup_answer(SERVICE, ROUTE, key) for key in keys]
    if path == "direct":
        granted = _granted_epochs(bench)
        headers = [_direct_headers(granted, key) for key in keys]
        base = f"http://{bench.upstream_address}/{ROUTE}"
    else:
        token = CALLER_TOKENS["inspectors"]
        headers = [{"Authorization": f"Bearer {token}"}] * N_KEYS
        host = bench.dispatcher if path == "one_host" else bench.entry
        base = f"http://{host.caller_address}/v1/{SERVICE}/{ROUTE}"

    def lookup_of(number: int) -> Lookup:
        index = number % N_KEYS
        return Lookup(f"{base}/{keys[index]}", headers[index], answers[index])

    return lookup_of


def daemon_pids(bench: Bench) -> list[int]:
    """Return the process ids of both hosts, the dispatcher first."""
    return [host.process.pid if host.process else os.getpid() for host in _hosts(bench)]


def _hosts(bench: Bench) -> list[HostProcess]:
    return [bench.dispatcher, bench.entry]


def _granted_epochs(bench: Bench) -> Granted:
    path = bench.deployment.records_path("ishikari-a")
    epochs: dict[str, int] = {}
    dispatcher_epoch = 0
    for line in path.read_text().splitlines():
        event = json.loads(line)
        if event["event"] == "order":
            epochs.update(dict(event["granted"]))
            dispatcher_epoch = event["dispatcher_epoch"]
    return Granted(epochs, dispatcher_epoch)


def _direct_headers(granted: Granted, key: str) -> dict[str, str]:
    shard = shard_text(shard_of_key(SERVICE, N_SHARDS, [], key))
    return {
        "Bergamotferry-Shard": shard,
        "Bergamotferry-Epoch": str(granted.epochs.get(shard, 0)),
        # A stand-in takes nothing of a dispatcher older than its newest order.
        "Bergamotferry-Dispatcher-Epoch": str(granted.dispatcher_epoch),
    }
