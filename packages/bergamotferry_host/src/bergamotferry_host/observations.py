"""What this host observes of the upstreams that it dispatches for, for their leader."""

from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry.stragglers import known_latencies, observe_latency

from .clock import now_ns
from .dispatcher_table import UpstreamWork
from .exchange import Served, UpstreamRequest
from .host_state import HostState

NS_PER_MS = 1_000_000


def note_latency(
    state: HostState,
    work: UpstreamWork,
    request: UpstreamRequest,
    outcome: Served | Refused | None,
    started_ns: int,
) -> None:
    """Note how long a request took that was sent to an upstream.

    Bulk is left out, since it takes as long as its caller reads. An answer that did not
    come in time counts with the time that it was waited for, or the slowest upstreams
    would show nothing.
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
    """Return the upstreams to which bulk is in flight, or whose answer is."""
    works = state.dispatchers.works
    return tuple(name for name, work in works.items() if work.n_bulk_in_flight)


def observed_latencies(state: HostState) -> tuple[tuple[str, str, float], ...]:
    """Return service, upstream and latency in ms of what this host dispatches for."""
    known = known_latencies(state.dispatchers.latencies, now_ns())
    return tuple(row for row in known if row[1] in state.dispatchers.works)
