"""Runs non-idempotent requests (filings) at most once, by their idempotency key.

The dispatcher commits an intent in the data centre's group before anything is sent to
the upstream, and the outcome before any part of the answer is sent to the caller. A
resend through any host therefore finds the intent or the outcome. All of this continues
after the caller has disconnected.
"""

import asyncio
import hashlib
import secrets
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from bergamotferry.commands import (
    ForgetIntent,
    RecordIntent,
    RecordOutcome,
)
from bergamotferry.messages import RequestHead, ResponseHead
from bergamotferry.outcome_tables import OUTCOME_BODY_MAX_BYTES, is_body_complete
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.records import OutcomeRecord, Route
from bergamotferry.result_codes import ResultCode

from .background import start_task
from .clock import now_ns
from .dispatcher_table import UpstreamWork
from .exchange import AnswerSink, RequestBody, Served, UpstreamRequest
from .group_commit import commit
from .host_state import HostState
from .logs import log_warning
from .outcome_transfer import pass_on_resolution
from .upstream_call import time_left_s

# Answers to non-idempotent requests are held in memory until their outcome is
# committed; larger ones are not delivered.
FILING_ANSWER_MAX_BYTES = 1024 * 1024
RECORD_TIMEOUT_S = 30.0
PENDING_WAIT_S = 2.0
PENDING_POLL_S = 0.02


@dataclass(slots=True)
class HeldAnswer:
    """A sink that holds an answer until its outcome is committed.

    ``size_bytes`` and ``digest`` (SHA-256) describe the whole body, even if the
    body exceeds ``FILING_ANSWER_MAX_BYTES`` and is therefore discarded.
    """

    response: ResponseHead | None = None
    body: bytearray = field(default_factory=bytearray)
    size_bytes: int = 0
    digest: "hashlib._Hash" = field(default_factory=hashlib.sha256)

    async def head(self, head: ResponseHead) -> None:
        """Hold the head."""
        self.response = head

    async def data(self, data: bytes) -> None:
        """Hold a part of the body; discard all of it once it is too large."""
        self.size_bytes += len(data)
        self.digest.update(data)
        if self.size_bytes <= FILING_ANSWER_MAX_BYTES:
            self.body += data
        else:
            self.body.clear()

    async def end(self) -> None:
        """Do nothing: ``size_bytes`` shows whether the whole body is held."""


SendFiling = Callable[[AnswerSink], Awaitable[Served | Refused | None]]
FilingResult = HeldAnswer | OutcomeRecord | Refused


async def read_filing_body(
    body: RequestBody, route: Route, deadline_ns: int
) -> bytes | Refused | None:
    """Read the whole body of a filing; None for an idempotent route.

    The body is read before a slot is taken, so that a slow caller holds no slot. Bodies
    of idempotent requests are streamed to the upstream.
    """
    if route.is_idempotent:
        return None
    content = bytearray()
    try:
        async with asyncio.timeout(max(0.0, time_left_s(deadline_ns))):
            async for chunk in body.chunks():
                content += chunk
                if len(content) > route.max_body_bytes:
                    detail = f"limit is {route.max_body_bytes} bytes"
                    return Refused(ResultCode.BODY_TOO_LARGE, detail)
    except TimeoutError:
        return Refused(ResultCode.SENDER_TOO_SLOW, "the body did not come in time")
    return bytes(content)


def recorded_outcome(
    state: HostState, head: RequestHead, content: bytes
) -> OutcomeRecord | None:
    """Return the record of a filing that ran before, if this host's tables have it.

    Such a resend is answered without a slot and without a commit, because many callers
    may resend at once after a fault.
    """
    record = state.own_tables.outcomes.get((head.account, _record_key(head)))
    if record is None or record.state != "done":
        return None
    is_same = record.request_sha256 == _request_sha256(head, content)
    return record if is_same else None


async def run_once(
    state: HostState,
    work: UpstreamWork,
    request: UpstreamRequest,
    send: SendFiling,
    free_slot: Callable[[], None],
) -> FilingResult:
    """Run a non-idempotent request at most once, and record its outcome.

    Parameters
    ----------
    state : HostState
        This host.
    work : UpstreamWork
        This host's state for the upstream.
    request : UpstreamRequest
        The filing; it holds a slot of the upstream.
    send : SendFiling
        Sends the filing, writes the answer to the given sink, and frees the slot.
    free_slot : callable
        Frees the slot; called instead of ``send`` as soon as it is known that nothing
        will be sent.

    Returns
    -------
    HeldAnswer, OutcomeRecord or Refused
        The answer of this run, the recorded outcome of an earlier one, or a refusal.
    """
    intent = _intent_command(request, secrets.token_hex(8))
    work.unresolved_attempts.add(intent.attempt_id)
    outcome = await commit(state.own_group, intent, time_left_s(request.deadline_ns))
    if isinstance(outcome, Refused):
        free_slot()
        if outcome.code is ResultCode.NO_LEADER:
            # The intent may be committed all the same, so it is withdrawn.
            withdrawal = _withdraw_intent(state, work, intent)
            start_task(withdrawal, state.dispatchers.background_tasks)
            return outcome
        work.unresolved_attempts.discard(intent.attempt_id)
        return await _result_of_earlier_send(state, work, request, intent, outcome)
    try:
        answer = HeldAnswer()
        result = await send(answer)
        return await _record_result(state, request, intent, answer, result)
    finally:
        work.unresolved_attempts.discard(intent.attempt_id)


async def write_result(
    state: HostState, result: FilingResult, sink: AnswerSink
) -> Served | Refused:
    """Write the result of a non-idempotent request to the caller's sink."""
    if isinstance(result, Refused):
        return result
    if isinstance(result, OutcomeRecord):
        return await _replay(state, result, sink)
    if result.response is None or len(result.body) != result.size_bytes:
        return _not_kept_refusal(result.size_bytes, result.digest.hexdigest())
    await sink.head(result.response)
    await sink.data(bytes(result.body))
    await sink.end()
    return Served(result.response.status, result.size_bytes, "")


async def _withdraw_intent(
    state: HostState, work: UpstreamWork, intent: RecordIntent
) -> None:
    try:
        await _commit_resolution(state, intent, _forget_command(intent))
    finally:
        work.unresolved_attempts.discard(intent.attempt_id)


def _intent_command(request: UpstreamRequest, attempt_id: str) -> RecordIntent:
    head = request.head
    return RecordIntent(
        head.account,
        _record_key(head),
        head.shard,
        _request_sha256(head, request.content or b""),
        int(time.time()),
        attempt_id,
        request.owner.grant.epoch,
        request.owner.dispatcher.epoch,
    )


def _record_key(head: RequestHead) -> str:
    return f"{head.service}/{head.idempotency_key}"


def _request_sha256(head: RequestHead, content: bytes) -> str:
    parts = (head.service, head.route, head.key)
    digest = hashlib.sha256(b"\x00".join(part.encode() for part in parts))
    digest.update(b"\x00" + content)
    return digest.hexdigest()


def _forget_command(intent: RecordIntent) -> ForgetIntent:
    return ForgetIntent(
        intent.account,
        intent.idempotency_key,
        intent.request_sha256,
        intent.attempt_id,
    )


async def _record_result(
    state: HostState,
    request: UpstreamRequest,
    intent: RecordIntent,
    answer: HeldAnswer,
    result: Served | Refused | None,
) -> FilingResult:
    if result is None:
        result = Refused(ResultCode.OUTCOME_UNKNOWN, "the owner was lost")
        if not request.progress.is_sent:
            result = Refused(ResultCode.NO_OWNER, "the owner was lost")
    if isinstance(result, Refused) and result.is_not_run:
        await _commit_resolution(state, intent, _forget_command(intent))
        return result
    if isinstance(result, Refused):
        unknown = _outcome_command(intent, "unknown", HeldAnswer())
        await _commit_resolution(state, intent, unknown)
        return result
    done = _outcome_command(intent, "done", answer)
    if await _commit_resolution(state, intent, done):
        return answer
    detail = "it ran, but that could not be recorded"
    return Refused(ResultCode.OUTCOME_UNKNOWN, detail)


def _outcome_command(
    intent: RecordIntent, state: str, answer: HeldAnswer
) -> RecordOutcome:
    headers = dict(answer.response.headers) if answer.response else {}
    is_kept = answer.size_bytes <= OUTCOME_BODY_MAX_BYTES
    return RecordOutcome(
        intent.account,
        intent.idempotency_key,
        "done" if state == "done" else "unknown",
        answer.response.status if answer.response else 0,
        headers.get("Content-Type", ""),
        bytes(answer.body) if is_kept else b"",
        intent.attempt_id,
        answer.size_bytes,
        answer.digest.hexdigest(),
    )


async def _commit_resolution(
    state: HostState, intent: RecordIntent, command: RecordOutcome | ForgetIntent
) -> bool:
    """Commit how an intent was resolved, and return whether it was accepted.

    While there is no leader, the commit is retried for up to ``RECORD_TIMEOUT_S``. If
    the shard has been handed over meanwhile, its next home must accept it too.
    """
    outcome = await commit(state.own_group, command, RECORD_TIMEOUT_S)
    if isinstance(outcome, Accepted):
        return True
    if outcome.code is ResultCode.STALE_EPOCH and await pass_on_resolution(
        state, intent.shard, intent.account, command, RECORD_TIMEOUT_S
    ):
        return True
    name = type(command).__name__
    log_warning("outcome not recorded", command=name, code=int(outcome.code))
    return False


async def _result_of_earlier_send(
    state: HostState,
    work: UpstreamWork,
    request: UpstreamRequest,
    intent: RecordIntent,
    refusal: Refused,
) -> FilingResult:
    """Return the result of a filing whose idempotency key is in use already.

    The outcome of a pending intent is awaited for up to ``PENDING_WAIT_S``.
    """
    if refusal.code != ResultCode.OUTCOME_PENDING:
        return refusal
    wait_deadline_ns = min(request.deadline_ns, now_ns() + int(PENDING_WAIT_S * 1e9))
    key = (intent.account, intent.idempotency_key)
    is_seen = is_orphan_resolved = False
    while now_ns() < wait_deadline_ns:
        # This host's tables may lag behind the leader that refused the intent, so a
        # missing record means a withdrawn intent only if it was present before.
        record = state.own_tables.outcomes.get(key)
        if record is None and is_seen:
            return Refused(ResultCode.NO_LEADER, "an earlier try was taken back")
        is_seen = is_seen or record is not None
        if record is not None and record.state == "done":
            return record
        if record is not None and record.state == "unknown":
            return Refused(ResultCode.OUTCOME_UNKNOWN, "it may have run; not run again")
        if (
            record is not None
            and _is_orphan(work, record, intent)
            and not is_orphan_resolved
        ):
            orphan = intent._replace(attempt_id=record.attempt_id)
            unknown = _outcome_command(orphan, "unknown", HeldAnswer())
            await _commit_resolution(state, orphan, unknown)
            is_orphan_resolved = True
        await asyncio.sleep(PENDING_POLL_S)
    return refusal


def _is_orphan(work: UpstreamWork, record: OutcomeRecord, intent: RecordIntent) -> bool:
    """Return whether this dispatcher recorded the intent but no longer handles it."""
    is_own = record.dispatcher_epoch == work.epoch == intent.dispatcher_epoch
    is_same_grant = record.grant_epoch == intent.grant_epoch
    return (
        is_own and is_same_grant and record.attempt_id not in work.unresolved_attempts
    )


async def _replay(
    state: HostState, record: OutcomeRecord, sink: AnswerSink
) -> Served | Refused:
    if not is_body_complete(record):
        return _not_kept_refusal(record.size_bytes, record.body_sha256)
    headers = [("Content-Length", str(record.size_bytes))]
    if record.content_type:
        headers.append(("Content-Type", record.content_type))
    code = ResultCode.SERVED if record.status < 500 else ResultCode.UPSTREAM_FAILED
    head = ResponseHead(
        code, "", record.status, tuple(headers), state.host.name, 0, True
    )
    await sink.head(head)
    await sink.data(record.body)
    await sink.end()
    return Served(record.status, len(record.body), "")


def _not_kept_refusal(size_bytes: int, sha256: str) -> Refused:
    detail = f"the answer had {size_bytes} bytes, SHA-256 {sha256}"
    return Refused(ResultCode.OUTCOME_NOT_KEPT, detail)
