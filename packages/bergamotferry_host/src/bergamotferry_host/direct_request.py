"""Handles a caller's request: route lookup, body, and the answer or refusal."""

import asyncio
import contextlib
import random

import aiohttp
from aiohttp import web

from bergamotferry.caller_retry_pause import FULL_SPREAD_S, caller_retry_pause_s
from bergamotferry.configuration import N_SHARD_KEYS, choose_service, find_route
from bergamotferry.fleet_metrics import NO_ROUTE, count_answer
from bergamotferry.memory.ledger import Holding, give_back
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import (
    RESULT_CODE_TABLE,
    ResultCode,
    refusal_cause,
)
from bergamotferry.stop_admission import record_answer_time
from bergamotferry.upstream_load import elapsed_before_ms, record_arrival
from bergamotferry.window_budget import record_request

from .accounts.caller_identity import identify_request, upstream_headers
from .accounts.state_age import state_age_ms
from .answer_sending import send_answer
from .answer_streaming import CallerAnswer, CallerLeftError, break_off_answer
from .clock import now_ns
from .direct_candidates import pause_left_ms
from .direct_crashes import quarantine_pause_s
from .direct_host import (
    DirectHost,
    answer_times_of,
    record_key_request,
    retry_budget_of,
    work_time_of,
)
from .direct_sending import serve_request
from .http_body import read_body
from .logs import log_routine
from .pipelining import arrived_ns, has_begun_behind, hold_until_turn
from .quota.spending import allow_by_cap, release_permit
from .quota.state import Permit
from .request_state import DirectRequest
from .service_load.work_reports import count_arrival, count_refusal

# A host that has no configuration this long after its start counts as cut off from the
# control hosts, and refuses requests at once.
STARTUP_S = 2.0
# Longest wait of a request for the first configuration, as a share of the caller's time
# left. The rest is left for a caller retry at another host.
CONFIGURATION_WAIT_SHARE = 0.4
# Statuses of refusals that the caller can't mend by sending the same request again at
# once, on any host. All other refusals of requests that have not run are answered 503.
CALLER_FAULTS = (400, 401, 404, 413, 429, 431)
RETRIED_STATUSES = (429, 503)
# Time that a caller is assumed to have left if its route is unknown.
ASSUMED_TIME_LEFT_S = 1.0


async def answer_request(
    host: DirectHost, http: aiohttp.ClientSession, request: web.Request
) -> web.StreamResponse:
    """Handle one request of a caller and return the response."""
    began_ns = arrived_ns(request)
    host.n_in_flight += 1
    body, answers = Holding(host.memory, "body"), Holding(host.memory, "answer")
    permit = Permit()
    try:
        accepted = await _accept(host, request, began_ns, body, permit)
        if isinstance(accepted, Refused):
            return _refusal_response(host, request, accepted, began_ns, None)
        if not accepted.route.is_idempotent:
            # It must not be sent if an earlier answer closes the connection.
            await hold_until_turn(request)
        caller = CallerAnswer(
            host.link,
            request,
            lambda: host.is_stopping and not has_begun_behind(request),
            answers,
        )
        accepted.caller = caller
        return await _serve(host, http, accepted, caller)
    finally:
        give_back(body)
        give_back(answers)
        release_permit(host.quota, permit)
        host.n_in_flight -= 1


async def _serve(
    host: DirectHost,
    http: aiohttp.ClientSession,
    accepted: DirectRequest,
    caller: CallerAnswer,
) -> web.StreamResponse:
    """Serve an accepted request; return the response, which may already be sent."""
    try:
        outcome = await serve_request(host, http, accepted)
        if isinstance(outcome, Refused):
            return _respond_refused(host, accepted, caller, outcome)
        is_failure = outcome.status >= 500
        code = ResultCode.UPSTREAM_FAILED if is_failure else ResultCode.SERVED
        took_ms = _elapsed_ms(accepted.began_ns)
        count_answer(host.metrics, accepted.route.kind, code, took_ms)
        record_answer_time(answer_times_of(host, accepted.route), took_ms)
        if caller.response is not None:
            return caller.response
        return await send_answer(caller, outcome)
    except CallerLeftError as error:
        log_routine("caller left", request_id=accepted.request_id, why=str(error))
        return break_off_answer(caller)


def _respond_refused(
    host: DirectHost,
    accepted: DirectRequest,
    caller: CallerAnswer,
    outcome: Refused,
) -> web.StreamResponse:
    """Return a refusal, or close the connection if an answer's head was sent."""
    if not caller.has_begun:
        return _refusal_response(
            host, caller.request, outcome, accepted.began_ns, accepted
        )
    took_ms = _elapsed_ms(accepted.began_ns)
    count_answer(host.metrics, accepted.route.kind, outcome.code, took_ms)
    log_routine(
        "answer broken off",
        request_id=accepted.request_id,
        route=accepted.route.name,
        code=int(outcome.code),
        detail=outcome.detail,
        n_left=caller.n_left,
        took_ms=round(took_ms, 1),
    )
    return break_off_answer(caller)


async def _accept(
    host: DirectHost,
    request: web.Request,
    began_ns: int,
    holding: Holding,
    permit: Permit,
) -> DirectRequest | Refused:
    """Find the route of a request and read its body."""
    if host.configuration.version == 0:
        await _wait_for_configuration(host, request)
    if host.configuration.version == 0:
        return Refused(ResultCode.HOST_NOT_READY, "no configuration is known yet")
    host_name = request.headers.get("Host", "").partition(":")[0].lower()
    target = request.raw_path
    route = find_route(host.configuration, host_name, target.partition("?")[0])
    if route is None:
        return Refused(ResultCode.UNKNOWN_ROUTE, "no route matches")
    limits = host.configuration.limits
    if _head_bytes(request) > limits.header_max_bytes:
        detail = f"limit is {limits.header_max_bytes} bytes"
        return Refused(ResultCode.HEADERS_TOO_LARGE, detail)
    account = identify_request(host, request, route)
    if isinstance(account, Refused):
        return account
    headers = upstream_headers(host, request, account)
    body = b""
    if request.body_exists:
        read = await read_body(request, limits.body_max_bytes, holding=holding)
        if isinstance(read, Refused):
            return read
        body = read
    header_names = host.settings.headers
    time_left_ms = min(
        float(route.timeout_ms),
        _parse_digits(
            request.headers.get(header_names.deadline_ms), float(route.timeout_ms)
        ),
    )
    request_id = request.headers.get(header_names.request_id, "")
    wait_ms = time_left_ms - _elapsed_ms(began_ns)
    refusal = await allow_by_cap(host, permit, account, wait_ms, request_id)
    if refusal is not None:
        return refusal
    service = host.configuration.services[choose_service(route, random.random())]
    record_request(retry_budget_of(host, service.name), began_ns)
    caller_time_left_ms = _parse_digits(
        request.headers.get(header_names.deadline_ms), 0.0
    )
    work = work_time_of(host, route)
    shard_key = int(_parse_digits(request.headers.get(header_names.shard_key), -1.0))
    if service.is_sharded and 0 <= shard_key < N_SHARD_KEYS:
        record_key_request(host, service.name, shard_key, work.mean_ms)
    accepted = DirectRequest(
        request_id,
        route,
        service,
        request.method,
        target,
        headers,
        body,
        shard_key if service.is_sharded else None,
        began_ns,
        began_ns + int(time_left_ms * 1e6),
        is_caller_retry=record_arrival(work, caller_time_left_ms),
        caller_elapsed_ms=elapsed_before_ms(work, caller_time_left_ms),
        account=account,
        permit=permit,
    )
    count_arrival(host, accepted)
    return accepted


async def _wait_for_configuration(host: DirectHost, request: web.Request) -> None:
    """Wait for the first configuration if this host has just started.

    After a restart of all hosts the first configuration arrives within a second of the
    start. Until then no other host can serve the caller either, so a refusal would only
    use up a caller retry.
    """
    age_s = (now_ns() - host.began_ns) / 1e9
    time_left_ms = _parse_digits(
        request.headers.get(host.settings.headers.deadline_ms), 0.0
    )
    wait_s = min(STARTUP_S - age_s, CONFIGURATION_WAIT_SHARE * time_left_ms / 1000)
    if wait_s <= 0:
        return
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(wait_s):
            await host.configured.wait()


def _refusal_response(
    host: DirectHost,
    request: web.Request,
    refusal: Refused,
    began_ns: int,
    accepted: DirectRequest | None,
) -> web.Response:
    header_names = host.settings.headers
    request_id = request.headers.get(header_names.request_id, "")
    status = _http_status(refusal)
    kind = accepted.route.kind if accepted else NO_ROUTE
    count_answer(host.metrics, kind, refusal.code, _elapsed_ms(began_ns))
    log_routine(
        "refused",
        request_id=request_id,
        route=accepted.route.name if accepted else "",
        code=int(refusal.code),
        cause=refusal_cause(refusal.code),
        detail=refusal.detail,
        status=status,
        state_age_ms=state_age_ms(host, now_ns()),
        took_ms=round(_elapsed_ms(began_ns), 1),
        version=host.configuration.version,
    )
    headers = {header_names.request_id: request_id}
    if status == 503:
        count_refusal(host, accepted)
    if status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    if status in RETRIED_STATUSES:
        time_left_s = ASSUMED_TIME_LEFT_S
        if accepted is not None:
            time_left_s = (accepted.deadline_ns - now_ns()) / 1e9
        # The next host of the caller may have a newer state than this one.
        has_capacity = refusal.code is ResultCode.STATE_TOO_OLD or (
            accepted is not None and accepted.may_retry_immediately
        )
        pause_s = caller_retry_pause_s(has_capacity, time_left_s, random.random())
        wanted_ms = pause_left_ms(host, accepted) if accepted is not None else 0.0
        if wanted_ms:
            # The spread keeps the callers from coming in the same instant.
            pause_s = wanted_ms / 1000 + FULL_SPREAD_S * random.random()
        if accepted is not None and refusal.code is ResultCode.REQUEST_QUARANTINED:
            pause_s = quarantine_pause_s(host, accepted)
        headers["Retry-After"] = f"{pause_s:.2f}"
    text = f"{int(refusal.code)} {refusal.code.name}\n"
    return web.Response(status=status, headers=headers, text=text)


def _http_status(refusal: Refused) -> int:
    """Return the HTTP status of a refusal; 503 guarantees that nothing has run."""
    row = RESULT_CODE_TABLE[refusal.code]
    if refusal.code is ResultCode.DEADLINE_EXPIRED_RUNNING:
        return 504
    if not row.is_not_run:
        return 502
    return row.http_status if row.http_status in CALLER_FAULTS else 503


def _head_bytes(request: web.Request) -> int:
    """Return the size of a head without what separates its parts."""
    n_line_bytes = len(request.method) + len(request.raw_path)
    return n_line_bytes + sum(
        len(name) + len(value) for name, value in request.raw_headers
    )


def _elapsed_ms(began_ns: int) -> float:
    return (now_ns() - began_ns) / 1e6


def _parse_digits(text: str | None, default: float) -> float:
    if text is None or not text.isascii() or not text.isdigit() or len(text) > 12:
        return default
    return float(text)
