"""Brings a deployment of the testkit to where requests can be sent to it.

That is: hosts ready, the first release note in force, and an owner for every shard.
"""

import asyncio
import json
import subprocess
import sys
import time

from .control import ask_control
from .deployments import first_note
from .local_deployment import OPERATOR_TOKEN, LocalDeployment, wait_ready

READY_TIMEOUT_S = 20.0
# Longer than a step of rebalancing, with its handover.
SPREAD_SETTLED_S = 1.0


async def start_ready(deployment: LocalDeployment) -> None:
    """Start a deployment and wait until every shard has an owner."""
    deployment.start()
    await apply_first_note(deployment)
    if not await wait_ready(deployment.hosts, READY_TIMEOUT_S):
        raise RuntimeError("the hosts did not become ready in time")
    await wait_owned(deployment, READY_TIMEOUT_S)


async def apply_first_note(deployment: LocalDeployment) -> None:
    """Apply the first release note, trying again while the groups elect leaders."""
    path = deployment.folder / "note-1.json"
    path.write_text(json.dumps(first_note(deployment.shape), indent=2))
    addresses = ",".join(host.control_address for host in deployment.hosts)
    command = [sys.executable, "-m", "bergamotferry_ctl.main", "--json"]
    command += ["--addresses", addresses, "--token", OPERATOR_TOKEN]
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while True:
        done = await asyncio.to_thread(
            subprocess.run, [*command, "apply", str(path)], capture_output=True
        )
        if done.returncode == 0:
            print(f"applied: {done.stdout.decode().strip()}", flush=True)
            return
        if time.monotonic() > deadline_s:
            raise RuntimeError(f"the note was not applied: {done.stdout.decode()}")
        await asyncio.sleep(0.2)


async def wait_owned(deployment: LocalDeployment, timeout_s: float) -> int:
    """Wait until every shard has an owner; return how many have one."""
    deadline_s = time.monotonic() + timeout_s
    n_expected = sum(service.n_shards for service in deployment.shape.services)
    # The first service has a home domain of its own as well.
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
    """Wait until every data centre holds shards and none has moved for a while.

    Shards are placed on whichever data centre reports its upstreams first, and go to
    the others only once the unevenness has lasted.

    Raises
    ------
    TimeoutError
        If that has not come about in time.
    """
    async with asyncio.timeout(timeout_s):
        before: dict[str, int] = {}
        while True:
            counts = await _count_shards(deployment)
            if counts == before and all(counts.values()):
                return
            before = counts
            await asyncio.sleep(SPREAD_SETTLED_S)


def addresses_by_region(deployment: LocalDeployment) -> dict[str, list[str]]:
    """Return the callers' addresses of each region."""
    addresses: dict[str, list[str]] = {}
    for host in deployment.hosts:
        addresses.setdefault(host.region, []).append(host.caller_address)
    return addresses


async def _count_shards(deployment: LocalDeployment) -> dict[str, int]:
    """Return how many shards the upstreams of each data centre own."""
    counts: dict[str, int] = {}
    for data_centre in deployment.stand_in_words:
        host = deployment.hosts_of(data_centre)[0]
        body = await ask_control(host.control_address, "upstreams")
        counts[data_centre] = sum(row["n_shards"] for row in body.get("upstreams", []))
    return counts
