"""Reads the body of a caller's request and enforces its limits in size and time.

A body of up to ``REPLAY_MAX_BYTES`` is read whole before any of it is forwarded, so
that a refusal for its size or slowness is truly "not run". A longer body is streamed as
it arrives. If a streamed body breaks a limit, the request is cancelled, and the
refusal states that part of the body was forwarded.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from aiohttp import web

from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode

from .exchange import REPLAY_MAX_BYTES, RequestBody
from .http_body import BODY_GAP_TIMEOUT_S, too_large_refusal


class CallerBodyError(ConnectionError):
    """The body of a caller's request broke a limit, is malformed or broke off."""


@dataclass(slots=True)
class CallerBody:
    """The body of a caller's request, its limits, and how much of it has arrived.

    ``is_complete`` is set once the end of the body has been read. ``failure`` is the
    reason why reading failed, if it did.
    """

    request: web.Request
    max_bytes: int
    gap_timeout_s: float
    n_bytes: int = 0
    is_complete: bool = False
    failure: Refused | None = None


async def begin_body(
    request: web.Request,
    max_bytes: int,
    total_timeout_s: float,
    gap_timeout_s: float = BODY_GAP_TIMEOUT_S,
) -> tuple[CallerBody, RequestBody] | Refused:
    """Read the start of a body, and the whole of a short one.

    Parameters
    ----------
    request : web.Request
        The caller's request.
    max_bytes : int
        Limit for the whole body.
    total_timeout_s : float
        Limit for the time in which the start of the body must arrive.
    gap_timeout_s : float
        Limit for the time between two parts of the body.

    Returns
    -------
    tuple of CallerBody and RequestBody, or Refused
        The body and its chunks to forward, or why the body was refused.
    """
    body = CallerBody(request, max_bytes, gap_timeout_s)
    if not request.body_exists:
        body.is_complete = True
        return body, RequestBody.empty()
    if (request.content_length or 0) > max_bytes:
        return too_large_refusal(max_bytes)
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    parts: list[bytes] = []
    try:
        async with asyncio.timeout(total_timeout_s):
            while not body.is_complete and body.n_bytes < REPLAY_MAX_BYTES:
                parts.append(await _next_part(body))
    except TimeoutError:
        return Refused(ResultCode.SENDER_TOO_SLOW, "the body came too slowly")
    except CallerBodyError:
        return body.failure or too_large_refusal(max_bytes)
    return body, RequestBody(_stream_parts(body, parts))


async def _stream_parts(body: CallerBody, parts: list[bytes]) -> AsyncIterator[bytes]:
    for part in parts:
        if part:
            yield part
    while not body.is_complete:
        part = await _next_part(body)
        if part:
            yield part


async def _next_part(body: CallerBody) -> bytes:
    try:
        async with asyncio.timeout(body.gap_timeout_s):
            part = await body.request.content.readany()
    except TimeoutError:
        raise _record_failure(
            body, ResultCode.SENDER_TOO_SLOW, "it came too slowly"
        ) from None
    except (web.RequestPayloadError, ConnectionError):
        raise _record_failure(body, ResultCode.BAD_REQUEST, "it is malformed") from None
    body.is_complete = not part
    body.n_bytes += len(part)
    if body.n_bytes > body.max_bytes:
        detail = f"limit is {body.max_bytes} bytes"
        raise _record_failure(body, ResultCode.BODY_TOO_LARGE, detail)
    return part


def _record_failure(body: CallerBody, code: ResultCode, detail: str) -> CallerBodyError:
    body.failure = Refused(code, detail)
    return CallerBodyError(detail)
