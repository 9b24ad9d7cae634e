"""Hands answers to callers; large ones go out at the pace of the host's link."""

import asyncio

from aiohttp import web

from bergamotferry.answer_link import PART_BYTES, AnswerLink, is_large, take_part

from .clock import now_ns
from .direct_call import SendOutcome


async def send_answer(
    link: AnswerLink, request: web.Request, outcome: SendOutcome, ends_connection: bool
) -> web.StreamResponse:
    """Return the response that carries an answer; a large one has been sent by then.

    Raises
    ------
    ConnectionError
        If the caller left before a large answer was out.
    """
    if not is_large(link, len(outcome.body)):
        response = web.Response(
            status=outcome.status, headers=outcome.headers, body=outcome.body
        )
        if ends_connection:
            response.force_close()
        return response
    large = web.StreamResponse(status=outcome.status, headers=outcome.headers)
    large.content_length = len(outcome.body)
    if ends_connection:
        large.force_close()
    await large.prepare(request)
    for start in range(0, len(outcome.body), PART_BYTES):
        part = outcome.body[start : start + PART_BYTES]
        await large.write(part)
        pause_ms = take_part(link, len(part), now_ns() / 1e6)
        if start + PART_BYTES < len(outcome.body):
            await asyncio.sleep(pause_ms / 1000)
    await large.write_eof()
    return large
