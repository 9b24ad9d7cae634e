"""A poison request, broken downloads and slow start, in a deployment of processes.

Guards against a request that crashes one upstream after another, a download that is
cut short when its stream breaks, and a new upstream that gets more requests than its
slow start allows.
"""

import asyncio
import json
import random
import time
from collections import Counter, defaultdict
from datetime import datetime
from math import inf

import aiohttp

from bergamotferry.protection.quarantine import N_UPSTREAMS_CRASHED_MAX
from bergamotferry.slow_start import (
    BURST_STARTS,
    EARLY_END_MIN_S,
    N_ANSWERS_PER_COMPARISON,
    SlowStart,
    is_ramping,
    n_slots_allowed,
    rate_per_s,
)
from bergamotferry_testkit.answers import archive_block, lookup_answer
from bergamotferry_testkit.deployment_start import apply_first_note, wait_owned
from bergamotferry_testkit.deployments import (
    CALLER_TOKENS,
    DeploymentShape,
    RouteShape,
    ServiceShape,
)
from bergamotferry_testkit.local_deployment import LocalDeployment, wait_ready
from bergamotferry_testkit.records_check import read_records

SHAPE = DeploymentShape(
    "requests",
    {"north": ("a",)},
    3,
    (
        ServiceShape("testlog", 3, 2, 24, 5.0),
        ServiceShape("archive", 1, 2, 4, 5.0),
    ),
    (
        RouteShape("testlog", "lookup", "GET", "lookup", 4000, 0.9),
        RouteShape("archive", "bundle", "GET", "bulk", 10_000, 0.1),
    ),
    "home-",
    "north",
)
N_POISON = 50
N_LOOKUPS = 300
N_BLOCKS = 16
SERVED_SHARE_MIN = 0.95
NS_PER_S = 1_000_000_000


async def get(http, host, path):
    """Return the result code and the body; the code is -1 if the answer broke off."""
    headers = {"Authorization": f"Bearer {CALLER_TOKENS['inspectors']}"}
    url = f"http://{host.caller_address}/v1/{path}"
    try:
        async with http.get(url, headers=headers) as response:
            body = await response.read()
            return int(response.headers["Bergamotferry-Code"]), body
    except (aiohttp.ClientError, TimeoutError, OSError):
        return -1, b""


async def send_poison(http, hosts, codes):
    for _ in range(N_POISON // 5):
        code, _ = await get(http, random.choice(hosts), "testlog/lookup/poison-1")
        codes[code] += 1


async def send_lookups(http, hosts, codes):
    async def look_up(number):
        path = f"testlog/lookup/key-{number}"
        code, body = await get(http, hosts[number % len(hosts)], path)
        codes[code] += 1
        if code == 0:
            assert body == lookup_answer("testlog", "lookup", f"key-{number}")

    tasks = []
    for number in range(N_LOOKUPS):
        tasks.append(asyncio.create_task(look_up(number)))
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)


async def download_with_breaks(http, deployment):
    """Download an archive through each host; the upstream breaks off two answers."""
    upstream_specs = deployment.stand_in_specs["a"]
    port = next(
        spec.split(",")[2] for spec in upstream_specs if spec.startswith("archive")
    )
    url = f"http://127.0.0.1:{port}/stand-in/faults"
    async with http.post(url, json={"n_breaks": 2}):
        pass
    answers = []
    for host in deployment.hosts:
        answers.append(await get(http, host, f"archive/bundle/{host.name}"))
    return answers


async def run_scenario(deployment):
    deployment.start()
    await apply_first_note(deployment)
    assert await wait_ready(deployment.hosts, 20.0)
    await wait_owned(deployment, 20.0)
    connector = aiohttp.TCPConnector(limit=0)
    poison_codes, lookup_codes = Counter(), Counter()
    async with aiohttp.ClientSession(connector=connector) as http:
        archive_answers = await download_with_breaks(http, deployment)
        senders = [send_poison(http, deployment.hosts, poison_codes) for _ in range(5)]
        senders.append(send_lookups(http, deployment.hosts, lookup_codes))
        await asyncio.gather(*senders)
    return archive_answers, poison_codes, lookup_codes


def early_ends(deployment):
    """Return, by upstream, the times at which hosts logged an early end of a ramp."""
    # Logs carry wall-clock time; records carry CLOCK_BOOTTIME, which is never set.
    offset_s = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)
    ends_s = defaultdict(list)
    for host in deployment.hosts:
        for line in (deployment.folder / f"{host.name}.log").read_text().splitlines():
            if '"ramp ended early"' in line:
                entry = json.loads(line)
                at_s = datetime.fromisoformat(entry["time"]).timestamp()
                ends_s[entry["upstream"]].append(at_s - offset_s)
    return ends_s


def check_ramp(runs, end_s):
    """Check that the runs of one incarnation keep to its slow start.

    ``runs`` holds the age of the incarnation in seconds and the number of running
    requests, for each run. ``end_s`` is the age at which a host ended the ramp early,
    which is allowed only after `EARLY_END_MIN_S` and `N_ANSWERS_PER_COMPARISON`
    answers.
    """
    ramp = SlowStart(0)
    for number, (age_s, n_running) in enumerate(runs):
        age_ns = int(age_s * NS_PER_S)
        if age_s >= end_s:
            assert age_s >= EARLY_END_MIN_S and number >= N_ANSWERS_PER_COMPARISON
            return
        if not is_ramping(ramp, age_ns):
            return
        assert n_running <= n_slots_allowed(ramp, 2, age_ns)
        # The rate never falls, so the present rate bounds all starts up to now.
        assert number + 1 <= BURST_STARTS + age_s * rate_per_s(ramp, age_ns)


def test_poison_request_is_quarantined_downloads_resume_and_ramps_hold(tmp_path):
    deployment = LocalDeployment.from_config(SHAPE, tmp_path)
    try:
        archive_answers, poison_codes, lookup_codes = asyncio.run(
            run_scenario(deployment)
        )
    finally:
        deployment.stop()
    print("poison:", dict(poison_codes), "lookups:", dict(lookup_codes))
    for host, (code, body) in zip(deployment.hosts, archive_answers, strict=True):
        blocks = [archive_block(host.name, number) for number in range(N_BLOCKS)]
        assert (code, body == b"".join(blocks)) == (0, True)
    started_s, runs, n_crashes = {}, defaultdict(list), 0
    for record in read_records([deployment.records_path("a")]):
        process = record["upstream"], record["incarnation"]
        if record["event"] == "start":
            started_s[process] = record["at_s"]
        elif record["event"] == "run":
            age_s = record["at_s"] - started_s[process]
            runs[process].append((age_s, record["n_running"]))
        n_crashes += record["event"] == "crash"
    assert 0 < n_crashes <= N_UPSTREAMS_CRASHED_MAX
    assert poison_codes[1301] > 0
    assert poison_codes[0] == 0
    assert lookup_codes[0] >= SERVED_SHARE_MIN * N_LOOKUPS, dict(lookup_codes)
    ends_s = early_ends(deployment)
    for process, process_runs in runs.items():
        ages_s = [at_s - started_s[process] for at_s in ends_s[process[0]]]
        check_ramp(
            process_runs, min((age_s for age_s in ages_s if age_s > 0), default=inf)
        )
