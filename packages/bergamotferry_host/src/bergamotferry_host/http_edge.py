"""Runs a web application as an HTTP edge, and stops it.

`edge_connection` enforces the limits of the edge before any handler runs.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

from aiohttp import web
from aiohttp.web_server import Server

from bergamotferry.memory.ledger import MemoryLedger
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode

from .edge_connection import EdgeConnection, EdgeLimits, EdgeServer
from .edge_errors import internal_error
from .http_answers import refusal_response
from .memory.waiting_bodies import READ_BUFFER_BYTES

LINGERING_S = 2.0
# How often a stopping host polls whether its connections are idle, and whether its
# answers have left the process.
STOP_POLL_S = 0.02

_RESULT_CODE_OF_STATUS = {
    404: ResultCode.UNKNOWN_ROUTE,
    405: ResultCode.UNKNOWN_ROUTE,
    413: ResultCode.BODY_TOO_LARGE,
}


def edge_runner(
    app: web.Application,
    limits: EdgeLimits,
    shutdown_timeout_s: float,
    is_stopping: Callable[[], bool] | None = None,
    memory: MemoryLedger | None = None,
) -> web.AppRunner:
    """Return a runner that serves an application within limits.

    Parameters
    ----------
    app : web.Application
        The application; a middleware for result codes is added to it.
    limits : EdgeLimits
        Limits for connections and timeouts.
    shutdown_timeout_s : float
        How long handlers may continue to run when the runner stops, in seconds.
    is_stopping : callable, optional
        Returns whether a planned stop has begun, in which answers close connections.
        If it is given, requests that a caller sends ahead are handled side by side.
    memory : MemoryLedger, optional
        Counts what has arrived of requests that wait; without it there is no bound.
    """
    app.middlewares.append(_result_code_middleware)
    return _EdgeRunner(
        app,
        limits=limits,
        is_stopping=is_stopping,
        memory=memory or MemoryLedger(),
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=shutdown_timeout_s,
        keepalive_timeout=limits.idle_timeout_s,
        lingering_time=LINGERING_S,
        auto_decompress=False,
        max_line_size=limits.head_line_max_bytes,
        max_field_size=limits.head_line_max_bytes,
        max_headers=limits.n_head_lines_max,
        read_bufsize=READ_BUFFER_BYTES,
    )


async def wait_for_flush(runner: web.AppRunner) -> None:
    """Wait until the write buffers of all connections are empty.

    A handler returns long before a slow link has transmitted its answer. Bytes that are
    still buffered in the process when it ends are lost, and the answer with them.
    """
    server = cast(EdgeServer, runner.server)
    while True:
        if not any(
            transport.get_write_buffer_size() for transport in server.transports
        ):
            return
        await asyncio.sleep(STOP_POLL_S)


async def close_when_idle(runner: web.AppRunner) -> None:
    """Close each connection once it is idle; return when none is left open."""
    while True:
        if not close_idle_connections(runner):
            return
        await asyncio.sleep(STOP_POLL_S)


def close_idle_connections(runner: web.AppRunner) -> int:
    """Close the connections on which no part of a request has arrived.

    Returns the number of the others.
    """
    server = cast(EdgeServer, runner.server)
    n_busy = 0
    for connection in server.connections:
        if cast(EdgeConnection, connection).is_silent:
            connection.force_close()
        else:
            n_busy += 1
    return n_busy


@web.middleware
async def _result_code_middleware(
    request: web.Request, handler: Any
) -> web.StreamResponse:
    try:
        response: web.StreamResponse = await handler(request)
        return response
    except web.HTTPException as error:
        code = _RESULT_CODE_OF_STATUS.get(error.status, ResultCode.BAD_REQUEST)
        return refusal_response(Refused(code, error.reason), "")
    except (ConnectionError, TimeoutError):
        raise
    except Exception as error:
        return internal_error(error)


class _EdgeRunner(web.AppRunner):
    __slots__ = ("_is_stopping", "_limits", "_memory")

    def __init__(
        self,
        app: web.Application,
        limits: EdgeLimits,
        is_stopping: Callable[[], bool] | None,
        memory: MemoryLedger,
        **settings: Any,
    ) -> None:
        super().__init__(app, **settings)
        self._limits = limits
        self._memory = memory
        self._is_stopping = is_stopping

    async def _make_server(self) -> Server:
        server = await super()._make_server()
        return EdgeServer(server, self._limits, self._is_stopping, self._memory)
