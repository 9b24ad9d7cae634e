"""Has requests with large answers wait for their turn on this host's link."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from bergamotferry.answer_link import (
    enqueue_answer,
    expected_wait_ms,
    is_large,
    leave_link,
    take_startable,
)
from bergamotferry.direct_placement import WorkTime
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode

from .clock import now_ns
from .direct_host import DirectHost
from .direct_placing import DirectRequest


def has_large_answer(host: DirectHost, request: DirectRequest) -> bool:
    """Return whether answers of a request's route are large for this host's link."""
    work = host.work_times.get(request.route.name)
    return work is not None and is_large(host.link, work.answer_bytes)


@contextlib.asynccontextmanager
async def turn_on_link(
    host: DirectHost, request: DirectRequest
) -> AsyncIterator[Refused | None]:
    """Hold a turn on the link, or yield why there is none in time."""
    if not has_large_answer(host, request):
        yield None
        return
    work = host.work_times[request.route.name]
    if expected_wait_ms(host.link) + work.mean_ms > _left_ms(request):
        yield Refused(ResultCode.QUEUE_FULL, "the link is busy for too long")
        return
    number = next(host.link_numbers)
    turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    host.link_turns[number] = turn
    enqueue_answer(host.link, number, work.answer_bytes)
    _begin_turns(host)
    try:
        yield await _wait_for(turn, request, work)
    finally:
        del host.link_turns[number]
        leave_link(host.link, number)
        _begin_turns(host)


async def _wait_for(
    turn: "asyncio.Future[None]", request: DirectRequest, work: WorkTime
) -> Refused | None:
    wait_ms = max(0.0, _left_ms(request) - work.mean_ms)
    try:
        async with asyncio.timeout(wait_ms / 1000):
            await turn
    except TimeoutError:
        return Refused(ResultCode.DEADLINE_EXPIRED_IN_QUEUE, "the link was busy")
    return None


def _begin_turns(host: DirectHost) -> None:
    for number in take_startable(host.link):
        turn = host.link_turns[number]
        if not turn.done():
            turn.set_result(None)


def _left_ms(request: DirectRequest) -> float:
    return (request.give_up_ns - now_ns()) / 1e6
