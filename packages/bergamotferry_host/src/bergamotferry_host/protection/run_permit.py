"""Holds a permit while a request under suspicion runs.

Usually no request is under suspicion, and nothing is asked. One that is runs in one
place at a time: on this host by a lock, among the hosts by a permit of the leader.
Requests of the same content wait meanwhile; the success of the first clears them all.
If no leader can be asked, a suspected request runs all the same, and a trial doesn't.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from bergamotferry.fleet_messages import AskRunPermit, RunPermitReply
from bergamotferry.outcomes import Refused
from bergamotferry.protection.crash_records import (
    N_ENDS_MAX,
    known_ends,
    logged_fingerprint,
    row_of,
)
from bergamotferry.result_codes import ResultCode

from ..background import start_task
from ..clock import now_ns
from ..crash_exchange import record_rows
from ..direct_crashes import ends_known_of, fingerprint_of, quarantine_refusal
from ..direct_host import DirectHost
from ..leader_calls import ask_followed
from ..logs import log_routine
from ..request_state import DirectRequest, time_to_answer_ms

ASK_PAUSE_S = 0.05
# The rest of a request's time is left for its run.
WAIT_SHARE = 0.5


@contextlib.asynccontextmanager
async def hold_run_permit(
    host: DirectHost, request: DirectRequest
) -> AsyncIterator[Refused | None]:
    """Hold the right to run a request once; yields a refusal if it may not run."""
    if ends_known_of(host, request).n_ends == 0:
        yield None
        return
    fingerprint = fingerprint_of(request)
    lock = host.run_locks.setdefault(fingerprint, asyncio.Lock())
    wait_s = max(0.0, time_to_answer_ms(host, request) * WAIT_SHARE / 1000)
    try:
        async with asyncio.timeout(wait_s):
            await lock.acquire()
    except TimeoutError:
        yield _refuse_run_elsewhere(host, fingerprint)
        return
    is_held, is_granted = True, False

    def release(has_lost_upstream: bool) -> None:
        nonlocal is_held
        if is_held:
            is_held = False
            _release(host, fingerprint, lock, is_granted, has_lost_upstream)

    try:
        refusal, is_granted = await _wait_for_permit(host, request, wait_s)
        # A content that was cleared needs a permit again if it is suspected anew.
        is_suspected = known_ends(host.crashes.table, fingerprint).n_ends > 0
        request.has_run_permit = refusal is None and is_suspected
        if request.caller is not None:
            # An upstream that answers hasn't ended, and a caller may read for long.
            request.caller.on_begin = lambda: release(False)
        yield refusal
    finally:
        request.has_run_permit = False
        release(request.is_run_open)


def _release(
    host: DirectHost,
    fingerprint: str,
    lock: asyncio.Lock,
    is_granted: bool,
    has_lost_upstream: bool,
) -> None:
    """Let the next run begin, on this host and on others."""
    lock.release()
    if known_ends(host.crashes.table, fingerprint).n_ends == 0:
        # Whoever still waits for the lock needs no permit any more.
        host.run_locks.pop(fingerprint, None)
    if is_granted:
        row = row_of(host.crashes.table, fingerprint, now_ns())
        message = AskRunPermit(host.settings.name, row, True, has_lost_upstream)
        start_task(_ask(host, message), host.notice_tasks)


def lacks_run_permit(host: DirectHost, request: DirectRequest) -> bool:
    """Return whether an end became known since the request began without a permit."""
    return not request.has_run_permit and ends_known_of(host, request).n_ends > 0


async def _wait_for_permit(
    host: DirectHost, request: DirectRequest, wait_s: float
) -> tuple[Refused | None, bool]:
    """Return a refusal or None, and whether the leader has granted a permit."""
    fingerprint, end_ns = fingerprint_of(request), now_ns() + int(wait_s * 1e9)
    table = host.crashes.table
    while True:
        refusal = quarantine_refusal(host, request)
        if refusal is not None:
            return refusal, False
        known = known_ends(table, fingerprint)
        if known.n_ends == 0:
            return None, False
        row = row_of(table, fingerprint, now_ns())
        reply = await _ask(host, AskRunPermit(host.settings.name, row))
        if reply is None:
            return _without_leader(host, request), False
        record_rows(host.crashes, [reply.row])
        if reply.is_granted:
            return None, True
        if request.is_trial or now_ns() >= end_ns:
            return _refuse_run_elsewhere(host, fingerprint), False
        change_event = host.crashes.change_event
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ASK_PAUSE_S):
                await change_event.wait()


def _without_leader(host: DirectHost, request: DirectRequest) -> Refused | None:
    n_ends = known_ends(host.crashes.table, request.fingerprint).n_ends
    log_routine(
        "no permit, no leader",
        request_id=request.request_id,
        fingerprint=logged_fingerprint(request.fingerprint),
        n_ends=n_ends,
    )
    if n_ends < N_ENDS_MAX:
        return None
    return _refuse_run_elsewhere(host, request.fingerprint)


def _refuse_run_elsewhere(host: DirectHost, fingerprint: str) -> Refused:
    """Return the refusal of a run while there is another one of the same content."""
    detail = "upstreams ended under it, and another run is under way"
    n_ends = known_ends(host.crashes.table, fingerprint).n_ends
    is_quarantined = n_ends >= N_ENDS_MAX
    code = ResultCode.REQUEST_QUARANTINED if is_quarantined else ResultCode.QUEUE_FULL
    return Refused(code, detail)


async def _ask(host: DirectHost, message: AskRunPermit) -> RunPermitReply | None:
    reply = await ask_followed(host, message)
    return reply if isinstance(reply, RunPermitReply) else None
