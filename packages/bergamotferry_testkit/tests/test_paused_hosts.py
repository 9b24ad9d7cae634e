"""A host that pauses for a second fails no lookup, in a deployment of processes.

Upstreams renew their leases at the leader, so their leases expire while the leader
pauses. A request that reaches an upstream with an expired lease must wait for the next
renewal instead of being refused.
"""

import asyncio
import random
import signal

from bergamotferry_testkit.balanced_load import BalancedLoad
from bergamotferry_testkit.deployment_start import start_ready, wait_owned
from bergamotferry_testkit.deployments import (
    DeploymentShape,
    RouteShape,
    ServiceShape,
)
from bergamotferry_testkit.local_deployment import LocalDeployment
from bergamotferry_testkit.records_check import read_records

SHAPE = DeploymentShape(
    "pauses",
    {"north": ("a",)},
    3,
    (ServiceShape("testlog", 8, 2, 48, 10.0),),
    (RouteShape("testlog", "lookup", "GET", "lookup", 4000, 1.0),),
    "home-",
    "north",
)
RATE_PER_S = 100.0
# Long enough for the lease of an upstream to expire.
PAUSE_S = 1.0
SETTLE_S = 3.0
OWNED_TIMEOUT_S = 20.0


async def pause_each_host(deployment, load):
    await start_ready(deployment)
    await wait_owned(deployment, OWNED_TIMEOUT_S)
    load_task = asyncio.create_task(load.run())
    for host in deployment.hosts:
        await asyncio.sleep(SETTLE_S)
        host.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        host.process.send_signal(signal.SIGCONT)
    await asyncio.sleep(SETTLE_S)
    load.is_stopping = True
    await load_task


def test_paused_host_fails_no_lookup(tmp_path):
    deployment = LocalDeployment.from_config(SHAPE, tmp_path)
    load = BalancedLoad(SHAPE, deployment.hosts, RATE_PER_S, 1 << 20, random.Random(7))
    try:
        asyncio.run(pause_each_host(deployment, load))
    finally:
        deployment.stop()
    records = read_records([deployment.records_path("a")])
    shed = [record for record in records if record["event"] == "shed"]
    print("sent", load.n_sent, "shed by upstreams", len(shed))
    assert load.failures == []
