"""Refuses at once what an overloaded holder would answer too late.

The holder's queue is asked for just before the decision, unless a report is fresh. A
holder that does not tell it in time is full: it resets connections then, and a request
that is reset may have run. Holders that are not asked get requests as others do: cold
ones, and those of services that report no load.
"""

import aiohttp

from bergamotferry.cold_rate import is_cold, is_uncertain
from bergamotferry.direct_placement import LINK_LATENCY_MS, N_QUEUED_MAX
from bergamotferry.hot_holders.overload import may_queue, queue_at
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry.upstream_load import is_report_fresh

from ..clock import now_ns
from ..direct_host import DirectHost, Upstream, distance_of, work_time_of
from ..load_probes import probe_loads
from ..logs import log_routine
from ..request_state import DirectRequest, elapsed_ms, time_to_answer_ms


async def refuse_at_hot_holder(
    host: DirectHost, http: aiohttp.ClientSession, request: DirectRequest, holder: str
) -> Refused | None:
    """Return a refusal if the request's holder is overloaded and would be too late."""
    if not request.service.is_sharded or holder not in host.hot_holders:
        return None
    upstream = host.upstreams[holder]
    if not is_report_fresh(upstream.load, now_ns()):
        await probe_loads(host, http, request.service, [upstream])
    now = now_ns()
    if not is_report_fresh(upstream.load, now):
        if _sends_no_report(host, request, upstream):
            return None
        _log_refused(request, holder, "no load report", -1.0)
        return Refused(ResultCode.QUEUE_FULL, "the holder is overloaded and silent")
    link_ms = LINK_LATENCY_MS[distance_of(host.settings, upstream.row.data_centre)]
    work_ms = work_time_of(host, request.route).mean_ms
    queue = queue_at(upstream.load, work_ms, link_ms, now)
    full_value_ms = float(request.route.full_value_ms)
    left_ms = full_value_ms - request.caller_elapsed_ms - elapsed_ms(request)
    if may_queue(queue, left_ms, time_to_answer_ms(host, request), N_QUEUED_MAX):
        return None
    _log_refused(request, holder, "too late", queue.expected_ms)
    detail = f"the holder is overloaded, its answer would take {queue.expected_ms:.0f}"
    return Refused(ResultCode.QUEUE_FULL, f"{detail} ms")


def _sends_no_report(
    host: DirectHost, request: DirectRequest, upstream: Upstream
) -> bool:
    """Return whether an upstream's silence says nothing of its queue.

    Its service reports no load, or it is known to be cold and was not probed. A cold
    one gets no more than its cold rate.
    """
    now = now_ns()
    is_known_cold = is_cold(upstream.cold, now) and not is_uncertain(upstream.cold, now)
    return request.service.name in host.services_without_load or is_known_cold


def _log_refused(
    request: DirectRequest, holder: str, reason: str, expected_ms: float
) -> None:
    log_routine(
        "refused at hot holder",
        request_id=request.request_id,
        route=request.route.name,
        upstream=holder,
        why=reason,
        expected_ms=round(expected_ms, 1),
        caller_elapsed_ms=round(request.caller_elapsed_ms, 1),
    )
