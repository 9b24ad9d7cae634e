"""Tests of connections that are opened ahead of the calls that they carry."""

import asyncio
import contextlib
import re

import pytest

from bergamotferry.fleet_tables import KeyRange
from bergamotferry_host import range_calls, ready_connections
from bergamotferry_host.fleet_settings import DirectHeaders
from bergamotferry_host.range_calls import (
    RangeCallNames,
    call_grant,
    open_range_session,
)

CALL_NAMES = RangeCallNames()
HEADER_NAMES = DirectHeaders()
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Holder:
    """An upstream that begins to serve a new connection after ``accept_delay_s``.

    ``calls`` lists, for each connection, how many calls it carried.
    """

    def __init__(self, accept_delay_s: float) -> None:
        self.accept_delay_s = accept_delay_s
        self.calls: list[int] = []
        self.port = 0

    async def on_connection(self, reader, writer):
        number = len(self.calls)
        self.calls.append(0)
        await asyncio.sleep(self.accept_delay_s)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(re.search(rb"Content-Length: (\d+)", head)[1])
                await reader.readexactly(length)
                self.calls[number] += 1
                writer.write(ANSWER)
        writer.close()


@contextlib.asynccontextmanager
async def running(holder: Holder):
    server = await asyncio.start_server(holder.on_connection, "127.0.0.1", 0)
    holder.port = server.sockets[0].getsockname()[1]
    try:
        yield server
    finally:
        server.close()


async def renew(http, holder: Holder) -> str:
    row = KeyRange("s", 0, 9, "u", 1, f"127.0.0.1:{holder.port}", 7, "")
    answer = await call_grant(http, CALL_NAMES, row, 4000, HEADER_NAMES)
    return answer.result


def test_renewals_at_a_full_holder_do_not_wait_for_new_connections(monkeypatch):
    """Guards against a busy holder whose keys can't move because it is busy."""
    monkeypatch.setattr(range_calls, "GRANT_TIMEOUT_S", 0.3)

    async def run():
        holder = Holder(accept_delay_s=0.0)
        async with running(holder), open_range_session() as http:
            results = [await renew(http, holder)]
            holder.accept_delay_s = 0.4
            for _ in range(4):
                await asyncio.sleep(0.5)
                results.append(await renew(http, holder))
        return results, holder.calls

    results, calls = asyncio.run(run())
    assert results == ["done"] * 5
    # No connection carried two calls.
    assert max(calls) == 1


def test_connection_that_became_too_old_is_not_used(monkeypatch):
    monkeypatch.setattr(ready_connections, "READY_MAX_AGE_NS", 100_000_000)

    async def run():
        holder = Holder(accept_delay_s=0.0)
        async with running(holder), open_range_session() as http:
            await renew(http, holder)
            await asyncio.sleep(0.2)
            await renew(http, holder)
        return holder.calls

    # The second connection became too old, so that a third carried the second call.
    assert asyncio.run(run())[:3] == [1, 0, 1]


@pytest.mark.parametrize("n_calls", [30])
def test_calls_at_the_same_moment_leave_a_bounded_number_of_connections(n_calls):
    async def run():
        holder = Holder(accept_delay_s=0.0)
        async with running(holder), open_range_session() as http:
            for _ in range(3):
                results = await asyncio.gather(
                    *(renew(http, holder) for _ in range(n_calls))
                )
                assert results == ["done"] * n_calls
                await asyncio.sleep(0.05)
            (ready,) = http.connector._ready.values()
            n_ready = len(ready)
        return n_ready

    assert asyncio.run(run()) <= ready_connections.N_READY_MAX


def test_refused_connection_is_noticed_although_a_connection_was_ready():
    """Guards against a renewal on the ready connection of a holder that has ended."""

    async def run():
        holder = Holder(accept_delay_s=0.0)
        async with open_range_session() as http:
            async with running(holder) as server:
                await renew(http, holder)
                await asyncio.sleep(0.05)
                server.close()
                for ready in next(iter(http.connector._ready.values())):
                    ready.protocol.close()
                await asyncio.sleep(0.05)
            return await renew(http, holder)

    assert asyncio.run(run()) == "no_listener"
