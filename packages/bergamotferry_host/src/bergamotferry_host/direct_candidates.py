"""Selects the upstreams that may take a request.

An upstream must be ready and allowed, and neither leave, want a pause nor have been
excluded by an earlier send. Cold upstreams take requests only at their rate.
"""

from collections.abc import Callable, Collection, Iterator
from itertools import islice

from bergamotferry.cold_rate import is_cold, is_uncertain, may_send_cold
from bergamotferry.direct_placement import (
    N_SCANNED_FIRST,
    N_SCANNED_FIRST_REMOTE,
    Candidate,
    has_idle,
)
from bergamotferry.memory.upstream_bodies import may_take_body
from bergamotferry.upstream_notice import (
    Availability,
    is_available,
    is_last_resort,
)

from .clock import now_ns
from .direct_host import (
    DirectHost,
    Upstream,
    assigned_range,
    distance_of,
    knows_local_hosts,
)
from .request_state import DirectRequest
from .upstream_notices import shortest_pause_ms

MayTake = Callable[[Availability, int], bool]


def pause_left_ms(host: DirectHost, request: DirectRequest) -> float:
    """Return how long all upstreams for a request still want nothing, in ms.

    It is 0 if one of them is not paused, or if there are none.
    """
    now = now_ns()
    staying = (
        upstream
        for upstream in upstreams_in_order(host, request, now)
        if not upstream.availability.leaving_ns
        and _is_allowed(host, request, upstream.row.data_centre)
    )
    return shortest_pause_ms(staying, now)


def available_candidates(
    host: DirectHost,
    request: DirectRequest,
    now: int,
    unanswered: Collection[str] = (),
) -> list[Candidate]:
    """Return the upstreams that may accept a request and do not leave.

    If one of the upstreams that this host scans first has a free slot, only the
    upstreams scanned first are returned. Upstreams that may be cold without having
    reported it are included, so that they are probed. Upstreams in ``unanswered``,
    which were probed but did not answer in time, count as cold.
    """
    return _candidates_in(host, request, now, unanswered, is_available)


def candidates_for(
    host: DirectHost,
    request: DirectRequest,
    now: int,
    unanswered: Collection[str] = (),
) -> list[Candidate]:
    """Return the upstreams that may accept a request which no upstream has.

    These are the available ones. If there are none, they are those that leave, as long
    as they serve.
    """
    candidates = available_candidates(host, request, now, unanswered)
    if candidates:
        return candidates

    def is_last(availability: Availability, now_ns: int) -> bool:
        return is_last_resort(availability, now_ns, host.settings.bounds.drain_ms)

    return _candidates_in(host, request, now, unanswered, is_last)


def _candidates_in(
    host: DirectHost,
    request: DirectRequest,
    now: int,
    unanswered: Collection[str],
    may_take: MayTake,
) -> list[Candidate]:
    """Return the candidates among the upstreams that ``may_take`` requests."""
    upstreams = (
        upstream
        for upstream in upstreams_in_order(host, request, now)
        if may_take(upstream.availability, now)
    )
    is_remote = not request.allows_region(host.settings.region)
    is_remote = is_remote or _are_far(host, request.data_centres)
    n_first = N_SCANNED_FIRST_REMOTE if is_remote else N_SCANNED_FIRST
    eligible = _eligible(host, request, upstreams, now, unanswered)
    first = list(islice(eligible, n_first))
    if has_idle(first, now):
        return first
    return first + list(eligible)


def _eligible(
    host: DirectHost,
    request: DirectRequest,
    upstreams: Iterator[Upstream],
    now: int,
    unanswered: Collection[str],
) -> Iterator[Candidate]:
    for upstream in upstreams:
        if why_excluded(host, request, upstream, now, unanswered):
            continue
        row = upstream.row
        distance = distance_of(host.settings, row.data_centre)
        needs_probe = is_uncertain(upstream.cold, now) and row.name not in unanswered
        is_preferred = upstream.rank == 0
        yield Candidate(row.name, upstream.load, distance, is_preferred, needs_probe)


def why_excluded(
    host: DirectHost,
    request: DirectRequest,
    upstream: Upstream,
    now: int,
    unanswered: Collection[str] = (),
) -> str:
    """Return why an upstream may not take a request; empty if it may.

    Whether it leaves or wants a pause is not considered.
    """
    row = upstream.row
    if not _is_allowed(host, request, row.data_centre):
        is_out = row.data_centre in host.evacuated
        return "its data centre is evacuated" if is_out else "outside the home regions"
    if row.name in request.excluded:
        return "it had the request before"
    if not may_take_body(upstream.n_body_bytes, len(request.body)):
        return "large bodies are under way to it"
    if request.data_centres and row.data_centre not in request.data_centres:
        return "in another data centre than the chosen one"
    needs_probe = is_uncertain(upstream.cold, now) and row.name not in unanswered
    if not needs_probe and not is_within_cold_rate(host, request, upstream, now):
        return "it is cold, and this host's part of its rate is used up"
    return ""


def _is_allowed(host: DirectHost, request: DirectRequest, data_centre: str) -> bool:
    """Return whether a request may go to the upstreams of a data centre."""
    region = host.settings.regions.get(data_centre, "")
    return data_centre not in host.evacuated and request.allows_region(region)


def _are_far(host: DirectHost, data_centres: frozenset[str] | None) -> bool:
    """Return whether the candidates are limited to data centres in other regions."""
    return bool(data_centres) and all(
        distance_of(host.settings, name) == "far" for name in data_centres or ()
    )


def is_within_cold_rate(
    host: DirectHost, request: DirectRequest, upstream: Upstream, now: int
) -> bool:
    """Return whether an upstream is warm, or its cold rate permits another send.

    Only the hosts of the upstream's data centre may use its cold rate, each host its
    own share.
    """
    if not is_cold(upstream.cold, now):
        return True
    rank = upstream.rank if knows_local_hosts(host, now) else None
    per_s, n_hosts = request.service.cold_per_s, len(host.local_hosts)
    return may_send_cold(upstream.cold, per_s, n_hosts, rank, now)


def upstreams_in_order(
    host: DirectHost, request: DirectRequest, now: int
) -> list[Upstream]:
    """Return the ready upstreams of a request's service, or the holder of its key."""
    if not request.service.is_sharded:
        return host.ready_by_service.get(request.service.name, [])
    key_range = assigned_range(host, request.service.name, request.shard_key or 0)
    upstream = host.upstreams.get(key_range.upstream) if key_range else None
    if (
        key_range is None
        or upstream is None
        or upstream.row.born_ms != key_range.born_ms
    ):
        return []
    request.token = key_range.token
    if (
        key_range.token in host.key_pauses
        and now < host.key_pauses[key_range.token].until_ns
    ):
        return []
    return [upstream] if upstream.row.phase == "ready" else []
