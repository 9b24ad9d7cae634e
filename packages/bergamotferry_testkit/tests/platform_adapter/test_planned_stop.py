"""Planned stop of an edge under load: every request of its callers is counted.

Callers keep their connections open until the process is gone. Some send requests that
may run only once, others send several safe requests ahead on one connection. The
stand-in upstreams record which of them ran. Work that takes long now and then is what a
stop finds in flight.
"""

import asyncio
import contextlib
import random
import re
import signal
import time
from collections.abc import AsyncIterator
from typing import NamedTuple

import aiohttp
import pytest
from aiohttp import web
from claimed_network import claim_network
from platform_fleet import (
    CONTROL_PORT,
    FRONT_PORT,
    READY_PORT,
    Fleet,
    heartbeat,
    manifest,
    not_run_answer,
    resend_until_200,
    route,
    send_http_request,
)

NETWORK = claim_network()
CORES = [f"{NETWORK}.{number}.1" for number in (1, 2, 3)]
EDGES = [f"{NETWORK}.{number}.9" for number in (1, 2)]
UPSTREAMS = {f"i-{number}": f"{NETWORK}.1.{50 + number}:18099" for number in range(4)}
N_SLOTS = 8
GRACE_S = 6.0
# Answers must have left the host this long before the end of its grace period.
STOP_RESERVE_S = 0.8
# The load balancer sends no new callers from this time after the stop's begin on.
BALANCER_REACTION_S = 2.8
# Work of the two routes; a slow request is drawn with probability `SLOW_SHARE`.
QUICK_WORK_S = (0.005, 0.03)
SLOW_WORK_S = (0.8, 1.4)
SLOW_SHARE = 0.15
# Requests of the quick route that take longer than all others of the route.
UNUSUAL_WORK_S = {"/quick/unusual": 1.5, "/quick/longest": 1.9}
# The longest request leaves this much of its time for the way of its answer. Its way to
# the upstream uses up work, so that a delay there does not make the answer late.
ANSWER_RESERVE_S = 0.4
CALLER_DEADLINE_S = 3.0
LONGEST_TRIES_S = 0.15
N_CALLERS = 12
CALLER_PAUSE_S = 0.05
N_CALLERS_AHEAD = 3
N_SENT_AHEAD = 4


class Call(NamedTuple):
    """One request of a caller; ``status`` is 0 if no whole answer came."""

    request_id: str
    path: str
    sent_s: float
    ended_s: float
    status: int


class Upstream:
    """A stand-in that records which requests began to run, and which were answered."""

    def __init__(self, name: str, address: str, began: dict[str, float]) -> None:
        self.name = name
        self.address = address
        self.began = began
        self.rng = random.Random(name)
        self.runner: web.AppRunner | None = None
        self.is_mute = False

    async def start(self) -> None:
        app = web.Application()
        app.router.add_get("/health", self.on_health)
        app.router.add_route("*", "/{path:.*}", self.on_request)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        ip, port = self.address.split(":")
        await web.TCPSite(self.runner, ip, int(port), reuse_address=True).start()

    async def on_health(self, request: web.Request) -> web.Response:
        headers = {"X-Instance-Id": self.name, "X-Server-Load": f"0,0,{N_SLOTS},100"}
        return web.Response(headers=headers)

    async def on_request(self, request: web.Request) -> web.Response:
        """Run a request until its work is done or its deadline has passed."""
        if request.headers.get("X-Expected-Instance") != self.name:
            return not_run_answer(request)
        request_id = request.headers["X-Request-Id"]
        self.began[request_id] = time.monotonic()
        is_slow = "/slow/" in request.path and self.rng.random() < SLOW_SHARE
        work_s = self.rng.uniform(*(SLOW_WORK_S if is_slow else QUICK_WORK_S))
        work_s = UNUSUAL_WORK_S.get(request.path, work_s)
        if self.is_mute:
            work_s = 60.0
        left_s = int(request.headers["X-Deadline-Ms"]) / 1000
        if request.path == "/quick/longest":
            work_s = min(work_s, left_s - ANSWER_RESERVE_S)
        await asyncio.sleep(min(work_s, left_s))
        headers = {"X-Request-Id": request_id, "X-Response-Seal": "s"}
        status = 200 if work_s <= left_s else 504
        return web.Response(status=status, text=f"did {request_id}", headers=headers)


class Deployment:
    """A fleet, its upstreams and its callers, and what the callers got."""

    def __init__(self, fleet: Fleet, http: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self.http = http
        self.began: dict[str, float] = {}
        self.calls: list[Call] = []
        self.upstreams = [
            Upstream(name, address, self.began) for name, address in UPSTREAMS.items()
        ]

    async def start(self) -> None:
        await self.fleet.start_hosts()
        for upstream in self.upstreams:
            await upstream.start()
        routes = [route("/quick/"), route("/slow/"), route("/safe/", "safe")]
        await resend_until_200(
            self.http,
            "PUT",
            f"http://{CORES[0]}:{CONTROL_PORT}/api/config",
            json=manifest(1, *routes),
        )
        for upstream in self.upstreams:
            url, beat = self._announcement(upstream)
            await resend_until_200(self.http, "PUT", url, json=beat)
        for edge in EDGES:
            url = f"http://{edge}:{READY_PORT}/api/ready"
            await resend_until_200(self.http, "GET", url)

    async def run_heartbeats(self) -> None:
        sequence = 1
        while True:
            sequence += 1
            for upstream in self.upstreams:
                url, beat = self._announcement(upstream, sequence)
                await send_http_request(self.http, "PUT", url, json=beat)
            await asyncio.sleep(0.4)

    async def run_caller(self, number: int, edge: str) -> None:
        """Send requests on a connection that is kept until the host closes it."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as http:
            for count in range(100_000):
                path = ("/quick/1", "/slow/1")[count % 2]
                call = await self.send(http, edge, f"c{number}-{count}", path)
                self.calls.append(call)
                await asyncio.sleep(CALLER_PAUSE_S)

    async def run_caller_ahead(self, number: int, edge: str) -> None:
        """Send groups of safe requests, each group on a connection of its own."""
        for count in range(100_000):
            names = [f"a{number}-{count}-{n}" for n in range(N_SENT_AHEAD)]
            sent_s = time.monotonic()
            answered = await self._send_ahead(edge, names)
            for name in names:
                status = answered.get(name, 0)
                call = Call(name, "/safe/slow/1", sent_s, time.monotonic(), status)
                self.calls.append(call)
            await asyncio.sleep(CALLER_PAUSE_S)

    async def _send_ahead(self, edge: str, names: list[str]) -> dict[str, int]:
        """Send requests on one connection; return the statuses of the whole answers."""
        answered: dict[str, int] = {}
        writer = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(4):
                reader, writer = await asyncio.open_connection(edge, FRONT_PORT)
                for name in names:
                    lines = (
                        "GET /safe/slow/1 HTTP/1.1",
                        "Host: one.example",
                        f"X-Deadline-Ms: {CALLER_DEADLINE_S * 1000:.0f}",
                        f"X-Request-Id: {name}",
                    )
                    writer.write("\r\n".join([*lines, "", ""]).encode())
                for name in names:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode()
                    assert f"x-request-id: {name}\r\n" in head.lower()
                    length = int(re.search(r"(?i)Content-Length: (\d+)", head)[1])
                    await reader.readexactly(length)
                    answered[name] = int(head.split()[1])
        if writer is not None:
            writer.close()
        return answered

    async def send(
        self,
        http: aiohttp.ClientSession,
        edge: str,
        request_id: str,
        path: str,
        deadline_s: float = CALLER_DEADLINE_S,
    ) -> Call:
        headers = {
            "Host": "one.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": f"{deadline_s * 1000:.0f}",
        }
        sent_s = time.monotonic()
        status = 0
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with http.post(
                f"http://{edge}:{FRONT_PORT}{path}",
                headers=headers,
                data=b"body",
                timeout=aiohttp.ClientTimeout(total=4),
            ) as answer:
                body = await answer.text()
                status = answer.status
                if status == 200:
                    assert body == f"did {request_id}"
        return Call(request_id, path, sent_s, time.monotonic(), status)

    async def send_longest(self, http: aiohttp.ClientSession) -> Call:
        """Send a request that takes long to a host that stops, again if it was closed.

        The host closes a connection on which nothing has arrived yet, also a new one.
        """
        end_s = time.monotonic() + LONGEST_TRIES_S
        while True:
            call = await self.send(http, EDGES[0], "longest", "/quick/longest", 2.0)
            is_closed_unread = call.status == 0 and "longest" not in self.began
            if not is_closed_unread or time.monotonic() > end_s:
                return call

    def _announcement(self, upstream: Upstream, sequence: int = 1):
        url = f"http://{CORES[0]}:{CONTROL_PORT}/api/instances/{upstream.name}"
        return url, heartbeat(sequence, address=upstream.address, n_slots=N_SLOTS)


@contextlib.asynccontextmanager
async def running_deployment(tmp_path) -> AsyncIterator[Deployment]:
    fleet = Fleet(tmp_path, CORES, EDGES)
    async with aiohttp.ClientSession() as http:
        deployment = Deployment(fleet, http)
        tasks: list[asyncio.Task[None]] = []
        try:
            await deployment.start()
            tasks.append(asyncio.create_task(deployment.run_heartbeats()))
            for number in range(N_CALLERS):
                caller = deployment.run_caller(number, EDGES[0])
                tasks.append(asyncio.create_task(caller))
            for number in range(N_CALLERS_AHEAD):
                caller = deployment.run_caller_ahead(number, EDGES[0])
                tasks.append(asyncio.create_task(caller))
            # The host learns how long answers take.
            await asyncio.sleep(5.0)
            yield deployment
        finally:
            for task in tasks:
                task.cancel()
            ends = await asyncio.gather(*tasks, return_exceptions=True)
            await fleet.end_hosts()
            for upstream in deployment.upstreams:
                if upstream.runner is not None:
                    await upstream.runner.cleanup()
            # A caller that failed counted nothing.
            for end in ends:
                if not isinstance(end, asyncio.CancelledError):
                    raise AssertionError("a caller ended") from end


def check_calls(deployment: Deployment) -> None:
    """Check that each request that ran was answered and each refused one never ran."""
    statuses = {call.request_id: call.status for call in deployment.calls}
    refused = {name for name, status in statuses.items() if status in (429, 503)}
    unanswered = {name for name, status in statuses.items() if status == 0}
    ran = set(deployment.began)
    assert not refused & ran
    assert not unanswered & ran
    n_served = sum(1 for status in statuses.values() if status == 200)
    assert n_served > 500


def test_stop_under_load_answers_every_request_that_ran(tmp_path):
    async def scenario():
        async with running_deployment(tmp_path) as deployment:
            stop_s = time.monotonic()
            await deployment.fleet.end(EDGES[0], signal.SIGTERM)
            took_s = time.monotonic() - stop_s
            await asyncio.sleep(1.0)
        assert took_s < GRACE_S
        check_calls(deployment)
        return deployment, stop_s

    deployment, stop_s = asyncio.run(scenario())
    # A refusal is justified if the slowest recent answer would have come too late, or
    # if the host is out of rotation and the request may last longer than the host.
    slowest_s = {
        path: max(
            call.ended_s - call.sent_s
            for call in deployment.calls
            if call.path == path and call.status == 200
        )
        for path in ("/quick/1", "/slow/1", "/safe/slow/1")
    }
    for call in deployment.calls:
        if call.status == 503 and call.sent_s > stop_s:
            left_s = stop_s + GRACE_S - STOP_RESERVE_S - call.sent_s
            is_in_rotation = call.sent_s < stop_s + BALANCER_REACTION_S - 0.1
            limit_s = slowest_s[call.path] if is_in_rotation else CALLER_DEADLINE_S
            assert left_s <= limit_s + 0.1, call


def test_stop_breaks_off_no_request_that_takes_longer_than_the_recent_ones(tmp_path):
    """Guards against a filing that is broken off at work by a host's own 504."""

    async def scenario():
        async with running_deployment(tmp_path) as deployment:
            process = deployment.fleet.processes[EDGES[0]]
            deployment.fleet.send_signal(EDGES[0], signal.SIGTERM)
            async with aiohttp.ClientSession() as http:
                # It is accepted, as its caller waits no longer than the host lives.
                await asyncio.sleep(3.0)
                longest = asyncio.create_task(deployment.send_longest(http))
                await asyncio.sleep(1.2)
                call = await deployment.send(
                    http, EDGES[0], "unusual", "/quick/unusual"
                )
                assert (await longest).status == 200
            await asyncio.wait_for(process.wait(), GRACE_S + 1)
        assert call.status == 503
        assert "unusual" not in deployment.began

    asyncio.run(scenario())


def test_stop_with_a_mute_upstream_answers_what_was_sent_late(tmp_path):
    async def scenario():
        async with running_deployment(tmp_path) as deployment:
            stop_s = time.monotonic()
            process = deployment.fleet.processes[EDGES[0]]
            deployment.fleet.send_signal(EDGES[0], signal.SIGTERM)
            await asyncio.sleep(1.0)
            deployment.upstreams[0].is_mute = True
            await asyncio.wait_for(process.wait(), GRACE_S + 1)
            assert time.monotonic() - stop_s < GRACE_S
            await asyncio.sleep(0.5)
        check_calls(deployment)

    asyncio.run(scenario())


@pytest.mark.parametrize("delay_s", [1.0])
def test_overlapping_stops_answer_every_request_that_ran(tmp_path, delay_s):
    async def scenario():
        async with running_deployment(tmp_path) as deployment:
            others = [
                asyncio.create_task(deployment.run_caller(100 + number, EDGES[1]))
                for number in range(4)
            ]
            await asyncio.sleep(2.0)
            first = asyncio.create_task(deployment.fleet.end(EDGES[0], signal.SIGTERM))
            await asyncio.sleep(delay_s)
            await deployment.fleet.end(EDGES[1], signal.SIGTERM)
            await first
            await asyncio.sleep(0.5)
            for other in others:
                other.cancel()
            await asyncio.gather(*others, return_exceptions=True)
        check_calls(deployment)

    asyncio.run(scenario())
