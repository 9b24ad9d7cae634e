"""Streams a large answer to its caller while it is downloaded from the upstream.

On a narrow link, an answer that is held until it is complete uses the inbound and the
outbound direction one after the other. A streamed answer uses both at once.

Once the head is sent, no other answer can follow. If the download breaks off after
that, the request is not retried. The caller's connection is closed, so that the caller
does not take a truncated answer for a complete one. Therefore only answers of a known
length that are large for the link are streamed, and only while no request behind them
on the connection has begun; none begins until they are sent. All others are held until
they are complete, and can be replaced if the download breaks off. Once the host has no
room to hold one, it is streamed from there on, so that callers that read slowly fill
the memory of the upstreams' connections and not that of the host.

An answer is written only in the turn of its request (`pipelining`). Before its turn it
is held, and no more of it is received than `HELD_AHEAD_MAX_BYTES`: what a request that
waits for its turn may hold.
"""

import asyncio
from collections.abc import AsyncIterable, AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from aiohttp import web
from multidict import CIMultiDict

from bergamotferry.answer_link import PART_BYTES, AnswerLink, is_large, take_part
from bergamotferry.memory.ledger import Holding, MemoryLedger, hold

from .bounded_answer import ANSWER_MAX_BYTES, AnswerTooLargeError
from .clock import now_ns
from .pipelining import (
    has_begun_behind,
    has_turn,
    hold_back_behind,
    wait_for_turn,
)

# Most requests are answered before their turn on 256 connections at once, which then
# hold 16 MiB.
HELD_AHEAD_MAX_BYTES = 64 * 1024
# A longer write waits in the buffer of the connection, beside the answer that is held.
WRITE_MAX_BYTES = 64 * 1024


class AnswerBegunError(RuntimeError):
    """An answer was to be written to a connection after another one had begun."""


class CallerLeftError(ConnectionError):
    """The caller closed its connection before its answer was sent."""


@dataclass(slots=True)
class CallerAnswer:
    """The connection to one caller, and the answer streamed on it, if any.

    ``is_stopping`` returns whether the connection is closed after the answer.
    ``response`` is set when the head is sent; ``n_left`` bytes of the body are then
    left to send. ``holding`` counts the bytes of answers that are held. ``on_begin`` is
    called when the head is sent. ``sender`` is the task that has sent it: if there are
    several sends, no other one may answer after that.
    """

    link: AnswerLink
    request: web.Request
    is_stopping: Callable[[], bool]
    holding: Holding = field(default_factory=lambda: Holding(MemoryLedger(), "answer"))
    response: web.StreamResponse | None = None
    n_left: int = 0
    on_begin: Callable[[], None] = lambda: None
    sender: "asyncio.Task[Any] | None" = None

    @property
    def has_begun(self) -> bool:
        """Whether sending has begun, so that no other answer may follow."""
        return self.response is not None


def may_stream(answer: CallerAnswer, status: int, n_bytes: int | None) -> bool:
    """Return whether an answer is streamed before it is complete.

    In the turn of their request, answers that are large for the link are, unless a
    request behind them has begun, and those that are too large to hold.

    Parameters
    ----------
    answer : CallerAnswer
        The connection to the caller.
    status : int
        The HTTP status; only a success is streamed, as a failure may be retried.
    n_bytes : int or None
        The length of the body in bytes, None if unknown.
    """
    is_too_large = (n_bytes or 0) > ANSWER_MAX_BYTES
    if not is_too_large and not is_large(answer.link, n_bytes or 0):
        return False
    is_first = is_too_large or not has_begun_behind(answer.request)
    return is_first and _may_begin(answer, status, n_bytes)


def _may_begin(answer: CallerAnswer, status: int, n_bytes: int | None) -> bool:
    """Return whether an answer may be sent before it is complete."""
    is_success = 200 <= status < 300
    is_free = n_bytes is not None and not answer.has_begun
    return is_success and is_free and has_turn(answer.request)


async def wait_to_receive(answer: CallerAnswer, n_bytes: int | None) -> None:
    """Wait for the turn of an answer that is too large to be held until then."""
    if (n_bytes or 0) > HELD_AHEAD_MAX_BYTES:
        await wait_for_turn(answer.request)


class AnswerHead(NamedTuple):
    """The head of an answer; ``n_bytes`` is the length of its body, None if unknown."""

    status: int
    headers: CIMultiDict[str] | None
    n_bytes: int | None


async def hold_or_stream(
    answer: CallerAnswer,
    head: AnswerHead,
    parts: AsyncIterable[bytes],
    max_bytes: int = ANSWER_MAX_BYTES,
) -> bytes | None:
    """Hold an answer until it is complete; stream it once there is no room for it.

    While it is streamed, its upstream is read no faster than its caller reads.

    Returns
    -------
    bytes or None
        The body, or None if the answer was sent.

    Raises
    ------
    AnswerTooLargeError
        If it exceeds ``max_bytes``, or has no room and may not be streamed.
    CallerLeftError
        If the caller left while the answer was streamed.
    """
    received: list[bytes] = []
    n_bytes = 0
    arriving = aiter(parts)
    async for part in arriving:
        received.append(part)
        n_bytes += len(part)
        if n_bytes > max_bytes:
            raise AnswerTooLargeError(f"the answer exceeds {max_bytes} bytes")
        if not hold(answer.holding, answer.holding.n_bytes + len(part), now_ns()):
            may_begin = _may_begin(answer, head.status, head.n_bytes)
            if not may_begin or has_begun_behind(answer.request):
                raise AnswerTooLargeError("no memory is left to hold the answer")
            hold_back_behind(answer.request)
            rest = _join(received, arriving)
            await stream_answer(
                answer, head.status, head.headers, head.n_bytes or 0, rest
            )
            return None
        await wait_to_receive(answer, n_bytes)
    return b"".join(received)


async def _join(
    received: list[bytes], arriving: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    """Yield what was received, which is free once it is sent, and what arrives."""
    received.reverse()
    while received:
        yield received.pop()
    async for part in arriving:
        yield part


async def stream_answer(
    answer: CallerAnswer,
    status: int,
    headers: CIMultiDict[str] | None,
    n_bytes: int,
    parts: AsyncIterable[bytes],
) -> None:
    """Stream an answer of ``n_bytes`` to its caller as its parts arrive.

    Raises
    ------
    CallerLeftError
        If the caller left.
    """
    await begin_answer(answer, status, headers, n_bytes)
    async for part in parts:
        await send_part(answer, part)
    await end_answer(answer)


async def begin_answer(
    answer: CallerAnswer, status: int, headers: CIMultiDict[str] | None, n_bytes: int
) -> None:
    """Send the head of an answer whose body has ``n_bytes``, in its request's turn.

    Every answer that is not returned to the HTTP library begins here.

    Raises
    ------
    CallerLeftError
        If the caller left.
    AnswerBegunError
        If another answer to the request has begun.
    """
    await wait_for_turn(answer.request)
    if answer.has_begun:
        raise AnswerBegunError
    response = web.StreamResponse(status=status, headers=headers)
    response.content_length = n_bytes
    if answer.is_stopping():
        response.force_close()
    answer.response, answer.n_left = response, n_bytes
    answer.sender = asyncio.current_task()
    answer.on_begin()
    try:
        await response.prepare(answer.request)
    except ConnectionError as error:
        raise CallerLeftError(str(error)) from error


async def send_part(answer: CallerAnswer, part: bytes) -> None:
    """Send a part of the body at the rate of the link.

    Raises
    ------
    CallerLeftError
        If the caller left.
    """
    response = _started_response(answer)
    piece_bytes = PART_BYTES if answer.link.bytes_per_ms else WRITE_MAX_BYTES
    for start in range(0, len(part), piece_bytes):
        piece = part[start : start + piece_bytes]
        try:
            await response.write(piece)
        except ConnectionError as error:
            raise CallerLeftError(str(error)) from error
        pause_ms = take_part(answer.link, len(piece), now_ns() / 1e6)
        answer.n_left -= len(piece)
        if answer.n_left > 0:
            await asyncio.sleep(pause_ms / 1000)


async def end_answer(answer: CallerAnswer) -> web.StreamResponse:
    """End an answer after its last part; return its response.

    Raises
    ------
    CallerLeftError
        If the caller left.
    """
    response = _started_response(answer)
    try:
        await response.write_eof()
    except ConnectionError as error:
        raise CallerLeftError(str(error)) from error
    return response


def break_off_answer(answer: CallerAnswer) -> web.StreamResponse:
    """Close the connection of an incomplete answer; return its response.

    What was written before is still sent: a reset would discard earlier answers that
    are on their way. The length in its head shows that the answer is incomplete.
    """
    response = _started_response(answer)
    response.force_close()
    if answer.request.transport is not None:
        answer.request.transport.close()
    return response


def _started_response(answer: CallerAnswer) -> web.StreamResponse:
    if answer.response is None:
        raise RuntimeError("the head of the answer was not sent")
    return answer.response
