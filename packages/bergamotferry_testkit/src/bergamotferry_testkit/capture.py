"""Reads what the proxy captured: the payloads that one host sent to another.

Bytes from the side that dialled are masked on a websocket, so a plain search would miss
what they carry.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from websockets.frames import Frame
from websockets.streams import StreamReader

from .fault_proxy import ANSWERED, DIALLED

_HEAD_END = b"\r\n\r\n"
_ANSWER = b"HTTP/"
_SWITCHES = b"HTTP/1.1 101 "


class Captured(NamedTuple):
    """All payloads of one connection in one direction."""

    sender: str
    receiver: str
    payload: bytes


def read_captures(folder: Path) -> Iterator[Captured]:
    """Yield every captured connection, each direction by itself."""
    for path in sorted(folder.iterdir()):
        _, dialler, listener, side = path.name.split("~")
        payload = websocket_payload(path.read_bytes(), side == DIALLED)
        if side == ANSWERED:
            yield Captured(listener, dialler, payload)
        else:
            yield Captured(dialler, listener, payload)


def websocket_payload(data: bytes, is_masked: bool) -> bytes:
    """Return the HTTP head and the unmasked payloads of one direction, joined.

    An answer that refuses the handshake has no frames, and is returned as it is.
    """
    head, _, rest = data.partition(_HEAD_END)
    if head.startswith(_ANSWER) and not head.startswith(_SWITCHES):
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
