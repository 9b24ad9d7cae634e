"""Tests that each answer is written to its caller's connection in its turn."""

import asyncio

import pytest
from ahead_caller import read_answer, request_head
from aiohttp import web
from direct_harness import (
    HEADER_NAMES,
    DirectHarness,
    route,
    run_with_harness,
)

from bergamotferry.answer_link import AnswerLink
from bergamotferry.upstream_load import WorkTime
from bergamotferry_host.clock import now_ns

# An answer of over 5,000 bytes is large for this link.
LINK_MBPS = 1.0
N_SMALL, N_LARGE = 500, 30_000
SLOW_S = 0.4
# Long enough for several large answers in a row on a busy machine.
TIMEOUT_MS = 8_000


def head(request_id: str, *lines: str) -> bytes:
    return request_head(
        request_id,
        "/safe/1",
        *lines,
        host="a.example",
        deadline_ms=TIMEOUT_MS,
        prefix="Bergamotferry",
    )


def body_of(request_id: str, n_bytes: int) -> bytes:
    """Return a body that tells from any byte to which request it belongs."""
    return (request_id[-1] * n_bytes).encode()


def answers_by_id(plan: dict[str, tuple[float, int]]):
    """Return an upstream that works and answers by a plan of seconds and bytes."""

    async def answer(request: web.Request) -> web.StreamResponse:
        request_id = request.headers[HEADER_NAMES.request_id]
        work_s, n_bytes = plan[request_id]
        await asyncio.sleep(work_s)
        headers = {HEADER_NAMES.request_id: request_id, HEADER_NAMES.seal: "s"}
        return web.Response(body=body_of(request_id, n_bytes), headers=headers)

    return answer


def configure(harness: DirectHarness, **changes) -> None:
    """Set up a narrow link and a route whose answers were small so far."""
    harness.host.link = AnswerLink.from_config(LINK_MBPS)
    times = {"timeout_ms": TIMEOUT_MS, "latency_objective_ms": TIMEOUT_MS}
    harness.configure(route(**{**times, **changes}))
    harness.host.work_times["safe"] = WorkTime(answer_bytes=N_SMALL)


async def send_ahead(harness: DirectHarness, *heads: bytes):
    host, port = harness.url.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"".join(heads))
    return reader, writer


@pytest.mark.parametrize(
    "plan",
    [
        {"r0": (SLOW_S, N_SMALL), "r1": (0.0, N_LARGE)},
        {"r0": (0.0, N_LARGE), "r1": (0.0, N_SMALL)},
        {"r0": (0.0, N_LARGE), "r1": (0.05, N_LARGE)},
        {"r0": (SLOW_S, N_LARGE), "r1": (0.0, N_LARGE), "r2": (0.1, N_SMALL)},
        {"r0": (SLOW_S, N_SMALL), "r1": (0.0, 200_000), "r2": (0.0, N_LARGE)},
    ],
)
@pytest.mark.parametrize("is_hedged", [False, True])
def test_answers_of_any_size_are_written_in_the_order_of_their_requests(
    plan, is_hedged
):
    """Guards against a large answer of a route with small ones that goes first."""

    async def scenario(harness):
        configure(harness, n_attempts_max=2 if is_hedged else 1)
        for name in ("u1", "u2", "u3"):
            await harness.add(name, answers_by_id(plan))
        reader, writer = await send_ahead(harness, *map(head, plan))
        async with asyncio.timeout(20):
            answers = [await read_answer(reader) for _ in plan]
        assert answers == [
            (200, request_id, body_of(request_id, n_bytes))
            for request_id, (_, n_bytes) in plan.items()
        ]
        assert harness.host.n_in_flight == 0
        writer.close()

    run_with_harness(scenario)


def test_request_sent_ahead_that_waits_for_a_100_gets_it_in_its_turn():
    """Guards against an interim answer in the middle of an earlier answer."""
    plan = {"r0": (0.2, N_SMALL), "r1": (0.0, N_SMALL)}

    async def scenario(harness):
        configure(harness)
        await harness.add("u1", answers_by_id(plan))
        await harness.add("u2", answers_by_id(plan))
        expecting = head("r1", "Expect: 100-continue")
        reader, writer = await send_ahead(harness, head("r0"), expecting)
        assert (await read_answer(reader))[:2] == (200, "r0")
        interim = await reader.readuntil(b"\r\n\r\n")
        assert interim.startswith(b"HTTP/1.1 100 ")
        assert (await read_answer(reader))[:2] == (200, "r1")
        writer.close()

    run_with_harness(scenario)


def test_hedge_is_not_streamed_if_the_answers_are_known_as_large_meanwhile():
    """Guards against an answer of the first send on top of a streamed hedge."""
    n_started = 0

    async def answer(request: web.Request) -> web.StreamResponse:
        nonlocal n_started
        n_started += 1
        is_hedge = n_started > 1
        headers = {HEADER_NAMES.request_id: "r0", HEADER_NAMES.seal: "s"}
        if not is_hedge:
            await asyncio.sleep(SLOW_S)
            return web.Response(body=body_of("r0", N_SMALL), headers=headers)
        response = web.StreamResponse(headers=headers)
        response.content_length = N_LARGE
        await response.prepare(request)
        await response.write(b"h" * (N_LARGE // 2))
        await asyncio.sleep(2 * SLOW_S)
        await response.write(b"h" * (N_LARGE // 2))
        return response

    async def scenario(harness):
        configure(harness, latency_objective_ms=60)
        await harness.add("u1", answer)
        await harness.add("u2", answer)
        reader, writer = await send_ahead(harness, head("r0"))
        await asyncio.sleep(0.02)
        # Other answers of the route came meanwhile.
        harness.host.work_times["safe"].answer_bytes = N_LARGE
        async with asyncio.timeout(10):
            answered = await read_answer(reader)
        assert n_started == 2
        assert answered in (
            (200, "r0", body_of("r0", N_SMALL)),
            (200, "r0", b"h" * N_LARGE),
        )
        writer.close()

    run_with_harness(scenario)


def test_answer_that_breaks_off_leaves_earlier_answers_whole():
    """Guards against a reset that discards an earlier answer on its way."""
    # Neither the caller's nor the host's socket buffers hold it.
    n_earlier = 4_000_000

    async def answer(request: web.Request) -> web.StreamResponse:
        request_id = request.headers[HEADER_NAMES.request_id]
        headers = {HEADER_NAMES.request_id: request_id, HEADER_NAMES.seal: "s"}
        if request_id == "r0":
            return web.Response(body=body_of("r0", n_earlier), headers=headers)
        response = web.StreamResponse(headers=headers)
        response.content_length = 20_000_000
        await response.prepare(request)
        await response.write(b"1" * 100_000)
        request.transport.abort()
        return response

    async def scenario(harness):
        configure(harness, n_attempts_max=1)
        harness.host.link = AnswerLink(0.0)
        await harness.add("u1", answer)
        await harness.add("u2", answer)
        heads = head("r0"), head("r1")
        reader, writer = await send_ahead(harness, *heads)
        await asyncio.sleep(1.0)
        async with asyncio.timeout(10):
            assert await read_answer(reader) == (200, "r0", body_of("r0", n_earlier))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await read_answer(reader)
        writer.close()

    run_with_harness(scenario)


def test_stopping_host_delivers_answers_that_wait_for_their_turn():
    """Guards against a close under a large answer that was fetched ahead."""
    plan = {"r0": (SLOW_S, N_SMALL), "r1": (0.0, N_LARGE)}

    async def scenario(harness):
        configure(harness)
        await harness.add("u1", answers_by_id(plan))
        await harness.add("u2", answers_by_id(plan))
        reader, writer = await send_ahead(harness, *map(head, plan))
        await asyncio.sleep(SLOW_S / 2)
        harness.host.stop_end_ns = now_ns() + 60_000_000_000
        async with asyncio.timeout(10):
            answers = [await read_answer(reader) for _ in plan]
            assert [answer[:2] for answer in answers] == [(200, "r0"), (200, "r1")]
            assert await reader.read() == b""
        writer.close()

    run_with_harness(scenario)
