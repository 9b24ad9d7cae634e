"""Real processes: what was acknowledged is there after each tolerated loss.

One deployment goes through the losses one after another, each after the repair of the
one before, which is what the groups are made to stand. Notes keep their revisions, a
shard keeps its owner or gets one of a higher epoch, and a filing that was acknowledged
is not run again.
"""

import asyncio
import json
import shutil
import time

import aiohttp

from bergamotferry.result_codes import ResultCode
from bergamotferry_testkit.deployments import EZO_LUMEN, ServiceShape, first_note
from bergamotferry_testkit.filings import count_filing_runs, send_filing
from bergamotferry_testkit.local_deployment import OPERATOR_TOKEN, LocalDeployment
from bergamotferry_testkit.ownership_check import check_ownership

N_SHARDS = 24
SHAPE = EZO_LUMEN._replace(
    services=(ServiceShape("testlog", 4, 8, N_SHARDS, 1.0),),
    routes=EZO_LUMEN.routes[:2],
)
N_FILINGS_PER_STEP = 20
WAIT_S = 20.0
N_CHANGES = 400
N_GROUPS = 5


async def control(http, host, path, body=None):
    """Ask a host's control address; None if it can't be reached or refuses."""
    url = f"http://{host.control_address}/operators/v1/{path}"
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    method = "GET" if body is None else "POST"
    try:
        timeout = aiohttp.ClientTimeout(total=8)
        async with http.request(
            method, url, headers=headers, json=body, timeout=timeout
        ) as response:
            return await response.json() if response.status == 200 else None
    except (aiohttp.ClientError, OSError, TimeoutError):
        return None


async def wait_for(condition):
    """Wait until an async condition holds; return its value."""
    deadline_s = time.monotonic() + WAIT_S
    while time.monotonic() < deadline_s:
        value = await condition()
        if value:
            return value
        await asyncio.sleep(0.1)
    raise TimeoutError(condition)


async def is_whole(http, host):
    """Whether every group has a leader and three voters that are up and applied."""
    body = await control(http, host, "status")
    roles = {}
    for row in (body or {}).get("hosts", []):
        for group in row.get("groups", []):
            roles.setdefault(group["group"], []).append(group)
    if len(roles) != N_GROUPS:
        return False
    for rows in roles.values():
        voting = [row for row in rows if row["role"] in ("leader", "follower")]
        is_led = sum(row["role"] == "leader" for row in voting) == 1
        is_even = len({row["applied_index"] for row in voting}) == 1
        if len(voting) != 3 or not is_led or not is_even:
            return False
    return True


class Acknowledged:
    """What hosts said so far of owners and filings, to be held against later."""

    def __init__(self, deployment, http):
        self.hosts, self.http = deployment.hosts, http
        self.grants = {}
        self.filed = []

    async def check_and_go_on(self):
        """Hold what was said against what is so now; then file some more."""
        await asyncio.gather(*(self._check_grant(n) for n in range(N_SHARDS)))
        again = await asyncio.gather(*(self._send(name) for name in self.filed))
        assert set(again) <= {0, ResultCode.OUTCOME_UNKNOWN}, again
        assert again.count(0) >= 0.9 * len(again), again
        for _ in range(N_FILINGS_PER_STEP):
            await self.file()

    async def file(self):
        name = f"f{len(self.filed)}"
        assert await self._send(name) == 0
        self.filed.append(name)

    async def _send(self, name):
        async def answered():
            for host in self.hosts:
                code = (await send_filing(self.http, host, f"key-{name}", name)).code
                if code in (0, ResultCode.OUTCOME_UNKNOWN):
                    return (code,)

        return (await wait_for(answered))[0]

    async def _check_grant(self, number):
        path = f"owner?service=testlog&domain=&number={number}"

        async def granted():
            grant = ((await control(self.http, self.hosts[1], path)) or {}).get("grant")
            return grant if grant and grant["upstream"] else None

        grant = await wait_for(granted)
        now = (grant["epoch"], grant["upstream"])
        before = self.grants.get(number, (0, ""))
        assert now[0] > before[0] or now == before, (number, before, now)
        self.grants[number] = now


def account_note(number):
    account = {
        "name": f"account-{number}",
        "token_sha256": f"{number:064x}",
        "services": ["testlog"],
        "max_in_flight": number,
    }
    return {"number": number, "based_on": number - 1, "added": {"accounts": [account]}}


def kill(*hosts):
    for host in hosts:
        host.process.kill()
    for host in hosts:
        host.process.wait()


async def has_revision(http, host, number):
    body = await control(http, host, "configuration")
    if body is None or body["revision"] != number:
        return False
    names = {row["name"] for row in body["accounts"].values()}
    return all(f"account-{n}" in names for n in range(2, number + 1))


async def apply_until(http, host, number):
    body = account_note(number)
    reply = await wait_for(lambda: control(http, host, "notes", body))
    assert reply["revision"] == number


async def go_through_losses(deployment):
    hosts = deployment.hosts
    by_name = {host.name: host for host in hosts}
    timeout = aiohttp.ClientTimeout(total=8)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        said = Acknowledged(deployment, http)
        note = first_note(deployment.shape)
        await wait_for(lambda: control(http, hosts[0], "notes", note))
        await wait_for(lambda: is_whole(http, hosts[1]))
        await apply_until(http, hosts[1], 2)
        await said.check_and_go_on()

        # Every process at once.
        kill(*hosts)
        for host in hosts:
            deployment.start_host(host)
        for host in hosts:
            await wait_for(lambda host=host: has_revision(http, host, 2))
        await wait_for(lambda: is_whole(http, hosts[1]))
        await apply_until(http, hosts[3], 3)
        await said.check_and_go_on()

        # One disk, and, when that is repaired, another.
        for number, name in ((4, "ishikari-a-1"), (5, "ishikari-b-1")):
            lost = by_name[name]
            kill(lost)
            identity = deployment.folder / name / "identity.json"
            before = json.loads(identity.read_text())["incarnation"]
            shutil.rmtree(deployment.folder / name)
            await apply_until(http, by_name["kamikawa-a-2"], number)
            deployment.start_host(lost)
            await wait_for(lambda: is_whole(http, hosts[1]))
            assert json.loads(identity.read_text())["incarnation"] != before
            assert await has_revision(http, lost, number)
            await said.check_and_go_on()

        # A process that returns after many changes, to a log that begins later.
        late = by_name["kamikawa-a-1"]
        kill(late)
        for number in range(6, 6 + N_CHANGES):
            change = apply_until(http, by_name["ishikari-a-2"], number)
            await asyncio.gather(change, said.file())
        deployment.start_host(late)
        await wait_for(lambda: has_revision(http, late, 5 + N_CHANGES))
        await wait_for(lambda: is_whole(http, hosts[1]))
        log_text = (deployment.folder / "kamikawa-a-1.log").read_text()
        assert '"snapshot loaded"' in log_text
        await said.check_and_go_on()

        # All of it once more, now out of snapshots.
        kill(*hosts)
        for host in hosts:
            deployment.start_host(host)
        for host in hosts:
            await wait_for(lambda host=host: has_revision(http, host, 5 + N_CHANGES))
        await wait_for(lambda: is_whole(http, hosts[1]))
        await said.check_and_go_on()
        return said.filed


def test_acknowledged_state_survives_every_tolerated_loss(tmp_path):
    deployment = LocalDeployment.from_config(SHAPE, tmp_path)
    try:
        deployment.start()
        filed = asyncio.run(go_through_losses(deployment))
    finally:
        deployment.stop()
    paths = [deployment.records_path(name) for name in deployment.stand_in_words]
    runs = count_filing_runs(paths)
    assert {name: runs[name] for name in filed if runs[name] != 1} == {}
    assert check_ownership(paths) == []
