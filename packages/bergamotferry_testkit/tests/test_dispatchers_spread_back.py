"""A returning host dispatches for its share of the upstreams; no request fails.

Runs a deployment of processes under load. Guards against a host that stays without
upstreams after a restart, and against requests that fail while dispatchers move.
"""

import asyncio
import random
import time
from collections import Counter

from bergamotferry_testkit.balanced_load import BalancedLoad
from bergamotferry_testkit.control import get_control
from bergamotferry_testkit.deployment_start import start_ready
from bergamotferry_testkit.deployments import (
    DeploymentShape,
    RouteShape,
    ServiceShape,
)
from bergamotferry_testkit.local_deployment import LocalDeployment, stop_processes

SHAPE = DeploymentShape(
    "spread",
    {"north": ("a",)},
    3,
    (
        ServiceShape("testlog", 6, 2, 48, 5.0),
        ServiceShape("archive", 3, 2, 12, 5.0),
    ),
    (
        RouteShape("testlog", "lookup", "GET", "lookup", 4000, 0.8),
        RouteShape("testlog", "filing", "POST", "filing", 10_000, 0.15),
        RouteShape("archive", "bundle", "GET", "bulk", 30_000, 0.05),
    ),
    "home-",
    "north",
)
RATE_PER_S = 60.0
SPREAD_TIMEOUT_S = 60.0


async def wait_for_counts(deployment, is_reached):
    """Poll the number of upstreams that each host dispatches for.

    Returns the last counts, once ``is_reached`` accepts them or after
    ``SPREAD_TIMEOUT_S``.
    """
    deadline_s = time.monotonic() + SPREAD_TIMEOUT_S
    while True:
        body = await get_control(deployment.hosts[0].control_address, "upstreams")
        counts = Counter({host.name: 0 for host in deployment.hosts})
        counts.update(upstream["dispatcher"] for upstream in body["upstreams"])
        if is_reached(counts) or time.monotonic() > deadline_s:
            return counts
        await asyncio.sleep(0.2)


async def run_scenario(deployment, load):
    await start_ready(deployment)
    returning = deployment.hosts[2]
    await asyncio.to_thread(stop_processes, [returning.process])
    await wait_for_counts(deployment, lambda counts: counts[returning.name] == 0)
    deployment.start_host(returning)
    load_task = asyncio.create_task(load.run())
    counts = await wait_for_counts(
        deployment, lambda counts: max(counts.values()) - min(counts.values()) <= 1
    )
    load.is_stopping = True
    await load_task
    return counts


def test_restarted_host_gets_its_share_of_upstreams_and_no_request_fails(tmp_path):
    deployment = LocalDeployment.from_config(SHAPE, tmp_path)
    load = BalancedLoad(SHAPE, deployment.hosts, RATE_PER_S, 1 << 20, random.Random(3))
    try:
        counts = asyncio.run(run_scenario(deployment, load))
    finally:
        deployment.stop()
    print(dict(counts), load.n_sent, load.failures)
    assert max(counts.values()) - min(counts.values()) <= 1
    assert load.n_sent > 0
    assert load.failures == []
