"""Sends a request until an upstream answers or no further attempt is allowed.

A request ends in one of three ways:

- An upstream answered, and its answer is returned unchanged.
- No upstream ran the request, and the refusal says so.
- An upstream may have run the request, and the refusal says that this is unknown.
"""

import asyncio

import aiohttp

from bergamotferry.answer_link import max_delay_ms
from bergamotferry.fleet_metrics import (
    record_payload,
    record_placement_time,
    record_send,
)
from bergamotferry.hedging import hedge_delay_ms, late_hedge_delay_ms
from bergamotferry.memory.upstream_bodies import counted_bytes
from bergamotferry.outcomes import Refused
from bergamotferry.protection.crash_records import logged_fingerprint
from bergamotferry.result_codes import ResultCode
from bergamotferry.upstream_load import record_ended, record_report
from bergamotferry.window_budget import take_retry

from .clock import now_ns
from .direct_call import NOT_WRITTEN, DirectSend, SendOutcome, send_direct
from .direct_crashes import (
    ends_known_of,
    quarantine_refusal,
    record_run,
    wait_for_end_check,
)
from .direct_host import (
    DirectHost,
    Upstream,
    distance_of,
    retry_budget_of,
)
from .direct_placing import reserve_hedge, reserve_upstream
from .fetch_call import FETCH_REQUEST_BODY_MAX_BYTES, fetch_answer, fetching_host_for
from .link_turns import has_large_answer, hold_link_turn, remote_wait_left_ms
from .logs import log_routine
from .protection.run_permit import hold_run_permit, lacks_run_permit
from .quota.spending import (
    allow_retry,
    may_write,
    use_for_fetch,
    void_permit_refusal,
)
from .refused_sends import log_refused_sends
from .request_state import (
    DirectRequest,
    Reservation,
    elapsed_ms,
    time_to_answer_ms,
)
from .retry_rules import (
    has_ended_upstreams,
    is_unproved_refusal,
    may_retry,
    may_still_send,
    refusal_or_unknown,
    should_retry_answer,
)
from .send_results import (
    record_refused_send,
    record_request_result,
    record_upstream_result,
)
from .service_load.work_reports import count_first_send
from .spill.placing import loads_age_ms, place_reason, record_place

# Results that prove that nothing was sent.
UNSENT_RESULTS = ("no_connection", "no_process", "too_late")


async def serve_request(
    host: DirectHost, http: aiohttp.ClientSession, request: DirectRequest
) -> SendOutcome | Refused:
    """Send a request in its turn on the link; return the answer or a refusal."""
    refusal = quarantine_refusal(host, request)
    if refusal is not None:
        return refusal
    async with hold_link_turn(host, request) as turn:
        if isinstance(turn, Refused):
            return turn
        try:
            outcome = await _send_until_answered(host, http, request)
        finally:
            if not request.route.is_idempotent:
                log_refused_sends(request.request_id, request.refused_sends)
        if is_unproved_refusal(outcome, request):
            detail = f"status {outcome.status}, and it may have run"
            return Refused(ResultCode.UPSTREAM_FAILED, detail)
        if isinstance(outcome, SendOutcome):
            # A body that was streamed is already sent and not in `outcome.body`.
            turn.n_bytes = len(outcome.body)
        return outcome


async def _send_until_answered(
    host: DirectHost, http: aiohttp.ClientSession, request: DirectRequest
) -> SendOutcome | Refused:
    while True:
        refusal = quarantine_refusal(host, request)
        refusal = refusal or await _permit_refusal(host, request)
        if refusal is not None:
            return refusal_or_unknown(request, refusal)
        if not may_still_send(host, request):
            stopping = Refused(ResultCode.HOST_STOPPING, "the answer may come too late")
            return refusal_or_unknown(request, stopping)
        if request.n_delivered and not take_retry(
            retry_budget_of(host, request.service.name),
            now_ns(),
            request.is_caller_retry,
        ):
            shed = Refused(ResultCode.UPSTREAM_SHED, "no repeat is left")
            return refusal_or_unknown(request, shed)
        outcome = await _send_with_permit(host, http, request)
        if outcome is None:
            continue
        if isinstance(outcome, Refused):
            return refusal_or_unknown(request, outcome)
        if outcome.result == "answered" and not should_retry_answer(request, outcome):
            return outcome
        if not may_retry(request) or has_ended_upstreams(host, request, outcome):
            if outcome.result == "answered":
                return outcome
            is_late = outcome.result == "too_late"
            code = ResultCode.QUEUE_FULL if is_late else ResultCode.UPSTREAM_SHED
            refusal = Refused(code, request.last_detail)
            return refusal_or_unknown(request, refusal)


async def _send_with_permit(
    host: DirectHost, http: aiohttp.ClientSession, request: DirectRequest
) -> SendOutcome | Refused | None:
    """Send a request once; one under suspicion runs in one place at a time.

    Returns None if it came under suspicion before it was sent.
    """
    async with hold_run_permit(host, request) as refusal:
        if refusal is not None:
            return refusal
        reservation = await reserve_upstream(host, http, request)
        if isinstance(reservation, Refused):
            return reservation
        if lacks_run_permit(host, request):
            record_ended(reservation.upstream.load, reservation.due_ns)
            return None
        request.is_run_open, request.lost_upstream = True, ""
        outcome = await _send_hedged(host, http, request, reservation)
        await wait_for_end_check(host, request)
        request.is_run_open = bool(request.lost_upstream)
        return outcome


async def _permit_refusal(host: DirectHost, request: DirectRequest) -> Refused | None:
    """Return the refusal of a request that may not be sent for its account's cap."""
    refusal = await allow_retry(
        host,
        request.permit,
        request.account,
        time_to_answer_ms(host, request),
        request.request_id,
    )
    return refusal or void_permit_refusal(request.permit)


async def _send_hedged(
    host: DirectHost,
    http: aiohttp.ClientSession,
    request: DirectRequest,
    reservation: Reservation,
) -> SendOutcome:
    """Send to an upstream, and to a second one if the first takes too long."""
    # Decided once: an answer is only streamed if no other send may answer.
    may_hedge = _may_hedge(host, request)
    first = _start_send(host, http, request, reservation, may_hedge)
    sends = {first}
    try:
        if not may_hedge:
            await asyncio.wait(sends)
            return first.result()
        second = await _wait_for_hedge(host, http, request, first, reservation)
        if second is not None:
            host.metrics.n_hedges += 1
            sends.add(_start_send(host, http, request, second, may_hedge))
        return await _first_success(request, sends)
    finally:
        for send in sends:
            send.cancel()
        await asyncio.gather(*sends, return_exceptions=True)


async def _wait_for_hedge(
    host: DirectHost,
    http: aiohttp.ClientSession,
    request: DirectRequest,
    first: "asyncio.Task[SendOutcome]",
    reservation: Reservation,
) -> Reservation | None:
    """Wait for the first send; try to reserve a hedge if that send is late.

    The answer to the hedge is wanted within the route's latency objective. If none can
    be expected by then, a later hedge is reserved that only has to meet the deadline.
    Returns None if the first send ended or no hedge was reserved.
    """
    objective_ms = float(request.route.latency_objective_ms)
    delay_ms = hedge_delay_ms(
        objective_ms,
        elapsed_ms(request),
        reservation.expected_ms,
        max_delay_ms(host.link),
    )
    done, _ = await asyncio.wait({first}, timeout=delay_ms / 1000)
    if done or _answering_send(request) is not None:
        return None
    second = await reserve_hedge(host, http, request, objective_ms)
    if second is not None or first.done():
        return second
    delay_ms = late_hedge_delay_ms(objective_ms, elapsed_ms(request))
    done, _ = await asyncio.wait({first}, timeout=delay_ms / 1000)
    if done or _answering_send(request) is not None:
        return None
    within_ms = (request.deadline_ns - request.began_ns) / 1e6
    return await reserve_hedge(host, http, request, within_ms)


def _may_hedge(host: DirectHost, request: DirectRequest) -> bool:
    return (
        request.route.is_idempotent
        and not request.service.is_sharded
        and request.n_maybe_run == 0
        and request.route.n_attempts_max > 1
        and not has_large_answer(host, request)
        and ends_known_of(host, request).n_ends == 0
    )


def _start_send(
    host: DirectHost,
    http: aiohttp.ClientSession,
    request: DirectRequest,
    reservation: Reservation,
    may_hedge: bool,
) -> "asyncio.Task[SendOutcome]":
    """Start a task that sends the request, and frees the reservation when it ends."""
    upstream, n_bytes = reservation.upstream, counted_bytes(len(request.body))
    upstream.n_body_bytes += n_bytes
    task = asyncio.create_task(_send(host, http, request, reservation, may_hedge))

    def on_end(_: "asyncio.Task[SendOutcome]") -> None:
        record_ended(upstream.load, reservation.due_ns)
        upstream.n_body_bytes -= n_bytes

    task.add_done_callback(on_end)
    return task


async def _first_success(
    request: DirectRequest, sends: "set[asyncio.Task[SendOutcome]]"
) -> SendOutcome:
    """Return the first answer that is not a failure, or else the last outcome.

    The outcome of a send that has begun to answer is final, whatever it is.
    """
    pending = set(sends)
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for send in done:
            outcome = send.result()
            answering = _answering_send(request)
            is_success = outcome.result == "answered" and outcome.status < 500
            if send is answering or (answering is None and is_success):
                return outcome
        if not pending:
            return outcome


def _answering_send(request: DirectRequest) -> "asyncio.Task[SendOutcome] | None":
    """Return the send whose answer has begun, after which no other one may follow."""
    return request.caller.sender if request.caller is not None else None


async def _send(
    host: DirectHost,
    http: aiohttp.ClientSession,
    request: DirectRequest,
    reservation: Reservation,
    may_hedge: bool,
) -> SendOutcome:
    sent_ns = now_ns()
    upstream = reservation.upstream
    load = upstream.load
    count_first_send(host, request)
    if request.n_sends == 0:
        record_placement_time(host.metrics, request.route.kind, elapsed_ms(request))
    request.n_sends += 1
    request.n_sends_by_address[upstream.row.address] += 1
    if not request.service.is_sharded:
        request.excluded.add(upstream.row.name)
    known = ends_known_of(host, request)
    outcome: SendOutcome | None = None
    try:
        outcome = await _send_once(host, http, request, upstream, may_hedge)
        if outcome.report is not None:
            # The upstream no longer runs the request whose answer carries the report.
            reported_ns = outcome.head_ns or now_ns()
            record_report(load, outcome.report, load.n_in_flight - 1, reported_ns)
        return outcome
    finally:
        result = outcome.result if outcome is not None else "cancelled"
        took_ms = (now_ns() - sent_ns) / 1e6
        record_request_result(request, upstream, result, outcome)
        if outcome is not None:
            record_refused_send(host, request, upstream, outcome)
        record_run(host, request, upstream, outcome, known, sent_ns)
        record_upstream_result(host, request, reservation, result, outcome, sent_ns)
        record_send(host.metrics, upstream.row.data_centre, result, took_ms)
        n_answer_bytes = outcome.n_bytes if outcome is not None else 0
        record_place(host, request, upstream, n_answer_bytes)
        record_payload(
            host.metrics,
            distance_of(host.settings, upstream.row.data_centre),
            len(request.body),
            n_answer_bytes,
        )
        log_routine(
            "sent",
            request_id=request.request_id,
            route=request.route.name,
            upstream=upstream.row.name,
            upstream_data_centre=upstream.row.data_centre,
            address=upstream.row.address,
            connection=outcome.connection if outcome is not None else "",
            n_sends=request.n_sends,
            result=result,
            detail=outcome.detail if outcome is not None else "",
            status=outcome.status if outcome is not None else 0,
            size_bytes=n_answer_bytes,
            waited_ms=round((sent_ns - request.began_ns) / 1e6, 1),
            took_ms=round(took_ms, 1),
            n_queued=round(reservation.n_queued, 1),
            report_age_ms=reservation.report_age_ms,
            place=place_reason(request),
            loads_age_ms=loads_age_ms(host, request.service.name),
            through=outcome.through if outcome is not None else "",
            revision=host.revision,
            account=request.account.name if request.account is not None else "",
            fingerprint=logged_fingerprint(request.fingerprint),
        )


async def _send_once(
    host: DirectHost,
    http: aiohttp.ClientSession,
    request: DirectRequest,
    upstream: Upstream,
    may_hedge: bool,
) -> SendOutcome:
    """Send to an upstream, through a control host if the answer is large."""
    send = DirectSend(
        request.method,
        request.target,
        upstream.row.address,
        upstream.row.name,
        request.request_id,
        request.headers,
        request.body,
        time_to_answer_ms(host, request),
        distance_of(host.settings, upstream.row.data_centre),
        request.caller,
        may_hedge,
        may_write=lambda: may_write(request.permit),
    )
    control_host = fetching_host_for(host)
    if control_host and _may_fetch(host, request):
        outcome = await _fetch(host, request, control_host, send)
        if outcome is not None:
            outcome.connection = "fetched"
            return outcome
    return await send_direct(http, host.settings.headers, send)


async def _fetch(
    host: DirectHost, request: DirectRequest, control_host: str, send: DirectSend
) -> SendOutcome | None:
    """Have a control host send a request; return None if this host should send it."""
    wait_ms = remote_wait_left_ms(host, request)
    with use_for_fetch(request.permit) as use:
        if not use.is_allowed:
            return SendOutcome("too_late", NOT_WRITTEN)
        outcome = await fetch_answer(host, control_host, send, wait_ms)
        # Without an outcome this host sends the request, which counts then.
        use.was_sent = outcome is not None and outcome.result not in UNSENT_RESULTS
        return outcome


def _may_fetch(host: DirectHost, request: DirectRequest) -> bool:
    """Return whether a control host may fetch the answer to a request.

    If the link to the control host breaks, it is unknown whether the request ran.
    Therefore only idempotent requests are allowed.
    """
    is_plain = (
        request.method != "HEAD" and len(request.body) <= FETCH_REQUEST_BODY_MAX_BYTES
    )
    is_idempotent = request.route.is_idempotent
    return is_plain and is_idempotent and has_large_answer(host, request)
