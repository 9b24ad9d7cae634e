"""Reserves capacity at an upstream for a request, waits for it, or refuses.

The upstreams that may take the request (`direct_candidates`) are ranked with
`direct_placement`, and the load of the best ones is probed.

Many requests may wait for the same load probe and resume at the same moment. Therefore
a reservation is counted as soon as the upstream is chosen, without an await in between,
so that the next request already takes it into account.
"""

import asyncio
import math

import aiohttp

from bergamotferry.answer_link import inbound_ms
from bergamotferry.cold_rate import is_uncertain, record_send
from bergamotferry.configuration import is_most_urgent
from bergamotferry.direct_placement import (
    N_COMPARED,
    N_QUEUED_LESS_URGENT_MAX,
    N_QUEUED_MAX,
    NoCapacity,
    Placed,
    Wait,
    place_request,
    shortlist,
)
from bergamotferry.hedging import is_worth_hedging
from bergamotferry.memory.upstream_bodies import counted_bytes
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry.upstream_load import (
    WorkTime,
    n_ahead,
    overdue_at_ns,
    record_sent,
    work_time_of_last_attempt,
)
from bergamotferry.window_budget import take_retry

from .clock import now_ns
from .direct_candidates import (
    available_candidates,
    candidates_for,
    is_within_cold_rate,
    pause_left_ms,
)
from .direct_host import (
    DirectHost,
    Upstream,
    retry_budget_of,
    work_time_of,
)
from .hot_holders.admission import refuse_at_hot_holder
from .load_probes import probe_loads
from .request_state import (
    DirectRequest,
    Reservation,
    elapsed_ms,
    time_to_answer_ms,
)
from .spill.placing import begin_place, look_elsewhere, widen_for_hedge

# A request with less time left is refused rather than sent.
SEND_MIN_MS = 20.0
# Poll interval and maximum wait for the holder of a key. A key without a holder is
# usually assigned within the maximum wait.
KEY_POLL_MS = 40.0
KEY_POLL_MAX_MS = 800.0


async def reserve_upstream(
    host: DirectHost, http: aiohttp.ClientSession, request: DirectRequest
) -> Reservation | Refused:
    """Wait until an upstream can accept the request, or refuse the request."""
    n_queued = n_queued_max(host, request)
    key_poll_end_ns = now_ns() + int(KEY_POLL_MAX_MS * 1e6)
    work = _work_of_attempt(host, request)
    unanswered: set[str] = set()
    n_compared = N_COMPARED
    begin_place(host, request)
    while True:
        now = now_ns()
        time_left_ms = time_to_answer_ms(host, request)
        if time_left_ms < SEND_MIN_MS:
            return Refused(ResultCode.DEADLINE_EXPIRED_IN_QUEUE, "no time is left")
        candidates = candidates_for(host, request, now, unanswered)
        if not candidates:
            if look_elsewhere(host, request, None):
                continue
            if pause_left_ms(host, request) > 0:
                return Refused(ResultCode.UPSTREAM_SHED, "all upstreams want a pause")
            # A large body may wait for others that are under way.
            waits = request.service.is_sharded or counted_bytes(len(request.body)) > 0
            may_poll = waits and now < key_poll_end_ns
            if not may_poll or time_left_ms < 2 * KEY_POLL_MS:
                return Refused(ResultCode.NO_OWNER, "no upstream may take it")
            await asyncio.sleep(KEY_POLL_MS / 1000)
            continue
        overload = await refuse_at_hot_holder(host, http, request, candidates[0].name)
        if overload is not None:
            return overload
        chosen = shortlist(candidates, work, time_left_ms, now, n_compared, n_queued)
        if chosen.to_probe:
            probed = [host.upstreams[candidate.name] for candidate in chosen.to_probe]
            await probe_loads(host, http, request.service, probed)
            now = now_ns()
            unanswered |= {
                upstream.row.name
                for upstream in probed
                if is_uncertain(upstream.cold, now)
            }
            time_left_ms = time_to_answer_ms(host, request)
        placed = place_request(
            chosen.candidates or candidates, work, time_left_ms, now, n_queued
        )
        has_unprobed = isinstance(placed, NoCapacity) and bool(chosen.to_probe)
        if not has_unprobed and look_elsewhere(host, request, placed):
            n_compared = N_COMPARED
            continue
        match placed:
            case Placed(name, expected_ms):
                upstream = host.upstreams[name]
                # Other requests may have used up the rate of a cold upstream while
                # this request waited for the load probes.
                if is_within_cold_rate(host, request, upstream, now):
                    return _reserve(host, work, upstream, expected_ms, now)
            case Wait(wait_ms):
                await asyncio.sleep(wait_ms / 1000)
                begin_place(host, request)
            case NoCapacity() if chosen.to_probe:
                # The probed upstreams are down or full, and the others have not been
                # probed yet. A whole data centre may be lost, so the number of probes
                # doubles each time.
                n_compared *= 2
            case NoCapacity(expected_ms):
                detail = _no_capacity_detail(expected_ms, len(candidates))
                return Refused(ResultCode.QUEUE_FULL, detail)


async def reserve_hedge(
    host: DirectHost,
    http: aiohttp.ClientSession,
    request: DirectRequest,
    within_ms: float,
) -> Reservation | None:
    """Reserve an upstream for a hedge; return None if no hedge is worth its cost.

    The answer to the hedge must be expected in time, and both the upstream's cold rate
    and the retry budget must permit another send.

    Parameters
    ----------
    host : DirectHost
        This host.
    http : aiohttp.ClientSession
        Session for the load probes.
    request : DirectRequest
        The request whose first send is late.
    within_ms : float
        Time from the arrival of the request within which the answer is wanted.
    """
    now = now_ns()
    work = work_time_of_last_attempt(work_time_of(host, request.route))
    time_left_ms = time_to_answer_ms(host, request)
    widen_for_hedge(host, request)
    # Another upstream has the request, so none that leaves is a last resort for it.
    candidates = available_candidates(host, request, now)
    chosen = shortlist(candidates, work, time_left_ms, now)
    probed = [host.upstreams[candidate.name] for candidate in chosen.to_probe]
    await probe_loads(host, http, request.service, probed)
    now = now_ns()
    placed = place_request(chosen.candidates, work, time_left_ms, now)
    if not isinstance(placed, Placed):
        return None
    upstream = host.upstreams[placed.name]
    if not is_worth_hedging(within_ms, elapsed_ms(request), placed.expected_ms):
        return None
    budget = retry_budget_of(host, request.service.name)
    if not is_within_cold_rate(host, request, upstream, now):
        return None
    if not take_retry(budget, now, is_caller_retry=False):
        return None
    return _reserve(host, work, upstream, placed.expected_ms, now)


def n_queued_max(host: DirectHost, request: DirectRequest) -> int:
    """Return how many requests may be queued where a request is sent."""
    service = request.service
    is_urgent = is_most_urgent(
        host.configuration, request.route, service.name, request.account
    )
    if service.is_sharded and not is_urgent:
        return N_QUEUED_LESS_URGENT_MAX
    return N_QUEUED_MAX


def _no_capacity_detail(expected_ms: float, n_candidates: int) -> str:
    if math.isinf(expected_ms):
        return f"none of {n_candidates} upstreams can be reached"
    return f"the best of {n_candidates} upstreams would take {expected_ms:.0f} ms"


def _work_of_attempt(host: DirectHost, request: DirectRequest) -> WorkTime:
    work = work_time_of(host, request.route)
    is_last = request.n_maybe_run + 1 >= request.route.n_attempts_max
    return work_time_of_last_attempt(work) if is_last and request.n_maybe_run else work


def _reserve(
    host: DirectHost, work: WorkTime, upstream: Upstream, expected_ms: float, now: int
) -> Reservation:
    load = upstream.load
    n_queued = max(0.0, n_ahead(load, now) + 1 - load.n_slots)
    age_ms = round((now - load.reported_ns) / 1e6) if load.reported_ns else -1
    transfer_ms = inbound_ms(host.link, work.answer_bytes, now / 1e6)
    due_ns = overdue_at_ns(now, expected_ms + transfer_ms)
    record_sent(load, due_ns)
    record_send(upstream.cold, now)
    return Reservation(upstream, expected_ms, n_queued, age_ms, due_ns)
