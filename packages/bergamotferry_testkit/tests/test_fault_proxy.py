"""The proxy holds, passes and resets bytes as its rules say."""

import asyncio

import pytest

from bergamotferry_testkit.fault_proxy import FaultProxy, Pair
from bergamotferry_testkit.local_deployment import free_ports

PATIENCE_S = 5.0
SILENCE_S = 0.2


async def echo(reader, writer):
    while data := await reader.read(1000):
        writer.write(data)
    writer.close()


async def proxied_connection():
    listen_port, target_port = free_ports(2)
    await asyncio.start_server(echo, "127.0.0.1", target_port)
    proxy = FaultProxy()
    await proxy.listen(Pair("near", "far", listen_port, f"127.0.0.1:{target_port}"))
    reader, writer = await asyncio.open_connection("127.0.0.1", listen_port)
    return proxy, reader, writer


async def ask(reader, writer, text):
    writer.write(text)
    return await asyncio.wait_for(reader.readexactly(len(text)), PATIENCE_S)


def test_bytes_pass_and_are_counted():
    async def work():
        proxy, reader, writer = await proxied_connection()
        assert await ask(reader, writer, b"hello") == b"hello"
        assert proxy.rule("near", "far").n_bytes == 5
        assert proxy.rule("far", "near").n_bytes == 5

    asyncio.run(work())


@pytest.mark.parametrize("direction", [("near", "far"), ("far", "near")])
def test_silence_holds_bytes_until_it_ends(direction):
    async def work():
        proxy, reader, writer = await proxied_connection()
        rule = {"sources": [direction[0]], "targets": [direction[1]]}
        proxy.apply({**rule, "is_silent": True})
        writer.write(b"held")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(4), SILENCE_S)
        proxy.apply({**rule, "is_silent": False})
        held = await asyncio.wait_for(reader.readexactly(4), PATIENCE_S)
        assert held == b"held"

    asyncio.run(work())


def test_reset_closes_what_is_open():
    async def work():
        proxy, reader, writer = await proxied_connection()
        await ask(reader, writer, b"hello")
        proxy.apply({"sources": ["near"], "targets": ["far"], "reset": True})
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(reader.readexactly(1), PATIENCE_S)

    asyncio.run(work())


def test_delay_is_at_least_what_the_rule_says():
    async def work():
        proxy, reader, writer = await proxied_connection()
        proxy.apply({"sources": ["near"], "targets": ["far"], "delay_ms": 100})
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await ask(reader, writer, b"hello")
        assert loop.time() - started_s >= 0.1

    asyncio.run(work())
