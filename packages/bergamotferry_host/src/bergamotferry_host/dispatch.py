"""The dispatcher: the one host that sends requests to an upstream.

`dispatch_here` admits a request, rechecks the host's lease and the grant just before
anything is written to the upstream, and relays the answer. `run_dispatcher` follows the
replicated tables: it sends upstreams orders for grants and releases, and aborts the
requests of upstreams that this host no longer dispatches for.

Each send runs in a task of its own. When the host loses the upstream, the task is
cancelled and the caller gets a result code. When the caller disconnects, an idempotent
request is cancelled, while a filing (a non-idempotent request) continues until its
outcome is recorded.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

import aiohttp

from bergamotferry.admission import (
    Ticket,
    enqueue,
    finish,
    take_ready,
    withdraw,
)
from bergamotferry.hot_keys import count_request
from bergamotferry.messages import RequestHead
from bergamotferry.outcomes import Refused
from bergamotferry.protection.quarantine import request_fingerprint
from bergamotferry.records import Route
from bergamotferry.result_codes import ResultCode

from .background import report_failure, start_task
from .clock import now_ns
from .cold_watch import (
    record_answer,
    record_slowness,
    sleep_and_record_delay,
    total_paused_ms,
)
from .crash_watch import current_verdict, record_crash_if_down, record_good_run
from .decision_log import log_dispatch
from .dispatcher_sync import resolve_wait, sync_with_tables
from .dispatcher_table import UpstreamWork
from .exchange import AnswerSink, RequestBody, Served, UpstreamRequest
from .host_state import HostState
from .observations import record_latency
from .orders import order_grants
from .run_once import read_filing_body, recorded_outcome, run_once, write_result
from .upstream_call import check_owner_of_key, open_upstream_client, send_to_upstream

DISPATCHER_TICK_S = 0.02
NS_PER_MS = 1_000_000
# The dispatcher waits for the answer to a filing past the caller's deadline, so that
# the outcome is recorded.
FILING_GRACE_NS = 30_000_000_000
_TIMED_OUT = ResultCode.DEADLINE_EXPIRED_RUNNING


@dataclass(slots=True)
class DispatchTrace:
    """Fields of the decision log line of a dispatched request."""

    started_ns: int
    upstream: str = ""
    epoch: int = 0
    queue_ms: float = 0.0


async def dispatch_here(
    state: HostState,
    head: RequestHead,
    body: RequestBody,
    sink: AnswerSink,
) -> Served | Refused:
    """Run a request on the owner of its shard, if this host dispatches for it.

    Every decision is logged, including refusals.
    """
    trace = DispatchTrace(started_ns=now_ns())
    outcome = await _dispatch(state, head, body, sink, trace)
    log_dispatch(
        head,
        trace.upstream,
        trace.epoch,
        trace.queue_ms,
        (now_ns() - trace.started_ns) / NS_PER_MS,
        outcome if isinstance(outcome, Refused) else None,
    )
    return outcome


async def _dispatch(
    state: HostState,
    head: RequestHead,
    body: RequestBody,
    sink: AnswerSink,
    trace: "DispatchTrace",
) -> Served | Refused:
    """Check, admit and run a request, and fill ``trace`` for its log line."""
    if not state.is_caught_up:
        # Routes and home regions may have changed since the last log entry that this
        # host has applied.
        return Refused(ResultCode.HOST_NOT_READY, "the host is catching up")
    route = state.global_tables.routes.get(f"{head.service}/{head.route}")
    if route is None:
        return Refused(ResultCode.UNKNOWN_ROUTE, "the route was withdrawn")
    if not route.is_idempotent and not head.idempotency_key:
        # The entry host may have an older revision in which the route was idempotent.
        return Refused(ResultCode.MISSING_IDEMPOTENCY_KEY, "send Idempotency-Key")
    deadline_ns = now_ns() + head.deadline_ms * NS_PER_MS
    # Checked before the body is read and again afterwards: the owner may change while a
    # slow body arrives.
    owner = check_owner_of_key(state, head)
    if isinstance(owner, Refused):
        return owner
    content = await read_filing_body(body, route, deadline_ns)
    if isinstance(content, Refused):
        return content
    owner = check_owner_of_key(state, head)
    if isinstance(owner, Refused):
        return owner
    if content is not None:
        record = recorded_outcome(state, head, content)
        if record is not None:
            return await write_result(state, record, sink)
    count_request(state.dispatchers.hot_keys, head, owner.session.name, now_ns())
    grant_key = (owner.grant.shard, owner.grant.epoch)
    trace.upstream, trace.epoch = owner.session.name, owner.grant.epoch
    work = state.dispatchers.work_by_upstream.get(owner.session.name)
    if work is None or work.confirmed.get(grant_key[0]) != grant_key[1]:
        return Refused(ResultCode.NO_OWNER, "the owner has not confirmed the grant yet")
    queued_ns = now_ns()
    ticket = await _admit(state, work, head, route, content, deadline_ns)
    trace.queue_ms = (now_ns() - queued_ns) / NS_PER_MS
    if isinstance(ticket, Refused):
        return ticket
    response_deadline_ns = (
        deadline_ns if route.is_idempotent else deadline_ns + FILING_GRACE_NS
    )
    request = UpstreamRequest(
        owner, route, head, body, deadline_ns, response_deadline_ns, content
    )
    work.in_flight[grant_key] = work.in_flight.get(grant_key, 0) + 1
    work.n_bulk_in_flight += route.traffic_class == "bulk"
    if route.is_idempotent:
        return await _run_idempotent(state, work, ticket, request, sink)
    return await _run_filing(state, work, ticket, request, sink)


async def run_dispatcher(state: HostState, http: aiohttp.ClientSession) -> None:
    """Follow the tables of the data centre until cancelled.

    Every ``DISPATCHER_TICK_S`` the queues are matched with the sessions, due orders are
    sent, and requests that waited for a slot are started.
    """
    order_tasks: set[asyncio.Task[None]] = set()
    async with (
        open_upstream_client() as kept,
        open_upstream_client(is_fresh=True) as fresh,
    ):
        state.dispatchers.kept_http = kept
        state.dispatchers.fresh_http = fresh
        policies_off = state.settings.request_policies_off
        state.dispatchers.policies_off = policies_off
        state.dispatchers.retry_budget.is_enabled = "retry-budget" not in policies_off
        while True:
            sync_with_tables(state)
            for work in state.dispatchers.work_by_upstream.values():
                is_settled = work.settled_index == state.own_group.applied_index
                if not (work.is_ordering or is_settled) and state.has_host_lease:
                    start_task(order_grants(state, http, work), order_tasks)
                _start_ready_requests(work)
            await sleep_and_record_delay(state, DISPATCHER_TICK_S)


async def _admit(
    state: HostState,
    work: UpstreamWork,
    head: RequestHead,
    route: Route,
    content: bytes | None,
    deadline_ns: int,
) -> Ticket | Refused:
    """Wait for a slot; a suspected request waits until it can run alone."""
    fingerprint = request_fingerprint(
        head.service, head.route, head.key, head.range_header, content
    )
    while True:
        verdict = current_verdict(state, fingerprint)
        if verdict == "quarantined":
            return Refused(ResultCode.REQUEST_QUARANTINED, "it has ended upstreams")
        # An earlier attempt with the same request id may still run, so the ticket's id
        # has a number of its own.
        ticket_number = next(state.dispatchers.ticket_numbers)
        ticket = Ticket(
            f"{head.request_id}/{ticket_number}",
            head.account,
            deadline_ns,
            route.traffic_class,
            verdict == "suspected",
        )
        refusal = await _wait_for_slot(work, ticket)
        if refusal is not None:
            return refusal
        # The verdict may have changed while the request waited.
        verdict = current_verdict(state, fingerprint)
        if verdict == "clear" or (verdict == "suspected" and ticket.is_exclusive):
            work.fingerprints[ticket.request_id] = fingerprint
            return ticket
        finish(work.queue, ticket.request_id, None)
        _start_ready_requests(work)


async def _send(
    state: HostState,
    work: UpstreamWork,
    ticket: Ticket,
    request: UpstreamRequest,
    sink: AnswerSink,
) -> Served | Refused | None:
    """Send a request that holds a slot, then free the slot; None if it was aborted."""
    started_ns, paused_before_ms = now_ns(), total_paused_ms(state)
    service_time_ms = None
    try:
        call = send_to_upstream(state, request, sink)
        outcome = await run_abortable(work, call)
        if isinstance(outcome, Served):
            took_ms = (now_ns() - started_ns) / NS_PER_MS
            # A pause of this host says nothing about how long the upstream takes.
            service_time_ms = took_ms - (total_paused_ms(state) - paused_before_ms)
            record_answer(state, work, ticket, took_ms, outcome.status)
            record_good_run(state, work, ticket)
        elif request.progress.is_reset:
            await record_crash_if_down(state, work)
        elif outcome is not None and outcome.code is _TIMED_OUT:
            # The answer would have taken at least as long as the dispatcher waited.
            record_slowness(state, work, ticket, (now_ns() - started_ns) / NS_PER_MS)
        record_latency(state, work, request, outcome, started_ns)
        return outcome
    finally:
        finish(work.queue, ticket.request_id, service_time_ms)
        work.fingerprints.pop(ticket.request_id, None)
        _start_ready_requests(work)


async def _run_idempotent(
    state: HostState,
    work: UpstreamWork,
    ticket: Ticket,
    request: UpstreamRequest,
    sink: AnswerSink,
) -> Served | Refused:
    try:
        outcome = await _send(state, work, ticket, request, sink)
    finally:
        _release_in_flight(work, request)
    if outcome is not None:
        return outcome
    if request.progress.has_head:
        return Refused(ResultCode.ANSWER_BROKEN, "the owner was lost")
    return Refused(ResultCode.UPSTREAM_FAILED, "the owner was lost")


async def _run_filing(
    state: HostState,
    work: UpstreamWork,
    ticket: Ticket,
    request: UpstreamRequest,
    sink: AnswerSink,
) -> Served | Refused:
    def free_slot() -> None:
        finish(work.queue, ticket.request_id, None)
        work.fingerprints.pop(ticket.request_id, None)
        _start_ready_requests(work)

    async def send(target: AnswerSink) -> Served | Refused | None:
        return await _send(state, work, ticket, request, target)

    task = asyncio.create_task(run_once(state, work, request, send, free_slot))
    state.dispatchers.background_tasks.add(task)
    task.add_done_callback(state.dispatchers.background_tasks.discard)
    # The caller may have disconnected before the task ends, so that no code awaits
    # its result.
    task.add_done_callback(report_failure)
    task.add_done_callback(lambda _: free_slot())
    task.add_done_callback(lambda _: _release_in_flight(work, request))
    time_left_s = (request.deadline_ns - now_ns()) / 1e9
    done, _ = await asyncio.wait([task], timeout=max(0.0, time_left_s))
    if not done:
        # The filing may still be sent, so the refusal must not report "not run".
        return Refused(ResultCode.OUTCOME_PENDING, "it goes on; send again to learn")
    return await write_result(state, task.result(), sink)


async def run_abortable(
    work: UpstreamWork, send: Coroutine[Any, Any, Served | Refused]
) -> Served | Refused | None:
    """Run a send in a task of its own, which `UpstreamWork` lists until it ends.

    Returns
    -------
    Served, Refused or None
        None if the task was aborted.
    """
    task = asyncio.create_task(send)
    work.send_tasks.add(task)
    try:
        await asyncio.wait([task])
    finally:
        work.send_tasks.discard(task)
        if not task.done():
            # This coroutine was cancelled, so that no code awaits the task any more.
            task.cancel()
            task.add_done_callback(report_failure)
    return None if task.cancelled() else task.result()


def _release_in_flight(work: UpstreamWork, request: UpstreamRequest) -> None:
    work.n_bulk_in_flight -= request.route.traffic_class == "bulk"
    grant_key = (request.owner.grant.shard, request.owner.grant.epoch)
    work.in_flight[grant_key] -= 1
    if not work.in_flight[grant_key]:
        del work.in_flight[grant_key]


async def _wait_for_slot(work: UpstreamWork, ticket: Ticket) -> Refused | None:
    refusal = enqueue(work.queue, ticket, now_ns())
    if refusal is not None:
        return refusal
    future: asyncio.Future[Refused | None] = asyncio.get_running_loop().create_future()
    work.slot_futures[ticket.request_id] = future
    _start_ready_requests(work)
    try:
        return await future
    except asyncio.CancelledError:
        withdraw(work.queue, ticket.request_id)
        finish(work.queue, ticket.request_id, None)
        _start_ready_requests(work)
        raise
    finally:
        work.slot_futures.pop(ticket.request_id, None)


def _start_ready_requests(work: UpstreamWork) -> None:
    started, expired = take_ready(work.queue, now_ns())
    for ticket in started:
        resolve_wait(work, ticket.request_id, None)
    too_late = Refused(ResultCode.DEADLINE_EXPIRED_IN_QUEUE, "waited too long")
    for ticket in expired:
        resolve_wait(work, ticket.request_id, too_late)
