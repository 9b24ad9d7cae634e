"""Sends complete answers to callers; large ones at the rate of the host's link.

A long answer is sent in parts, each once its caller has read those before. Given to the
HTTP library as a whole, it would be copied into the buffer of the connection, and held
twice until its caller has read it.
"""

from aiohttp import web

from bergamotferry.answer_link import is_large

from .answer_streaming import (
    WRITE_MAX_BYTES,
    CallerAnswer,
    begin_answer,
    end_answer,
    send_part,
)
from .direct_call import SendOutcome


async def send_answer(caller: CallerAnswer, outcome: SendOutcome) -> web.StreamResponse:
    """Return the response for an answer; a large answer is sent before the return.

    Raises
    ------
    CallerLeftError
        If the caller left before a large answer was sent.
    """
    n_bytes = len(outcome.body)
    if n_bytes > WRITE_MAX_BYTES or is_large(caller.link, n_bytes):
        await begin_answer(caller, outcome.status, outcome.headers, len(outcome.body))
        await send_part(caller, outcome.body)
        return await end_answer(caller)
    return web.Response(
        status=outcome.status, headers=outcome.headers, body=outcome.body
    )
