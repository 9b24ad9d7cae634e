"""One websocket between two hosts that multiplexes calls, notices and streams by id.

A frame is a CBOR array ``[stream_id, kind, payload]``. Only the side that dialled opens
streams. Each direction of a stream has a credit in bytes, so a slow reader blocks only
its own stream; a peer that sends more than its credit loses the link.

Frames for a stream that has ended are dropped. An opening or a call is dropped unless
its id is above all ids received before, so a repeated or late frame has no effect. A
reader that receives nothing for a while probes the link, so that a half-open connection
is detected and closed.
"""

import asyncio
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed
from websockets.protocol import State

from bergamotferry.records import TrafficClass

from .background import log_failure, report_failure, start_task
from .codec import DecodeError, EncodeError, decode, encode
from .peer_stream import (
    FrameKind,
    LinkTrafficClass,
    PeerStream,
    PeerUnreachable,
    StreamBroken,
)
from .protocol_version import PROTOCOL_VERSION, message_for

__all__ = [
    "FrameKind",
    "LinkTrafficClass",
    "PeerHandlers",
    "PeerLink",
    "PeerStream",
    "PeerUnreachable",
    "StreamBroken",
]

FRAME_MAX_BYTES = 2 * 1024 * 1024
N_STREAMS_MAX = 4096
PROBE_TIMEOUT_S = 1.0
_OPENINGS = (FrameKind.OPEN, FrameKind.OPEN_ENDED)

SentBytesKey = tuple[str, LinkTrafficClass]

CallHandler = Callable[[Any, str], Awaitable[Any]]
NoticeHandler = Callable[[Any, str], None]
StreamHandler = Callable[["PeerStream", Any, str], Awaitable[None]]


@dataclass(slots=True)
class PeerHandlers:
    """Callbacks for messages and streams; the text argument is the peer's name."""

    on_call: CallHandler
    on_notice: NoticeHandler
    on_stream: StreamHandler


@dataclass(slots=True)
class PeerLink:
    """One side of a connection to a peer; only the side that dialled opens streams."""

    connection: Connection
    peer: str
    handlers: PeerHandlers
    streams: dict[int, PeerStream] = field(default_factory=dict)
    replies: dict[int, asyncio.Future[Any]] = field(default_factory=dict)
    ids: "itertools.count[int]" = field(default_factory=itertools.count)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    is_closed: bool = False
    sent_bytes: Counter[SentBytesKey] = field(default_factory=Counter)
    last_received_id: int = -1
    probe_task: "asyncio.Task[None] | None" = None
    is_dialling_side: bool = False
    peer_version: int = PROTOCOL_VERSION

    async def run(self) -> None:
        """Read frames until the connection ends, then break its streams and calls."""
        try:
            async for data in self.connection:
                if isinstance(data, str):
                    raise DecodeError("text frame")
                self._on_frame(decode(data))
        except (ConnectionClosed, DecodeError, TypeError, ValueError, OSError):
            pass
        except Exception as error:
            # An exception while handling a frame closes this link only.
            log_failure(error)
        finally:
            self._break_streams_and_calls()
            await self.connection.close()

    async def send_frame(
        self,
        stream_id: int,
        kind: FrameKind,
        payload: Any,
        traffic_class: LinkTrafficClass = "control",
    ) -> None:
        """Send one frame, and count its bytes for its traffic class.

        Raises
        ------
        PeerUnreachable
            If the connection is closed.
        EncodeError
            If the payload has no encoding.
        """
        data = encode((stream_id, int(kind), payload))
        try:
            await self.connection.send(data)
        except (ConnectionClosed, OSError) as error:
            raise PeerUnreachable(f"{self.peer}: connection closed") from error
        self.sent_bytes[self.peer, traffic_class] += len(data)

    async def probe(self) -> None:
        """Probe the peer; break the link after `PROBE_TIMEOUT_S` without an answer."""
        if self.is_closed:
            return
        if self.probe_task is None or self.probe_task.done():
            self.probe_task = asyncio.create_task(self._probe_connection())
            self.probe_task.add_done_callback(report_failure)
        await asyncio.shield(self.probe_task)

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Send a message, in the peer's version of it, and return the reply.

        Raises
        ------
        PeerUnreachable
            If the connection is closed, or no reply arrived within ``timeout_s``
            seconds. The peer may have processed the message all the same. Also if the
            peer's version lacks the message; then it was not sent.
        """
        known_message = message_for(message, self.peer_version)
        if known_message is None:
            raise PeerUnreachable(f"{self.peer}: older version")
        call_id = next(self.ids)
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.replies[call_id] = future
        try:
            await self.send_frame(call_id, FrameKind.CALL, known_message)
            # `asyncio.wait_for` would lose a cancellation that coincides with the
            # reply.
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise PeerUnreachable(f"{self.peer}: no reply in time") from error
        finally:
            self.replies.pop(call_id, None)
            # If the link breaks while the call is being sent, the future gets an
            # exception that nobody retrieves; `cancel` marks it as retrieved.
            future.cancel()

    async def open_stream(
        self,
        head: Any,
        is_ended: bool = False,
        traffic_class: TrafficClass = "lookup",
    ) -> PeerStream:
        """Open a stream with its head; ``is_ended`` states that no data follows.

        Raises
        ------
        PeerUnreachable
            If the head was certainly not sent.
        StreamBroken
            If the link broke while the head was being sent.
        """
        stream = PeerStream(self, next(self.ids), traffic_class=traffic_class)
        self.streams[stream.stream_id] = stream
        # An open connection takes a frame at once, and then waits until its buffer has
        # room. The peer may read the frame meanwhile.
        is_taken = self.connection.state is State.OPEN
        try:
            await stream.send_head(head, is_ended)
        except PeerUnreachable as error:
            stream.close()
            if is_taken:
                raise StreamBroken(str(error)) from error
            raise
        return stream

    async def _probe_connection(self) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await (await self.connection.ping())
        except (TimeoutError, ConnectionClosed, OSError):
            self._break_streams_and_calls()
            self.connection.transport.abort()

    def _accept_id(self, received_id: int) -> bool:
        # A peer's ids only increase, so a repeated or late frame is detected by its id.
        if not isinstance(received_id, int) or received_id <= self.last_received_id:
            return False
        self.last_received_id = received_id
        return True

    def _on_frame(self, frame: Any) -> None:
        stream_id, kind_number, payload = frame
        kind = FrameKind(kind_number)
        if kind is FrameKind.NOTICE:
            self.handlers.on_notice(payload, self.peer)
        elif kind is FrameKind.CALL:
            if self._accept_id(stream_id):
                self._start(self._answer_call(stream_id, payload))
        elif kind is FrameKind.REPLY:
            future = self.replies.get(stream_id)
            if future is not None and not future.done():
                future.set_result(payload)
        else:
            self._on_stream_frame(stream_id, kind, payload)

    def _on_stream_frame(self, stream_id: int, kind: FrameKind, payload: Any) -> None:
        stream = self.streams.get(stream_id)
        if stream is not None:
            stream.handle_frame(kind, payload)
        elif self.is_dialling_side:
            # A frame of an answer whose request was abandoned.
            return
        elif kind in _OPENINGS and self._accept_id(stream_id):
            if len(self.streams) >= N_STREAMS_MAX:
                self._start(self._reject_stream(stream_id))
                return
            stream = PeerStream(self, stream_id, has_head=True)
            self.streams[stream_id] = stream
            if kind is FrameKind.OPEN_ENDED:
                stream.record_end()
            stream.handler_task = self._start(self._handle_stream(stream, payload))

    async def _reject_stream(self, stream_id: int) -> None:
        try:
            await self.send_frame(stream_id, FrameKind.CANCEL, 0)
        except PeerUnreachable:
            return

    async def _answer_call(self, call_id: int, message: Any) -> None:
        try:
            reply = await self.handlers.on_call(message, self.peer)
        except Exception as error:
            # Callers treat None as no answer. An unknown message gets None too.
            log_failure(error)
            reply = None
        try:
            await self._send_reply(call_id, reply)
        except PeerUnreachable:
            return

    async def _send_reply(self, call_id: int, reply: Any) -> None:
        try:
            await self.send_frame(call_id, FrameKind.REPLY, reply)
        except EncodeError as error:
            log_failure(error)
            await self.send_frame(call_id, FrameKind.REPLY, None)

    async def _handle_stream(self, stream: PeerStream, head: Any) -> None:
        try:
            await self.handlers.on_stream(stream, head, self.peer)
        except (StreamBroken, PeerUnreachable):
            pass
        except Exception as error:
            log_failure(error)
            await stream.cancel()
        finally:
            stream.close()

    def _start(self, coroutine: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        return start_task(coroutine, self.tasks)

    def _break_streams_and_calls(self) -> None:
        self.is_closed = True
        for stream in list(self.streams.values()):
            if not stream.has_whole_answer:
                stream.abort()
        self.streams.clear()
        for future in self.replies.values():
            if not future.done():
                future.set_exception(PeerUnreachable(f"{self.peer}: link broke"))
