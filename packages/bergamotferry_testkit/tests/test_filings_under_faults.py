"""Filings under kill -9 and freezes, their callers resending at once elsewhere.

The stand-ins count the runs; what callers were told is held against that.
"""

import asyncio
import signal
import time
from collections import Counter

import aiohttp

from bergamotferry_testkit.control import set_data_centre_state
from bergamotferry_testkit.deployment_start import (
    apply_first_note,
    start_ready,
    wait_owned,
    wait_spread,
)
from bergamotferry_testkit.deployments import (
    DeploymentShape,
    RouteShape,
    ServiceShape,
)
from bergamotferry_testkit.filings import (
    count_filing_runs,
    file_until_known,
    send_filing,
)
from bergamotferry_testkit.local_deployment import LocalDeployment, wait_ready

SHAPE = DeploymentShape(
    "filings",
    {"north": ("a",)},
    3,
    (ServiceShape("testlog", 4, 2, 32, 15.0),),
    (RouteShape("testlog", "filing", "POST", "filing", 3000, 1.0),),
    "home-",
    "north",
)
TWO_CENTRES = SHAPE._replace(regions={"north": ("a", "b")}, n_hosts_per_data_centre=2)
N_MOVED_FILINGS = 60
MOVE_TIMEOUT_S = 15.0
SPREAD_TIMEOUT_S = 30.0
N_FILINGS = 500
RATE_PER_S = 100.0
CALLER_TIMEOUT_S = 4.0
SERVED_SHARE_MIN = 0.9


async def play(deployment):
    """Send the filings while hosts and an upstream are ended and frozen."""
    timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    told = {f"f{number}": [] for number in range(N_FILINGS)}
    second, third = deployment.hosts[1].process, deployment.hosts[2].process
    address = deployment.stand_in_words["a"][0].split(",")[2]
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:

        async def crash():
            url = f"http://127.0.0.1:{address}/stand-in/faults"
            async with http.post(url, json={"crash": True}):
                pass

        faults = {100: third.kill, 200: crash}
        faults[300] = lambda: second.send_signal(signal.SIGSTOP)
        faults[420] = lambda: second.send_signal(signal.SIGCONT)
        tasks = []
        for number in range(N_FILINGS):
            if number in faults:
                done = faults[number]()
                if done is not None:
                    tasks.append(asyncio.create_task(done))
            work = file_until_known(http, deployment.hosts, number, told[f"f{number}"])
            tasks.append(asyncio.create_task(work))
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*tasks)
    return told


async def run(deployment):
    deployment.start()
    await apply_first_note(deployment)
    assert await wait_ready(deployment.hosts, 20.0)
    await wait_owned(deployment, 20.0)
    return await play(deployment)


async def file_move_and_resend(deployment):
    """File, take one data centre out, and send all filings again."""
    await start_ready(deployment)
    await wait_spread(deployment, SPREAD_TIMEOUT_S)
    hosts = [deployment.hosts[0], deployment.hosts[2]]
    names = [(f"key-{n}", f"m{n}") for n in range(N_MOVED_FILINGS)]
    async with aiohttp.ClientSession() as http:
        first = [
            await send_filing(http, hosts[n % 2], *names[n]) for n in range(len(names))
        ]
        await set_data_centre_state(deployment, 2, "a", "north", "out")
        again = []
        for name in names:
            deadline_s = time.monotonic() + MOVE_TIMEOUT_S
            answer = (-1, False)
            while answer[0] != 0 and time.monotonic() < deadline_s:
                answer = await send_filing(http, hosts[1], *name)
            again.append(answer)
    return first, again


def test_filings_do_not_run_again_after_their_shard_moved(tmp_path):
    deployment = LocalDeployment.from_config(TWO_CENTRES, tmp_path)
    try:
        first, again = asyncio.run(file_move_and_resend(deployment))
    finally:
        deployment.stop()
    path_a, path_b = (deployment.records_path(name) for name in ("a", "b"))
    runs = count_filing_runs([path_a, path_b])
    assert first == again == [(0, False)] * N_MOVED_FILINGS
    assert set(runs.values()) == {1}
    # Some ran where their shards no longer are.
    assert count_filing_runs([path_a])


def test_filings_run_at_most_once_and_refusals_are_true(tmp_path):
    deployment = LocalDeployment.from_config(SHAPE, tmp_path)
    try:
        told = asyncio.run(run(deployment))
    finally:
        deployment.stop()
    runs = count_filing_runs([deployment.records_path("a")])
    n_by_code = Counter(code for answers in told.values() for code, _ in answers)
    print("answers by code:", dict(n_by_code))
    assert {key: n for key, n in runs.items() if n > 1} == {}
    served = {key for key, answers in told.items() if (0, False) in answers}
    assert {key for key in served if runs[key] != 1} == set()
    not_run = {key for key, rows in told.items() if all(is_not for _, is_not in rows)}
    assert {key for key in not_run if runs[key]} == set()
    assert len(served) >= SERVED_SHARE_MIN * N_FILINGS, dict(n_by_code)
