"""Keeps a request that ends its upstreams from running again and again.

A host in direct mode records each end of an upstream under a request
(`upstream_ends`), shares the records with all hosts (`crash_exchange`), and asks them
before a run (`crash_records`). A request is identified by its content only once a
connection has broken under it or some record exists, so usually at no cost.
"""

import asyncio

from bergamotferry.outcomes import Refused
from bergamotferry.protection.crash_records import (
    N_ENDS_RETRIED_MAX,
    PAUSE_TOLD_MAX_S,
    KnownEnds,
    known_ends,
    quarantine_left_s,
    record_trial,
    request_fingerprint,
    verdict_on,
)
from bergamotferry.result_codes import ResultCode

from .clock import now_ns
from .crash_exchange import (
    ROUND_PAUSE_S,
    count_success,
    forget_old_records,
    poll_until_changed,
    start_exchanges,
    wait_for_change,
)
from .direct_call import SendOutcome
from .direct_host import DirectHost, Upstream
from .peer_link import PeerUnreachable
from .request_state import DirectRequest
from .upstream_ends import (
    InterruptedRun,
    drop_old_losses,
    is_connection_loss,
    record_connection_loss,
    record_life,
    wait_for_check,
)

# Time in which a run elsewhere usually ends.
PAUSE_TOLD_MIN_S = 0.3


def quarantine_refusal(host: DirectHost, request: DirectRequest) -> Refused | None:
    """Return the refusal of a quarantined request, or None if the request may run."""
    table = host.crashes.table
    if not table.entries or request.is_trial:
        return None
    fingerprint, now = fingerprint_of(request), now_ns()
    if verdict_on(table, fingerprint, host.settings.name, now) == "quarantined":
        n_ends = known_ends(table, fingerprint).n_ends
        detail = f"{n_ends} upstreams ended under it"
        return Refused(ResultCode.REQUEST_QUARANTINED, detail)
    request.is_trial = record_trial(table, fingerprint, now)
    return None


def quarantine_pause_s(host: DirectHost, request: DirectRequest) -> float:
    """Return the time in s after which a refused caller may come back."""
    table, name = host.crashes.table, host.settings.name
    left_s = quarantine_left_s(table, fingerprint_of(request), name, now_ns())
    return min(PAUSE_TOLD_MAX_S, max(PAUSE_TOLD_MIN_S, left_s))


def ends_known_of(host: DirectHost, request: DirectRequest) -> KnownEnds:
    """Return the ends of upstreams that are known of a request."""
    table = host.crashes.table
    if not table.entries:
        return KnownEnds()
    return known_ends(table, fingerprint_of(request))


def may_run_again(host: DirectHost, request: DirectRequest) -> bool:
    """Return whether a request may be sent to one more upstream after a failure."""
    return ends_known_of(host, request).n_ends <= N_ENDS_RETRIED_MAX


def record_run(
    host: DirectHost,
    request: DirectRequest,
    upstream: Upstream,
    outcome: SendOutcome | None,
    known: KnownEnds,
    sent_ns: int,
) -> None:
    """Record what a send shows about the request: a success, or a broken connection.

    ``known`` are the ends that were known when the send began, at ``sent_ns``.
    """
    if outcome is None:
        return
    row = upstream.row
    if outcome.result in ("answered", "not_run"):
        record_life(host.end_watch, row.name, sent_ns)
    if outcome.result == "answered" and outcome.status < 500:
        if host.crashes.table.entries:
            count_success(host.crashes, fingerprint_of(request))
    elif is_connection_loss(outcome.result, outcome.detail) and row.phase == "ready":
        fingerprint = fingerprint_of(request)
        run = InterruptedRun(request.request_id, fingerprint, known, sent_ns)
        record_connection_loss(host.end_watch, row.name, row.address, run)
        request.lost_upstream = row.name


async def wait_for_end_check(host: DirectHost, request: DirectRequest) -> None:
    """Wait until it is known whether the last upstream that was lost has ended."""
    if request.lost_upstream:
        await wait_for_check(host.end_watch, request.lost_upstream)


def fingerprint_of(request: DirectRequest) -> str:
    """Return the fingerprint of a request's content.

    The name of its account is a part of the content; a key is none.
    """
    if not request.fingerprint:
        account = request.account
        credentials = request.headers.get("Authorization", "")
        request.fingerprint = request_fingerprint(
            request.method,
            request.route.host_name,
            request.target,
            account.name if account is not None else credentials,
            request.body,
        )
    return request.fingerprint


async def run_crash_exchange(host: DirectHost) -> None:
    """Exchange crash records with control hosts, until cancelled."""
    tasks: set[asyncio.Task[None]] = set()
    while True:
        forget_old_records(host.crashes)
        drop_old_losses(host.end_watch)
        if not await _poll_followed(host):
            start_exchanges(host.crashes, host.network, host.control_hosts, tasks)
            await wait_for_change(host.crashes, ROUND_PAUSE_S)


async def _poll_followed(host: DirectHost) -> bool:
    """Wait for changes of the followed control host; return whether it answers."""
    if not host.followed:
        return False
    try:
        await poll_until_changed(host.crashes, host.network, host.followed)
    except PeerUnreachable:
        return False
    return True
