"""The way of a request on the host that took it: route, placing, sends, answer.

The loop below ends in one of three ways. An upstream answered, and its answer is passed
on as it is. Nothing may have run, and the caller is told so, and when to come back. Or
something may have run, and the caller is told neither.
"""

import asyncio
import random
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from bergamotferry.cold_rate import is_cold, may_send_cold, note_cold, note_cold_send
from bergamotferry.configuration import (
    DirectRoute,
    DirectService,
    choose_service,
    find_route,
)
from bergamotferry.direct_placement import (
    WAY_MS,
    Candidate,
    Distance,
    NoRoom,
    Placed,
    Wait,
    WorkTime,
    expected_ms,
    n_ahead,
    note_answer,
    note_arrival,
    note_ended,
    note_failure,
    note_report,
    note_sent,
    note_unreachable,
    place_request,
    shortlist,
)
from bergamotferry.hedging import hedge_delay_ms, is_worth_hedging
from bergamotferry.key_pause import KeyPause, note_held, note_not_held
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import RESULT_CODE_TABLE, ResultCode
from bergamotferry.window_budget import note_request, take_repeat

from .clock import now_ns
from .direct_call import HOP_HEADERS, DirectSend, SendOutcome, send_direct
from .direct_host import DirectHost, Upstream, budget_of, holder_of_key
from .http_body import read_body
from .load_questions import ask_loads
from .logs import log

N_SENDS_MAX = 6
# Less time than this is not worth a send.
SEND_MIN_MS = 20.0
# Keys without a holder get one within about this time.
KEY_WAIT_MS = 40.0
KEY_WAIT_MAX_MS = 800.0
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_SPREAD_S = 0.5
# A caller heeds a pause up to this share of the time it has left.
RETRY_AFTER_SHARE = 0.3


@dataclass(slots=True)
class DirectRequest:
    """One request under way, and what its sends have shown so far.

    ``n_arrived`` sends reached an upstream; ``n_maybe_run`` of these may have run.
    ``token`` is that of the key's range when it was last placed.
    """

    request_id: str
    route: DirectRoute
    service: DirectService
    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    shard_key: int | None
    began_ns: int
    give_up_ns: int
    n_sends: int = 0
    n_arrived: int = 0
    n_maybe_run: int = 0
    is_timed_out: bool = False
    has_come_back: bool = False
    token: int = 0
    tried: set[str] = field(default_factory=set)
    last_detail: str = ""


async def answer_request(
    host: DirectHost, http: aiohttp.ClientSession, request: web.Request
) -> web.Response:
    """Answer one request of a caller."""
    began_ns = now_ns()
    host.n_in_flight += 1
    host.idle.clear()
    try:
        accepted = await _accept(host, request, began_ns)
        if isinstance(accepted, Refused):
            return _refusal(host, request, accepted, began_ns, None)
        outcome = await _serve(host, http, accepted)
        if isinstance(outcome, Refused):
            return _refusal(host, request, outcome, began_ns, accepted)
        response = web.Response(
            status=outcome.status, headers=outcome.headers, body=outcome.body
        )
        _end_connection_if_stopping(host, response)
        return response
    finally:
        host.n_in_flight -= 1
        if host.n_in_flight == 0:
            host.idle.set()


async def _accept(
    host: DirectHost, request: web.Request, began_ns: int
) -> DirectRequest | Refused:
    """Find the route and read the body."""
    if host.configuration.version == 0:
        return Refused(ResultCode.HOST_NOT_READY, "no configuration is known yet")
    host_name = request.headers.get("Host", "").partition(":")[0].lower()
    target = request.raw_path
    route = find_route(host.configuration, host_name, target.partition("?")[0])
    if route is None:
        return Refused(ResultCode.UNKNOWN_ROUTE, "no route matches")
    limits = host.configuration.limits
    body = b""
    if request.body_exists:
        read = await read_body(request, limits.body_max_bytes)
        if isinstance(read, Refused):
            return read
        body = read
    names = host.settings.headers
    left_ms = min(
        float(route.timeout_ms),
        _number(request.headers.get(names.deadline_ms), float(route.timeout_ms)),
    )
    service = host.configuration.services[choose_service(route, random.random())]
    note_request(budget_of(host, service.name), began_ns)
    caller_left_ms = _number(request.headers.get(names.deadline_ms), 0.0)
    work = host.work_times.setdefault(route.name, WorkTime())
    shard_key = _number(request.headers.get(names.shard_key), -1.0)
    return DirectRequest(
        request.headers.get(names.request_id, ""),
        route,
        service,
        request.method,
        target,
        _passed_headers(request),
        body,
        int(shard_key) if service.is_sharded else None,
        began_ns,
        began_ns + int(left_ms * 1e6),
        has_come_back=note_arrival(work, caller_left_ms),
    )


async def _serve(
    host: DirectHost, http: aiohttp.ClientSession, request: DirectRequest
) -> SendOutcome | Refused:
    """Send a request until an upstream answers, or nothing more may be tried."""
    while True:
        upstream = await _place(host, http, request)
        if isinstance(upstream, Refused):
            return _or_unknown(request, upstream)
        if request.n_arrived and not take_repeat(
            budget_of(host, request.service.name), now_ns(), request.has_come_back
        ):
            refusal = Refused(ResultCode.UPSTREAM_SHED, "no repeat is left")
            return _or_unknown(request, refusal)
        outcome = await _send_hedged(host, http, request, upstream)
        if outcome.result == "answered" and not _should_retry_answer(request, outcome):
            return outcome
        if not _may_go_on(request):
            if outcome.result == "answered":
                return outcome
            refusal = Refused(ResultCode.UPSTREAM_SHED, request.last_detail)
            return _or_unknown(request, refusal)


async def _place(
    host: DirectHost, http: aiohttp.ClientSession, request: DirectRequest
) -> Upstream | Refused:
    """Wait until an upstream can take the request, or refuse it."""
    waits_until_ns = now_ns() + int(KEY_WAIT_MAX_MS * 1e6)
    work = host.work_times.setdefault(request.route.name, WorkTime())
    while True:
        now = now_ns()
        left_ms = (request.give_up_ns - now) / 1e6
        if left_ms < SEND_MIN_MS:
            return Refused(ResultCode.DEADLINE_EXPIRED_IN_QUEUE, "no time is left")
        candidates = _candidates(host, request, now)
        if not candidates:
            is_waiting = request.service.is_sharded and now < waits_until_ns
            if not is_waiting or left_ms < 2 * KEY_WAIT_MS:
                return Refused(ResultCode.NO_OWNER, "no upstream may take it")
            await asyncio.sleep(KEY_WAIT_MS / 1000)
            continue
        chosen = shortlist(candidates, work, left_ms, now)
        if chosen.asked:
            rows = [host.upstreams[row.name] for row in chosen.asked]
            await ask_loads(host, http, request.service, rows)
            now = now_ns()
            left_ms = (request.give_up_ns - now) / 1e6
        placed = place_request(chosen.candidates or candidates, work, left_ms, now)
        match placed:
            case Placed(name, _):
                return host.upstreams[name]
            case Wait(wait_ms):
                await asyncio.sleep(wait_ms / 1000)
            case NoRoom(expected_ms):
                why = f"an answer would take {expected_ms:.0f} ms"
                return Refused(ResultCode.QUEUE_FULL, why)


def _candidates(host: DirectHost, request: DirectRequest, now: int) -> list[Candidate]:
    rows: list[Candidate] = []
    for upstream in _possible_upstreams(host, request, now):
        row = upstream.row
        region = host.settings.regions.get(row.data_centre, "")
        homes = request.route.home_regions
        if row.data_centre in host.evacuated or (homes and region not in homes):
            continue
        if row.name in request.tried:
            continue
        distance = _distance(host, row.data_centre, region)
        if is_cold(upstream.cold, now) and not may_send_cold(
            upstream.cold,
            request.service.cold_per_s,
            len(host.hosts_here),
            distance == "here",
            now,
        ):
            continue
        rows.append(Candidate(row.name, upstream.load, distance, upstream.is_own))
    return rows


def _possible_upstreams(
    host: DirectHost, request: DirectRequest, now: int
) -> list[Upstream]:
    if not request.service.is_sharded:
        return host.by_service.get(request.service.name, [])
    holder = holder_of_key(host, request.service.name, request.shard_key or 0)
    upstream = host.upstreams.get(holder.upstream) if holder else None
    if holder is None or upstream is None or upstream.row.born_ms != holder.born_ms:
        return []
    request.token = holder.token
    if holder.token in host.key_pauses and now < host.key_pauses[holder.token].until_ns:
        return []
    return [upstream] if upstream.row.phase in ("ready", "draining") else []


async def _send_hedged(
    host: DirectHost,
    http: aiohttp.ClientSession,
    request: DirectRequest,
    upstream: Upstream,
) -> SendOutcome:
    """Send to an upstream, and to a second one if the first takes far too long."""
    may_hedge = (
        request.route.is_idempotent
        and not request.service.is_sharded
        and request.n_maybe_run == 0
        and request.route.n_attempts_max > 1
    )
    if not may_hedge:
        return await _send(host, http, request, upstream)
    work = host.work_times[request.route.name]
    objective_ms = float(request.route.latency_objective_ms)
    expected = expected_ms(upstream.load, work.mean_ms, now_ns())
    delay_ms = hedge_delay_ms(objective_ms, _passed_ms(request), expected)
    sends = {asyncio.create_task(_send(host, http, request, upstream))}
    try:
        done, _ = await asyncio.wait(sends, timeout=delay_ms / 1000)
        if not done:
            second = await _place_hedge(host, http, request)
            if second is not None:
                sends.add(asyncio.create_task(_send(host, http, request, second)))
        return await _first_good(request, sends)
    finally:
        for send in sends:
            send.cancel()
        await asyncio.gather(*sends, return_exceptions=True)


async def _place_hedge(
    host: DirectHost, http: aiohttp.ClientSession, request: DirectRequest
) -> Upstream | None:
    """Return an upstream for a second send, if one would answer in time."""
    now = now_ns()
    work = host.work_times[request.route.name]
    left_ms = (request.give_up_ns - now) / 1e6
    rows = shortlist(_candidates(host, request, now), work, left_ms, now)
    asked = [host.upstreams[row.name] for row in rows.asked]
    await ask_loads(host, http, request.service, asked)
    placed = place_request(rows.candidates, work, left_ms, now_ns())
    if not isinstance(placed, Placed):
        return None
    objective_ms = float(request.route.latency_objective_ms)
    if not is_worth_hedging(objective_ms, _passed_ms(request), placed.expected_ms):
        return None
    budget = budget_of(host, request.service.name)
    if not take_repeat(budget, now_ns(), has_come_back=False):
        return None
    return host.upstreams[placed.name]


async def _first_good(
    request: DirectRequest, sends: "set[asyncio.Task[SendOutcome]]"
) -> SendOutcome:
    """Return the first answer that is no failure, or what came last."""
    left = set(sends)
    while True:
        done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
        outcomes = [send.result() for send in done]
        for outcome in outcomes:
            if outcome.result == "answered" and outcome.status < 500:
                return outcome
        if not left:
            return outcomes[-1]


def _passed_ms(request: DirectRequest) -> float:
    return (now_ns() - request.began_ns) / 1e6


async def _send(
    host: DirectHost,
    http: aiohttp.ClientSession,
    request: DirectRequest,
    upstream: Upstream,
) -> SendOutcome:
    sent_ns = now_ns()
    load = upstream.load
    n_queued = max(0.0, n_ahead(load, sent_ns) + 1 - load.n_slots)
    if is_cold(upstream.cold, sent_ns):
        note_cold_send(upstream.cold, sent_ns)
    request.n_sends += 1
    if not request.service.is_sharded:
        request.tried.add(upstream.row.name)
    note_sent(load)
    outcome: SendOutcome | None = None
    try:
        outcome = await send_direct(
            http,
            host.settings.headers,
            DirectSend(
                request.method,
                request.target,
                upstream.row.address,
                upstream.row.name,
                request.request_id,
                request.headers,
                request.body,
                (request.give_up_ns - sent_ns) / 1e6,
            ),
        )
        if outcome.report is not None:
            # The request that brought the report has left the upstream already.
            note_report(load, outcome.report, load.n_in_flight - 1, now_ns())
        return outcome
    finally:
        note_ended(load)
        _learn(host, request, upstream, outcome, sent_ns, n_queued)


def _learn(
    host: DirectHost,
    request: DirectRequest,
    upstream: Upstream,
    outcome: SendOutcome | None,
    sent_ns: int,
    n_queued: float,
) -> None:
    """Take what a send showed into the request and the upstream's record, and log it.

    Without an outcome the caller left, or another upstream was quicker.
    """
    now = now_ns()
    took_ms = (now - sent_ns) / 1e6
    load = upstream.load
    result = outcome.result if outcome is not None else "cancelled"
    if outcome is not None:
        request.last_detail = outcome.detail
        if outcome.cold_left_ms:
            note_cold(upstream.cold, outcome.cold_left_ms, now)
    match result:
        case "answered" if outcome is not None:
            request.n_arrived += 1
            request.n_maybe_run += 1
            if request.token in host.key_pauses:
                note_held(host.key_pauses[request.token])
            if outcome.status >= 500:
                note_failure(load)
            else:
                region = host.settings.regions.get(upstream.row.data_centre, "")
                way_ms = WAY_MS[_distance(host, upstream.row.data_centre, region)]
                work = host.work_times.setdefault(request.route.name, WorkTime())
                n_bytes = len(outcome.body)
                note_answer(load, work, max(1.0, took_ms - way_ms), n_queued, n_bytes)
        case "broken" if outcome is not None:
            request.n_arrived += 1
            request.n_maybe_run += 1
            request.is_timed_out = outcome.is_timeout
            note_failure(load)
        case "not_run":
            request.n_arrived += 1
            note_failure(load)
            if outcome is None or outcome.report is None:
                # What refuses without a word on its load is taken for full.
                load.n_others = max(load.n_others, load.n_slots + 1)
                load.reported_ns = now
        case "other_upstream":
            request.n_arrived += 1
            if request.service.is_sharded:
                pause = host.key_pauses.setdefault(request.token, KeyPause())
                note_not_held(pause, now)
            else:
                note_unreachable(load, now)
        case "no_process" | "no_connection":
            note_unreachable(load, now)
    if result != "other_upstream":
        request.tried.add(upstream.row.name)
    log(
        "sent",
        request_id=request.request_id,
        route=request.route.name,
        upstream=upstream.row.name,
        data_centre=upstream.row.data_centre,
        n_sends=request.n_sends,
        result=result,
        detail=outcome.detail if outcome is not None else "",
        status=outcome.status if outcome is not None else 0,
        took_ms=round(took_ms, 1),
        n_queued=round(n_queued, 1),
        report_age_ms=round((sent_ns - load.reported_ns) / 1e6)
        if load.reported_ns
        else -1,
        revision=host.revision,
    )


def _should_retry_answer(request: DirectRequest, outcome: SendOutcome) -> bool:
    """Whether an upstream's own failure should be tried elsewhere."""
    left_ms = (request.give_up_ns - now_ns()) / 1e6
    is_failure = outcome.status in (500, 502, 503)
    return is_failure and request.route.is_idempotent and left_ms > 100


def _may_go_on(request: DirectRequest) -> bool:
    if request.n_maybe_run and not request.route.is_idempotent:
        return False
    if request.n_maybe_run >= request.route.n_attempts_max:
        return False
    return request.n_sends < N_SENDS_MAX and now_ns() < request.give_up_ns


def _or_unknown(request: DirectRequest, refusal: Refused) -> Refused:
    """Keep a refusal only if nothing may have run."""
    if request.n_maybe_run == 0:
        return refusal
    if request.is_timed_out:
        return Refused(ResultCode.DEADLINE_EXPIRED_RUNNING, request.last_detail)
    return Refused(ResultCode.UPSTREAM_FAILED, request.last_detail)


def _refusal(
    host: DirectHost,
    request: web.Request,
    refusal: Refused,
    began_ns: int,
    accepted: DirectRequest | None,
) -> web.Response:
    names = host.settings.headers
    request_id = request.headers.get(names.request_id, "")
    status = _status_of(refusal)
    log(
        "refused",
        request_id=request_id,
        route=accepted.route.name if accepted else "",
        code=int(refusal.code),
        detail=refusal.detail,
        status=status,
        took_ms=round((now_ns() - began_ns) / 1e6, 1),
        version=host.configuration.version,
    )
    headers = {names.request_id: request_id}
    if status == 503:
        left_s = (accepted.give_up_ns - now_ns()) / 1e9 if accepted else 1.0
        pause_s = RETRY_AFTER_MIN_S + RETRY_AFTER_SPREAD_S * random.random()
        pause_s = max(0.0, min(pause_s, RETRY_AFTER_SHARE * left_s))
        headers["Retry-After"] = f"{pause_s:.2f}"
    text = f"{int(refusal.code)} {refusal.code.name}\n"
    response = web.Response(status=status, headers=headers, text=text)
    _end_connection_if_stopping(host, response)
    return response


def _status_of(refusal: Refused) -> int:
    """Return the status of a refusal: 503 promises that nothing has run."""
    row = RESULT_CODE_TABLE[refusal.code]
    if refusal.code is ResultCode.DEADLINE_EXPIRED_RUNNING:
        return 504
    if not row.is_not_run:
        return 502
    return row.http_status if row.http_status in (400, 404, 413) else 503


def _end_connection_if_stopping(host: DirectHost, response: web.Response) -> None:
    if host.is_stopping:
        response.force_close()


def _passed_headers(request: web.Request) -> CIMultiDict[str]:
    """Return the caller's headers without those that concern its connection only."""
    named = request.headers.get("Connection", "").lower().split(",")
    dropped = HOP_HEADERS | {name.strip() for name in named}
    return CIMultiDict(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in dropped
    )


def _distance(host: DirectHost, data_centre: str, region: str) -> Distance:
    if data_centre == host.settings.data_centre:
        return "here"
    return "near" if region == host.settings.region else "far"


def _number(text: str | None, otherwise: float) -> float:
    if text is None or not text.isascii() or not text.isdigit() or len(text) > 12:
        return otherwise
    return float(text)
