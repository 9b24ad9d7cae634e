"""Interim answers without end take no time of the event loop from others."""

import asyncio
import contextlib

import pytest
from raw_server import raw_server

from bergamotferry.fleet_tables import KeyRange
from bergamotferry_host import range_calls
from bergamotferry_host.direct_call import (
    DirectSend,
    open_direct_session,
    send_direct,
)
from bergamotferry_host.fleet_settings import DirectHeaders
from bergamotferry_host.range_calls import (
    RangeCallNames,
    call_grant,
    open_range_session,
)
from bergamotferry_host.upstream_call import open_upstream_client
from bergamotferry_host.upstream_protocol import N_INTERIM_MAX, TooManyInterimError
from bergamotferry_host.write_guard import guarded_client

HEADER_NAMES = DirectHeaders()
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
FINAL = (
    f"HTTP/1.1 200 OK\r\n{HEADER_NAMES.request_id}: r1\r\nContent-Length: 2\r\n\r\nok"
)
# Far from the time that a bounded answer takes, on any machine.
DEADLINE_MS = 30_000.0
BOUNDED_S = 10.0


async def send_without_end(reader, writer):
    """Answer with interim answers until the connection is closed."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        await reader.readuntil(b"\r\n\r\n")
        while True:
            writer.write(INTERIM * 2_000)
            await writer.drain()
    writer.transport.abort()


def send_to(address):
    return DirectSend("GET", "/x", address, "u", "r1", {}, b"", DEADLINE_MS)


def test_request_with_interim_answers_without_end_is_broken_at_once():
    """Guards against an entry host that stalls for its upstreams (review/7, CONFIG)."""

    async def run():
        async with (
            raw_server(send_without_end) as address,
            open_direct_session(HEADER_NAMES) as http,
        ):
            return await send_direct(http, HEADER_NAMES, send_to(address))

    outcome = asyncio.run(run())
    assert (outcome.result, outcome.detail) == ("broken", "TooManyInterimError")
    assert not outcome.is_timeout


def test_grant_with_interim_answers_without_end_is_unsure_at_once(monkeypatch):
    """Guards against a leader that stalls for its key holders (review/6, Acks)."""
    monkeypatch.setattr(range_calls, "GRANT_TIMEOUT_S", DEADLINE_MS / 1000)

    async def run():
        async with (
            raw_server(send_without_end) as address,
            open_range_session() as http,
        ):
            row = KeyRange("lamps", 0, 9, "u", 1, address, 7, "")
            async with asyncio.timeout(BOUNDED_S):
                return await call_grant(
                    http, RangeCallNames(), row, 4_000, HEADER_NAMES
                )

    assert asyncio.run(run()).result == "unsure"


@pytest.mark.parametrize("open_client", [open_upstream_client, guarded_client])
def test_sessions_of_the_other_mode_have_the_same_bound(open_client):
    async def run():
        async with raw_server(send_without_end) as address, open_client() as http:
            async with asyncio.timeout(BOUNDED_S):
                with pytest.raises(TooManyInterimError):
                    await http.get(f"http://{address}/x")

    asyncio.run(run())


@pytest.mark.parametrize("n_interim", [0, 1, N_INTERIM_MAX])
def test_answer_after_a_few_interim_answers_is_taken(n_interim):
    """Guards against a bound that a sound upstream meets."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for _ in range(n_interim):
            writer.write(INTERIM)
            await writer.drain()
        writer.write(FINAL.encode())
        await reader.read()
        writer.close()

    async def run():
        async with (
            raw_server(answer) as address,
            open_direct_session(HEADER_NAMES) as http,
        ):
            return await send_direct(http, HEADER_NAMES, send_to(address))

    outcome = asyncio.run(run())
    assert (outcome.result, outcome.body) == ("answered", b"ok")


def test_interim_answers_after_an_answer_end_the_connection():
    """Guards against a kept connection whose interim answers fill the memory."""
    ended = asyncio.Event()

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(FINAL.encode())
        await writer.drain()
        await asyncio.sleep(0.05)
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(INTERIM * 2_000)
                await writer.drain()
        writer.transport.abort()
        ended.set()

    async def run():
        async with (
            raw_server(answer) as address,
            open_direct_session(HEADER_NAMES) as http,
        ):
            outcome = await send_direct(http, HEADER_NAMES, send_to(address))
            await asyncio.wait_for(ended.wait(), BOUNDED_S)
            return outcome

    assert asyncio.run(run()).body == b"ok"
