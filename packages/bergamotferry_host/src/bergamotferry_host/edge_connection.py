"""The connections of an HTTP edge, and the server that creates them.

The HTTP library parses requests. This module adds what the library lacks: a limit on
the number of connections, a timeout for the head of a request, and result codes instead
of the library's error pages. A connection that breaks a limit is closed without
affecting the others.

A caller may send further requests before the first one is answered. The library stops
reading while many are waiting; `pipelining` decides which are handled before their
turn. A stopping edge closes a connection with the last answer to the requests that it
has begun. The requests behind that answer are not handled, and the connection lingers
until the caller has read the answer: a socket that is closed while requests are still
arriving is reset, and the reset would discard the answer.
"""

import asyncio
import contextlib
from collections.abc import Callable
from itertools import islice
from typing import Any, NamedTuple, cast

from aiohttp import StreamReader, web
from aiohttp.http import RawRequestMessage, StreamWriter
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_server import Server

from bergamotferry.memory.ledger import Holding, MemoryLedger, give_back, hold
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode

from .clock import now_ns
from .edge_errors import internal_error, parser_refusal, raw_refusal
from .http_answers import refusal_response
from .logs import log_routine
from .memory.read_sizes import limit_reads
from .memory.waiting_bodies import count_waiting
from .pipelining import (
    N_AHEAD_MAX,
    N_SIDE_BY_SIDE_MAX,
    Pipeline,
    cancel_waiting,
    has_begun_behind,
    is_safe,
    record_arrivals,
    start_ahead,
    take_next,
)

HEAD_LINE_MAX_BYTES = 8190
N_HEAD_LINES_MAX = 64
HEADER_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 120.0
REFUSED_LINGER_S = 0.5
N_REFUSED_LINGERING_MAX = 256
# How long a connection stays half open after an answer that closes it.
CLOSE_LINGER_S = 0.5


class EdgeLimits(NamedTuple):
    """Limits of one HTTP edge: connections, their timeouts, and heads of requests.

    ``head_max_bytes`` bounds a head that is still arriving, which the limits on a line
    and on the number of lines leave larger.
    """

    n_connections_max: int
    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    head_line_max_bytes: int = HEAD_LINE_MAX_BYTES
    n_head_lines_max: int = N_HEAD_LINES_MAX
    head_max_bytes: int = HEAD_LINE_MAX_BYTES * N_HEAD_LINES_MAX


class EdgeConnection(RequestHandler):
    """One connection, which is refused at once if the limit is reached."""

    __slots__ = (
        "_body",
        "_closed",
        "_edge",
        "_header_timer",
        "_is_lingering",
        "_last_data_ns",
        "_limits",
        "_n_head_bytes",
        "_open_transport",
        "_pipeline",
        "_waiting",
    )

    def __init__(self, manager: "EdgeServer", **settings: Any) -> None:
        super().__init__(manager, **settings)
        self._edge = manager
        self._limits = manager.limits
        self._open_transport: asyncio.Transport | None = None
        self._header_timer: asyncio.TimerHandle | None = None
        self._pipeline = Pipeline()
        self._last_data_ns = 0
        self._n_head_bytes = 0
        self._body: StreamReader | None = None
        self._is_lingering = False
        self._closed = asyncio.Event()
        self._waiting = Holding(manager.memory, "waiting")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a connection, or refuse it if the edge has too many."""
        server = self._edge
        self._open_transport = cast(asyncio.Transport, transport)
        server.transports.add(self._open_transport)
        limit_reads(transport)
        if server.n_connections < self._limits.n_connections_max:
            super().connection_made(transport)
            return
        self._force_close = True
        server.refuse(cast(asyncio.Transport, transport))

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel all requests of the connection."""
        self._stop_header_timer()
        self._closed.set()
        give_back(self._waiting)
        self._edge.n_ahead -= cancel_waiting(self._pipeline)
        if self._open_transport is not None:
            self._edge.transports.discard(self._open_transport)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse requests, record when they arrived, and start those sent ahead."""
        if self._is_lingering:
            return
        if data:
            self._last_data_ns = now_ns()
        n_requests = self._request_count
        n_head_bytes = len(data) if self._is_awaiting_head() else 0
        super().data_received(data)
        self._record_arrivals()
        self._start_ahead()
        self._count_waiting()
        if self._request_count > n_requests:
            self._stop_header_timer()
            self._n_head_bytes = 0
        elif self._is_awaiting_head():
            self._await_head(n_head_bytes)

    def _count_waiting(self) -> None:
        """Count the bodies that wait behind a request; close if there is no room."""
        # The first request of an idle connection is about to be handled.
        n_next = 1 if self._current_request is None else 0
        n_bytes = count_waiting(islice(self._messages, n_next, None))
        fits = hold(self._waiting, n_bytes, now_ns())
        if not fits and self._open_transport is not None:
            log_routine("waiting bodies ended", n_bytes=n_bytes)
            self._open_transport.abort()

    def _await_head(self, n_bytes: int) -> None:
        """Bound a head that has begun to arrive, in time and in bytes.

        An idle connection may wait longer, for ``idle_timeout_s``.
        """
        self._n_head_bytes += n_bytes
        if self._n_head_bytes > self._limits.head_max_bytes:
            self._refuse_head(ResultCode.HEADERS_TOO_LARGE, "the head is too large")
        elif self._header_timer is None:
            self._header_timer = self._loop.call_later(
                self._limits.header_timeout_s, self._on_header_timeout
            )

    async def _handle_request(
        self, request: web.BaseRequest, start_time: float | None, request_handler: Any
    ) -> tuple[web.StreamResponse, bool]:
        self._record_arrivals()
        self._count_waiting()
        self._body = request.content
        waiting = take_next(self._pipeline, request)
        task = waiting.task
        if task is None:
            self._start_ahead()
            return await super()._handle_request(request, start_time, request_handler)
        self._edge.n_ahead -= 1
        self._start_ahead()

        async def take_answer(_: web.BaseRequest) -> web.StreamResponse:
            return await task

        return await super()._handle_request(request, start_time, take_answer)

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send the rest of a response; linger if it closes a kept connection."""
        is_last = not has_begun_behind(request)
        if self._edge.is_stopping() and is_last and not resp.prepared:
            resp.force_close()
        response, is_reset = await super().finish_response(request, resp, start_time)
        self._pipeline.is_current_safe = False
        if request.keep_alive and not response.keep_alive and not is_reset:
            await self._linger()
        return response, is_reset

    async def _linger(self) -> None:
        """Close the sending half, and drop what arrives until the caller closes."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        self._is_lingering = True
        self._messages.clear()
        self._edge.n_ahead -= cancel_waiting(self._pipeline)
        if transport.can_write_eof():
            transport.write_eof()
        transport.resume_reading()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_LINGER_S):
                await self._closed.wait()

    def _record_arrivals(self) -> None:
        """Record the arrival of the requests that were parsed since the last call."""
        record_arrivals(self._pipeline, self._request_count, self._last_data_ns)

    def _start_ahead(self) -> None:
        """Start the handlers of safe requests that wait behind safe ones."""
        pipeline, edge = self._pipeline, self._edge
        # The library takes a message some time before it starts its handler.
        is_between = len(pipeline.waiting) != len(self._messages)
        if is_between or not pipeline.is_current_safe or not edge.may_serve_ahead:
            return
        waiting = islice(
            zip(self._messages, pipeline.waiting, strict=True), N_SIDE_BY_SIDE_MAX - 1
        )
        for (message, payload), entry in waiting:
            if entry.task is not None:
                continue
            request = self._request_ahead(message, payload)
            if request is None or not is_safe(request) or edge.n_ahead >= N_AHEAD_MAX:
                return
            edge.n_ahead += 1
            start_ahead(entry, request, edge.request_handler)

    def _request_ahead(self, message: Any, payload: Any) -> web.BaseRequest | None:
        """Return the request of a message that waits; None if it failed to parse."""
        if not isinstance(message, RawRequestMessage) or self._task_handler is None:
            return None
        writer = StreamWriter(self, self._loop)
        return self._edge.request_factory(
            message, payload, self, writer, self._task_handler
        )

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that failed to parse, or a fault, with a result code."""
        if status >= 500:
            response = internal_error(exc or RuntimeError("no cause"))
        else:
            response = refusal_response(parser_refusal(exc), "")
        response.force_close()
        return response

    @property
    def is_silent(self) -> bool:
        """Whether no request is in progress and no part of a next one has arrived.

        The library has taken a request for some time before its handler starts, and
        has ended the handler for some time before the answer is written.
        """
        is_unread = self._header_timer is None and not self._pipeline.waiting
        return is_unread and self._is_idle() and not self._request_in_progress

    def _is_idle(self) -> bool:
        return not self._messages and self._current_request is None

    def _is_awaiting_head(self) -> bool:
        """Return whether what arrives next belongs to a head.

        The body of a request that was refused may still be arriving.
        """
        return self._is_idle() and (self._body is None or self._body.is_eof())

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        self._refuse_head(ResultCode.SENDER_TOO_SLOW, "the head came too slowly")

    def _refuse_head(self, code: ResultCode, detail: str) -> None:
        """Refuse a request whose head has not arrived, and close the connection."""
        if self.transport is not None and self._is_awaiting_head():
            self.transport.write(raw_refusal(Refused(code, detail)))
            self._is_lingering = True
            self._stop_header_timer()
            # Closing at once, while more of the head is unread, would reset the
            # connection before the client has read the answer.
            self._loop.call_later(REFUSED_LINGER_S, self.force_close)


class EdgeServer(Server):
    """Creates the connections of one edge and enforces their limit."""

    def __init__(
        self,
        base: Server,
        limits: EdgeLimits,
        is_stopping: Callable[[], bool] | None,
        memory: MemoryLedger,
    ) -> None:
        super().__init__(
            base.request_handler,
            request_factory=base.request_factory,
            handler_cancellation=base.handler_cancellation,
            loop=base._loop,
            **base._kwargs,
        )
        self.limits = limits
        self._is_stopping = is_stopping
        self.memory = memory
        # Requests that are handled, or whose answer is held, before their turn.
        self.n_ahead = 0
        self.n_refused_lingering = 0
        # Transports of all connections that are not closed yet, closing ones included.
        self.transports: set[asyncio.Transport] = set()

    def __call__(self) -> RequestHandler:
        """Return the handler of a new connection."""
        return EdgeConnection(self, loop=self._loop, **self._kwargs)

    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""
        return self._is_stopping is not None and self._is_stopping()

    @property
    def may_serve_ahead(self) -> bool:
        """Whether requests may be handled before their turn."""
        return self._is_stopping is not None and not self._is_stopping()

    @property
    def n_connections(self) -> int:
        """Number of accepted connections that are open."""
        return len(self._connections)

    def refuse(self, transport: asyncio.Transport) -> None:
        """Answer a connection over the limit with a refusal, and close it.

        Beyond ``N_REFUSED_LINGERING_MAX`` refused connections that are still open, a
        connection is closed without an answer.
        """
        if self.n_refused_lingering >= N_REFUSED_LINGERING_MAX:
            transport.abort()
            return
        refusal = Refused(
            ResultCode.TOO_MANY_CONNECTIONS, f"limit is {self.limits.n_connections_max}"
        )
        transport.write(raw_refusal(refusal))
        # Closing at once, while a request is unread, would reset the connection before
        # the client has read the answer.
        self.n_refused_lingering += 1
        self._loop.call_later(REFUSED_LINGER_S, self._close_refused, transport)

    def _close_refused(self, transport: asyncio.Transport) -> None:
        self.n_refused_lingering -= 1
        transport.close()
