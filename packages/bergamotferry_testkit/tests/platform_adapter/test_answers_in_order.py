"""Requests that a caller sends ahead get their own answers, small and large ones."""

import asyncio
import contextlib
import hashlib
import random

import aiohttp
from ahead_caller import NoAnswerError, RawAnswer, read_answer, request_head
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
    serving,
)

NETWORK = claim_network()
CORE, EDGE = f"{NETWORK}.1.1", f"{NETWORK}.1.9"
N_UPSTREAMS = 4
UPSTREAMS = {
    f"i-{number}": f"{NETWORK}.1.{50 + number}:18099" for number in range(N_UPSTREAMS)
}
# An answer of over 16,000 bytes is large for it.
LINK_MBPS = 3.2
N_SMALL, N_LARGE = 2_000, 30_000
LARGE_SHARE = 0.2
WORK_S = 0.005, 0.25
N_SLOTS = 16
N_CONNECTIONS, N_AHEAD = 40, 4
N_CONNECTIONS_AT_ONCE = 4
SEED = 1
READ_TIMEOUT_S = 10
SPOILED_SHARE = 0.1


def answer_plan(request_id: str) -> tuple[float, int]:
    """Return how long an upstream works for an answer, and its size in bytes."""
    dice = random.Random(f"{SEED} {request_id}")
    n_bytes = N_LARGE if dice.random() < LARGE_SHARE else N_SMALL
    return dice.uniform(*WORK_S), n_bytes


def body_of(request_id: str) -> bytes:
    """Return a body that no other request gets."""
    mark = hashlib.sha256(request_id.encode()).hexdigest().encode()
    _, n_bytes = answer_plan(request_id)
    return (mark * (n_bytes // len(mark) + 1))[:n_bytes]


class SpoiledResponse(web.Response):
    """An answer of which one header has a control character in its value."""

    async def prepare(self, request):
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {request.headers['X-Request-Id']}",
            "X-Response-Seal: s",
            "X-Note: a\x01b",
            "Content-Length: 2",
            "",
            "ok",
        ]
        request.transport.write("\r\n".join(lines).encode())

    async def write_eof(self, data=b""):
        """Write nothing more."""


async def answer_by_plan(
    name: str, spoiled_share: float, request: web.Request
) -> web.Response:
    if request.path == "/health":
        return web.Response(headers={"X-Instance-Id": name})
    if request.headers.get("X-Expected-Instance") != name:
        return not_run_answer(request)
    request_id = request.headers["X-Request-Id"]
    await asyncio.sleep(answer_plan(request_id)[0])
    if random.Random(f"{name} {request_id}").random() < spoiled_share:
        return SpoiledResponse()
    headers = {"X-Request-Id": request_id, "X-Response-Seal": "s"}
    return web.Response(body=body_of(request_id), headers=headers)


async def send_ahead(connection: int) -> list[str]:
    """Send requests ahead on a connection; return what was wrong with the answers."""
    request_ids = [f"c{connection}-{number}" for number in range(N_AHEAD)]
    reader, writer = await asyncio.open_connection(EDGE, FRONT_PORT)
    for request_id in request_ids:
        writer.write(request_head(request_id, "/safe/1"))
    wrong = []
    for request_id in request_ids:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                answer = await read_answer(reader)
        except (EOFError, NoAnswerError, TimeoutError) as error:
            wrong.append(f"{request_id}: {type(error).__name__}")
            break
        expected = RawAnswer(200, request_id, body_of(request_id))
        if answer.status == 200 and answer != expected:
            wrong.append(f"{request_id}: {answer.request_id}")
    writer.close()
    return wrong


async def send_on_connections(numbers: range) -> list[str]:
    return [mistake for number in numbers for mistake in await send_ahead(number)]


async def play(tmp_path, spoiled_share: float = 0.0) -> list[str]:
    """Return what was wrong with the answers on all connections."""
    fleet = Fleet(tmp_path, [CORE], [EDGE], LINK_MBPS)
    async with contextlib.AsyncExitStack() as stack:
        http = await stack.enter_async_context(aiohttp.ClientSession())
        for name, address in UPSTREAMS.items():

            async def on_request(request, name=name):
                return await answer_by_plan(name, spoiled_share, request)

            await stack.enter_async_context(serving(address, on_request))
        try:
            await fleet.start_hosts()
            control = f"http://{CORE}:{CONTROL_PORT}/api"
            body = manifest(1, route("/safe/", "safe"))
            await resend_until_200(http, "PUT", f"{control}/config", json=body)
            for name, address in UPSTREAMS.items():
                ping = heartbeat(1, address=address, n_slots=N_SLOTS)
                url = f"{control}/instances/{name}"
                await resend_until_200(http, "PUT", url, json=ping)
            url = f"http://{EDGE}:{READY_PORT}/api/ready"
            await resend_until_200(http, "GET", url)
            wrong = await asyncio.gather(
                *(
                    send_on_connections(
                        range(first, N_CONNECTIONS, N_CONNECTIONS_AT_ONCE)
                    )
                    for first in range(N_CONNECTIONS_AT_ONCE)
                )
            )
        finally:
            await fleet.end_hosts()
    return [mistake for mistakes in wrong for mistake in mistakes]


def test_each_request_sent_ahead_gets_its_own_answer_of_any_size(tmp_path):
    """Guards against one caller's request answered with another one's content."""
    assert asyncio.run(play(tmp_path)) == []


def test_spoiled_head_of_one_answer_leaves_the_requests_behind_it_alone(tmp_path):
    """Guards against requests that lose their connection to another one's answer.

    A header that can't be written ended the connection of the caller (review/8, LOST).
    """
    assert asyncio.run(play(tmp_path, SPOILED_SHARE)) == []
