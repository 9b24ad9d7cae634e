"""Requests that end the upstreams that run them, against the platform's programs."""

import asyncio
import contextlib
import time
from collections import Counter
from typing import NamedTuple

import aiohttp
import pytest
from claimed_network import claim_network
from ending_upstreams import EndingUpstream
from platform_fleet import CONTROL_PORT, Fleet, manifest, route, send_http_request

NETWORK = claim_network()
CORES = [f"{NETWORK}.{number}.1" for number in (1, 2, 3)]
EDGES = [f"{NETWORK}.{number}.9" for number in (1, 2, 3, 4)]
N_UPSTREAMS = 10
# Hosts that are in touch know within this time what other hosts have seen.
CONTACT_S = 3.0
N_RETRIES_MAX = 3
START_TIMEOUT_S = 20.0
ENDING_PATH = "/x/ending"


class Answer(NamedTuple):
    sent_s: float
    status: int
    body: bytes


class Deployment:
    """A fleet, its upstreams, and the answers that callers got, by path."""

    def __init__(self, fleet: Fleet, http: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self.http = http
        self.answers: dict[str, list[Answer]] = {}
        self.n_sent = 0
        self.upstreams = [
            EndingUpstream(
                number,
                f"{NETWORK}.1.{50 + number}:18099",
                lambda request: request.path == ENDING_PATH,
            )
            for number in range(N_UPSTREAMS)
        ]

    def ends_s(self) -> list[float]:
        return sorted(time for upstream in self.upstreams for time in upstream.ends_s)

    async def send(self, edge: str, path: str, method: str = "POST") -> Answer:
        self.n_sent += 1
        headers = {
            "Host": "one.example",
            "X-Request-Id": f"r{self.n_sent}",
            "X-Deadline-Ms": "2000",
        }
        sent_s = time.monotonic()
        status, body = await send_http_request(
            self.http,
            method,
            f"http://{edge}:18161{path}",
            headers=headers,
            data=b"body",
        )
        answer = Answer(sent_s, status, body)
        self.answers.setdefault(path, []).append(answer)
        return answer

    async def wait_serving(self, edge: str) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            is_serving = False
            while not is_serving:
                is_serving = (await self.send(edge, "/x/proper")).status == 200
                await asyncio.sleep(0.1)

    async def configure(self, kind: str) -> None:
        url = f"http://{CORES[0]}:{CONTROL_PORT}/api/config"
        content = manifest(1, route("/x/", kind))
        async with asyncio.timeout(START_TIMEOUT_S):
            status = 0
            while status != 200:
                status, _ = await send_http_request(self.http, "PUT", url, json=content)
                await asyncio.sleep(0.1)

    async def repeat(
        self, path: str, n_requests: int, pause_s: float, method: str = "POST"
    ) -> None:
        """Send a request again and again, each time through another edge."""
        for number in range(n_requests):
            await self.send(EDGES[number % 3], path, method)
            await asyncio.sleep(pause_s)

    async def send_heartbeats(self) -> None:
        while True:
            for upstream in self.upstreams:
                if upstream.restart is not None and not upstream.restart.done():
                    continue
                core = CORES[upstream.sequence % len(CORES)]
                url = f"http://{core}:{CONTROL_PORT}/api/instances/{upstream.name}"
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.5):
                        await send_http_request(
                            self.http, "PUT", url, json=upstream.next_heartbeat()
                        )
            await asyncio.sleep(0.3)


@contextlib.asynccontextmanager
async def running_deployment(tmp_path, kind):
    """Run three control hosts, three entry hosts and upstreams; the fourth waits."""
    fleet = Fleet(tmp_path, CORES, EDGES)
    async with aiohttp.ClientSession() as http:
        deployment = Deployment(fleet, http)
        heartbeats = asyncio.create_task(deployment.send_heartbeats())
        try:
            for upstream in deployment.upstreams:
                await upstream.start()
            for ip in [*CORES, *EDGES[:3]]:
                await fleet.start(ip)
            fleet.is_bootstrapped = True
            await deployment.configure(kind)
            for edge in EDGES[:3]:
                await deployment.wait_serving(edge)
            yield deployment
        finally:
            heartbeats.cancel()
            await fleet.end_hosts()
            for upstream in deployment.upstreams:
                await upstream.stop()


def n_late_ends(ends_s: list[float]) -> int:
    """Return how many upstreams ended later than the contact time after the third."""
    return sum(end_s > ends_s[2] + CONTACT_S for end_s in ends_s[3:])


def test_request_that_ends_its_upstreams_is_stopped_on_every_host(tmp_path):
    """Guards against a request that comes back at other hosts and ends upstreams."""

    async def scenario():
        async with running_deployment(tmp_path, "safe") as deployment:
            await asyncio.gather(
                # The HTTP library repeats a GET on a kept connection by itself.
                deployment.repeat(ENDING_PATH, 24, 0.3, "GET"),
                deployment.repeat("/x/busy", 200, 0.03),
            )
            return deployment

    deployment = asyncio.run(scenario())
    ends_s = deployment.ends_s()
    assert len(ends_s) >= 3
    assert n_late_ends(ends_s) <= N_RETRIES_MAX, len(ends_s)
    late = [
        answer
        for answer in deployment.answers[ENDING_PATH]
        if answer.sent_s > ends_s[2] + CONTACT_S
    ]
    assert Counter(answer.status for answer in late) == {503: len(late)}
    # A proper request that ran beside it is never taken for the cause.
    busy = deployment.answers["/x/busy"]
    assert not [answer for answer in busy if b"1301" in answer.body]
    assert sum(answer.status == 200 for answer in busy) > 0.9 * len(busy)


@pytest.mark.parametrize("is_parallel", [False, True])
@pytest.mark.parametrize(("kind", "method"), [("safe", "GET"), ("unsafe", "POST")])
def test_caller_that_repeats_at_each_host_at_once_ends_few_upstreams(
    tmp_path, kind, method, is_parallel
):
    """Guards against review case 14: the next send comes before an end is known.

    The caller sends the request at each host, at once or one after the other, and
    comes again later than the contact time. A proper request beside it is served.
    """

    async def scenario():
        async with running_deployment(tmp_path, kind) as deployment:
            await deployment.fleet.start(EDGES[3])
            await deployment.wait_serving(EDGES[3])
            busy = asyncio.create_task(deployment.repeat("/x/busy", 400, 0.03))
            for _ in range(4):
                sends = [deployment.send(edge, ENDING_PATH, method) for edge in EDGES]
                if is_parallel:
                    await asyncio.gather(*sends)
                else:
                    for send in sends:
                        await send
                await asyncio.sleep(CONTACT_S + 0.5)
            await busy
            return deployment

    deployment = asyncio.run(scenario())
    ends_s = deployment.ends_s()
    assert len(ends_s) >= 3
    assert n_late_ends(ends_s) <= N_RETRIES_MAX, len(ends_s)
    last = deployment.answers[ENDING_PATH][-1]
    assert last.status == 503 and b"1301" in last.body
    busy = deployment.answers["/x/busy"]
    assert not [answer for answer in busy if b"1301" in answer.body]
    assert sum(answer.status == 200 for answer in busy) > 0.9 * len(busy)


@pytest.mark.parametrize("restarted", [CORES, [*CORES, *EDGES[:3]]])
def test_hosts_that_start_later_know_of_the_request(tmp_path, restarted):
    """Guards against a start of hosts that lets the request through again."""

    async def scenario():
        async with running_deployment(tmp_path, "unsafe") as deployment:
            await deployment.repeat(ENDING_PATH, 8, 0.3)
            ends_s = deployment.ends_s()
            fleet = deployment.fleet
            for ip in restarted:
                await fleet.end(ip)
            for ip in restarted:
                await fleet.start(ip)
            await fleet.start(EDGES[3])
            await deployment.wait_serving(EDGES[3])
            await asyncio.sleep(CONTACT_S)
            answer = await deployment.send(EDGES[3], ENDING_PATH)
            return ends_s, deployment.ends_s(), answer

    ends_s, later_ends_s, answer = asyncio.run(scenario())
    assert 3 <= len(ends_s) <= 3 + N_RETRIES_MAX
    assert later_ends_s == ends_s
    assert answer.status == 503 and b"1301" in answer.body


def test_request_is_stopped_on_every_host_while_there_is_no_leader(tmp_path):
    """Guards against records that spread through the replicated log only."""

    async def scenario():
        async with running_deployment(tmp_path, "unsafe") as deployment:
            for core in CORES[1:]:
                await deployment.fleet.end(core)
            await asyncio.sleep(CONTACT_S)
            await deployment.repeat(ENDING_PATH, 24, 0.3)
            return deployment.ends_s()

    ends_s = asyncio.run(scenario())
    assert len(ends_s) >= 3
    assert n_late_ends(ends_s) <= N_RETRIES_MAX, len(ends_s)
