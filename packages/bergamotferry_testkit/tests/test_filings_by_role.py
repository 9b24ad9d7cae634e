"""Filings run once although the leader, a dispatcher or the upstreams fail.

Each of these processes is killed and later frozen. Guards against a filing that runs
twice, is lost, or is refused as "not run" although it ran. Callers enter through all
hosts, so each lost host is also the entry host of some callers, which resend at once
through other hosts.
"""

import asyncio
import signal

import aiohttp

from bergamotferry_testkit.control import get_control, leader_of_group
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
FAULT_DURATION_S = 1.5
CALLER_TIMEOUT_S = 4.0
READY_TIMEOUT_S = 20.0
ROLES = ("leader", "dispatcher", "upstream")
SERVED_SHARE_MIN = 0.9
# All resends at once would queue at their one host for longer than a caller waits.
N_RESENDS_AT_ONCE = 32
N_RESENDS_MAX = 12
RESEND_PAUSE_S = 0.2


async def process_of(deployment, role):
    """Return the process with a role in data centre ``a``, and its start function."""
    if role == "upstream":
        return deployment.stand_ins["a"], lambda: deployment.start_stand_ins("a")
    leader = await leader_of_group(deployment, "dc:a")
    name = leader
    if role == "dispatcher":
        host = deployment.hosts_of("a")[0]
        upstreams = (await get_control(host.control_address, "upstreams"))["upstreams"]
        dispatchers = [
            upstream["dispatcher"] for upstream in upstreams if upstream["dispatcher"]
        ]
        name = next((name for name in dispatchers if name != leader), dispatchers[0])
    host = host_named(deployment, name)
    return host.process, lambda: deployment.start_host(host)


async def inject_faults(deployment):
    for role in ROLES:
        process, start = await process_of(deployment, role)
        process.kill()
        process.wait()
        await asyncio.sleep(FAULT_DURATION_S)
        start()
        await asyncio.sleep(FAULT_DURATION_S)
        # `process_of` queries hosts, and one of them may have just been started.
        assert await wait_ready(deployment.hosts, READY_TIMEOUT_S)
        process, _ = await process_of(deployment, role)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FAULT_DURATION_S)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(FAULT_DURATION_S)


async def resend(http, host, name, resends):
    """Resend a filing until it is answered otherwise than as not run."""
    async with resends:
        for _ in range(N_RESENDS_MAX):
            answer = await send_filing(http, host, f"key-{int(name[1:]) % 97}", name)
            if not answer.is_not_run:
                break
            await asyncio.sleep(RESEND_PAUSE_S)
    return answer


async def run_scenario(deployment):
    """Send filings throughout the faults, then resend every served filing."""
    await start_ready(deployment)
    answers_by_key = {}
    timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:
        faults = asyncio.create_task(inject_faults(deployment))
        tasks = []
        while not faults.done():
            number = len(answers_by_key)
            answers = answers_by_key[f"f{number}"] = []
            sending = file_until_known(http, deployment.hosts, number, answers)
            tasks.append(asyncio.create_task(sending))
            await asyncio.sleep(1 / RATE_PER_S)
        await faults
        await asyncio.gather(*tasks)
        served = [
            name for name, answers in answers_by_key.items() if (0, False) in answers
        ]
        resends = asyncio.Semaphore(N_RESENDS_AT_ONCE)
        resent_answers = await asyncio.gather(
            *(resend(http, deployment.hosts[-1], name, resends) for name in served)
        )
    return answers_by_key, served, resent_answers


def test_filings_run_once_whoever_is_lost(tmp_path):
    deployment = LocalDeployment.from_config(SHAPE, tmp_path)
    try:
        answers_by_key, served, resent_answers = asyncio.run(run_scenario(deployment))
    finally:
        deployment.stop()
    paths = [deployment.records_path(name) for name in ("a", "b")]
    runs = count_filing_runs(paths)
    assert {name: n for name, n in runs.items() if n > 1} == {}
    assert {name for name in served if runs[name] != 1} == set()
    not_run = {
        name
        for name, answers in answers_by_key.items()
        if all(answer[1] for answer in answers)
    }
    assert {name for name in not_run if runs[name]} == set()
    assert len(served) >= SERVED_SHARE_MIN * len(answers_by_key)
    # A resend of a served filing gets the recorded outcome.
    lost_outcomes = [answer for answer in resent_answers if answer.code != 0]
    assert lost_outcomes == [], [
        answer for answer in resent_answers if answer.code == OUTCOME_UNKNOWN
    ]
    assert check_ownership(paths) == []
