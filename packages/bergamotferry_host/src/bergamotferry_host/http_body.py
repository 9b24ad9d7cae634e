"""Reads request bodies within limits in bytes and in time.

The bytes received are counted, so that a chunked body, which states no length, is held
to the same limit.
"""

import asyncio
import io
import json
from typing import Any

from aiohttp import web

from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode

from .body_room import HeldBody, hold_up_to

BODY_GAP_TIMEOUT_S = 5.0
BODY_TOTAL_TIMEOUT_S = 20.0


async def read_body(
    request: web.Request,
    max_bytes: int,
    total_timeout_s: float = BODY_TOTAL_TIMEOUT_S,
    held: HeldBody | None = None,
) -> bytes | Refused:
    """Read a whole body, or refuse one that breaks a limit or is malformed.

    Parameters
    ----------
    request : web.Request
        The request.
    max_bytes : int
        Limit for the body.
    total_timeout_s : float
        Limit for the time in which it must arrive.
    held : HeldBody, optional
        Takes the room for the body; without it there is no bound over all bodies.

    Returns
    -------
    bytes or Refused
        The body, or why it was refused.
    """
    n_stated_bytes = request.content_length or 0
    if n_stated_bytes > max_bytes:
        return too_large_refusal(max_bytes)
    if held is not None and not hold_up_to(held, n_stated_bytes):
        return _no_room_refusal()
    # Holds the body once: joining parts, or growing a buffer, would hold it twice.
    body = io.BytesIO(bytes(n_stated_bytes))
    n_bytes = 0
    try:
        async with asyncio.timeout(total_timeout_s):
            while True:
                async with asyncio.timeout(BODY_GAP_TIMEOUT_S):
                    part = await request.content.readany()
                if not part:
                    body.truncate(n_bytes)
                    return body.getvalue()
                n_bytes += len(part)
                if n_bytes > max_bytes:
                    return too_large_refusal(max_bytes)
                if held is not None and not hold_up_to(held, n_bytes):
                    return _no_room_refusal()
                body.write(part)
    except TimeoutError:
        return Refused(ResultCode.SENDER_TOO_SLOW, "the body came too slowly")
    except web.RequestPayloadError:
        return Refused(ResultCode.BAD_REQUEST, "the body is malformed")


async def read_text(request: web.Request, max_bytes: int) -> str | Refused:
    """Read a body that must be UTF-8 text."""
    body = await read_body(request, max_bytes)
    if isinstance(body, Refused):
        return body
    try:
        return body.decode()
    except UnicodeDecodeError:
        return Refused(ResultCode.BAD_JSON, "not UTF-8")


async def read_json_object(
    request: web.Request, max_bytes: int
) -> dict[str, Any] | Refused:
    """Read a body that must be one JSON object."""
    text = await read_text(request, max_bytes)
    if isinstance(text, Refused):
        return text
    try:
        body = json.loads(text)
    except (ValueError, RecursionError):
        return Refused(ResultCode.BAD_JSON, "not JSON")
    if not isinstance(body, dict):
        return Refused(ResultCode.BAD_JSON, "not an object")
    return body


def _no_room_refusal() -> Refused:
    return Refused(ResultCode.NO_ROOM_FOR_BODY, "too many bytes of bodies are held")


def too_large_refusal(max_bytes: int) -> Refused:
    """Return the refusal of a body that is larger than its limit."""
    return Refused(ResultCode.BODY_TOO_LARGE, f"limit is {max_bytes} bytes")
