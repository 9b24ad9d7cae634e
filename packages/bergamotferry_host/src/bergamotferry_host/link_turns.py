"""Queues requests with large answers for a turn on this host's link.

`bergamotferry.answer_link` decides the order and the time of the turns. A request that
is not expected to get a turn in time is refused at once, since the links of other hosts
may be free.

A request first waits for its turn on its caller's connection. If it took the link's
turn before, the request that its connection answers next could wait for the same turn.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

from bergamotferry.answer_link import (
    LargeAnswer,
    enqueue_answer,
    is_large,
    longest_wait_ms,
    may_wait,
    next_start_delay_ms,
    record_fetched,
    take_startable,
)
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry.upstream_load import (
    WorkTime,
)

from .clock import now_ns
from .direct_host import DirectHost, work_time_of
from .fetch_call import fetching_host_for
from .pipelining import hold_until_turn
from .request_state import DirectRequest, elapsed_ms

# A chosen upstream may leave or become cold while its request waits for the
# cross-region link. The wait is bounded so that the state on which the choice was based
# still holds when the request is sent.
REMOTE_WAIT_MAX_MS = 500.0
# Shortest timer delay; the start of a turn can't be predicted more exactly than this.
TURN_DELAY_MIN_S = 0.01


@dataclass(slots=True)
class LinkTurn:
    """A turn on the link; ``n_bytes`` is the size of the answer fetched in it."""

    n_bytes: int = 0


def has_large_answer(host: DirectHost, request: DirectRequest) -> bool:
    """Return whether the route's answers are large for this host's link."""
    return is_large(host.link, work_time_of(host, request.route).answer_bytes)


@contextlib.asynccontextmanager
async def hold_link_turn(
    host: DirectHost, request: DirectRequest
) -> AsyncIterator["LinkTurn | Refused"]:
    """Hold a turn on the link, or yield the refusal if there is none in time."""
    if not has_large_answer(host, request):
        yield LinkTurn()
        return
    if request.caller is not None:
        await hold_until_turn(request.caller.request)
    work = work_time_of(host, request.route)
    host.link.is_rate_limited = bool(fetching_host_for(host))
    objective_ms = float(request.route.latency_objective_ms)
    time_left_ms, is_caller_retry = _time_left_ms(request), request.is_caller_retry
    answer = LargeAnswer(work.answer_bytes, work.mean_ms)
    if not may_wait(
        host.link, answer, time_left_ms, objective_ms, is_caller_retry, _now_ms()
    ):
        # The link of another host may be free now.
        request.may_retry_immediately = True
        yield Refused(ResultCode.QUEUE_FULL, "the link is busy for too long")
        return
    turn = LinkTurn()
    due_in_ms = objective_ms - _caller_elapsed_ms(work, time_left_ms)
    number, turn_started = _enqueue(host, answer, due_in_ms)
    try:
        yield await _wait_for_turn(turn_started, request, work) or turn
    finally:
        del host.link_turns[number]
        record_fetched(host.link, number, turn.n_bytes, _now_ms())
        _start_turns(host)


def remote_wait_left_ms(host: DirectHost, request: DirectRequest) -> float:
    """Return how long, in ms, a request may still wait for a busy cross-region link."""
    work = work_time_of(host, request.route)
    answer = LargeAnswer(work.answer_bytes, work.mean_ms)
    objective_ms = float(request.route.latency_objective_ms)
    time_left_ms, is_caller_retry = _time_left_ms(request), request.is_caller_retry
    wait_ms = longest_wait_ms(
        host.link, answer, time_left_ms, objective_ms, is_caller_retry
    )
    if not is_caller_retry:
        wait_ms -= elapsed_ms(request)
    return min(REMOTE_WAIT_MAX_MS, max(0.0, wait_ms))


def _enqueue(
    host: DirectHost, answer: LargeAnswer, due_in_ms: float
) -> tuple[int, "asyncio.Future[None]"]:
    number = next(host.link_numbers)
    turn_started: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    host.link_turns[number] = turn_started
    enqueue_answer(host.link, number, answer, due_in_ms, _now_ms())
    _start_turns(host)
    return number, turn_started


async def _wait_for_turn(
    turn_started: "asyncio.Future[None]", request: DirectRequest, work: WorkTime
) -> Refused | None:
    wait_ms = max(0.0, _time_left_ms(request) - work.mean_ms)
    try:
        async with asyncio.timeout(wait_ms / 1000):
            await turn_started
    except TimeoutError:
        return Refused(ResultCode.DEADLINE_EXPIRED_IN_QUEUE, "the link was busy")
    return None


def _start_turns(host: DirectHost) -> None:
    host.link.is_rate_limited = bool(fetching_host_for(host))
    for number in take_startable(host.link, _now_ms()):
        turn_started = host.link_turns.get(number)
        if turn_started is not None and not turn_started.done():
            turn_started.set_result(None)
    _schedule_next_turn(host)


def _schedule_next_turn(host: DirectHost) -> None:
    """Set the timer for the predicted start of the next turn, if any request waits."""
    if host.link_timer is not None:
        host.link_timer.cancel()
        host.link_timer = None
    wait_ms = next_start_delay_ms(host.link, _now_ms())
    if wait_ms is not None:
        loop = asyncio.get_running_loop()
        delay_s = max(TURN_DELAY_MIN_S, wait_ms / 1000)
        host.link_timer = loop.call_later(delay_s, _start_turns, host)


def _time_left_ms(request: DirectRequest) -> float:
    return (request.deadline_ns - now_ns()) / 1e6


def _caller_elapsed_ms(work: WorkTime, time_left_ms: float) -> float:
    """Estimate how long a caller has waited, in ms, here and at other hosts."""
    return max(0.0, work.longest_left_ms - time_left_ms)


def _now_ms() -> float:
    return now_ns() / 1e6
