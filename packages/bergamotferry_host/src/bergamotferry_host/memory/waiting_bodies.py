"""Counts what has arrived of the bodies of requests that wait on their connection.

The HTTP library reads on while a request waits behind another one, within limits for
each connection. On hundreds of connections these add up to more than a host has.
"""

from collections.abc import Iterable

from aiohttp import StreamReader
from aiohttp.http import RawRequestMessage

# Of one connection; the library stops to read at twice as much.
READ_BUFFER_BYTES = 16 * 1024
# What the library keeps of each chunk, and of how many at most before it stops.
CHUNK_BYTES = 96
N_CHUNKS_MAX = READ_BUFFER_BYTES // 16


def count_waiting(messages: Iterable[tuple[object, StreamReader]]) -> int:
    """Return the bytes that the waiting requests of a connection may take."""
    return sum(_count(message, body) for message, body in messages)


def _count(message: object, body: StreamReader) -> int:
    n_bytes = body.total_bytes
    if isinstance(message, RawRequestMessage) and message.chunked:
        return n_bytes + CHUNK_BYTES * min(n_bytes, N_CHUNKS_MAX)
    return n_bytes
