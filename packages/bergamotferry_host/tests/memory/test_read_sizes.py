"""A large body is read in few parts, and nothing behind it in a larger one."""

import asyncio

from direct_harness import HEADER_NAMES, route, run_with_harness, served

from bergamotferry.memory.ledger import MIB
from bergamotferry_host.edge_connection import EdgeConnection
from bergamotferry_host.memory.waiting_bodies import READ_BUFFER_BYTES

BODY_BYTES = 8 * MIB
LARGE_READ_BYTES = 128 * 1024


def head(*lines):
    first = [
        "POST /unsafe/1 HTTP/1.1",
        "Host: a.example",
        f"{HEADER_NAMES.request_id}: r1",
    ]
    return "\r\n".join([*first, *lines, "", ""]).encode()


async def take_all(request):
    async for _ in request.content.iter_any():
        pass
    return await served(request)


def reads_of(monkeypatch, sent):
    """Send bytes over one connection; return the sizes of the edge's reads of them."""
    sizes = []
    receive = EdgeConnection.data_received

    def note(connection, data):
        sizes.append(len(data))
        receive(connection, data)

    monkeypatch.setattr(EdgeConnection, "data_received", note)

    async def scenario(harness):
        harness.configure(route("unsafe", timeout_ms=10_000))
        await harness.add("u1", take_all)
        ip, port = harness.url.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(sent)
        try:
            async with asyncio.timeout(20):
                assert b"HTTP/1.1 200 " in await reader.read(1_000)
                await asyncio.sleep(0.1)
        finally:
            writer.close()

    run_with_harness(scenario)
    # The HTTP library hands on an empty part when a connection goes on to its next
    # request.
    return [size for size in sizes if size]


def test_large_body_takes_few_turns_of_the_event_loop(monkeypatch):
    """Guards against uploads that outlast their deadline by the host's own work."""
    sizes = reads_of(
        monkeypatch, head(f"Content-Length: {BODY_BYTES}") + bytes(BODY_BYTES)
    )
    assert sum(sizes) > BODY_BYTES
    assert len(sizes) <= BODY_BYTES // READ_BUFFER_BYTES // 3
    assert max(sizes) <= LARGE_READ_BYTES


def test_what_follows_a_large_body_is_read_in_small_parts(monkeypatch):
    """Guards against hundreds of requests that are parsed at once."""
    more = head("Content-Length: 0") * 10_000
    body = head(f"Content-Length: {BODY_BYTES}") + bytes(BODY_BYTES)
    sizes = reads_of(monkeypatch, body + more)
    n_arrived = 0
    for size in sizes:
        n_arrived += size
        if n_arrived > len(body):
            assert size <= READ_BUFFER_BYTES
    assert n_arrived > len(body)


def test_body_of_unknown_length_is_read_in_small_parts(monkeypatch):
    """Guards against many small chunks that the library keeps one by one."""
    chunks = b"10000\r\n" + bytes(65_536) + b"\r\n"
    sent = head("Transfer-Encoding: chunked") + chunks * 16 + b"0\r\n\r\n"
    assert max(reads_of(monkeypatch, sent)) <= READ_BUFFER_BYTES
