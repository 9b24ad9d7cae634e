"""Reads request bodies within limits in bytes and in time.

The bytes received are counted, so that a chunked body, which states no length, is held
to the same limit.
"""

import asyncio
import io
import json
from typing import Any

from aiohttp import web

from bergamotferry.memory.ledger import (
    Holding,
    MemoryLedger,
    begin_sending,
    end_sending,
    hold,
    record_progress,
)
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode

from .clock import now_ns
from .memory.read_sizes import limit_reads
from .memory.waiting_bodies import READ_BUFFER_BYTES

BODY_GAP_TIMEOUT_S = 5.0
BODY_TOTAL_TIMEOUT_S = 20.0
# What the library holds of a body that arrives, beside what was read of it.
ARRIVING_BYTES = 4 * READ_BUFFER_BYTES


async def read_body(
    request: web.Request,
    max_bytes: int,
    total_timeout_s: float = BODY_TOTAL_TIMEOUT_S,
    holding: Holding | None = None,
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
    holding : Holding, optional
        Takes the room for the body; without it there is no bound over all bodies.

    Returns
    -------
    bytes or Refused
        The body, or why it was refused.
    """
    n_stated_bytes = request.content_length or 0
    if n_stated_bytes > max_bytes:
        return too_large_refusal(max_bytes)
    if holding is None:
        holding = Holding(MemoryLedger(), "body")
    try:
        async with asyncio.timeout(total_timeout_s) as timeout:
            begin_sending(holding, lambda: _end_now(timeout), now_ns())
            return await _read_parts(request, n_stated_bytes, max_bytes, holding)
    except TimeoutError:
        if holding.is_ended:
            return Refused(ResultCode.NO_ROOM_FOR_BODY, "it stalled, memory is short")
        return Refused(ResultCode.SENDER_TOO_SLOW, "the body came too slowly")
    except web.RequestPayloadError:
        return Refused(ResultCode.BAD_REQUEST, "the body is malformed")
    finally:
        limit_reads(request.transport)
        end_sending(holding)


async def _read_parts(
    request: web.Request, n_stated_bytes: int, max_bytes: int, holding: Holding
) -> bytes | Refused:
    """Read a body in parts, and hold as much room as it may take."""
    # Holds the body once: joining its parts would hold it twice.
    body = io.BytesIO()
    n_bytes = 0
    if not hold(holding, n_stated_bytes + ARRIVING_BYTES, now_ns()):
        return _no_room_refusal()
    while True:
        limit_reads(request.transport, n_stated_bytes - n_bytes)
        async with asyncio.timeout(BODY_GAP_TIMEOUT_S):
            part = await request.content.readany()
        if not part:
            hold(holding, n_bytes)
            return body.getvalue()
        n_bytes += len(part)
        if n_bytes > max_bytes:
            return too_large_refusal(max_bytes)
        n_expected_bytes = max(n_bytes, n_stated_bytes)
        if not hold(holding, n_expected_bytes + ARRIVING_BYTES, now_ns()):
            return _no_room_refusal()
        record_progress(holding, now_ns())
        body.write(part)


def _end_now(timeout: asyncio.Timeout) -> None:
    timeout.reschedule(asyncio.get_running_loop().time())


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
