"""Sends complete answers to callers; large ones at the rate of the host's link."""

from aiohttp import web

from bergamotferry.answer_link import is_large

from .answer_streaming import CallerAnswer, begin_answer, end_answer, send_part
from .direct_call import SendOutcome


async def send_answer(caller: CallerAnswer, outcome: SendOutcome) -> web.StreamResponse:
    """Return the response for an answer; a large answer is sent before the return.

    Raises
    ------
    CallerLeftError
        If the caller left before a large answer was sent.
    """
    if is_large(caller.link, len(outcome.body)):
        await begin_answer(caller, outcome.status, outcome.headers, len(outcome.body))
        await send_part(caller, outcome.body)
        return await end_answer(caller)
    return web.Response(
        status=outcome.status, headers=outcome.headers, body=outcome.body
    )
