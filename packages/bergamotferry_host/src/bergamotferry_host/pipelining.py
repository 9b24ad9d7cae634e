"""Requests that a caller sends ahead on one connection, and their turns.

The HTTP library handles the requests of a connection one after the other, so a slow one
holds up all behind it. This module keeps the requests that wait, in order, and lets the
handlers of safe ones start before their turn; the library still sends the answers in
order. Two limits bound the answers that are held until their turn: a number for each
connection, so that no caller gets more than its share, and one for the whole edge.

Only the request whose turn has come may write to the connection: a handler that writes
by itself awaits `wait_for_turn` first. A request that must not be sent before its turn,
because it must not be repeated or would hold others up, awaits `hold_until_turn`. One
whose answer may end the connection calls `hold_back_behind` before it begins to write.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from aiohttp import web

from .clock import now_ns

# Requests of one connection that are handled at the same time.
N_SIDE_BY_SIDE_MAX = 8
# Requests of all connections that are handled before their turn.
N_AHEAD_MAX = 256
SAFE_METHODS = frozenset({"GET", "HEAD"})


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request whose head arrived at ``arrived_ns``.

    ``turn`` is set once all requests before it on the connection are answered. ``task``
    is the handler, if it was started before the turn, and ``is_held`` whether the
    handler sends nothing before the turn.
    """

    pipeline: "Pipeline"
    arrived_ns: int
    turn: asyncio.Event = field(default_factory=asyncio.Event)
    task: "asyncio.Task[web.StreamResponse] | None" = None
    is_held: bool = False


@dataclass(slots=True)
class Pipeline:
    """The requests of one connection that wait for their turn, in order.

    ``is_current_safe`` is whether a request is in progress that may be handled beside
    others, and does not end the connection if its answer breaks off.
    """

    waiting: deque[WaitingRequest] = field(default_factory=deque)
    n_arrived: int = 0
    is_current_safe: bool = False


_WAITING = web.RequestKey("waiting", WaitingRequest)


def arrived_ns(request: web.Request) -> int:
    """Return when the head of a request arrived; it may have waited behind others."""
    waiting = request.get(_WAITING)
    return waiting.arrived_ns if waiting is not None else now_ns()


def has_turn(request: web.BaseRequest) -> bool:
    """Return whether all requests before this one on its connection are answered."""
    waiting = request.get(_WAITING)
    return waiting is None or waiting.turn.is_set()


async def wait_for_turn(request: web.BaseRequest) -> None:
    """Wait until all requests before this one on its connection are answered."""
    waiting = request.get(_WAITING)
    if waiting is not None:
        await waiting.turn.wait()


async def hold_until_turn(request: web.BaseRequest) -> None:
    """Wait for the turn of a request that has not been sent to any upstream.

    Meanwhile the connection may be closed under it, since the caller may repeat it.
    """
    waiting = request.get(_WAITING)
    if waiting is None:
        return
    waiting.is_held = True
    try:
        await waiting.turn.wait()
    finally:
        waiting.is_held = False


def has_begun_behind(request: web.BaseRequest) -> bool:
    """Return whether a request behind this one on its connection may be in progress."""
    waiting = request.get(_WAITING)
    if waiting is None:
        return False
    behind = list(waiting.pipeline.waiting)
    if waiting in behind:
        del behind[: behind.index(waiting) + 1]
    return any(other.task is not None and not other.is_held for other in behind)


def hold_back_behind(request: web.BaseRequest) -> None:
    """Start no request behind this one, whose turn it is, before it is answered."""
    waiting = request.get(_WAITING)
    if waiting is not None:
        waiting.pipeline.is_current_safe = False


def record_arrivals(pipeline: Pipeline, n_arrived: int, now: int) -> None:
    """Record the arrival of all requests up to a connection's ``n_arrived``-th."""
    for _ in range(n_arrived - pipeline.n_arrived):
        pipeline.waiting.append(WaitingRequest(pipeline, now))
    pipeline.n_arrived = n_arrived


def take_next(pipeline: Pipeline, request: web.BaseRequest) -> WaitingRequest:
    """Take the next request out of the pipeline; its turn has come."""
    waiting = pipeline.waiting.popleft()
    waiting.turn.set()
    request[_WAITING] = waiting
    pipeline.is_current_safe = is_safe(request)
    return waiting


def start_ahead(
    waiting: WaitingRequest,
    request: web.BaseRequest,
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
) -> None:
    """Start the handler of a request before its turn."""
    request[_WAITING] = waiting

    async def handle() -> web.StreamResponse:
        return await handler(request)

    waiting.task = asyncio.get_running_loop().create_task(handle())


def is_safe(request: web.BaseRequest) -> bool:
    """Return whether a request has a safe method, no body, and expects no 100.

    The library writes the interim answer to the connection as soon as it starts the
    handler.
    """
    has_body = request.body_exists or "Expect" in request.headers
    return request.method in SAFE_METHODS and not has_body


def cancel_waiting(pipeline: Pipeline) -> int:
    """Cancel and drop all requests that wait; return how many had been started."""
    started = [entry.task for entry in pipeline.waiting if entry.task is not None]
    for task in started:
        task.cancel()
    pipeline.waiting.clear()
    return len(started)
