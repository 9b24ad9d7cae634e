"""Callers of the soak, which keep their connections open and record each result."""

import asyncio
import itertools
import random
import socket
import time
from types import SimpleNamespace

import aiohttp
from ahead_caller import NoAnswerError, read_answer, request_head
from platform_fleet import FRONT_PORT, send_http_request
from platform_soak_keys import draw_hot_key, draw_key
from platform_soak_state import (
    AHEAD_KIND,
    EDGES,
    KEYED_KINDS,
    KINDS,
    ONCE_KINDS,
    Call,
    Soak,
)

# Share of each kind of `KINDS` in the requests of the callers that send all kinds.
KIND_WEIGHTS = (0.25, 0.35, 0.1, 0.1, 0.2)
# HTTP calls all but the first idempotent, which the routes of the requests overrule.
METHODS = ("POST", "PUT", "DELETE")
# Each content that ends upstreams is sent this often, some 7 s in all.
N_ENDING_REPEATS = 40
ENDING_KINDS = ("safe", "unsafe", "keyed", "keyed-once")
# Requests that are sent ahead on one connection.
N_AHEAD = 5
AHEAD_TIMEOUT_S = 4.0
# A slow caller takes this much of an answer at once, and pauses before it reads.
SLOW_BUFFER_BYTES = 4_096
SLOW_PAUSES_S = (0.1, 1.5)
# Pause of a caller of hot keys after a request that was not served.
NOT_SERVED_PAUSE_S = 0.05


class SentTwiceError(aiohttp.ClientError):
    """The client library tried to send a request a second time on its own."""


def open_caller_session() -> aiohttp.ClientSession:
    """Return an HTTP session that sends no request twice, whatever its method."""
    trace = aiohttp.TraceConfig()

    async def on_head(
        session: aiohttp.ClientSession, context: SimpleNamespace, params: object
    ) -> None:
        if getattr(context, "is_sent", False):
            raise SentTwiceError("the request was already sent once")
        context.is_sent = True

    trace.on_request_headers_sent.append(on_head)
    return aiohttp.ClientSession(trace_configs=[trace])


async def send_requests(soak: Soak, number: int) -> None:
    """Send requests of all kinds over connections that are kept open."""
    rng = random.Random(f"caller {number} {soak.rng.random()}")
    async with open_caller_session() as http:
        for count in itertools.count():
            if soak.is_finished:
                return
            (kind,) = rng.choices(KINDS, KIND_WEIGHTS)
            edge = rng.choice(EDGES)
            call = Call(f"{number}-{count}", kind, edge, time.monotonic())
            call.method = _draw_method(rng, kind)
            await _send_and_record(soak, http, call, draw_key(rng))
            await asyncio.sleep(rng.uniform(0.005, 0.05))


async def send_hot_key_requests(soak: Soak, number: int) -> None:
    """Send requests for hot keys, each as soon as the one before has ended."""
    rng = random.Random(f"caller {number} {soak.rng.random()}")
    async with open_caller_session() as http:
        for count in itertools.count():
            if soak.is_finished:
                return
            edge = rng.choice(EDGES)
            kind = rng.choice(KEYED_KINDS)
            call = Call(f"{number}-{count}", kind, edge, time.monotonic())
            call.method = _draw_method(rng, kind)
            await _send_and_record(soak, http, call, draw_hot_key(rng))
            if call.status != 200:
                await asyncio.sleep(NOT_SERVED_PAUSE_S)


async def send_ending_requests(soak: Soak) -> None:
    """Send requests that end each upstream that runs them, each content many times."""
    rng = random.Random(f"ending {soak.rng.random()}")
    async with open_caller_session() as http:
        for count in itertools.count():
            if soak.is_finished:
                return
            number = count // N_ENDING_REPEATS
            kind = ENDING_KINDS[number % len(ENDING_KINDS)]
            edge = rng.choice(EDGES)
            call = Call(f"ending-{count}", kind, edge, time.monotonic())
            call.content = f"ending-{number}"
            # Each kind comes with each method in turn.
            call.method = METHODS[number // len(ENDING_KINDS) % len(METHODS)]
            await _send_and_record(soak, http, call, draw_key(rng))
            await asyncio.sleep(rng.uniform(0.05, 0.3))


async def send_ahead(soak: Soak, number: int) -> None:
    """Send several requests at once on each of many connections."""
    rng = random.Random(f"ahead {number} {soak.rng.random()}")
    for count in itertools.count():
        if soak.is_finished:
            return
        edge = rng.choice(EDGES)
        calls = [
            Call(f"ahead-{number}-{count}-{n}", AHEAD_KIND, edge, time.monotonic())
            for n in range(N_AHEAD)
        ]
        try:
            reader, writer = await asyncio.open_connection(edge, FRONT_PORT)
        except OSError:
            await asyncio.sleep(NOT_SERVED_PAUSE_S)
            continue
        for call in calls:
            writer.write(request_head(call.request_id, call.path, deadline_ms=2_000))
        await _read_and_record(soak, reader, calls)
        writer.transport.abort()
        await asyncio.sleep(rng.uniform(0.005, 0.05))


async def read_slowly(soak: Soak, number: int) -> None:
    """Download on a connection each, and let the answers wait unread."""
    rng = random.Random(f"slow {number} {soak.rng.random()}")
    loop = asyncio.get_running_loop()
    for count in itertools.count():
        if soak.is_finished:
            return
        edge = rng.choice(EDGES)
        call = Call(f"slow-{number}-{count}", "download", edge, time.monotonic())
        with socket.socket() as slow_socket:
            slow_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES
            )
            slow_socket.setblocking(False)
            try:
                await loop.sock_connect(slow_socket, (edge, FRONT_PORT))
            except OSError:
                await asyncio.sleep(NOT_SERVED_PAUSE_S)
                continue
            reader, writer = await asyncio.open_connection(
                sock=slow_socket, limit=SLOW_BUFFER_BYTES
            )
            writer.write(request_head(call.request_id, call.path, deadline_ms=2_000))
            await asyncio.sleep(rng.uniform(*SLOW_PAUSES_S))
            await _read_and_record(soak, reader, [call])
            writer.transport.abort()


async def _read_and_record(
    soak: Soak, reader: asyncio.StreamReader, calls: list[Call]
) -> None:
    """Read the answers of a connection, up to the first one that does not come.

    The requests behind that one count as unread, and would be sent again.
    """
    for call in calls:
        soak.calls.append(call)
        try:
            async with asyncio.timeout(AHEAD_TIMEOUT_S):
                answer = await read_answer(reader)
            call.status, call.body = answer.status, answer.body
        except NoAnswerError:
            call.is_unreadable = True
        except (EOFError, OSError):
            pass
        call.ended_s = time.monotonic()
        if call.status == 0:
            return


def _draw_method(rng: random.Random, kind: str) -> str:
    """Draw the method of a request; all downloads are one content with one method.

    A content that is rarely sent may lose three upstreams to other requests before it
    succeeds once, and is then taken for the cause of their ends.
    """
    return rng.choice(METHODS) if kind in ONCE_KINDS else METHODS[0]


async def _send_and_record(
    soak: Soak, http: aiohttp.ClientSession, call: Call, shard_key: int
) -> None:
    """Send a request and record its result."""
    url = f"http://{call.edge}:{FRONT_PORT}{call.path}"
    headers = {
        "Host": "one.example",
        "X-Request-Id": call.request_id,
        "X-Deadline-Ms": "2000",
        "X-Shard-Key": str(shard_key),
    }
    call.status, call.body = await send_http_request(
        http, call.method, url, headers=headers, data=b"body"
    )
    call.ended_s = time.monotonic()
    soak.calls.append(call)
