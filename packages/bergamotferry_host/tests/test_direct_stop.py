"""Tests that a stopping host does not exit before its callers have their answers."""

import asyncio
import socket

import pytest
from aiohttp import web

from bergamotferry_host import direct_run
from bergamotferry_host.direct_host import DirectHost
from bergamotferry_host.direct_run import drain
from bergamotferry_host.fleet_settings import FleetBounds, FleetSettings
from bergamotferry_host.http_edge import EdgeLimits, edge_runner, wait_for_flush

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
