"""Observations of upstreams that a dispatcher reports to its data centre's leader."""

from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry.stragglers import known_latencies, observe_latency

from .clock import now_ns
from .dispatcher_table import UpstreamWork
from .exchange import Served, UpstreamRequest
from .host_state import HostState

NS_PER_MS = 1_000_000


def record_latency(
    state: HostState,
    work: UpstreamWork,
    request: UpstreamRequest,
    outcome: Served | Refused | None,
    started_ns: int,
) -> None:
    """Record the latency of a request that was sent to an upstream.

    Bulk requests are ignored, since their duration depends on how fast the caller
    reads. A request that timed out counts with the time that the host waited for it;
    otherwise the slowest upstreams would have no latency at all.
    """
    if request.route.traffic_class == "bulk":
        return
    if isinstance(outcome, Refused):
        if outcome.code is not ResultCode.DEADLINE_EXPIRED_RUNNING:
            return
    elif outcome is None:
        return
    observe_latency(
        state.dispatchers.latencies,
        work.session.service,
        work.session.name,
        (now_ns() - started_ns) / NS_PER_MS,
        now_ns(),
    )


def bulk_upstreams(state: HostState) -> tuple[str, ...]:
    """Return the upstreams with a bulk request or its answer in flight."""
    work_by_upstream = state.dispatchers.work_by_upstream
    return tuple(
        name for name, work in work_by_upstream.items() if work.n_bulk_in_flight
    )


def observed_latencies(state: HostState) -> tuple[tuple[str, str, float], ...]:
    """Return service, name and latency in ms of the upstreams of this dispatcher."""
    known = known_latencies(state.dispatchers.latencies, now_ns())
    return tuple(row for row in known if row[1] in state.dispatchers.work_by_upstream)
