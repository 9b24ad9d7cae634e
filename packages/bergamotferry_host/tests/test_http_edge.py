"""Tests of requests that a caller sends ahead on one connection (pipelining)."""

import asyncio
import contextlib
import re
import socket
from collections.abc import AsyncIterator, Callable

import pytest
from aiohttp import web
from direct_harness import (
    HEADER_NAMES,
    DirectHarness,
    route,
    run_with_harness,
    served,
)

from bergamotferry_host.clock import now_ns
from bergamotferry_host.edge_connection import EdgeLimits
from bergamotferry_host.http_edge import (
    close_idle_connections,
    edge_runner,
)
from bergamotferry_host.pipelining import N_SIDE_BY_SIDE_MAX

# More than a caller's and a host's socket buffers hold together.
LARGE_BODY = b"a" * 500_000
BUFFER_BYTES = 4_096


def head(request_id: str, deadline_ms: int = 2_000, path: str = "/safe/1") -> bytes:
    lines = [
        f"GET {path} HTTP/1.1",
        "Host: a.example",
        f"{HEADER_NAMES.request_id}: {request_id}",
        f"{HEADER_NAMES.deadline_ms}: {deadline_ms}",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def connect(harness: DirectHarness):
    host, port = harness.url.split(":")
    return await asyncio.open_connection(host, int(port))


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, str]:
    """Read one answer; return its status and the id of its request."""
    answer = (await reader.readuntil(b"\r\n\r\n")).decode()
    n_bytes = int(re.search(r"(?i)content-length: (\d+)", answer)[1])
    await reader.readexactly(n_bytes)
    request_id = re.search(rf"(?i){HEADER_NAMES.request_id}: (\w+)", answer)[1]
    return int(answer.split()[1]), request_id


def serve_after(delay_s: float, deadlines_ms: dict[str, int]) -> Callable:
    """Return a behaviour that serves later, and records the time left by request."""

    async def serve(request: web.Request) -> web.StreamResponse:
        request_id = request.headers[HEADER_NAMES.request_id]
        deadlines_ms[request_id] = int(request.headers[HEADER_NAMES.deadline_ms])
        await asyncio.sleep(delay_s)
        return await served(request)

    return serve


def configure(harness: DirectHarness, *kinds: str) -> None:
    """Configure routes on which no hedge is sent."""
    harness.configure(
        *(route(kind, timeout_ms=2_000, latency_objective_ms=2_000) for kind in kinds)
    )


def ids(first: int, last: int) -> list[str]:
    return [f"r{number}" for number in range(first, last + 1)]


def test_unsafe_requests_wait_their_turn_and_deadlines_count_from_arrival():
    deadlines_ms: dict[str, int] = {}

    async def scenario(harness):
        configure(harness, "unsafe")
        await harness.add("u1", serve_after(0.2, deadlines_ms))
        reader, writer = await connect(harness)
        for request_id in ids(0, 3):
            writer.write(head(request_id, path="/unsafe/1"))
        answers = [await read_answer(reader) for _ in range(4)]
        assert answers == [(200, request_id) for request_id in ids(0, 3)]
        writer.close()
        await writer.wait_closed()

    run_with_harness(scenario)
    # Each request has waited for 0.2 s more than the one before it.
    for number in range(4):
        assert deadlines_ms[f"r{number}"] <= 2_000 - 200 * number


def test_request_whose_deadline_passes_behind_another_is_refused_unsent():
    async def scenario(harness):
        configure(harness, "unsafe")
        await harness.add("u1", serve_after(0.4, {}))
        reader, writer = await connect(harness)
        for request_id, deadline_ms in (("r0", 2_000), ("r1", 300), ("r2", 2_000)):
            writer.write(head(request_id, deadline_ms, "/unsafe/1"))
        answers = [await read_answer(reader) for _ in range(3)]
        assert answers == [(200, "r0"), (503, "r1"), (200, "r2")]
        writer.close()
        await writer.wait_closed()

    harness = run_with_harness(scenario)
    assert [request_id for _, request_id in harness.sends] == ["r0", "r2"]


def test_safe_requests_run_side_by_side_and_are_answered_in_order():
    async def serve_first_last(request):
        is_first = request.headers[HEADER_NAMES.request_id] == "r0"
        await asyncio.sleep(0.5 if is_first else 0.1)
        return await served(request)

    async def scenario(harness):
        configure(harness, "safe")
        await harness.add("u1", serve_first_last)
        reader, writer = await connect(harness)
        began_s = asyncio.get_running_loop().time()
        writer.write(b"".join(head(request_id) for request_id in ids(0, 5)))
        answers = [await read_answer(reader) for _ in range(6)]
        assert answers == [(200, request_id) for request_id in ids(0, 5)]
        # One after the other they would take 1 s.
        assert asyncio.get_running_loop().time() - began_s < 0.8
        writer.close()
        await writer.wait_closed()

    run_with_harness(scenario)


def test_safe_requests_do_not_overtake_an_unsafe_one():
    async def scenario(harness):
        configure(harness, "safe", "unsafe")
        await harness.add("u1", serve_after(0.2, {}))
        reader, writer = await connect(harness)
        writer.write(
            b"POST /unsafe/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n"
            + f"{HEADER_NAMES.request_id}: r0\r\n\r\nb".encode()
            + head("r1")
        )
        await asyncio.sleep(0.1)
        assert harness.sends == [("u1", "r0")]
        assert [await read_answer(reader) for _ in range(2)] == [
            (200, "r0"),
            (200, "r1"),
        ]
        writer.close()
        await writer.wait_closed()

    run_with_harness(scenario)


def test_requests_of_one_connection_in_progress_are_limited():
    async def scenario(harness):
        configure(harness, "safe")
        await harness.add("u1", serve_after(0.2, {}))
        await harness.add("u2", serve_after(0.2, {}))
        await harness.add("u3", serve_after(0.2, {}))
        await harness.add("u4", serve_after(0.2, {}))
        reader, writer = await connect(harness)
        writer.write(b"".join(head(request_id) for request_id in ids(0, 29)))
        await asyncio.sleep(0.15)
        assert len(harness.sends) <= N_SIDE_BY_SIDE_MAX
        answers = [await read_answer(reader) for _ in range(30)]
        assert [request_id for _, request_id in answers] == ids(0, 29)
        assert harness.runner.server.n_ahead == 0
        writer.close()
        await writer.wait_closed()

    run_with_harness(scenario)


@pytest.mark.parametrize(("kind", "n_begun"), [("safe", 8), ("unsafe", 1)])
def test_stopping_host_answers_what_it_has_begun_and_passes_on_no_more(kind, n_begun):
    async def scenario(harness):
        configure(harness, kind)
        for name in ("u1", "u2", "u3", "u4"):
            await harness.add(name, serve_after(0.3, {}))
        reader, writer = await connect(harness)
        for request_id in ids(0, 11):
            writer.write(head(request_id, path=f"/{kind}/1"))
        await asyncio.sleep(0.15)
        harness.host.stop_end_ns = now_ns() + 60_000_000_000
        answers = [await read_answer(reader) for _ in range(n_begun)]
        assert answers == [(200, request_id) for request_id in ids(0, n_begun - 1)]
        assert await reader.read() == b""
        writer.close()
        await writer.wait_closed()

    harness = run_with_harness(scenario)
    assert sorted(request_id for _, request_id in harness.sends) == ids(0, n_begun - 1)


def test_caller_that_leaves_cancels_its_request_and_those_behind_it():
    async def scenario(harness):
        configure(harness, "safe")
        await harness.add("u1", serve_after(1.0, {}))
        _, writer = await connect(harness)
        writer.write(b"".join(head(request_id) for request_id in ids(0, 19)))
        await asyncio.sleep(0.2)
        writer.transport.abort()
        await asyncio.sleep(0.3)
        assert harness.host.n_in_flight == 0
        assert harness.runner.server.n_ahead == 0

    harness = run_with_harness(scenario)
    assert len(harness.sends) <= N_SIDE_BY_SIDE_MAX
    assert len(harness.cancelled) == len(harness.sends)


def test_flood_behind_a_slow_request_is_not_read():
    async def scenario(harness):
        configure(harness, "safe")
        await harness.add("u1", serve_after(1.0, {}))
        reader, writer = await connect(harness)
        writer.write(head("r0") * 20_000)
        await asyncio.sleep(0.5)
        # Most of the requests are still with the caller and in socket buffers.
        (connection,) = harness.runner.server.connections
        assert len(connection._messages) <= 64
        assert not connection._open_transport.is_reading()
        assert (await read_answer(reader))[0] == 200
        writer.transport.abort()

    run_with_harness(scenario)


@contextlib.asynccontextmanager
async def slow_caller(
    is_closing: bool, runners: list[web.AppRunner]
) -> AsyncIterator[socket.socket]:
    """Serve large answers; yield a caller with small buffers that is connected.

    The runner that serves is added to ``runners``.
    """

    async def answer(request: web.Request) -> web.Response:
        response = web.Response(body=LARGE_BODY)
        if is_closing:
            response.force_close()
        return response

    app = web.Application()
    app.router.add_get("/", answer)
    runner = edge_runner(app, EdgeLimits(50), 0.1)
    runners.append(runner)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    caller.setblocking(False)
    try:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, runner.addresses[0])
        yield caller
    finally:
        caller.close()
        await runner.cleanup()


@pytest.mark.parametrize("n_sent_while_reading", [0, 1, 50])
def test_closing_answer_arrives_whole_although_further_requests_arrive(
    n_sent_while_reading,
):
    """Guards against the reset of a connection that is closed with unread requests."""
    request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"

    async def scenario():
        loop = asyncio.get_running_loop()
        received = b""
        async with slow_caller(True, []) as caller:
            await loop.sock_sendall(caller, request)
            n_left = n_sent_while_reading
            while part := await loop.sock_recv(caller, 65_536):
                received += part
                if n_left and len(received) > len(LARGE_BODY) // 4:
                    await loop.sock_sendall(caller, request)
                    n_left -= 1
        assert received.endswith(LARGE_BODY)
        assert received.count(b"HTTP/1.1 200") == 1

    asyncio.run(asyncio.wait_for(scenario(), 20))


async def close_idle_often(runners: list[web.AppRunner]) -> None:
    """Close idle connections at every turn of the event loop, once a request came."""
    while True:
        if any(
            connection._pipeline.n_arrived
            for runner in runners
            for connection in runner.server.connections
        ):
            close_idle_connections(runners[0])
        await asyncio.sleep(0)


def test_connection_with_a_request_is_not_idle_at_any_moment():
    """Guards against a request that is cut since it was read just before the closing.

    Traced on the bench: a request that had been sent to its upstream in the same
    millisecond was cut.
    """

    async def read_whole_answer() -> bytes:
        received = b""
        runners: list[web.AppRunner] = []
        async with slow_caller(False, runners) as caller:
            closer = asyncio.create_task(close_idle_often(runners))
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(caller, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            while part := await loop.sock_recv(caller, 65_536):
                received += part
            closer.cancel()
        return received

    async def scenario(harness):
        configure(harness, "safe")
        await harness.add("u1", serve_after(0.05, {}))
        closer = asyncio.create_task(close_idle_often([harness.runner]))
        for request_id in ids(0, 9):
            reader, writer = await connect(harness)
            writer.write(head(request_id))
            assert await read_answer(reader) == (200, request_id)
            assert await reader.read() == b""
            writer.close()
            await writer.wait_closed()
        closer.cancel()

    harness = run_with_harness(scenario)
    assert [request_id for _, request_id in harness.sends] == ids(0, 9)
    assert asyncio.run(read_whole_answer()).endswith(LARGE_BODY)
