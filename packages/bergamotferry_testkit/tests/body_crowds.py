"""Crowds of clients that send bodies to one entry host, most of them not to the end.

Each client has its own connection. It sends a head, then parts of a body until the
plan of the crowd ends or the host closes the connection, and stays open until the crowd
leaves.
"""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import NamedTuple

PIECE_BYTES = 64 * 1024
# Every client that the host still reads from has sent all it will by then.
SEND_TIMEOUT_S = 15.0


class Crowd(NamedTuple):
    """A plan that all clients of a crowd follow.

    ``n_body_bytes`` is what each sends of its body, in pieces of ``piece_bytes``.
    ``stated_bytes`` is the length in the head, or 0 for a body in chunks, each of which
    is a piece. ``n_ahead`` requests without a body are sent before, on the same
    connection.
    """

    n_clients: int
    n_body_bytes: int
    piece_bytes: int = PIECE_BYTES
    stated_bytes: int = 0
    n_ahead: int = 0


def request_head(path: str, number: str, framing: str) -> bytes:
    """Return the head of a request; ``framing`` is its header for the body, if any."""
    method = "POST" if framing else "GET"
    lines = (f"{method} {path} HTTP/1.1", "Host: one.example")
    lines += (f"X-Request-Id: {number}", "X-Deadline-Ms: 3000", framing)
    return "\r\n".join(line for line in lines if line).encode() + b"\r\n\r\n"


def client_parts(crowd: Crowd, number: int) -> Iterator[bytes]:
    """Yield what one client sends."""
    for n_sent in range(crowd.n_ahead):
        yield request_head("/slow/", f"a{number}.{n_sent}", "")
    framing = f"Content-Length: {crowd.stated_bytes}"
    if not crowd.stated_bytes:
        framing = "Transfer-Encoding: chunked"
    yield request_head("/big/", f"c{number}", framing)
    piece = bytes(crowd.piece_bytes)
    if not crowd.stated_bytes:
        piece = b"%x\r\n%b\r\n" % (crowd.piece_bytes, piece)
    # Tiny pieces are sent many at a time, as a client that buffers them does.
    n_together = max(1, PIECE_BYTES // len(piece))
    n_pieces = crowd.n_body_bytes // crowd.piece_bytes
    for first in range(0, n_pieces, n_together):
        yield piece * min(n_together, n_pieces - first)


async def run_client(
    crowd: Crowd, ip: str, port: int, number: int, leaving: asyncio.Event
) -> None:
    """Send what the plan says, drop what is answered, and stay open until told."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(ip, port)
        reading = asyncio.create_task(drop_answers(reader))
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(SEND_TIMEOUT_S):
                for part in client_parts(crowd, number):
                    writer.write(part)
                    await writer.drain()
        await leaving.wait()
        reading.cancel()
        writer.transport.abort()


async def drop_answers(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(PIECE_BYTES):
            pass
