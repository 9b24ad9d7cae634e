"""Explains where this host would send a request now, without sending anything.

The decisions are those of a real request, by the same functions. Three things differ:
no load probe is made, so the estimates rest on the reports that the host has; nothing
is reserved or counted; and what depends on a request's content, its turn on the link or
its queueing time is left out. Where a request draws lots, for the service of a route
or for its data centre, the explanation draws as well and says what it drew.
"""

import random
from collections.abc import Iterator
from typing import Any, NamedTuple

from multidict import CIMultiDict

from bergamotferry.accounts import Account, has_common_region
from bergamotferry.configuration import choose_service, find_route
from bergamotferry.direct_placement import (
    NoCapacity,
    Placed,
    Shortlist,
    Wait,
    place_request,
    shortlist,
)
from bergamotferry.outcomes import Refused
from bergamotferry.quota.caps import has_cap
from bergamotferry.result_codes import ResultCode
from bergamotferry.upstream_load import n_ahead

from ..clock import now_ns
from ..direct_candidates import candidates_for, upstreams_in_order, why_excluded
from ..direct_host import DirectHost, Upstream, assigned_range, work_time_of
from ..direct_placing import n_queued_max
from ..request_state import DirectRequest, time_to_answer_ms
from ..spill.placing import begin_place, loads_age_ms, look_elsewhere, place_reason

# No request looks at more data centres.
N_PLACES_MAX = 8
N_UPSTREAMS_SHOWN = 30


class Question(NamedTuple):
    """A request to explain; ``account`` is the name of its account, or is empty."""

    host_name: str
    target: str
    method: str = "GET"
    shard_key: int | None = None
    account: str = ""
    time_left_ms: float | None = None


def explain_placement(host: DirectHost, question: Question) -> dict[str, Any]:
    """Return where a request would go now, and what the decision rests on."""
    now = now_ns()
    control_ns = host.control_reported_ns
    report: dict[str, Any] = {
        "host": host.settings.label,
        "data_centre": host.settings.data_centre,
        "version": host.configuration.version,
        "revision": host.revision,
        "control_age_ms": (now - control_ns) // 1_000_000 if control_ns else None,
        "evacuated": sorted(host.evacuated),
    }
    request = _request_of(host, question, now)
    if isinstance(request, Refused):
        return report | {"decision": _refused(request)}
    report |= _facts(host, request)
    placed, chosen = _place(host, request)
    report["place"] = place_reason(request)
    report["data_centres"] = sorted(request.data_centres or ())
    report["loads_age_ms"] = loads_age_ms(host, request.service.name)
    report["decision"] = _decision(placed, chosen)
    report["upstreams"] = list(_upstreams(host, request, chosen))[:N_UPSTREAMS_SHOWN]
    return report


def _request_of(
    host: DirectHost, question: Question, now: int
) -> DirectRequest | Refused:
    """Return a request that stands for the question, or why it would be refused."""
    configuration = host.configuration
    if configuration.version == 0:
        return Refused(ResultCode.HOST_NOT_READY, "no configuration is known yet")
    path = question.target.partition("?")[0]
    route = find_route(configuration, question.host_name.lower(), path)
    if route is None:
        return Refused(ResultCode.UNKNOWN_ROUTE, "no route matches")
    account = _account_of(host, question.account)
    if isinstance(account, Refused):
        return account
    if account is None and configuration.accounts and not route.allows_anonymous:
        return Refused(ResultCode.MISSING_TOKEN, "the route needs an API key")
    if not has_common_region(route.home_regions, account):
        detail = "route and account have no home region in common"
        return Refused(ResultCode.OUTSIDE_HOME_REGION, detail)
    if account is not None and not host.trusts_keys:
        return Refused(ResultCode.STATE_TOO_OLD, "the key may have been removed")
    time_left_ms = min(route.timeout_ms, question.time_left_ms or route.timeout_ms)
    service = configuration.services[choose_service(route, random.random())]
    return DirectRequest(
        "",
        route,
        service,
        question.method,
        question.target,
        CIMultiDict(),
        b"",
        question.shard_key if service.is_sharded else None,
        now,
        now + int(time_left_ms * 1e6),
        account=account,
    )


def _account_of(host: DirectHost, name: str) -> Account | Refused | None:
    if not name:
        return None
    for account in host.configuration.accounts:
        if account.name == name:
            return account
    return Refused(ResultCode.UNKNOWN_TOKEN, f"no account {name} is known")


def _facts(host: DirectHost, request: DirectRequest) -> dict[str, Any]:
    """Return what holds for the request before it is placed."""
    spill = host.spill.services.get(request.service.name)
    facts: dict[str, Any] = {
        "route": request.route.name,
        "service": request.service.name,
        "services": {part.service: part.weight for part in request.route.services},
        "priority": request.priority,
        "home_regions": list(request.home_regions),
        "account": request.account.name if request.account is not None else "",
        "shares": dict(spill.shares.planned) if spill is not None else {},
    }
    if request.account is not None and has_cap(request.account):
        share = host.quota.shares.shares.get(request.account.name)
        facts["sends_held"] = share.n_held if share is not None else 0
    if request.service.is_sharded:
        key_range = assigned_range(host, request.service.name, request.shard_key or 0)
        facts["holder"] = key_range.upstream if key_range is not None else ""
        facts["token"] = key_range.token if key_range is not None else 0
    return facts


def _place(
    host: DirectHost, request: DirectRequest
) -> tuple[Placed | Wait | NoCapacity | None, Shortlist]:
    """Place a request as `direct_placing` does, but for load probes."""
    work = work_time_of(host, request.route)
    n_queued = n_queued_max(host, request)
    begin_place(host, request)
    placed: Placed | Wait | NoCapacity | None = None
    chosen = Shortlist((), ())
    for _ in range(N_PLACES_MAX):
        now, time_left_ms = now_ns(), time_to_answer_ms(host, request)
        candidates = candidates_for(host, request, now)
        placed, chosen = None, Shortlist((), ())
        if candidates:
            chosen = shortlist(
                candidates, work, time_left_ms, now, n_queued_max=n_queued
            )
            placed = place_request(
                chosen.candidates or candidates, work, time_left_ms, now, n_queued
            )
        if not look_elsewhere(host, request, placed):
            break
    return placed, chosen


def _decision(
    placed: Placed | Wait | NoCapacity | None, chosen: Shortlist
) -> dict[str, Any]:
    match placed:
        case Placed(name, expected_ms):
            probed = [candidate.name for candidate in chosen.to_probe]
            decision = {"kind": "send", "upstream": name, "probed_first": probed}
            return decision | {"expected_ms": round(expected_ms, 1)}
        case Wait(wait_ms):
            detail = "every upstream is full; one is expected to be free in time"
            return {"kind": "wait", "wait_ms": round(wait_ms, 1), "detail": detail}
        case NoCapacity():
            detail = "no upstream would answer in time"
            return _refused(Refused(ResultCode.QUEUE_FULL, detail))
    return _refused(Refused(ResultCode.NO_OWNER, "no upstream may take it"))


def _refused(refusal: Refused) -> dict[str, Any]:
    return {
        "kind": "refuse",
        "code": int(refusal.code),
        "name": refusal.code.name,
        "detail": refusal.detail,
    }


def _upstreams(
    host: DirectHost, request: DirectRequest, chosen: Shortlist
) -> Iterator[dict[str, Any]]:
    """Yield the upstreams of the request's service, the compared ones first."""
    now = now_ns()
    compared = [candidate.name for candidate in chosen.candidates]
    for name in compared:
        yield _upstream_row(host, request, host.upstreams[name], compared, now)
    for upstream in upstreams_in_order(host, request, now):
        if upstream.row.name not in compared:
            yield _upstream_row(host, request, upstream, compared, now)


def _upstream_row(
    host: DirectHost,
    request: DirectRequest,
    upstream: Upstream,
    compared: list[str],
    now: int,
) -> dict[str, Any]:
    load = upstream.load
    age_ms = (now - load.reported_ns) // 1_000_000 if load.reported_ns else None
    return {
        "upstream": upstream.row.name,
        "data_centre": upstream.row.data_centre,
        "is_compared": upstream.row.name in compared,
        "excluded": why_excluded(host, request, upstream, now),
        "n_ahead": round(n_ahead(load, now), 1),
        "n_slots": load.n_slots,
        "relative_work_time": round(load.relative_work_time, 2),
        "report_age_ms": age_ms,
    }
