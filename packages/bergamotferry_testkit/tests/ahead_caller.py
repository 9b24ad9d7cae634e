"""A caller that sends several requests ahead on one connection and reads the answers.

It reads the bytes of the connection itself, since HTTP libraries hide which answer came
for which request.
"""

import asyncio
import re
from typing import NamedTuple


class RawAnswer(NamedTuple):
    """One answer as it came; ``request_id`` is the one that it bears, or is empty."""

    status: int
    request_id: str
    body: bytes


class NoAnswerError(ValueError):
    """Bytes came where the head of an answer was due."""


def request_head(
    request_id: str,
    path: str,
    *lines: str,
    host="one.example",
    deadline_ms=3_000,
    prefix="X",
) -> bytes:
    """Return a request without a body; ``prefix`` begins the names of its headers."""
    head = [
        f"GET {path} HTTP/1.1",
        f"Host: {host}",
        f"{prefix}-Request-Id: {request_id}",
        f"{prefix}-Deadline-Ms: {deadline_ms}",
        *lines,
    ]
    return "\r\n".join([*head, "", ""]).encode()


async def read_answer(reader: asyncio.StreamReader) -> RawAnswer:
    """Read the next answer of a connection.

    Raises
    ------
    NoAnswerError
        If the bytes are no answer.
    asyncio.IncompleteReadError
        If the connection ends first.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except asyncio.LimitOverrunError as error:
        raise NoAnswerError("no end of a head") from error
    status = re.match(r"HTTP/1\.1 (\d{3}) ", head)
    n_bytes = re.search(r"(?i)\r\ncontent-length: (\d+)\r\n", head)
    if status is None or n_bytes is None:
        raise NoAnswerError(head[:80])
    request_id = re.search(r"(?i)-request-id: (\S+)\r\n", head)
    body = await reader.readexactly(int(n_bytes[1]))
    return RawAnswer(int(status[1]), request_id[1] if request_id else "", body)
