"""The dispatcher: the one host that sends work to an upstream.

`dispatch_here` takes a request through admission, checks the host's lease and the grant
again just before anything is written, and passes the answer on. `run_dispatcher`
follows the tables: it orders grants from upstreams, and stops work for those it lost.
"""

import asyncio

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
from bergamotferry.result_codes import ResultCode
from bergamotferry.routing import Owner

from .clock import now_ns
from .dispatcher_table import UpstreamWork
from .exchange import AnswerSink, RequestBody, Served
from .host_state import HostState
from .orders import order_grants
from .run_once import run_once
from .upstream_call import check_owner, send_to_upstream

DISPATCHER_TICK_S = 0.02
NS_PER_MS = 1_000_000


async def dispatch_here(
    state: HostState,
    http: aiohttp.ClientSession,
    head: RequestHead,
    body: RequestBody,
    sink: AnswerSink,
) -> Served | Refused:
    """Run a request on the owner of its shard, for which this host dispatches."""
    owner = check_owner(state, head.shard)
    if isinstance(owner, Refused):
        return owner
    work = state.dispatchers.works.get(owner.session.name)
    if work is None or work.confirmed.get(head.shard) != owner.grant.epoch:
        return Refused(ResultCode.NO_OWNER, "the owner has not confirmed the grant yet")
    deadline_ns = now_ns() + head.deadline_ms * NS_PER_MS
    refusal = await _wait_for_slot(work, head, deadline_ns)
    if refusal is not None:
        return refusal
    work.in_flight[head.shard] = work.in_flight.get(head.shard, 0) + 1
    started_ns = now_ns()
    is_served = False
    task = asyncio.current_task()
    if task is not None:
        work.tasks.add(task)
    try:
        outcome = await _run(state, http, owner, head, body, sink, deadline_ns)
        is_served = isinstance(outcome, Served)
        return outcome
    finally:
        if task is not None:
            work.tasks.discard(task)
        took_ms = (now_ns() - started_ns) / NS_PER_MS if is_served else None
        finish(work.queue, head.request_id, took_ms)
        work.in_flight[head.shard] -= 1
        if not work.in_flight[head.shard]:
            del work.in_flight[head.shard]
        _start_ready(work)


async def run_dispatcher(state: HostState, http: aiohttp.ClientSession) -> None:
    """Follow the tables until cancelled."""
    pending: set[asyncio.Task[None]] = set()
    while True:
        _follow_sessions(state)
        for work in state.dispatchers.works.values():
            if not work.is_ordering and state.has_host_lease:
                task = asyncio.create_task(order_grants(state, http, work))
                pending.add(task)
                task.add_done_callback(pending.discard)
            _start_ready(work)
        await asyncio.sleep(DISPATCHER_TICK_S)


async def _wait_for_slot(
    work: UpstreamWork, head: RequestHead, deadline_ns: int
) -> Refused | None:
    ticket = Ticket(head.request_id, head.account, deadline_ns)
    refusal = enqueue(work.queue, ticket, now_ns())
    if refusal is not None:
        return refusal
    future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    work.started[head.request_id] = future
    _start_ready(work)
    try:
        is_started = await future
    except asyncio.CancelledError:
        withdraw(work.queue, head.request_id)
        finish(work.queue, head.request_id, None)
        raise
    finally:
        work.started.pop(head.request_id, None)
    if is_started:
        return None
    if deadline_ns <= now_ns():
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


async def _run(
    state: HostState,
    http: aiohttp.ClientSession,
    owner: Owner,
    head: RequestHead,
    body: RequestBody,
    sink: AnswerSink,
    deadline_ns: int,
) -> Served | Refused:
    route = state.global_tables.routes.get(f"{head.service}/{head.route}")
    if route is None:
        return Refused(ResultCode.UNKNOWN_ROUTE, "the route was withdrawn")
    if route.is_idempotent:
        return await send_to_upstream(
            state, http, owner, head, body, sink, deadline_ns, None
        )
    return await run_once(state, http, owner, head, body, sink, deadline_ns, route)


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
        is_replaced = session.opened_epoch != works[name].session.opened_epoch
        if session.state == "expired" or is_replaced:
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
    for task in list(work.tasks):
        task.cancel()


def _refuse_waiting(work: UpstreamWork) -> None:
    work.queue.waiting.clear()
    for future in work.started.values():
        if not future.done():
            future.set_result(False)
