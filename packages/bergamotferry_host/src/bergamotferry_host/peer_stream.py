"""One stream of a link between two hosts, with flow control in each direction.

Each direction carries a head and then data. A head that no data follows also marks the
end of its direction, so a refusal, or a request without a body, takes one frame. The
reader returns credit in parts of half the window, and stops returning it once the end
has arrived. The answering side forgets a stream that it has ended, so no cancellation
is sent to it afterwards.
"""

import asyncio
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, Literal, Protocol

import xxhash

from bergamotferry.records import TrafficClass

STREAM_CREDIT_BYTES = 256 * 1024
CREDIT_RETURN_BYTES = STREAM_CREDIT_BYTES // 2
CHUNK_MAX_BYTES = 64 * 1024
PROBE_AFTER_S = 0.3
_EMPTY_DIGEST = xxhash.xxh3_64_intdigest(b"")


LinkTrafficClass = TrafficClass | Literal["control"]


class FrameKind(IntEnum):
    """Kinds of frames."""

    OPEN = 0
    DATA = 1
    END = 2
    CANCEL = 3
    CREDIT = 4
    CALL = 5
    REPLY = 6
    NOTICE = 7
    OPEN_ENDED = 8


class PeerUnreachable(ConnectionError):  # noqa: N818 - names a state of the network
    """The peer is unreachable or the link broke; the effect of a call is unknown."""


class StreamBroken(ConnectionError):  # noqa: N818 - names what happened to a stream
    """The stream was cancelled, its link broke, or its digest does not match."""


class StreamLink(Protocol):
    """What a stream uses of its link: frames to the peer, and the link's streams."""

    peer: str
    streams: dict[int, "PeerStream"]

    async def send_frame(
        self,
        stream_id: int,
        kind: FrameKind,
        payload: Any,
        traffic_class: LinkTrafficClass = "control",
    ) -> None:
        """Send one frame; see `PeerLink.send_frame`."""

    async def probe(self) -> None:
        """Probe the peer; see `PeerLink.probe`."""


@dataclass(slots=True)
class PeerStream:
    """One side of a stream; heads and data arrive in order in ``inbox``."""

    link: StreamLink
    stream_id: int
    inbox: asyncio.Queue[tuple[FrameKind, Any]] = field(default_factory=asyncio.Queue)
    credit_bytes: int = STREAM_CREDIT_BYTES
    credit_added: asyncio.Event = field(default_factory=asyncio.Event)
    is_broken: bool = False
    is_ended: bool = False
    has_head: bool = False
    unread_bytes: int = 0
    unreturned_bytes: int = 0
    traffic_class: TrafficClass = "lookup"
    handler_task: "asyncio.Task[None] | None" = None
    sent_digest: xxhash.xxh3_64 = field(default_factory=xxhash.xxh3_64)
    received_digest: xxhash.xxh3_64 = field(default_factory=xxhash.xxh3_64)

    @property
    def has_whole_answer(self) -> bool:
        """Whether an answer has arrived up to its end, though it may not be read yet.

        It can be read after its link has closed.
        """
        return self.is_ended and self.handler_task is None

    async def send_head(self, head: Any, is_ended: bool = False) -> None:
        """Send a head; ``is_ended`` states that no data follows."""
        kind = FrameKind.OPEN_ENDED if is_ended else FrameKind.OPEN
        await self._send_frame(kind, head)

    async def send(self, data: bytes) -> None:
        """Send data in chunks, waiting for credit before each.

        Raises
        ------
        StreamBroken
            If the other side cancelled, or the link broke.
        """
        for start in range(0, len(data), CHUNK_MAX_BYTES):
            chunk = data[start : start + CHUNK_MAX_BYTES]
            while self.credit_bytes <= 0 and not self.is_broken:
                self.credit_added.clear()
                await self.credit_added.wait()
            if self.is_broken:
                raise StreamBroken("the stream was cancelled")
            self.credit_bytes -= len(chunk)
            self.sent_digest.update(chunk)
            await self._send_frame(FrameKind.DATA, chunk)

    async def end(self) -> None:
        """Mark the end of the data, with the digest of all data that was sent."""
        digest = self.sent_digest.intdigest()
        await self._send_frame(FrameKind.END, digest)

    async def receive_head(self) -> Any:
        """Return the next head.

        Raises
        ------
        StreamBroken
            If the stream ends or breaks before its head arrives.
        """
        kind, payload = await self._next_frame()
        if kind is not FrameKind.OPEN:
            raise StreamBroken("the stream ended before its head")
        return payload

    async def receive(self) -> bytes | None:
        """Return the next data, or None after the end.

        Raises
        ------
        StreamBroken
            If the stream breaks, or the received data does not match the digest.
        """
        if self.is_broken:
            raise StreamBroken("the stream broke before")
        kind, payload = await self._next_frame()
        if kind is FrameKind.DATA:
            self.received_digest.update(payload)
            self.unread_bytes -= len(payload)
            await self._return_credit(len(payload))
            return bytes(payload)
        if kind is FrameKind.END and payload == self.received_digest.intdigest():
            if self.handler_task is None:
                self.close()
            return None
        self.is_broken = True
        raise StreamBroken("the stream broke before its end")

    def __aiter__(self) -> "PeerStream":
        return self

    async def __anext__(self) -> bytes:
        data = await self.receive()
        if data is None:
            raise StopAsyncIteration
        return data

    async def cancel(self) -> None:
        """Cancel the stream on both sides; safe to call at any time."""
        if self.stream_id in self.link.streams:
            self.close()
            if self.is_ended and self.handler_task is None:
                # The answering side has already forgotten the stream.
                return
            try:
                await self._send_frame(FrameKind.CANCEL, 0)
            except PeerUnreachable:
                return

    def close(self) -> None:
        """Forget the stream; later frames for it are dropped."""
        self.link.streams.pop(self.stream_id, None)

    def abort(self) -> None:
        """Mark the stream as broken, wake its reader and writer, cancel its task."""
        self.is_broken = True
        self.credit_added.set()
        self.inbox.put_nowait((FrameKind.CANCEL, 0))
        if self.handler_task is not None:
            self.handler_task.cancel()

    def handle_frame(self, kind: FrameKind, payload: Any) -> None:
        """Handle a frame that arrived on the link.

        Raises
        ------
        ValueError
            If the peer violates the protocol; the link is then closed.
        """
        if kind is FrameKind.CREDIT:
            if not isinstance(payload, int) or payload < 0:
                raise ValueError("credit is not a number of bytes")
            self.credit_bytes += payload
            self.credit_added.set()
        elif kind is FrameKind.CANCEL:
            self.close()
            self.abort()
        elif not self.is_ended:
            self._handle_ordered_frame(kind, payload)

    def record_end(self) -> None:
        """Record that a head also marked the end of its direction."""
        self.is_ended = True
        self.inbox.put_nowait((FrameKind.END, _EMPTY_DIGEST))

    def _handle_ordered_frame(self, kind: FrameKind, payload: Any) -> None:
        if kind in (FrameKind.OPEN, FrameKind.OPEN_ENDED):
            if not self.has_head:
                self._record_head(kind, payload)
            return
        if kind is FrameKind.DATA:
            if not isinstance(payload, bytes):
                raise ValueError("data is not bytes")
            self.unread_bytes += len(payload)
            # A sender with any credit left sends a whole chunk, so it may exceed its
            # credit by less than one chunk.
            if self.unread_bytes > STREAM_CREDIT_BYTES + CHUNK_MAX_BYTES:
                raise ValueError("the peer exceeded its credit")
        elif kind is FrameKind.END:
            self.is_ended = True
        self.inbox.put_nowait((kind, payload))

    async def _send_frame(self, kind: FrameKind, payload: Any) -> None:
        await self.link.send_frame(self.stream_id, kind, payload, self.traffic_class)

    def _record_head(self, kind: FrameKind, payload: Any) -> None:
        self.has_head = True
        self.inbox.put_nowait((FrameKind.OPEN, payload))
        if kind is FrameKind.OPEN_ENDED:
            self.record_end()

    async def _return_credit(self, n_bytes: int) -> None:
        self.unreturned_bytes += n_bytes
        if self.is_ended or self.unreturned_bytes < CREDIT_RETURN_BYTES:
            return
        unreturned_bytes, self.unreturned_bytes = self.unreturned_bytes, 0
        try:
            await self._send_frame(FrameKind.CREDIT, unreturned_bytes)
        except BaseException:
            # The exception discards the data that the reader just received, so the
            # stream can't continue.
            self.abort()
            raise

    async def _next_frame(self) -> tuple[FrameKind, Any]:
        while self.inbox.empty():
            try:
                async with asyncio.timeout(PROBE_AFTER_S):
                    return await self.inbox.get()
            except TimeoutError:
                await self.link.probe()
        return self.inbox.get_nowait()
