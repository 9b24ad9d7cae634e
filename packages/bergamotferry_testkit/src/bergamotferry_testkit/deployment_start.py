"""Starts a deployment of the testkit and waits until it can serve requests.

A deployment can serve once its hosts are ready, the first release note is in force, and
every shard has an owner.
"""

import asyncio
import json
import subprocess
import sys
import time

from .control import get_control
from .deployments import first_note
from .local_deployment import OPERATOR_TOKEN, LocalDeployment, wait_ready

READY_TIMEOUT_S = 20.0
# Longer than one step of rebalancing, including its handover.
SPREAD_SETTLED_S = 1.0


async def start_ready(deployment: LocalDeployment) -> None:
    """Start a deployment and wait until every shard has an owner.

    The wait for owners ends after `READY_TIMEOUT_S` without an error.

    Raises
    ------
    RuntimeError
        If the first note is not applied or a host is not ready in time.
    """
    deployment.start()
    await apply_first_note(deployment)
    if not await wait_ready(deployment.hosts, READY_TIMEOUT_S):
        raise RuntimeError("the hosts did not become ready in time")
    await wait_owned(deployment, READY_TIMEOUT_S)


async def apply_first_note(deployment: LocalDeployment) -> None:
    """Apply the first release note, with retries while the groups elect leaders.

    Raises
    ------
    RuntimeError
        If the note is not applied in time.
    """
    path = deployment.folder / "note-1.json"
    path.write_text(json.dumps(first_note(deployment.shape), indent=2))
    addresses = ",".join(host.control_address for host in deployment.hosts)
    command = [sys.executable, "-m", "bergamotferry_ctl.main", "--json"]
    command += ["--addresses", addresses, "--token", OPERATOR_TOKEN]
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while True:
        completed = await asyncio.to_thread(
            subprocess.run, [*command, "apply", str(path)], capture_output=True
        )
        if completed.returncode == 0:
            print(f"applied: {completed.stdout.decode().strip()}", flush=True)
            return
        if time.monotonic() > deadline_s:
            raise RuntimeError(f"the note was not applied: {completed.stdout.decode()}")
        await asyncio.sleep(0.2)


async def wait_owned(deployment: LocalDeployment, timeout_s: float) -> int:
    """Wait until all shards have owners or for ``timeout_s``; return how many have."""
    deadline_s = time.monotonic() + timeout_s
    n_expected = sum(service.n_shards for service in deployment.shape.services)
    # The home region of the first service has as many shards of its own.
    n_expected += deployment.shape.services[0].n_shards
    n_owned = 0
    while time.monotonic() < deadline_s:
        n_owned = sum((await _count_shards(deployment)).values())
        if n_owned >= n_expected:
            await asyncio.sleep(0.3)
            return n_owned
        await asyncio.sleep(0.1)
    return n_owned


async def wait_spread(deployment: LocalDeployment, timeout_s: float) -> None:
    """Wait until every data centre holds shards and the counts no longer change.

    Shards are first placed in the data centre that reports its upstreams first. They
    move to the others only after the imbalance has lasted for a while.

    Raises
    ------
    TimeoutError
        If the counts have not settled within ``timeout_s``.
    """
    async with asyncio.timeout(timeout_s):
        previous_counts: dict[str, int] = {}
        while True:
            counts = await _count_shards(deployment)
            if counts == previous_counts and all(counts.values()):
                return
            previous_counts = counts
            await asyncio.sleep(SPREAD_SETTLED_S)


def addresses_by_region(deployment: LocalDeployment) -> dict[str, list[str]]:
    """Return the caller addresses of the hosts of each region."""
    addresses: dict[str, list[str]] = {}
    for host in deployment.hosts:
        addresses.setdefault(host.region, []).append(host.caller_address)
    return addresses


async def _count_shards(deployment: LocalDeployment) -> dict[str, int]:
    """Return how many shards the upstreams of each data centre own."""
    counts: dict[str, int] = {}
    for data_centre in deployment.stand_in_specs:
        host = deployment.hosts_of(data_centre)[0]
        body = await get_control(host.control_address, "upstreams")
        counts[data_centre] = sum(row["n_shards"] for row in body.get("upstreams", []))
    return counts
