"""Reads the proxy's captures: the payloads that one host sent to another.

A WebSocket client masks its payloads, so a plain search of the bytes from the dialling
host would miss their content.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from websockets.frames import Frame
from websockets.streams import StreamReader

from .fault_proxy import FROM_DIALLER, FROM_LISTENER

_HEAD_END = b"\r\n\r\n"
_RESPONSE_START = b"HTTP/"
_SWITCHING_PROTOCOLS = b"HTTP/1.1 101 "


class Captured(NamedTuple):
    """All payloads that one host sent to another on one connection."""

    sender: str
    receiver: str
    payload: bytes


def read_captures(folder: Path) -> Iterator[Captured]:
    """Yield each direction of every captured connection separately."""
    for path in sorted(folder.iterdir()):
        _, dialler, listener, side = path.name.split("~")
        payload = websocket_payload(path.read_bytes(), side == FROM_DIALLER)
        if side == FROM_LISTENER:
            yield Captured(listener, dialler, payload)
        else:
            yield Captured(dialler, listener, payload)


def websocket_payload(data: bytes, is_masked: bool) -> bytes:
    """Return the HTTP head and unmasked payloads of one direction, joined by newlines.

    A response that refuses the handshake has no frames and is returned unchanged.
    """
    head, _, rest = data.partition(_HEAD_END)
    if head.startswith(_RESPONSE_START) and not head.startswith(_SWITCHING_PROTOCOLS):
        return data
    reader = StreamReader()
    reader.feed_data(rest)
    reader.feed_eof()
    payloads = [head]
    while True:
        parsing = Frame.parse(reader.read_exact, mask=is_masked)
        try:
            while True:
                next(parsing)
        except StopIteration as done:
            payloads.append(bytes(done.value.data))
        except EOFError:
            return b"\n".join(payloads)
