"""Filings run at most once under ``kill -9``, a frozen host and a crashed upstream.

Callers resend at once through other hosts. Their answers are compared with the runs
that the stand-ins recorded. Guards against a filing that runs twice, is acknowledged
without a run, or is refused as "not run" although it ran, and against more filings of
unknown outcome than slots that the faults hit.
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
    OUTCOME_UNKNOWN,
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
TWO_DATA_CENTRES = SHAPE._replace(
    regions={"north": ("a", "b")}, n_hosts_per_data_centre=2
)
N_MOVED_FILINGS = 60
MOVE_TIMEOUT_S = 15.0
SPREAD_TIMEOUT_S = 30.0
N_FILINGS = 500
RATE_PER_S = 100.0
CALLER_TIMEOUT_S = 4.0
N_FAULTS = 3
SERVED_SHARE_MIN = 0.9


async def send_under_faults(deployment):
    """Send filings while a host is killed, one is frozen and an upstream crashes."""
    timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    answers_by_key = {f"f{number}": [] for number in range(N_FILINGS)}
    frozen_process, killed_process = (
        deployment.hosts[1].process,
        deployment.hosts[2].process,
    )
    port = deployment.stand_in_specs["a"][0].split(",")[2]
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:

        async def crash_upstream():
            url = f"http://127.0.0.1:{port}/stand-in/faults"
            async with http.post(url, json={"crash": True}):
                pass

        faults_by_filing = {100: killed_process.kill, 200: crash_upstream}
        faults_by_filing[300] = lambda: frozen_process.send_signal(signal.SIGSTOP)
        faults_by_filing[420] = lambda: frozen_process.send_signal(signal.SIGCONT)
        tasks = []
        for number in range(N_FILINGS):
            if number in faults_by_filing:
                fault_request = faults_by_filing[number]()
                if fault_request is not None:
                    tasks.append(asyncio.create_task(fault_request))
            sending = file_until_known(
                http, deployment.hosts, number, answers_by_key[f"f{number}"]
            )
            tasks.append(asyncio.create_task(sending))
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*tasks)
    return answers_by_key


async def run_scenario(deployment):
    deployment.start()
    await apply_first_note(deployment)
    assert await wait_ready(deployment.hosts, 20.0)
    await wait_owned(deployment, 20.0)
    return await send_under_faults(deployment)


async def file_move_and_resend(deployment):
    """Send filings, take data centre ``a`` out, and resend every filing."""
    await start_ready(deployment)
    await wait_spread(deployment, SPREAD_TIMEOUT_S)
    hosts = [deployment.hosts[0], deployment.hosts[2]]
    filings = [(f"key-{n}", f"m{n}") for n in range(N_MOVED_FILINGS)]
    async with aiohttp.ClientSession() as http:
        first_answers = [
            await send_filing(http, hosts[n % 2], *filings[n])
            for n in range(len(filings))
        ]
        await set_data_centre_state(deployment, 2, "a", "north", "out")
        resent_answers = []
        for filing in filings:
            deadline_s = time.monotonic() + MOVE_TIMEOUT_S
            answer = (-1, False)
            while answer[0] != 0 and time.monotonic() < deadline_s:
                answer = await send_filing(http, hosts[1], *filing)
            resent_answers.append(answer)
    return first_answers, resent_answers


def test_filings_do_not_run_again_after_their_shard_moved(tmp_path):
    deployment = LocalDeployment.from_config(TWO_DATA_CENTRES, tmp_path)
    try:
        first_answers, resent_answers = asyncio.run(file_move_and_resend(deployment))
    finally:
        deployment.stop()
    path_a, path_b = (deployment.records_path(name) for name in ("a", "b"))
    runs = count_filing_runs([path_a, path_b])
    assert first_answers == resent_answers == [(0, False)] * N_MOVED_FILINGS
    assert set(runs.values()) == {1}
    # Some filings ran in data centre a, which their shards have since left.
    assert count_filing_runs([path_a])


def test_filings_run_at_most_once_and_never_if_refused_as_not_run(tmp_path):
    deployment = LocalDeployment.from_config(SHAPE, tmp_path)
    try:
        answers_by_key = asyncio.run(run_scenario(deployment))
    finally:
        deployment.stop()
    runs = count_filing_runs([deployment.records_path("a")])
    n_by_code = Counter(
        code for answers in answers_by_key.values() for code, _ in answers
    )
    print("answers by code:", dict(n_by_code))
    assert {key: n for key, n in runs.items() if n > 1} == {}
    served = {key for key, answers in answers_by_key.items() if (0, False) in answers}
    assert {key for key in served if runs[key] != 1} == set()
    not_run = {
        key
        for key, answers in answers_by_key.items()
        if all(is_not_run for _, is_not_run in answers)
    }
    assert {key for key in not_run if runs[key]} == set()
    assert len(served) >= SERVED_SHARE_MIN * N_FILINGS, dict(n_by_code)
    # A fault leaves open at most what held a slot when it began.
    n_unknown = sum(
        (OUTCOME_UNKNOWN, False) in answers for answers in answers_by_key.values()
    )
    service = SHAPE.services[0]
    n_slots = service.n_upstreams * service.n_slots
    assert n_unknown <= N_FAULTS * n_slots, dict(n_by_code)
