"""Heads of answers that can't be relayed are no answers."""

import asyncio

import pytest
from raw_server import raw_server

from bergamotferry_host.direct_call import (
    DirectSend,
    open_direct_session,
    send_direct,
)
from bergamotferry_host.fleet_settings import DirectHeaders

HEADER_NAMES = DirectHeaders()
# Those that end a line, or the head, are told from others by the parser.
CONTROLS = [*range(0x01, 0x09), 0x0B, 0x0C, *range(0x0E, 0x20), 0x7F]


def send_and_answer(header_value: bytes):
    """Send a request; return the outcome of an answer with a header of this value."""

    async def on_connection(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        lines = [
            b"HTTP/1.1 200 OK",
            f"{HEADER_NAMES.request_id}: r1".encode(),
            b"X-Note: " + header_value,
            b"Content-Length: 2",
            b"",
            b"ok",
        ]
        writer.write(b"\r\n".join(lines))
        await writer.drain()
        await reader.read()
        writer.close()

    async def run():
        async with (
            raw_server(on_connection) as address,
            open_direct_session(HEADER_NAMES) as http,
        ):
            send = DirectSend("GET", "/x", address, "u", "r1", {}, b"", 2_000.0)
            return await send_direct(http, HEADER_NAMES, send)

    return asyncio.run(run())


@pytest.mark.parametrize("control", CONTROLS, ids=hex)
def test_answer_with_a_control_character_in_its_head_is_no_answer(control):
    """Guards against a header that ends the caller's connection (review/8, LOST)."""
    assert send_and_answer(b"a" + bytes([control]) + b"b").result == "broken"


@pytest.mark.parametrize("value", [b"", b"a\tb", b"a b", b"\xc3\xa9", b"~!"])
def test_answer_with_any_proper_header_is_relayed(value):
    outcome = send_and_answer(value)
    assert (outcome.result, outcome.body) == ("answered", b"ok")
