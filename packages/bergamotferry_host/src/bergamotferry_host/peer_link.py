"""One websocket between two hosts, carrying calls, notices and streams by id.

Frames are CBOR arrays ``[stream_id, kind, payload]``. A stream is opened by the side
that dialled; each direction has a credit in bytes, so a slow reader holds up only its
own stream. Frames for a stream that has ended are dropped, and so is an opening or a
call whose id is not above all that came before it. A peer that sends more than its
credit loses the link. When nothing comes for a while, the link is probed with a ping,
so that a half-open connection is found and closed.
"""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import xxhash
from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from .background import log_failure, report_failure, start_task
from .codec import DecodeError, decode, encode

STREAM_CREDIT_BYTES = 256 * 1024
CHUNK_MAX_BYTES = 64 * 1024
FRAME_MAX_BYTES = 2 * 1024 * 1024
N_STREAMS_MAX = 4096
SILENCE_S = 0.3
PROBE_TIMEOUT_S = 1.0


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


class PeerUnreachable(ConnectionError):  # noqa: N818 - names a state of the network
    """The peer can't be reached, or the link broke; the effect of a call is unknown."""


class StreamBroken(ConnectionError):  # noqa: N818 - names what happened to a stream
    """The stream was cancelled, its link broke, or its digest is wrong."""


CallHandler = Callable[[Any, str], Awaitable[Any]]
NoticeHandler = Callable[[Any, str], None]
StreamHandler = Callable[["PeerStream", Any, str], Awaitable[None]]


@dataclass(slots=True)
class PeerHandlers:
    """What a host does with what its peers send; the text is the peer's name."""

    on_call: CallHandler
    on_notice: NoticeHandler
    on_stream: StreamHandler


@dataclass(slots=True)
class PeerStream:
    """One side of a stream; heads and data come in order through ``inbox``."""

    link: "PeerLink"
    stream_id: int
    inbox: asyncio.Queue[tuple[FrameKind, Any]] = field(default_factory=asyncio.Queue)
    credit_bytes: int = STREAM_CREDIT_BYTES
    credit_grew: asyncio.Event = field(default_factory=asyncio.Event)
    is_broken: bool = False
    is_ended: bool = False
    has_head: bool = False
    unread_bytes: int = 0
    serving: "asyncio.Task[None] | None" = None
    sent_digest: xxhash.xxh3_64 = field(default_factory=xxhash.xxh3_64)
    received_digest: xxhash.xxh3_64 = field(default_factory=xxhash.xxh3_64)

    async def send_head(self, head: Any) -> None:
        """Send a message that is not data, such as the head of an answer."""
        await self.link.send_frame(self.stream_id, FrameKind.OPEN, head)

    async def send(self, data: bytes) -> None:
        """Send data, waiting for credit.

        Raises
        ------
        StreamBroken
            If the other side cancelled, or the link broke.
        """
        for start in range(0, len(data), CHUNK_MAX_BYTES):
            chunk = data[start : start + CHUNK_MAX_BYTES]
            while self.credit_bytes <= 0 and not self.is_broken:
                self.credit_grew.clear()
                await self.credit_grew.wait()
            if self.is_broken:
                raise StreamBroken("the stream was cancelled")
            self.credit_bytes -= len(chunk)
            self.sent_digest.update(chunk)
            await self.link.send_frame(self.stream_id, FrameKind.DATA, chunk)

    async def end(self) -> None:
        """Say that all data has been sent, with its digest."""
        digest = self.sent_digest.intdigest()
        await self.link.send_frame(self.stream_id, FrameKind.END, digest)

    async def receive_head(self) -> Any:
        """Return the next head.

        Raises
        ------
        StreamBroken
            If the stream breaks before one comes.
        """
        kind, payload = await self._next_frame()
        if kind is not FrameKind.OPEN:
            raise StreamBroken("the stream ended before its head")
        return payload

    async def receive(self) -> bytes | None:
        """Return the next data, or None after the last of it.

        Raises
        ------
        StreamBroken
            If the stream breaks, or the digest of what came is not that of what went.
        """
        if self.is_broken:
            raise StreamBroken("the stream broke before")
        kind, payload = await self._next_frame()
        if kind is FrameKind.DATA:
            self.received_digest.update(payload)
            self.unread_bytes -= len(payload)
            await self._give_credit(len(payload))
            return bytes(payload)
        if kind is FrameKind.END and payload == self.received_digest.intdigest():
            if self.serving is None:
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
        """End the stream on both sides; safe to call at any time."""
        if self.stream_id in self.link.streams:
            self.close()
            try:
                await self.link.send_frame(self.stream_id, FrameKind.CANCEL, 0)
            except PeerUnreachable:
                return

    def close(self) -> None:
        """Forget the stream; later frames for it are dropped."""
        self.link.streams.pop(self.stream_id, None)

    def break_off(self) -> None:
        """Tell both reader and writer that the stream is broken."""
        self.is_broken = True
        self.credit_grew.set()
        self.inbox.put_nowait((FrameKind.CANCEL, 0))
        if self.serving is not None:
            self.serving.cancel()

    def take(self, kind: FrameKind, payload: Any) -> None:
        """Take a frame from the link.

        Raises
        ------
        ValueError
            If the peer breaks the protocol; the link is closed then.
        """
        if kind is FrameKind.CREDIT:
            if not isinstance(payload, int) or payload < 0:
                raise ValueError("credit is not a number of bytes")
            self.credit_bytes += payload
            self.credit_grew.set()
        elif kind is FrameKind.CANCEL:
            self.close()
            self.break_off()
        elif not self.is_ended:
            self._take_in_order(kind, payload)

    def _take_in_order(self, kind: FrameKind, payload: Any) -> None:
        if kind is FrameKind.OPEN:
            if self.has_head:
                return
            self.has_head = True
        elif kind is FrameKind.DATA:
            if not isinstance(payload, bytes):
                raise ValueError("data is not bytes")
            self.unread_bytes += len(payload)
            # A sender may pass its credit by less than one chunk.
            if self.unread_bytes > STREAM_CREDIT_BYTES + CHUNK_MAX_BYTES:
                raise ValueError("the peer ignores its credit")
        elif kind is FrameKind.END:
            self.is_ended = True
        self.inbox.put_nowait((kind, payload))

    async def _give_credit(self, n_bytes: int) -> None:
        try:
            await self.link.send_frame(self.stream_id, FrameKind.CREDIT, n_bytes)
        except BaseException:
            # The data that was just taken is lost with this exception.
            self.break_off()
            raise

    async def _next_frame(self) -> tuple[FrameKind, Any]:
        while True:
            try:
                async with asyncio.timeout(SILENCE_S):
                    return await self.inbox.get()
            except TimeoutError:
                await self.link.probe()


@dataclass(slots=True)
class PeerLink:
    """A connection to a peer, from either side."""

    connection: Connection
    peer: str
    handlers: PeerHandlers
    streams: dict[int, PeerStream] = field(default_factory=dict)
    replies: dict[int, asyncio.Future[Any]] = field(default_factory=dict)
    ids: "itertools.count[int]" = field(default_factory=itertools.count)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    is_closed: bool = False
    n_bytes_sent: int = 0
    last_peer_id: int = -1
    probing: "asyncio.Task[None] | None" = None

    async def run(self) -> None:
        """Read frames until the connection ends, then break all that depends on it."""
        try:
            async for data in self.connection:
                if isinstance(data, str):
                    raise DecodeError("text frame")
                self._on_frame(decode(data))
        except (ConnectionClosed, DecodeError, TypeError, ValueError, OSError):
            pass
        except Exception as error:
            # A fault over one frame costs this link only.
            log_failure(error)
        finally:
            self._break_off()
            await self.connection.close()

    async def send_frame(self, stream_id: int, kind: FrameKind, payload: Any) -> None:
        """Send one frame.

        Raises
        ------
        PeerUnreachable
            If the connection is closed.
        """
        data = encode((stream_id, int(kind), payload))
        try:
            await self.connection.send(data)
        except (ConnectionClosed, OSError) as error:
            raise PeerUnreachable(f"{self.peer}: connection closed") from error
        self.n_bytes_sent += len(data)

    async def probe(self) -> None:
        """Ping the peer, and break the link if no answer comes."""
        if self.is_closed:
            return
        if self.probing is None or self.probing.done():
            self.probing = asyncio.create_task(self._ping())
            self.probing.add_done_callback(report_failure)
        await asyncio.shield(self.probing)

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Send a message and return the reply.

        Raises
        ------
        PeerUnreachable
            If no reply came in time; the message may have had its effect.
        """
        call_id = next(self.ids)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.replies[call_id] = future
        try:
            await self.send_frame(call_id, FrameKind.CALL, message)
            # `wait_for` would lose a cancellation that meets the reply.
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise PeerUnreachable(f"{self.peer}: no reply in time") from error
        finally:
            self.replies.pop(call_id, None)
            # A link that breaks while the call is being sent sets a failure that is
            # read by nobody; cancelling marks it as read.
            future.cancel()

    async def open_stream(self, head: Any) -> PeerStream:
        """Open a stream with its head."""
        stream = PeerStream(self, next(self.ids))
        self.streams[stream.stream_id] = stream
        try:
            await stream.send_head(head)
        except PeerUnreachable:
            stream.close()
            raise
        return stream

    async def _ping(self) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await (await self.connection.ping())
        except (TimeoutError, ConnectionClosed, OSError):
            self._break_off()
            self.connection.transport.abort()

    def _is_new(self, peer_id: int) -> bool:
        # The peer counts its ids upwards, so that a repeated frame is known by its id.
        if not isinstance(peer_id, int) or peer_id <= self.last_peer_id:
            return False
        self.last_peer_id = peer_id
        return True

    def _on_frame(self, frame: Any) -> None:
        stream_id, kind_number, payload = frame
        kind = FrameKind(kind_number)
        if kind is FrameKind.NOTICE:
            self.handlers.on_notice(payload, self.peer)
        elif kind is FrameKind.CALL:
            if self._is_new(stream_id):
                self._start(self._answer(stream_id, payload))
        elif kind is FrameKind.REPLY:
            future = self.replies.get(stream_id)
            if future is not None and not future.done():
                future.set_result(payload)
        else:
            self._on_stream_frame(stream_id, kind, payload)

    def _on_stream_frame(self, stream_id: int, kind: FrameKind, payload: Any) -> None:
        stream = self.streams.get(stream_id)
        if stream is not None:
            stream.take(kind, payload)
        elif kind is FrameKind.OPEN and self._is_new(stream_id):
            if len(self.streams) >= N_STREAMS_MAX:
                self._start(self._turn_away(stream_id))
                return
            stream = PeerStream(self, stream_id, has_head=True)
            self.streams[stream_id] = stream
            stream.serving = self._start(self._serve(stream, payload))

    async def _turn_away(self, stream_id: int) -> None:
        try:
            await self.send_frame(stream_id, FrameKind.CANCEL, 0)
        except PeerUnreachable:
            return

    async def _answer(self, call_id: int, message: Any) -> None:
        try:
            reply = await self.handlers.on_call(message, self.peer)
        except Exception as error:
            # Callers take the reply of an unknown message for no answer.
            log_failure(error)
            reply = None
        try:
            await self.send_frame(call_id, FrameKind.REPLY, reply)
        except PeerUnreachable:
            return

    async def _serve(self, stream: PeerStream, head: Any) -> None:
        try:
            await self.handlers.on_stream(stream, head, self.peer)
        except (StreamBroken, PeerUnreachable):
            pass
        except Exception as error:
            log_failure(error)
            await stream.cancel()
        finally:
            stream.close()

    def _start(self, work: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        return start_task(work, self.tasks)

    def _break_off(self) -> None:
        self.is_closed = True
        for stream in list(self.streams.values()):
            stream.break_off()
        self.streams.clear()
        for future in self.replies.values():
            if not future.done():
                future.set_exception(PeerUnreachable(f"{self.peer}: link broke"))
