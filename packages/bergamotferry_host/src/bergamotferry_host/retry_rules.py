"""Rules of retries: whether a request may be sent again, and what its caller is told.

A request that may run once only is not sent again once it may have run, and no request
is sent that would be answered only after this host has stopped.
"""

from typing import TypeGuard

from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry.stop_admission import may_answer_before_stop

from .clock import now_ns
from .direct_call import SendOutcome
from .direct_crashes import may_run_again
from .direct_host import DirectHost, answer_times_of
from .request_state import DirectRequest

N_SENDS_MAX = 6
# With less time left, a failed answer is returned instead of a retry elsewhere.
RETRY_MIN_MS = 100.0
# Statuses by which a caller is told that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def may_still_send(host: DirectHost, request: DirectRequest) -> bool:
    """Return whether a request that is sent now is answered before this host stops."""
    if host.stop_end_ns is None:
        return True
    now = now_ns()
    may_send = may_answer_before_stop(
        answer_times_of(host, request.route),
        (request.deadline_ns - now) / 1e6,
        (host.stop_end_ns - now) / 1e6,
        is_in_rotation=now < host.rotation_end_ns,
    )
    if not may_send:
        # The next host of the caller is not stopping.
        request.may_retry_immediately = True
    return may_send


def should_retry_answer(request: DirectRequest, outcome: SendOutcome) -> bool:
    """Return whether a failed answer should be retried at another upstream."""
    time_left_ms = (request.deadline_ns - now_ns()) / 1e6
    is_failure = outcome.status in (500, 502, 503)
    return is_failure and request.route.is_idempotent and time_left_ms > RETRY_MIN_MS


def is_unproved_refusal(
    outcome: SendOutcome | Refused, request: DirectRequest
) -> TypeGuard[SendOutcome]:
    """Return whether an answer says "not run" of a request that may have run.

    Only the not-run header proves that it has not, and an answer with that header is
    not "answered".
    """
    is_refusal = isinstance(outcome, SendOutcome) and outcome.status in NOT_RUN_STATUSES
    return is_refusal and not request.route.is_idempotent


def may_retry(request: DirectRequest) -> bool:
    """Return whether a request may be sent once more after a send that failed."""
    if request.has_answer_begun:
        return False
    if request.n_maybe_run and not request.route.is_idempotent:
        return False
    if request.n_maybe_run >= request.route.n_attempts_max:
        return False
    if request.service.is_sharded and request.excluded:
        return False
    return request.n_sends < N_SENDS_MAX and now_ns() < request.deadline_ns


def has_ended_upstreams(
    host: DirectHost, request: DirectRequest, outcome: SendOutcome
) -> bool:
    """Return whether a further send might only end one more upstream."""
    return outcome.result == "broken" and not may_run_again(host, request)


def refusal_or_unknown(request: DirectRequest, refusal: Refused) -> Refused:
    """Return the refusal; if the request may have run, return one that says so."""
    if request.n_maybe_run == 0:
        return refusal
    if request.is_timed_out:
        return Refused(ResultCode.DEADLINE_EXPIRED_RUNNING, request.last_detail)
    return Refused(ResultCode.UPSTREAM_FAILED, request.last_detail)
