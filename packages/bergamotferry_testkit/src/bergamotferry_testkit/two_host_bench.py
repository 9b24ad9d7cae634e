"""A deployment of two hosts and one upstream, for comparing request paths.

The upstream is in the first data centre, whose only host dispatches for it. A lookup is
sent directly to the stand-in, through that host alone, or through both hosts.
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
from .fixed_rate_load import Lookup
from .local_deployment import HOST_MODULE, HostProcess, LocalDeployment, wait_ready

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


class GrantedEpochs(NamedTuple):
    """The epochs that a request sent directly to the upstream must carry.

    ``epochs`` holds the epoch of each granted shard.
    """

    epochs: dict[str, int]
    dispatcher_epoch: int


@dataclass(slots=True)
class Bench:
    """A running deployment, with its two hosts by their role."""

    deployment: LocalDeployment

    @property
    def dispatcher(self) -> HostProcess:
        """The host that dispatches for the upstream."""
        return self.deployment.hosts[0]

    @property
    def entry(self) -> HostProcess:
        """The host of the other data centre, which forwards to the dispatcher."""
        return self.deployment.hosts[1]

    @property
    def upstream_address(self) -> str:
        """The address on which the stand-in listens."""
        spec = self.deployment.stand_in_specs["ishikari-a"][0]
        return f"127.0.0.1:{spec.split(',')[2]}"


async def start_bench(folder: Path, host_module: str = HOST_MODULE) -> Bench:
    """Start the bench deployment and wait until it has settled; see `start_settled`."""
    return Bench(await start_settled(BENCH_SHAPE, folder, host_module))


async def start_settled(
    shape: DeploymentShape, folder: Path, host_module: str = HOST_MODULE
) -> LocalDeployment:
    """Start a deployment in a new subfolder and wait until it has settled.

    All hosts must become ready. If the deployment has upstreams, the function also
    waits until every shard has an owner, up to the same time limit. A pause of 2 s lets
    the remaining activity end.

    Raises
    ------
    RuntimeError
        If the hosts do not become ready in time.
    """
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


def lookups_on_path(bench: Bench, path: BenchPath) -> Callable[[int], Lookup]:
    """Return a function that makes a path's n-th lookup; keys repeat after `N_KEYS`."""
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

    def make_lookup(number: int) -> Lookup:
        index = number % N_KEYS
        return Lookup(f"{base}/{keys[index]}", headers[index], answers[index])

    return make_lookup


def daemon_pids(bench: Bench) -> list[int]:
    """Return the process ids of both hosts, first that of the dispatcher.

    The id of the calling process stands for a host that was never started.
    """
    return [
        host.process.pid if host.process else os.getpid()
        for host in _hosts_by_role(bench)
    ]


def _hosts_by_role(bench: Bench) -> list[HostProcess]:
    return [bench.dispatcher, bench.entry]


def _granted_epochs(bench: Bench) -> GrantedEpochs:
    path = bench.deployment.records_path("ishikari-a")
    epochs: dict[str, int] = {}
    dispatcher_epoch = 0
    for line in path.read_text().splitlines():
        record = json.loads(line)
        if record["event"] == "order":
            epochs.update(dict(record["granted"]))
            dispatcher_epoch = record["dispatcher_epoch"]
    return GrantedEpochs(epochs, dispatcher_epoch)


def _direct_headers(granted: GrantedEpochs, key: str) -> dict[str, str]:
    shard = shard_text(shard_of_key(SERVICE, N_SHARDS, [], key))
    return {
        "Bergamotferry-Shard": shard,
        "Bergamotferry-Epoch": str(granted.epochs.get(shard, 0)),
        # A stand-in refuses requests whose dispatcher epoch is older than that of its
        # newest order.
        "Bergamotferry-Dispatcher-Epoch": str(granted.dispatcher_epoch),
    }
