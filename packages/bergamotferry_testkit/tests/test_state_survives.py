"""Acknowledged state survives each loss that the groups are designed to tolerate.

One deployment of processes suffers the losses one at a time, each after the repair of
the previous one; the groups tolerate no more. Notes keep their revisions, a shard keeps
its owner or gets one with a higher epoch, and an acknowledged filing is not run again.
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
TIMEOUT_S = 20.0
N_CHANGES = 400
# The global group and the groups of the four data centres.
N_GROUPS = 5


async def request_control(http, host, path, body=None):
    """Request a control path; return None if the host is unreachable or refuses."""
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
    """Poll an async condition until its value is true; return the value."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        value = await condition()
        if value:
            return value
        await asyncio.sleep(0.1)
    raise TimeoutError(condition)


async def are_groups_healthy(http, host):
    """Return whether all groups are healthy.

    A healthy group has one leader and three voters with the same applied index.
    """
    body = await request_control(http, host, "status")
    members_by_group = {}
    for host_status in (body or {}).get("hosts", []):
        for member in host_status.get("groups", []):
            members_by_group.setdefault(member["group"], []).append(member)
    if len(members_by_group) != N_GROUPS:
        return False
    for members in members_by_group.values():
        voters = [
            member for member in members if member["role"] in ("leader", "follower")
        ]
        is_led = sum(voter["role"] == "leader" for voter in voters) == 1
        is_in_sync = len({voter["applied_index"] for voter in voters}) == 1
        if len(voters) != 3 or not is_led or not is_in_sync:
            return False
    return True


class AcknowledgedState:
    """Records acknowledged grants and filings, and compares later answers with them."""

    def __init__(self, deployment, http):
        self.hosts, self.http = deployment.hosts, http
        self.grants = {}
        self.filed = []

    async def check_and_file_more(self):
        """Check grants, resend all filings, and then send more filings."""
        await asyncio.gather(*(self._check_grant(n) for n in range(N_SHARDS)))
        resent_codes = await asyncio.gather(*(self._send(name) for name in self.filed))
        assert set(resent_codes) <= {0, ResultCode.OUTCOME_UNKNOWN}, resent_codes
        assert resent_codes.count(0) >= 0.9 * len(resent_codes), resent_codes
        for _ in range(N_FILINGS_PER_STEP):
            await self.file()

    async def file(self):
        name = f"f{len(self.filed)}"
        assert await self._send(name) == 0
        self.filed.append(name)

    async def _send(self, name):
        async def known_code():
            for host in self.hosts:
                code = (await send_filing(self.http, host, f"key-{name}", name)).code
                if code in (0, ResultCode.OUTCOME_UNKNOWN):
                    return (code,)

        return (await wait_for(known_code))[0]

    async def _check_grant(self, number):
        path = f"owner?service=testlog&domain=&number={number}"

        async def held_grant():
            grant = ((await request_control(self.http, self.hosts[1], path)) or {}).get(
                "grant"
            )
            return grant if grant and grant["upstream"] else None

        grant = await wait_for(held_grant)
        current = (grant["epoch"], grant["upstream"])
        previous = self.grants.get(number, (0, ""))
        assert current[0] > previous[0] or current == previous, (
            number,
            previous,
            current,
        )
        self.grants[number] = current


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
    body = await request_control(http, host, "configuration")
    if body is None or body["revision"] != number:
        return False
    names = {account["name"] for account in body["accounts"].values()}
    return all(f"account-{n}" in names for n in range(2, number + 1))


async def apply_note(http, host, number):
    body = account_note(number)
    reply = await wait_for(lambda: request_control(http, host, "notes", body))
    assert reply["revision"] == number


async def inject_losses(deployment):
    hosts = deployment.hosts
    hosts_by_name = {host.name: host for host in hosts}
    timeout = aiohttp.ClientTimeout(total=8)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        acknowledged = AcknowledgedState(deployment, http)
        note = first_note(deployment.shape)
        await wait_for(lambda: request_control(http, hosts[0], "notes", note))
        await wait_for(lambda: are_groups_healthy(http, hosts[1]))
        await apply_note(http, hosts[1], 2)
        await acknowledged.check_and_file_more()

        # Every process is killed at once.
        kill(*hosts)
        for host in hosts:
            deployment.start_host(host)
        for host in hosts:
            await wait_for(lambda host=host: has_revision(http, host, 2))
        await wait_for(lambda: are_groups_healthy(http, hosts[1]))
        await apply_note(http, hosts[3], 3)
        await acknowledged.check_and_file_more()

        # One host loses its disk and, after its repair, another host does.
        for number, name in ((4, "ishikari-a-1"), (5, "ishikari-b-1")):
            lost_host = hosts_by_name[name]
            kill(lost_host)
            identity_path = deployment.folder / name / "identity.json"
            previous_incarnation = json.loads(identity_path.read_text())["incarnation"]
            shutil.rmtree(deployment.folder / name)
            await apply_note(http, hosts_by_name["kamikawa-a-2"], number)
            deployment.start_host(lost_host)
            await wait_for(lambda: are_groups_healthy(http, hosts[1]))
            assert (
                json.loads(identity_path.read_text())["incarnation"]
                != previous_incarnation
            )
            assert await has_revision(http, lost_host, number)
            await acknowledged.check_and_file_more()

        # A host returns after many changes. The log has been compacted past the entries
        # that it needs, so it must load a snapshot.
        lagging_host = hosts_by_name["kamikawa-a-1"]
        kill(lagging_host)
        for number in range(6, 6 + N_CHANGES):
            change = apply_note(http, hosts_by_name["ishikari-a-2"], number)
            await asyncio.gather(change, acknowledged.file())
        deployment.start_host(lagging_host)
        await wait_for(lambda: has_revision(http, lagging_host, 5 + N_CHANGES))
        await wait_for(lambda: are_groups_healthy(http, hosts[1]))
        log_text = (deployment.folder / "kamikawa-a-1.log").read_text()
        assert '"snapshot loaded"' in log_text
        await acknowledged.check_and_file_more()

        # Every process is killed again; the state now comes from snapshots.
        kill(*hosts)
        for host in hosts:
            deployment.start_host(host)
        for host in hosts:
            await wait_for(lambda host=host: has_revision(http, host, 5 + N_CHANGES))
        await wait_for(lambda: are_groups_healthy(http, hosts[1]))
        await acknowledged.check_and_file_more()
        return acknowledged.filed


def test_acknowledged_state_survives_every_tolerated_loss(tmp_path):
    deployment = LocalDeployment.from_config(SHAPE, tmp_path)
    try:
        deployment.start()
        filed = asyncio.run(inject_losses(deployment))
    finally:
        deployment.stop()
    paths = [deployment.records_path(name) for name in deployment.stand_in_specs]
    runs = count_filing_runs(paths)
    assert {name: runs[name] for name in filed if runs[name] != 1} == {}
    assert check_ownership(paths) == []
