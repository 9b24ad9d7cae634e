"""An upstream that leaves under load gets no new work, and no request fails."""

import asyncio
import random

from bergamotferry_testkit.balanced_load import BalancedLoad
from bergamotferry_testkit.deployment_start import start_ready
from bergamotferry_testkit.deployments import DeploymentShape, RouteShape, ServiceShape
from bergamotferry_testkit.fault_plan import set_stand_in_fault
from bergamotferry_testkit.local_deployment import LocalDeployment
from bergamotferry_testkit.ownership_check import check_ownership
from bergamotferry_testkit.recorded_owners import (
    owners_from_records,
    wait_owners_stable,
)
from bergamotferry_testkit.records_check import check_runs, read_records

SHAPE = DeploymentShape(
    "leaving",
    {"north": ("a",)},
    2,
    (ServiceShape("testlog", 4, 2, 32, 5.0),),
    (
        RouteShape("testlog", "lookup", "GET", "lookup", 3000, 0.8),
        RouteShape("testlog", "filing", "POST", "filing", 8000, 0.2),
    ),
    "home-",
    "north",
)
LEAVING = "testlog-02"
# After an upstream sends ``leave`` to control, it may start requests for this long.
NO_NEW_RUNS_AFTER_S = 3.0
LOAD_AFTER_LEAVE_S = 6.0


async def run_scenario(deployment):
    await start_ready(deployment)
    await wait_owners_stable(deployment, "testlog")
    load = BalancedLoad(
        SHAPE, deployment.hosts, 60.0, deployment.archive_bytes, random.Random(5)
    )
    load_task = asyncio.create_task(load.run())
    await asyncio.sleep(1.0)
    await set_stand_in_fault(deployment, LEAVING, {"leave": True})
    await asyncio.sleep(LOAD_AFTER_LEAVE_S)
    load.is_stopping = True
    await load_task
    return load


def test_leaving_upstream_gets_no_new_work_and_no_request_fails(tmp_path):
    deployment = LocalDeployment.from_config(SHAPE, tmp_path)
    try:
        load = asyncio.run(run_scenario(deployment))
    finally:
        deployment.stop()
    paths = [deployment.records_path("a")]
    records = list(read_records(paths))
    left_s = next(record["at_s"] for record in records if record["event"] == "leave")
    runs = [record for record in records if record["event"] == "run"]
    leaving_runs_s = [
        record["at_s"] for record in runs if record["upstream"] == LEAVING
    ]
    assert min(leaving_runs_s) < left_s
    assert max(leaving_runs_s) < left_s + NO_NEW_RUNS_AFTER_S
    assert max(record["at_s"] for record in runs) > left_s + NO_NEW_RUNS_AFTER_S
    assert load.failures == []
    owners = owners_from_records(paths, "testlog")
    assert LEAVING not in {owner.upstream for owner in owners.values()}
    assert check_ownership(paths) == []
    check = check_runs(paths, load.acknowledged, load.refused_not_run)
    assert check == (0, 0, 0)
