"""Tests that a stopping host loses no request, and no answer on its way to a caller."""

import asyncio
import socket

import pytest
from aiohttp import web
from direct_harness import (
    HEADER_NAMES,
    DirectHarness,
    refusal,
    route,
    run_with_harness,
    served,
)

from bergamotferry.stop_admission import N_ANSWERS_MIN, record_answer_time
from bergamotferry_host import direct_run
from bergamotferry_host.clock import now_ns
from bergamotferry_host.direct_host import DirectHost, answer_times_of
from bergamotferry_host.direct_run import drain
from bergamotferry_host.edge_connection import EdgeLimits
from bergamotferry_host.fleet_settings import FleetBounds, FleetSettings
from bergamotferry_host.http_edge import (
    close_idle_connections,
    edge_runner,
    wait_for_flush,
)

# More than the test's socket buffers hold, and less than the amount at which the HTTP
# library blocks writers.
ANSWER_BODY = b"a" * 60_000
BUFFER_BYTES = 4_096
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


async def answer(request: web.Request) -> web.Response:
    return web.Response(body=ANSWER_BODY)


class SlowReader:
    """A host and a caller whose link has small socket buffers."""

    def __init__(self) -> None:
        app = web.Application()
        app.router.add_get("/", answer)
        self.runner = edge_runner(app, EdgeLimits(50), 0.1)

    async def __aenter__(self):
        await self.runner.setup()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        await web.SockSite(self.runner, listener).start()
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, listener.getsockname())
        await loop.sock_sendall(caller, REQUEST)
        self.caller = caller
        # After the sleep the handler has returned, but the process still buffers the
        # answer.
        await asyncio.sleep(0.2)
        return self

    async def __aexit__(self, *error):
        self.caller.close()
        await self.runner.cleanup()

    async def read(self) -> bytes:
        loop = asyncio.get_running_loop()
        received = b""
        while part := await loop.sock_recv(self.caller, BUFFER_BYTES):
            received += part
            await asyncio.sleep(0.001)
        return received


def test_flush_waits_until_the_answer_is_sent():
    async def scenario():
        async with SlowReader() as reader:
            flush_task = asyncio.create_task(wait_for_flush(reader.runner))
            await asyncio.sleep(0.1)
            assert not flush_task.done()
            received = await reader.read()
            await asyncio.wait_for(flush_task, 5)
            assert received.endswith(ANSWER_BODY)

    asyncio.run(scenario())


@pytest.mark.parametrize("reads", [True, False])
def test_stop_waits_for_answers_within_the_grace_period(reads, monkeypatch):
    monkeypatch.setattr(direct_run, "BALANCER_REACTION_S", 0.0)
    bounds = FleetBounds(grace_s=direct_run.STOP_RESERVE_S + (20.0 if reads else 0.3))
    settings = FleetSettings(
        "127.0.0.1", "h", "a", "north", {"a": "north"}, 1, ("127.0.0.1",), bounds=bounds
    )

    async def scenario():
        host = DirectHost(settings, None, lambda source: [])
        async with SlowReader() as reader:
            drain_task = asyncio.create_task(drain(host, reader.runner))
            if reads:
                await asyncio.sleep(0.1)
                assert not drain_task.done()
                assert (await reader.read()).endswith(ANSWER_BODY)
            await asyncio.wait_for(drain_task, 10)
        assert not host.is_ready

    asyncio.run(scenario())


def stop_soon(
    harness: DirectHarness, left_s: float, usual_ms: float, rotation_left_s: float = 9.0
) -> None:
    """Let the host stop in ``left_s``; its answers have taken ``usual_ms`` so far.

    The load balancer sends callers for ``rotation_left_s`` more seconds.
    """
    times = answer_times_of(harness.host, harness.host.configuration.routes[0])
    for _ in range(N_ANSWERS_MIN):
        record_answer_time(times, usual_ms)
    harness.host.stop_end_ns = now_ns() + int(left_s * 1e9)
    harness.host.rotation_end_ns = now_ns() + int(rotation_left_s * 1e9)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_request_that_may_not_end_before_the_stop_is_refused_unsent(kind):
    async def scenario(harness):
        harness.configure(route(kind, timeout_ms=3_000))
        await harness.add("u1", served)
        stop_soon(harness, 1.0, 1_500.0)
        answer, text = await harness.send_request(f"/{kind}/1")
        assert answer.status == 503
        assert text.startswith("1108 ")
        assert answer.headers["Connection"] == "close"
        assert float(answer.headers["Retry-After"]) < 0.1

    assert run_with_harness(scenario).sends == []


def test_request_that_ends_before_the_stop_is_served():
    async def scenario(harness):
        harness.configure(route("unsafe", timeout_ms=3_000))
        await harness.add("u1", served)
        stop_soon(harness, 2.0, 1_500.0)
        answer, _ = await harness.send_request("/unsafe/1")
        assert answer.status == 200

    assert len(run_with_harness(scenario).sends) == 1


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
@pytest.mark.parametrize(
    ("rotation_left_s", "timeout_ms", "status"),
    [(1.0, 3_000, 200), (0.0, 3_000, 503), (0.0, 1_500, 200)],
)
def test_request_out_of_rotation_is_sent_only_if_its_own_limit_ends_before_the_stop(
    kind, rotation_left_s, timeout_ms, status
):
    """Guards against a slow request that a stopping host breaks off at work.

    However quick the recent answers were, the next one may take until its deadline.
    """

    async def scenario(harness):
        harness.configure(route(kind, timeout_ms=timeout_ms))
        await harness.add("u1", served)
        stop_soon(harness, 2.0, 10.0, rotation_left_s)
        answer, _ = await harness.send_request(f"/{kind}/1")
        assert answer.status == status

    n_sends = len(run_with_harness(scenario).sends)
    assert n_sends == (1 if status == 200 else 0)


def test_refused_request_is_not_sent_again_if_the_retry_may_not_end_before_the_stop():
    async def refuse_late(request):
        await asyncio.sleep(0.3)
        return refusal(request, 503)

    async def scenario(harness):
        harness.configure(route("unsafe", timeout_ms=3_000))
        await harness.add("u1", refuse_late)
        await harness.add("u2", served)
        stop_soon(harness, 1.0, 900.0)
        answer, text = await harness.send_request("/unsafe/1")
        assert answer.status == 503
        assert text.startswith("1108 ")

    assert [name for name, _ in run_with_harness(scenario).sends] == ["u1"]


def test_upstream_is_given_no_more_time_than_the_host_has():
    deadlines_ms = []

    async def record_deadline(request):
        deadlines_ms.append(int(request.headers[HEADER_NAMES.deadline_ms]))
        return await served(request)

    async def scenario(harness):
        harness.configure(route("unsafe", timeout_ms=3_000))
        await harness.add("u1", record_deadline)
        stop_soon(harness, 1.0, 10.0)
        await harness.send_request("/unsafe/1")

    run_with_harness(scenario)
    assert len(deadlines_ms) == 1
    assert 500 < deadlines_ms[0] <= 1_000


def test_stopping_host_closes_idle_connections_only():
    async def scenario(harness):
        harness.configure(route())
        answer_may_end = asyncio.Event()

        async def serve_later(request):
            await answer_may_end.wait()
            return await served(request)

        await harness.add("u1", serve_later)
        host, port = harness.url.split(":")
        idle_reader, idle_writer = await asyncio.open_connection(host, int(port))
        begun_reader, begun_writer = await asyncio.open_connection(host, int(port))
        head = b"GET /safe/1 HTTP/1.1\r\nHost: a.example\r\n"
        head += f"{HEADER_NAMES.request_id}: r\r\n\r\n".encode()
        begun_writer.write(head[:30])
        busy_reader, busy_writer = await asyncio.open_connection(host, int(port))
        busy_writer.write(head)
        await asyncio.sleep(0.1)
        close_idle_connections(harness.runner)
        assert await idle_reader.read() == b""
        begun_writer.write(head[30:])
        answer_may_end.set()
        assert (await busy_reader.readline()).startswith(b"HTTP/1.1 200")
        assert (await begun_reader.readline()).startswith(b"HTTP/1.1 200")
        for writer in (idle_writer, begun_writer, busy_writer):
            writer.close()
            await writer.wait_closed()

    run_with_harness(scenario)
