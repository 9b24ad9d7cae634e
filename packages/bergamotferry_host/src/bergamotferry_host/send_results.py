"""Records the result of a send on its request and on the upstream it was sent to."""

from bergamotferry.cold_rate import record_cold, record_uncertain
from bergamotferry.direct_placement import LINK_LATENCY_MS
from bergamotferry.fleet_metrics import count_refused_send
from bergamotferry.key_pause import KeyPause, record_held, record_not_held
from bergamotferry.upstream_load import (
    has_free_slot,
    record_answer,
    record_failure,
    record_unreachable,
)
from bergamotferry.upstream_notice import record_own_answer

from .clock import now_ns
from .direct_call import SendOutcome
from .direct_host import (
    DirectHost,
    Upstream,
    distance_of,
    work_time_of,
)
from .fleet_changes import mark_replaced, record_end_proof
from .refused_sends import RefusedSend
from .request_state import DirectRequest, Reservation
from .upstream_notices import record_upstream_notice


def record_request_result(
    request: DirectRequest,
    upstream: Upstream,
    result: str,
    outcome: SendOutcome | None,
) -> None:
    """Record whether a send reached the upstream and whether the request may have run.

    ``outcome`` is None if the caller left or another upstream answered first.
    """
    if outcome is not None:
        request.last_detail = outcome.detail
        request.may_retry_immediately = result == "not_run" and has_free_slot(
            outcome.report
        )
    if result in ("answered", "broken", "not_run", "other_upstream"):
        request.n_delivered += 1
    if result in ("answered", "broken"):
        request.n_maybe_run += 1
    elif result == "too_late":
        request.excluded.add(upstream.row.name)
    elif result == "not_run" and not (
        request.service.is_sharded and request.may_retry_immediately
    ):
        # In a sharded service only the key's holder can run the request. A full holder
        # is excluded, since the caller should retry later. A holder that refused
        # although it had a free slot is not excluded, since it may accept the next
        # attempt.
        request.excluded.add(upstream.row.name)
    if result == "broken" and outcome is not None:
        request.is_timed_out = outcome.is_timeout


def record_refused_send(
    host: DirectHost, request: DirectRequest, upstream: Upstream, outcome: SendOutcome
) -> None:
    """Record a send if its upstream said not to have run the request."""
    if outcome.result not in ("not_run", "other_upstream"):
        return
    count_refused_send(host.metrics, outcome.result, outcome.connection)
    address = upstream.row.address
    request.refused_sends.append(
        RefusedSend(
            upstream.row.name,
            address,
            outcome.status,
            outcome.connection,
            request.n_sends_by_address[address] - 1,
        )
    )


def record_upstream_result(
    host: DirectHost,
    request: DirectRequest,
    reservation: Reservation,
    result: str,
    outcome: SendOutcome | None,
    sent_ns: int,
) -> None:
    """Record what a send shows about an upstream's load, work time and keys."""
    now = now_ns()
    upstream = reservation.upstream
    load = upstream.load
    if outcome is not None:
        record_upstream_notice(host, upstream, outcome.notice)
    if outcome is not None and outcome.cold_left_ms:
        record_cold(upstream.cold, outcome.cold_left_ms, now)
    if result in ("answered", "not_run"):
        record_own_answer(upstream.availability, sent_ns)
    match result:
        case "answered" if outcome is not None:
            if request.token in host.key_pauses:
                record_held(host.key_pauses[request.token])
            if outcome.status >= 500:
                record_failure(load, now)
                return
            path_ms = LINK_LATENCY_MS[
                distance_of(host.settings, upstream.row.data_centre)
            ]
            took_ms = max(1.0, (outcome.head_ns - sent_ns) / 1e6 - path_ms)
            work = work_time_of(host, request.route)
            record_answer(load, work, took_ms, reservation.n_queued, outcome.n_bytes)
        case "broken":
            record_failure(load, now)
        case "not_run":
            record_failure(load, now)
            if outcome is None or outcome.report is None:
                # An upstream that refuses without a load report is assumed to be full.
                load.n_others = max(load.n_others, load.n_slots + 1)
                load.reported_ns = now
        case "other_upstream" if request.service.is_sharded:
            pause = host.key_pauses.setdefault(request.token, KeyPause())
            record_not_held(pause, now)
        case "other_upstream":
            mark_replaced(host, upstream)
        case "cancelled" if now >= reservation.due_ns:
            # Another upstream answered first, or the caller left. The request was
            # overdue, so the upstream may hang.
            record_failure(load, now)
        case "no_process" | "no_connection":
            if result == "no_process":
                record_end_proof(host, upstream, "connection refused")
            record_unreachable(load, now)
            # The next connection may be accepted by a new, cold process of that name.
            record_uncertain(upstream.cold, now)
