"""What one connection holds for its caller counts, and ends with the connection."""

import asyncio

import pytest
from aiohttp import web
from direct_harness import HEADER_NAMES, route, run_with_harness, served

from bergamotferry.memory import upstream_bodies
from bergamotferry.memory.ledger import MIB, Holding
from bergamotferry.memory.unread_answers import Unread
from bergamotferry_host.memory.unread_watch import check_unread

BODY = bytes(300_000)


def head(method, path, *more):
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: a.example",
        f"{HEADER_NAMES.request_id}: r1",
        *more,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def send_behind(harness, body):
    """Send a body behind a request that is in progress; return all that is answered."""
    ip, port = harness.url.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(head("GET", "/safe/1"))
    await asyncio.sleep(0.05)
    length = f"Content-Length: {len(body)}"
    writer.write(head("POST", "/unsafe/1", length, "Connection: close"))
    writer.write(body)
    async with asyncio.timeout(5):
        try:
            return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()


async def slow_once(request):
    if request.method == "GET":
        await asyncio.sleep(0.2)
    await request.read()
    return await served(request)


def test_a_body_that_waits_for_its_turn_counts_and_is_served():
    held_bytes = []

    async def slow_and_note(request):
        if request.method == "GET":
            await asyncio.sleep(0.2)
            held_bytes.append(harness.host.memory.held_bytes["waiting"])
        await request.read()
        return await served(request)

    async def scenario(running):
        nonlocal harness
        harness = running
        harness.configure(route(), route("unsafe"))
        harness.host.memory.max_bytes = 2 * MIB
        await harness.add("u1", slow_and_note)
        answers = await send_behind(harness, BODY)
        assert answers.count(b"HTTP/1.1 200 ") == 2
        assert harness.host.memory.held_bytes.total() == 0

    harness = None
    run_with_harness(scenario)
    # The library stops to read long before the body has arrived.
    assert 0 < held_bytes[0] < 100_000


def test_a_connection_whose_waiting_body_has_no_room_is_closed():
    """Guards against bodies that many connections hold before their turn."""

    async def scenario(harness):
        harness.configure(route(), route("unsafe"))
        harness.host.memory.max_bytes = 1_000
        await harness.add("u1", slow_once)
        assert b"HTTP/1.1 200 " not in await send_behind(harness, BODY)
        await asyncio.sleep(0.05)
        assert harness.host.memory.held_bytes.total() == 0

    run_with_harness(scenario)


def test_an_answer_that_is_not_read_counts_and_its_connection_is_ended():
    """Guards against callers that keep answers in the host's memory for ever."""

    async def large(request):
        headers = {HEADER_NAMES.request_id: "r1", HEADER_NAMES.seal: "s"}
        return web.Response(body=bytes(8 * MIB), headers=headers)

    async def scenario(harness):
        harness.configure(route())
        await harness.add("u1", large)
        ip, port = harness.url.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1_000)
        writer.write(head("GET", "/safe/1"))
        await asyncio.sleep(0.3)
        server, holding = harness.runner.server, Holding(harness.host.memory, "unread")
        known = check_unread(server, holding, {})
        (name, unread), *more = known.items()
        assert not more and unread.n_bytes == holding.n_bytes > 100_000
        check_unread(server, holding, {name: Unread(unread.n_bytes, 0)})
        await asyncio.sleep(0.05)
        check_unread(server, holding, {})
        assert harness.host.memory.held_bytes["unread"] == 0
        assert not server.transports
        writer.close()

    run_with_harness(scenario)


@pytest.mark.parametrize(("is_chunked", "status"), [(True, 502), (False, 200)])
def test_answers_that_are_held_count_and_one_without_room_is_not_held(
    is_chunked, status
):
    """One of unknown length is not taken, any other one is streamed."""

    async def medium(request):
        headers = {HEADER_NAMES.request_id: "r1", HEADER_NAMES.seal: "s"}
        answer = web.Response(body=bytes(100_000), headers=headers)
        if is_chunked:
            answer.enable_chunked_encoding()
        return answer

    async def scenario(harness):
        harness.configure(route())
        await harness.add("u1", medium)
        harness.host.memory.max_bytes = 99_000
        assert (await harness.send_request("/safe/1"))[0].status == status
        harness.host.memory.max_bytes = 0
        assert (await harness.send_request("/safe/1"))[0].status == 200
        assert harness.host.memory.held_bytes.total() == 0

    run_with_harness(scenario)


def test_large_bodies_to_one_upstream_follow_each_other(monkeypatch):
    """Guards against an upstream that ends for the bodies that it holds at once."""
    monkeypatch.setattr(upstream_bodies, "UNDER_WAY_MAX_BYTES", len(BODY))
    under_way, most = set(), []

    async def note(request):
        name = request.headers[HEADER_NAMES.request_id]
        under_way.add(name)
        most.append(len(under_way))
        await request.read()
        await asyncio.sleep(0.05)
        under_way.discard(name)
        return await served(request)

    async def scenario(harness):
        harness.configure(route("unsafe", timeout_ms=2_000))
        await harness.add("u1", note)
        url = f"http://{harness.url}/unsafe/1"

        async def post(number):
            headers = {"Host": "a.example", HEADER_NAMES.request_id: f"r{number}"}
            async with harness.http.post(url, data=BODY, headers=headers) as answer:
                return answer.status

        assert set(await asyncio.gather(*map(post, range(3)))) == {200}
        assert harness.host.upstreams["u1"].n_body_bytes == 0

    run_with_harness(scenario)
    assert most == [1, 1, 1]
