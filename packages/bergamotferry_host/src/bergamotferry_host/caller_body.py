"""The body of a caller's request, held to its limits while it comes.

A short body is read whole before anything is sent on, so that a refusal for its size or
its slowness is truly "not run". A longer one is passed on as it comes; if it breaks a
limit then, the request is cancelled and the caller is told that part of it was sent on.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass

from aiohttp import web

from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode

from .exchange import REPLAY_MAX_BYTES, RequestBody
from .http_body import BODY_GAP_TIMEOUT_S, too_large


class BodyBroken(ConnectionError):  # noqa: N818 - says what happened to a body
    """A body broke a limit while it was passed on."""


@dataclass(slots=True)
class CallerBody:
    """A body, and why it broke if it did; ``is_whole`` once its end has come."""

    request: web.Request
    most_bytes: int
    gap_timeout_s: float
    n_bytes: int = 0
    is_whole: bool = False
    failure: Refused | None = None


async def begin_body(
    request: web.Request,
    most_bytes: int,
    total_timeout_s: float,
    gap_timeout_s: float = BODY_GAP_TIMEOUT_S,
) -> tuple[CallerBody, RequestBody] | Refused:
    """Read the beginning of a body, and all of it if it is short."""
    body = CallerBody(request, most_bytes, gap_timeout_s)
    if not request.body_exists:
        body.is_whole = True
        return body, RequestBody.empty()
    if (request.content_length or 0) > most_bytes:
        return too_large(most_bytes)
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    parts: list[bytes] = []
    try:
        async with asyncio.timeout(total_timeout_s):
            while not body.is_whole and body.n_bytes < REPLAY_MAX_BYTES:
                parts.append(await _next_part(body))
    except TimeoutError:
        return Refused(ResultCode.SENDER_TOO_SLOW, "the body came too slowly")
    except BodyBroken:
        return body.failure or too_large(most_bytes)
    return body, RequestBody(_all_parts(body, parts))


async def _all_parts(body: CallerBody, parts: list[bytes]) -> AsyncIterator[bytes]:
    for part in parts:
        if part:
            yield part
    while not body.is_whole:
        part = await _next_part(body)
        if part:
            yield part


async def _next_part(body: CallerBody) -> bytes:
    try:
        async with asyncio.timeout(body.gap_timeout_s):
            part = await body.request.content.readany()
    except TimeoutError:
        raise _break(body, ResultCode.SENDER_TOO_SLOW, "it came too slowly") from None
    except (web.RequestPayloadError, ConnectionError):
        raise _break(body, ResultCode.BAD_REQUEST, "it is malformed") from None
    body.is_whole = not part
    body.n_bytes += len(part)
    if body.n_bytes > body.most_bytes:
        text = f"limit is {body.most_bytes} bytes"
        raise _break(body, ResultCode.BODY_TOO_LARGE, text)
    return part


def _break(body: CallerBody, code: ResultCode, why: str) -> BodyBroken:
    body.failure = Refused(code, why)
    return BodyBroken(why)
