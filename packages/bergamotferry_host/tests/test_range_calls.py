"""Calls that give keys: what an answer means, and what an unanswered one leaves."""

import asyncio
import json
import socket

import pytest

from bergamotferry.fleet_tables import KeyRange
from bergamotferry_host import range_calls
from bergamotferry_host.fleet_settings import DirectHeaders
from bergamotferry_host.range_calls import (
    RangeCallPaths,
    call_grant,
    call_release,
    open_range_session,
)

PATHS = RangeCallPaths()
NAMES = DirectHeaders()
# What an upstream of a service without ranges makes of a call, as of any request that
# bears no id.
NOT_RUN_400 = (
    f"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n{NAMES.not_run}: 1\r\n\r\n".encode()
)


def range_at(port: int, handover: str = "") -> KeyRange:
    return KeyRange("s", 0, 9, "u", 1, f"127.0.0.1:{port}", 7, handover)


async def call_with(answer: bytes, call):
    """Return what a call makes of an answer, and the body that was sent."""
    got = bytearray()

    async def on_connection(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        # Only the incarnation that is meant may take it, whoever has the address.
        assert f"{NAMES.expected_upstream}: u\r\n".encode() in head
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        got.extend(await reader.readexactly(length))
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with server, open_range_session() as http:
        result = await call(http, port)
    return result, json.loads(got)


def test_a_grant_names_range_token_and_hold():
    async def call(http, port):
        return await call_grant(http, PATHS, range_at(port, "h"), 4000, NAMES)

    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    result, body = asyncio.run(call_with(answer, call))
    assert result.result == "done"
    assert body == {
        "first_key": 0,
        "last_key": 9,
        "token": 7,
        "hold_ms": 4000,
        "handover": "h",
    }


def test_a_release_brings_what_the_holder_hands_over():
    async def call(http, port):
        return await call_release(http, PATHS, range_at(port), NAMES)

    answer = (
        f"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{NAMES.handover}: h9\r\n\r\n".encode()
    )
    result, body = asyncio.run(call_with(answer, call))
    assert (result.result, result.handover) == ("done", "h9")
    assert body == {"first_key": 0, "last_key": 9, "token": 7}


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (b"HTTP/1.1 409 Newer\r\nContent-Length: 0\r\n\r\n", "newer_token"),
        (b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", "no_process"),
        (b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", "unsure"),
        (b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", "unsure"),
        (NOT_RUN_400, "refused"),
        (b"", "unsure"),
    ],
)
def test_what_other_answers_mean(answer, expected):
    async def call(http, port):
        return await call_grant(http, PATHS, range_at(port), 4000, NAMES)

    assert asyncio.run(call_with(answer, call))[0].result == expected


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        # A holder never refuses a release, so another process has the address.
        (NOT_RUN_400, "no_process"),
        (b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", "no_process"),
        (b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", "unsure"),
        (b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", "unsure"),
    ],
)
def test_what_a_refused_release_means(answer, expected):
    async def call(http, port):
        return await call_release(http, PATHS, range_at(port), NAMES)

    assert asyncio.run(call_with(answer, call))[0].result == expected


def test_a_call_whose_connection_was_not_made_was_not_sent(monkeypatch):
    monkeypatch.setattr(range_calls, "CALL_TIMEOUT_S", 0.1)

    async def run():
        # A listener whose queue is full answers no opening packet.
        with socket.socket() as full, socket.socket() as first:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            first.connect(full.getsockname())
            port = full.getsockname()[1]
            async with open_range_session() as http:
                return await call_grant(http, PATHS, range_at(port), 4000, NAMES)

    assert asyncio.run(run()).result == "not_sent"


def test_an_address_that_refuses_connections_has_no_process():
    async def run():
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            port = taken.getsockname()[1]
        async with open_range_session() as http:
            return await call_grant(http, PATHS, range_at(port), 4000, NAMES)

    assert asyncio.run(run()).result == "no_process"


def test_a_call_that_was_given_up_is_reset_so_that_nothing_of_it_arrives_late(
    monkeypatch,
):
    monkeypatch.setattr(range_calls, "CALL_TIMEOUT_S", 0.1)
    found = []

    async def run():
        given_up = asyncio.Event()
        looked = asyncio.Event()

        async def on_connection(reader, writer):
            # A link that held the bytes up brings them now.
            await given_up.wait()
            await asyncio.sleep(0.05)
            try:
                found.append(await reader.read())
            except ConnectionResetError:
                found.append(None)
            writer.close()
            looked.set()

        server = await asyncio.start_server(on_connection, "127.0.0.1", 0, limit=1)
        port = server.sockets[0].getsockname()[1]
        async with server, open_range_session() as http:
            answer = await call_grant(http, PATHS, range_at(port), 4000, NAMES)
            given_up.set()
            await looked.wait()
        return answer.result

    assert asyncio.run(run()) == "unsure"
    assert found == [None]
