"""Chooses the data centre in which a request is placed, and looks further.

`bergamotferry.spill.search` decides. Requests with home regions or keys, and those of
services without rows of service load, are placed as if there were no shares.
"""

import math
import random

from bergamotferry.direct_placement import NoCapacity, Placed, Wait, has_idle
from bergamotferry.spill.search import (
    begin_search,
    look_further,
    reason_of,
    restart_search,
)
from bergamotferry.spill.service import ServiceSpill
from bergamotferry.spill.shares import draw_place
from bergamotferry.spill.value import leaving_price, response_value

from ..clock import now_ns
from ..direct_candidates import available_candidates
from ..direct_host import DirectHost, Upstream, distance_of, work_time_of
from ..request_state import DirectRequest, elapsed_ms, time_to_answer_ms


def begin_place(host: DirectHost, request: DirectRequest) -> None:
    """Choose the data centre in which a request is placed first."""
    spill = _spill_of(host, request)
    own = host.settings.data_centre
    if spill is None:
        request.search = None
    elif request.search is not None:
        request.search = restart_search(request.search)
    else:
        n_body_bytes = (
            len(request.body) + work_time_of(host, request.route).answer_bytes
        )
        prices = {
            name: leaving_price(distance_of(host.settings, name), n_body_bytes)
            for name in host.settings.regions
        }
        draw = draw_place(spill.shares, random.random())
        request.search = begin_search(own, draw, _near_places(host, spill), prices)
    _restrict(request)


def look_elsewhere(
    host: DirectHost,
    request: DirectRequest,
    placed: Placed | Wait | NoCapacity | None,
) -> bool:
    """Return whether to place a request again, elsewhere than where it was now.

    Parameters
    ----------
    host : DirectHost
        This host.
    request : DirectRequest
        The request; its place changes if the result is True.
    placed : Placed, Wait, NoCapacity or None
        The placement in the present data centre; None if it has no candidates.
    """
    search = request.search
    spill = host.spill.services.get(request.service.name)
    if search is None or search.is_settled or spill is None:
        return False
    value = 0.0
    if isinstance(placed, Placed | NoCapacity):
        elapsed = request.caller_elapsed_ms + elapsed_ms(request)
        objective_left_ms = request.route.full_value_ms - elapsed
        time_left_ms = time_to_answer_ms(host, request)
        value = response_value(placed.expected_ms, objective_left_ms, time_left_ms)
    if search.place == search.own and not _is_reachable(placed):
        search.is_home_lost = True
    moves_on = look_further(search, value)
    is_last_resort = search.is_home_lost or not spill.shares.is_current
    if search.is_settled and is_last_resort and max(search.gains.values()) <= 0:
        # No place would answer in time by what this host knows, and it can't rely on
        # rows. So all upstreams are compared.
        request.search = None
        moves_on = True
    if moves_on:
        _restrict(request)
    return moves_on


def widen_for_hedge(host: DirectHost, request: DirectRequest) -> None:
    """Let a hedge leave the data centre if no upstream there has a free slot."""
    now = now_ns()
    if request.data_centres is not None:
        if not has_idle(available_candidates(host, request, now), now):
            request.data_centres = None


def record_place(
    host: DirectHost, request: DirectRequest, upstream: Upstream, n_answer_bytes: int
) -> None:
    """Count a send by service, distance and the reason of its place."""
    distance = distance_of(host.settings, upstream.row.data_centre)
    reason = place_reason(request)
    host.spill.sends[request.service.name, distance, reason] += 1
    if distance == "far" and reason != "bound":
        host.spill.n_far_bytes += n_answer_bytes


def place_reason(request: DirectRequest) -> str:
    """Return why a request is placed where it is.

    Besides those of `reason_of` these are "bound", if the request has no choice, and
    "estimate", if this host compared all upstreams without shares.
    """
    if request.service.is_sharded or request.home_regions:
        return "bound"
    return reason_of(request.search) if request.search is not None else "estimate"


def loads_age_ms(host: DirectHost, service: str) -> int:
    """Return the age of the oldest row in use for a service; -1 if there is none."""
    spill = host.spill.services.get(service)
    if spill is None or not spill.shares.is_current:
        return -1
    return round(spill.loads.age_ms)


def _spill_of(host: DirectHost, request: DirectRequest) -> ServiceSpill | None:
    """Return the shares that apply to a request; None if there are none."""
    if request.service.is_sharded or request.home_regions:
        return None
    return host.spill.services.get(request.service.name)


def _near_places(host: DirectHost, spill: ServiceSpill) -> list[str]:
    """Return the near data centres that may take single requests, the best first."""
    shares = spill.shares
    near = [
        name
        for name in sorted(host.settings.regions)
        if distance_of(host.settings, name) == "near" and name not in host.evacuated
    ]
    if not shares.is_current:
        return near
    with_room = [name for name in near if shares.room.get(name, 0.0) > 0]
    return sorted(with_room, key=lambda name: -shares.room[name])


def _restrict(request: DirectRequest) -> None:
    """Limit the candidates to the place of the search."""
    search = request.search
    request.data_centres = frozenset((search.place,)) if search is not None else None


def _is_reachable(placed: Placed | Wait | NoCapacity | None) -> bool:
    if placed is None:
        return False
    return not isinstance(placed, NoCapacity) or not math.isinf(placed.expected_ms)
