"""Has requests with large answers wait for their turn on this host's link."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

from bergamotferry.answer_link import (
    enqueue_answer,
    is_large,
    leave_link,
    may_wait,
    note_fetched,
    take_startable,
)
from bergamotferry.direct_placement import WorkTime
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode

from .clock import now_ns
from .direct_host import DirectHost
from .direct_placing import DirectRequest


@dataclass(slots=True)
class LinkTurn:
    """A turn on the link; ``n_bytes`` is the answer that was fetched in it."""

    n_bytes: int = 0


def has_large_answer(host: DirectHost, request: DirectRequest) -> bool:
    """Return whether answers of a request's route are large for this host's link."""
    work = host.work_times.get(request.route.name)
    return work is not None and is_large(host.link, work.answer_bytes)


@contextlib.asynccontextmanager
async def turn_on_link(
    host: DirectHost, request: DirectRequest
) -> AsyncIterator["LinkTurn | Refused"]:
    """Hold a turn on the link, or yield why there is none in time."""
    if not has_large_answer(host, request):
        yield LinkTurn()
        return
    work = host.work_times[request.route.name]
    objective_ms = float(request.route.latency_objective_ms)
    left_ms, has_come_back = _left_ms(request), request.has_come_back
    if not may_wait(host.link, work.mean_ms, left_ms, objective_ms, has_come_back):
        # Other hosts' links may have room now.
        request.may_return_at_once = True
        yield Refused(ResultCode.QUEUE_FULL, "the link is busy for too long")
        return
    turn = LinkTurn()
    due_in_ms = objective_ms - _passed_ms(work, left_ms) - work.mean_ms
    number, begun = _enqueue(host, work.answer_bytes, due_in_ms)
    try:
        yield await _wait_for(begun, request, work) or turn
    finally:
        del host.link_turns[number]
        going_out_ms = note_fetched(host.link, number, turn.n_bytes)
        # The answer is handed over now, and leaves by the link after this.
        asyncio.get_running_loop().call_later(
            going_out_ms / 1000, _end_turn, host, number
        )


def _enqueue(
    host: DirectHost, n_bytes: float, due_in_ms: float
) -> tuple[int, "asyncio.Future[None]"]:
    number = next(host.link_numbers)
    begun: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    host.link_turns[number] = begun
    enqueue_answer(host.link, number, n_bytes, due_in_ms, _now_ms())
    _begin_turns(host)
    return number, begun


def _end_turn(host: DirectHost, number: int) -> None:
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
    for number in take_startable(host.link, _now_ms()):
        turn = host.link_turns.get(number)
        if turn is not None and not turn.done():
            turn.set_result(None)


def _left_ms(request: DirectRequest) -> float:
    return (request.give_up_ns - now_ns()) / 1e6


def _passed_ms(work: WorkTime, left_ms: float) -> float:
    """Return about how long a caller has waited, here and at other hosts."""
    return max(0.0, work.longest_left_ms - left_ms)


def _now_ms() -> float:
    return now_ns() / 1e6
