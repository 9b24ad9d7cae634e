"""The dispatcher: the one host that sends work to an upstream.

`dispatch_here` takes a request through admission, checks the host's lease and the grant
again just before anything is written, and passes the answer on. `run_dispatcher`
follows the tables: it orders grants from upstreams, and stops work for those it lost.

Work runs in a task of its own. When the upstream is lost the task is cancelled, and the
caller is told with a code; when the caller is gone an idempotent request is cancelled,
while a filing goes on until its outcome is recorded.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

import aiohttp

from bergamotferry.admission import (
    Ticket,
    UpstreamQueue,
    enqueue,
    finish,
    take_ready,
    withdraw,
)
from bergamotferry.messages import RequestHead
from bergamotferry.outcomes import Refused
from bergamotferry.records import Route
from bergamotferry.result_codes import ResultCode

from .clock import now_ns
from .dispatcher_table import UpstreamWork
from .exchange import AnswerSink, RequestBody, Served, UpstreamRequest
from .host_state import HostState
from .orders import order_grants
from .run_once import deliver, read_content, run_once
from .upstream_call import check_owner, open_upstream_session, send_to_upstream

DISPATCHER_TICK_S = 0.02
NS_PER_MS = 1_000_000
# A filing is waited for longer than its caller waits, so that its outcome is recorded.
FILING_GRACE_NS = 30_000_000_000


async def dispatch_here(
    state: HostState,
    http: aiohttp.ClientSession,
    head: RequestHead,
    body: RequestBody,
    sink: AnswerSink,
) -> Served | Refused:
    """Run a request on the owner of its shard, for which this host dispatches."""
    route = state.global_tables.routes.get(f"{head.service}/{head.route}")
    if route is None:
        return Refused(ResultCode.UNKNOWN_ROUTE, "the route was withdrawn")
    deadline_ns = now_ns() + head.deadline_ms * NS_PER_MS
    content = None
    if not route.is_idempotent:
        # Read first, so that a slow caller holds no slot of the upstream.
        read = await read_content(body, route.max_body_bytes, deadline_ns)
        if isinstance(read, Refused):
            return read
        content = read
    owner = check_owner(state, head.shard)
    if isinstance(owner, Refused):
        return owner
    work = state.dispatchers.works.get(owner.session.name)
    if work is None or work.confirmed.get(head.shard) != owner.grant.epoch:
        return Refused(ResultCode.NO_OWNER, "the owner has not confirmed the grant yet")
    ticket = _new_ticket(state, head, route, deadline_ns)
    refusal = await _wait_for_slot(work, ticket)
    if refusal is not None:
        return refusal
    give_up_ns = deadline_ns if route.is_idempotent else deadline_ns + FILING_GRACE_NS
    request = UpstreamRequest(
        owner, route, head, body, deadline_ns, give_up_ns, content
    )
    _begin(work, head)
    if route.is_idempotent:
        return await _run_idempotent(state, http, work, ticket, request, sink)
    return await _run_filing(state, http, work, ticket, request, sink)


async def run_dispatcher(state: HostState, http: aiohttp.ClientSession) -> None:
    """Follow the tables until cancelled."""
    pending: set[asyncio.Task[None]] = set()
    async with open_upstream_session(is_fresh=True) as fresh:
        state.dispatchers.fresh_http = fresh
        while True:
            _follow_sessions(state)
            for work in state.dispatchers.works.values():
                if not work.is_ordering and state.has_host_lease:
                    task = asyncio.create_task(order_grants(state, http, work))
                    pending.add(task)
                    task.add_done_callback(pending.discard)
                _start_ready(work)
            await asyncio.sleep(DISPATCHER_TICK_S)


async def _run_idempotent(
    state: HostState,
    http: aiohttp.ClientSession,
    work: UpstreamWork,
    ticket: Ticket,
    request: UpstreamRequest,
    sink: AnswerSink,
) -> Served | Refused:
    started_ns = now_ns()
    outcome: Served | Refused | None = None
    try:
        send = send_to_upstream(state, http, request, sink)
        outcome = await run_abortable(work, send)
    finally:
        is_served = isinstance(outcome, Served)
        took_ms = (now_ns() - started_ns) / NS_PER_MS if is_served else None
        finish(work.queue, ticket.request_id, took_ms)
        _end(work, request.head)
        _start_ready(work)
    if outcome is not None:
        return outcome
    if request.progress.has_head:
        return Refused(ResultCode.ANSWER_BROKEN, "the owner was lost")
    return Refused(ResultCode.UPSTREAM_FAILED, "the owner was lost")


async def _run_filing(
    state: HostState,
    http: aiohttp.ClientSession,
    work: UpstreamWork,
    ticket: Ticket,
    request: UpstreamRequest,
    sink: AnswerSink,
) -> Served | Refused:
    def free_slot(took_ms: float | None = None) -> None:
        finish(work.queue, ticket.request_id, took_ms)
        _start_ready(work)

    async def send(target: AnswerSink) -> Served | Refused | None:
        started_ns = now_ns()
        outcome: Served | Refused | None = None
        try:
            call = send_to_upstream(state, http, request, target)
            outcome = await run_abortable(work, call)
        finally:
            is_served = isinstance(outcome, Served)
            free_slot((now_ns() - started_ns) / NS_PER_MS if is_served else None)
        return outcome

    task = asyncio.create_task(run_once(state, work, request, send, free_slot))
    state.dispatchers.filings.add(task)
    task.add_done_callback(state.dispatchers.filings.discard)
    task.add_done_callback(lambda _: free_slot())
    task.add_done_callback(lambda _: _end(work, request.head))
    left_s = (request.deadline_ns - now_ns()) / 1e9
    done, _ = await asyncio.wait([task], timeout=max(0.0, left_s))
    if not done:
        # Whether it was sent is not settled yet, so that "not run" can't be said.
        return Refused(ResultCode.OUTCOME_PENDING, "it goes on; send again to learn")
    return await deliver(state, task.result(), sink)


async def run_abortable(
    work: UpstreamWork, send: Coroutine[Any, Any, Served | Refused]
) -> Served | Refused | None:
    """Run a send in a task of its own; None if it was aborted."""
    task = asyncio.create_task(send)
    work.sends.add(task)
    try:
        await asyncio.wait([task])
    finally:
        work.sends.discard(task)
        task.cancel()
    return None if task.cancelled() else task.result()


def _begin(work: UpstreamWork, head: RequestHead) -> None:
    work.in_flight[head.shard] = work.in_flight.get(head.shard, 0) + 1


def _end(work: UpstreamWork, head: RequestHead) -> None:
    work.in_flight[head.shard] -= 1
    if not work.in_flight[head.shard]:
        del work.in_flight[head.shard]


def _new_ticket(
    state: HostState, head: RequestHead, route: Route, deadline_ns: int
) -> Ticket:
    # An earlier attempt of the same request may still run here, so ids are our own.
    number = next(state.dispatchers.ticket_numbers)
    return Ticket(f"{head.request_id}/{number}", head.account, deadline_ns)


async def _wait_for_slot(work: UpstreamWork, ticket: Ticket) -> Refused | None:
    refusal = enqueue(work.queue, ticket, now_ns())
    if refusal is not None:
        return refusal
    future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    work.started[ticket.request_id] = future
    _start_ready(work)
    try:
        is_started = await future
    except asyncio.CancelledError:
        withdraw(work.queue, ticket.request_id)
        finish(work.queue, ticket.request_id, None)
        _start_ready(work)
        raise
    finally:
        work.started.pop(ticket.request_id, None)
    if is_started:
        return None
    if ticket.deadline_ns <= now_ns():
        return Refused(ResultCode.DEADLINE_EXPIRED_IN_QUEUE, "waited too long")
    return Refused(ResultCode.NOT_DISPATCHER, "")


def _start_ready(work: UpstreamWork) -> None:
    started, expired = take_ready(work.queue, now_ns())
    for ticket in started:
        future = work.started.get(ticket.request_id)
        if future is not None and not future.done():
            future.set_result(True)
    for ticket in expired:
        future = work.started.get(ticket.request_id)
        if future is not None and not future.done():
            future.set_result(False)


def _follow_sessions(state: HostState) -> None:
    tables = state.own_tables
    works = state.dispatchers.works
    for name, dispatcher in tables.dispatchers.items():
        session = tables.sessions.get(name)
        if session is None or dispatcher.host != state.host.name:
            continue
        work = works.get(name)
        if work is None or work.epoch != dispatcher.epoch:
            _drop_work(state, name)
            works[name] = UpstreamWork(
                session, dispatcher.epoch, UpstreamQueue(session.n_slots)
            )
        if session.state == "expired":
            _abort_work(works[name])
        elif session.state != "serving" or dispatcher.state != "serving":
            _refuse_waiting(works[name])
    for name in list(works):
        known = tables.dispatchers.get(name)
        if known is None or known.host != state.host.name:
            _drop_work(state, name)


def _drop_work(state: HostState, name: str) -> None:
    work = state.dispatchers.works.pop(name, None)
    if work is not None:
        _abort_work(work)


def _abort_work(work: UpstreamWork) -> None:
    _refuse_waiting(work)
    for task in list(work.sends):
        task.cancel()


def _refuse_waiting(work: UpstreamWork) -> None:
    work.queue.waiting.clear()
    for future in work.started.values():
        if not future.done():
            future.set_result(False)
