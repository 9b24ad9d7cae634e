"""Which upstream a host sends a request to, and whether the host sends it at all.

The design is for a load of one half to two thirds of all slots, on upstreams that
differ in speed and are slowed for moments by their neighbours. At that load most late
answers come from a poor choice and not from a lack of slots. For each upstream, a host
estimates when the answer would arrive: from the upstream's last report, from the host's
own requests in flight there, and from the upstream's work times so far. Nearby
upstreams are preferred unless the time saved at a distant one is worth the bytes on the
link.

In a large service, a host first scans only some upstreams, in its own order of
preference. The host therefore knows these upstreams well, each upstream has connections
from few hosts, and the work per request does not grow with the service. If none of them
is idle, the host scans all upstreams of the service.

The key of a request may have one holder only. Less urgent requests are sent to a holder
while it has a free slot, so that its queue is left to urgent ones. This is for holders
that are busy for seconds, at a load of the service of one half and less. A holder that
was full at its last report is probed before anything is sent to it.

What a host doesn't know of an upstream is mostly which requests other hosts have sent
there, and whether the upstream's neighbours slow it at this moment. So each host has a
few preferred upstreams of its own. The best candidates are probed for their load before
one of them is chosen, unless their last report is fresh.
"""

from collections.abc import Iterable
from typing import Literal, NamedTuple

from .upstream_load import (
    UNSAFE_FAILURE_COST_MS,
    UpstreamLoad,
    WorkTime,
    expected_ms,
    failure_probability,
    is_report_fresh,
    n_ahead,
)

NS_PER_MS = 1_000_000

# Beyond this many queued requests, new ones go elsewhere: some upstreams reset
# connections when they are full, and whether the requests sent to them ran is then
# uncertain.
N_QUEUED_MAX = 2
# The same number at the holder of a key, for requests that are less urgent than others
# of its service. A holder serves its queue in order, so what waits there can't be
# overtaken; what waits at a host can.
N_QUEUED_LESS_URGENT_MAX = 0
# Number of upstreams that are scanned before the rest of their service.
N_SCANNED_FIRST = 24
# The same number for upstreams in other regions. Few requests need to go there, so they
# share connections to fewer upstreams.
N_SCANNED_FIRST_REMOTE = 8
# Number of upstreams that are compared by fresh reports.
N_COMPARED = 3
# An upstream in another region that has not reported for this long may be busy by now.
REMOTE_SILENT_MS = 1_000.0
# An upstream that this host does not prefer is chosen only if it is faster by this
# share of the mean work time.
NOT_PREFERRED_COST_SHARE = 0.3

# In the host's own data centre, in another one of its region, or in another region.
Distance = Literal["here", "near", "far"]
LINK_LATENCY_MS: dict[Distance, float] = {"here": 0.5, "near": 2.0, "far": 25.0}
# Cost of bytes between data centres and regions, as a time per 10 KB.
BYTES_COST_MS: dict[Distance, float] = {"here": 0.0, "near": 10.0, "far": 120.0}
BYTES_COST_UNIT_BYTES = 10_000
BYTES_COST_MAX_MS: dict[Distance, float] = {"here": 0.0, "near": 60.0, "far": 500.0}


class Candidate(NamedTuple):
    """An upstream that may take a request, as seen by one host.

    ``is_preferred`` is whether the host prefers the upstream. An upstream with
    ``is_uncertain`` must first be probed for whether it is cold.
    """

    name: str
    load: UpstreamLoad
    distance: Distance
    is_preferred: bool = True
    is_uncertain: bool = False


class Placed(NamedTuple):
    """The chosen upstream; its answer is expected after ``expected_ms``."""

    name: str
    expected_ms: float


class Shortlist(NamedTuple):
    """The best candidates; those in ``to_probe`` should be probed before the choice."""

    candidates: tuple[Candidate, ...]
    to_probe: tuple[Candidate, ...]


class Wait(NamedTuple):
    """No upstream takes the request now; place it again after ``wait_ms``."""

    wait_ms: float


class NoCapacity(NamedTuple):
    """No upstream would answer in time; the first would after ``expected_ms``."""

    expected_ms: float


def place_request(
    candidates: Iterable[Candidate],
    work: WorkTime,
    time_left_ms: float,
    now_ns: int,
    n_queued_max: int = N_QUEUED_MAX,
) -> Placed | Wait | NoCapacity:
    """Choose the upstream for a request, or return that it must wait or be refused.

    Parameters
    ----------
    candidates : iterable of Candidate
        Upstreams that may take the request, in an order that breaks ties.
    work : WorkTime
        Work time of the request's route.
    time_left_ms : float
        Time until the caller's deadline.
    now_ns : int
        Current time in nanoseconds.
    n_queued_max : int
        Largest number of requests that may be queued at the upstream.
    """
    known_candidates = list(candidates)
    ranked = _rank_candidates(
        known_candidates, work, time_left_ms, now_ns, n_queued_max
    )
    if ranked:
        _, response_ms, best = min(ranked, key=lambda entry: entry[0])
        return Placed(best.name, response_ms)
    soonest_ms = min(
        (
            _response_ms(candidate, work, now_ns)
            for candidate in known_candidates
            if candidate.load.blocked_until_ns <= now_ns
        ),
        default=float("inf"),
    )
    if soonest_ms <= time_left_ms:
        return Wait(min(20.0, time_left_ms / 4))
    return NoCapacity(soonest_ms)


def shortlist(
    candidates: Iterable[Candidate],
    work: WorkTime,
    time_left_ms: float,
    now_ns: int,
    n_compared: int = N_COMPARED,
    n_queued_max: int = N_QUEUED_MAX,
) -> Shortlist:
    """Return the candidates to choose from, and which of them to probe for their load.

    A candidate in another region is probed only if it is uncertain whether it is cold,
    or if it has not reported recently and a failure would lose the request. Otherwise
    the round trip costs more than the report is worth. A single candidate is probed
    only if it is uncertain whether it is cold, or if its last report showed that it was
    full: the requests of other hosts may fill it by now.

    Parameters
    ----------
    candidates : iterable of Candidate
        Upstreams that may take the request, in an order that breaks ties.
    work : WorkTime
        Work time of the request's route.
    time_left_ms : float
        Time until the caller's deadline.
    now_ns : int
        Current time in nanoseconds.
    n_compared : int
        Largest number of candidates to return.
    n_queued_max : int
        Largest number of requests that may be queued at an upstream.
    """
    ranked = _rank_candidates(candidates, work, time_left_ms, now_ns, n_queued_max)
    best = sorted(ranked, key=lambda entry: entry[0])[:n_compared]
    chosen = tuple(candidate for _, _, candidate in best)
    to_probe = tuple(
        candidate
        for candidate in chosen
        if candidate.is_uncertain
        or (len(chosen) > 1 and _is_worth_probing(candidate, work, now_ns))
        or (len(chosen) == 1 and _may_be_full(candidate.load, now_ns))
    )
    return Shortlist(chosen, to_probe)


def has_idle(candidates: Iterable[Candidate], now_ns: int) -> bool:
    """Return whether a candidate seems to have a free slot."""
    return any(
        n_ahead(candidate.load, now_ns) + 1 <= candidate.load.n_slots
        and candidate.load.blocked_until_ns <= now_ns
        for candidate in candidates
    )


def _rank_candidates(
    candidates: Iterable[Candidate],
    work: WorkTime,
    time_left_ms: float,
    now_ns: int,
    n_queued_max: int,
) -> list[tuple[float, float, Candidate]]:
    """Return the candidates that can take a request, with cost and response time.

    Both are in ms. The cost is the response time with additions for the answer's bytes,
    the risk of a failure, and an upstream that the host does not prefer.
    """
    ranked: list[tuple[float, float, Candidate]] = []
    for candidate in candidates:
        load = candidate.load
        if load.blocked_until_ns > now_ns:
            continue
        response_ms = _response_ms(candidate, work, now_ns)
        is_full = n_ahead(load, now_ns) + 1 > load.n_slots + n_queued_max
        if is_full or response_ms > time_left_ms:
            continue
        cost_ms = response_ms + _bytes_cost_ms(candidate.distance, work.answer_bytes)
        cost_ms += work.failure_cost_ms * failure_probability(load, now_ns)
        if not candidate.is_preferred:
            cost_ms += NOT_PREFERRED_COST_SHARE * work.mean_ms
        ranked.append((cost_ms, response_ms, candidate))
    return ranked


def _is_worth_probing(candidate: Candidate, work: WorkTime, now_ns: int) -> bool:
    if candidate.distance != "far":
        return not is_report_fresh(candidate.load, now_ns)
    is_silent = now_ns - candidate.load.reported_ns > REMOTE_SILENT_MS * NS_PER_MS
    return is_silent and work.failure_cost_ms >= UNSAFE_FAILURE_COST_MS


def _may_be_full(load: UpstreamLoad, now_ns: int) -> bool:
    """Return whether an upstream was full at its last report, which is not fresh."""
    return load.was_full and not is_report_fresh(load, now_ns)


def _response_ms(candidate: Candidate, work: WorkTime, now_ns: int) -> float:
    return (
        expected_ms(candidate.load, work.mean_ms, now_ns)
        + LINK_LATENCY_MS[candidate.distance]
    )


def _bytes_cost_ms(distance: Distance, n_bytes: float) -> float:
    cost_ms = BYTES_COST_MS[distance] * max(0.3, n_bytes / BYTES_COST_UNIT_BYTES)
    return min(BYTES_COST_MAX_MS[distance], cost_ms)
