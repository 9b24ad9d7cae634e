"""Filings while whoever leads, dispatches or runs them is ended or frozen.

Callers enter through all hosts, so each host that is lost is also an entry host of some
of them; they resend at once elsewhere.
"""

import asyncio
import signal

import aiohttp

from bergamotferry_testkit.control import ask_control, leader_of_group
from bergamotferry_testkit.deployment_start import start_ready
from bergamotferry_testkit.deployments import DeploymentShape, RouteShape, ServiceShape
from bergamotferry_testkit.fault_plan import host_named
from bergamotferry_testkit.filings import (
    OUTCOME_UNKNOWN,
    count_filing_runs,
    file_until_known,
    send_filing,
)
from bergamotferry_testkit.local_deployment import LocalDeployment, wait_ready
from bergamotferry_testkit.ownership_check import check_ownership

SHAPE = DeploymentShape(
    "filings",
    {"north": ("a", "b")},
    2,
    (ServiceShape("testlog", 4, 4, 32, 15.0),),
    (RouteShape("testlog", "filing", "POST", "filing", 3000, 1.0),),
    "home-",
    "north",
)
RATE_PER_S = 60.0
FAULT_LENGTH_S = 1.5
CALLER_TIMEOUT_S = 4.0
READY_TIMEOUT_S = 20.0
ROLES = ("leader", "dispatcher", "upstream")
SERVED_SHARE_MIN = 0.9


async def process_of(deployment, role):
    """Return the process that has a role in data centre a, and how to start it."""
    if role == "upstream":
        return deployment.stand_ins["a"], lambda: deployment.start_stand_ins("a")
    leader = await leader_of_group(deployment, "dc:a")
    name = leader
    if role == "dispatcher":
        host = deployment.hosts_of("a")[0]
        rows = (await ask_control(host.control_address, "upstreams"))["upstreams"]
        names = [row["dispatcher"] for row in rows if row["dispatcher"]]
        name = next((name for name in names if name != leader), names[0])
    host = host_named(deployment, name)
    return host.process, lambda: deployment.start_host(host)


async def go_through_faults(deployment):
    for role in ROLES:
        process, start = await process_of(deployment, role)
        process.kill()
        process.wait()
        await asyncio.sleep(FAULT_LENGTH_S)
        start()
        await asyncio.sleep(FAULT_LENGTH_S)
        # The roles are asked for at hosts that may have been started just now.
        assert await wait_ready(deployment.hosts, READY_TIMEOUT_S)
        process, _ = await process_of(deployment, role)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FAULT_LENGTH_S)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(FAULT_LENGTH_S)


async def play(deployment):
    """File through all faults, then send everything once more."""
    await start_ready(deployment)
    told = {}
    timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:
        faults = asyncio.create_task(go_through_faults(deployment))
        tasks = []
        while not faults.done():
            number = len(told)
            answers = told[f"f{number}"] = []
            work = file_until_known(http, deployment.hosts, number, answers)
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(1 / RATE_PER_S)
        await faults
        await asyncio.gather(*tasks)
        served = [name for name, rows in told.items() if (0, False) in rows]
        again = await asyncio.gather(
            *(
                send_filing(http, deployment.hosts[-1], f"key-{int(n[1:]) % 97}", n)
                for n in served
            )
        )
    return told, served, again


def test_filings_run_once_whoever_is_lost(tmp_path):
    deployment = LocalDeployment.from_config(SHAPE, tmp_path)
    try:
        told, served, again = asyncio.run(play(deployment))
    finally:
        deployment.stop()
    paths = [deployment.records_path(name) for name in ("a", "b")]
    runs = count_filing_runs(paths)
    assert {name: n for name, n in runs.items() if n > 1} == {}
    assert {name for name in served if runs[name] != 1} == set()
    not_run = {name for name, rows in told.items() if all(row[1] for row in rows)}
    assert {name for name in not_run if runs[name]} == set()
    assert len(served) >= SERVED_SHARE_MIN * len(told)
    # An outcome that a caller was told is told again.
    lost = [a for a in again if a.code != 0 and not a.is_not_run]
    assert lost == [], [a for a in again if a.code == OUTCOME_UNKNOWN]
    assert check_ownership(paths) == []
