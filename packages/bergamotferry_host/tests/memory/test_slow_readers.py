"""Callers that read large answers slowly take no more memory than the ledger counts."""

import asyncio
import socket
from types import SimpleNamespace

from aiohttp import web
from direct_harness import HEADER_NAMES, route, run_with_harness

from bergamotferry.fleet_messages import FetchedHead
from bergamotferry.memory.ledger import MIB, Holding, MemoryLedger
from bergamotferry_host import fetch_call
from bergamotferry_host.answer_streaming import CallerAnswer
from bergamotferry_host.direct_call import ANSWER_TOO_LARGE, DirectSend

N_READERS = 8
ANSWER_BYTES = 4 * MIB
PART_BYTES = 64 * 1024
# What the library may write before it waits for the connection.
UNREAD_MAX_BYTES = 192 * 1024


async def serve_large(request):
    headers = {
        HEADER_NAMES.request_id: request.headers[HEADER_NAMES.request_id],
        HEADER_NAMES.seal: "s",
    }
    return web.Response(headers=headers, body=bytes(ANSWER_BYTES))


def open_caller(harness, number):
    """Send a request whose answer nobody reads yet; return the connection."""
    ip, port = harness.url.split(":")
    caller = socket.socket()
    # As small as the kernel allows.
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    caller.connect((ip, int(port)))
    caller.setblocking(False)
    lines = [
        "GET /safe/1 HTTP/1.1",
        "Host: a.example",
        f"{HEADER_NAMES.request_id}: r{number}",
        "Connection: close",
    ]
    caller.sendall("\r\n".join([*lines, "", ""]).encode())
    return caller


async def read_all(caller):
    loop = asyncio.get_running_loop()
    with caller:
        parts = []
        while part := await loop.sock_recv(caller, 1_000_000):
            parts.append(part)
    return b"".join(parts)


def unread_bytes(harness):
    """Return the bytes in the buffers of the callers' connections."""
    transports = harness.runner.server.transports
    return [transport.get_write_buffer_size() for transport in transports]


def run_readers(memory_bytes, check):
    """Have callers ask for large answers; check the host before any of them reads."""

    async def scenario(harness):
        times = {
            "timeout_ms": 10_000,
            "latency_objective_ms": 10_000,
            "n_attempts_max": 1,
        }
        harness.configure(route(**times))
        harness.host.memory.max_bytes = memory_bytes
        await harness.add("u1", serve_large)
        harness.host.upstreams["u1"].load.n_slots = N_READERS
        callers = [open_caller(harness, number) for number in range(N_READERS)]
        await asyncio.sleep(0.5)
        check(harness.host.memory, unread_bytes(harness))
        async with asyncio.timeout(10):
            answers = await asyncio.gather(*map(read_all, callers))
        for answer in answers:
            assert answer.startswith(b"HTTP/1.1 200 ")
            assert len(answer.partition(b"\r\n\r\n")[2]) == ANSWER_BYTES
        await asyncio.sleep(0.1)
        assert harness.host.memory.held_bytes.total() == 0

    run_with_harness(scenario)


def test_answer_that_is_held_is_held_once():
    """Guards against an answer that is copied whole into its connection's buffer."""

    def check(ledger, unread):
        assert ledger.held_bytes["answer"] == N_READERS * ANSWER_BYTES
        assert all(n_bytes <= UNREAD_MAX_BYTES for n_bytes in unread)

    run_readers(0, check)


def test_answers_beyond_the_room_are_served_at_their_callers_rate():
    """Guards against slow readers that fill the memory, and against their refusal."""
    memory_bytes = 10 * MIB

    def check(ledger, unread):
        assert ledger.held_bytes["answer"] <= memory_bytes
        assert all(n_bytes <= UNREAD_MAX_BYTES for n_bytes in unread)

    run_readers(memory_bytes, check)


def test_fetched_answer_without_room_is_broken():
    """Guards against an error of the host where an answer could not be held."""

    class FetchStream:
        def __init__(self):
            self.parts = [bytes(PART_BYTES)] * 4

        async def receive_head(self):
            size = len(self.parts) * PART_BYTES
            return FetchedHead("answered", "", 503, (), size, None, 0, False, 1.0)

        def __aiter__(self):
            return self

        async def __anext__(self):
            if not self.parts:
                raise StopAsyncIteration
            return self.parts.pop()

        async def cancel(self):
            pass

    async def open_stream(*_, **__):
        return FetchStream()

    async def scenario(harness):
        harness.host.network = SimpleNamespace(open_stream=open_stream)
        holding = Holding(MemoryLedger(PART_BYTES), "answer")
        caller = CallerAnswer(harness.host.link, {}, lambda: False, holding)
        address = "127.0.0.1:1"
        send = DirectSend(
            "GET", "/safe/1", address, "u1", "r1", {}, b"", 500.0, caller=caller
        )
        outcome = await fetch_call.fetch_answer(harness.host, "c", send, 0.0)
        assert (outcome.result, outcome.detail) == ("broken", ANSWER_TOO_LARGE)

    run_with_harness(scenario)
