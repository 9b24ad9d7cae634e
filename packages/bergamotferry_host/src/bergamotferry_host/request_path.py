"""The entry host's request path: dispatches a routed request here or forwards it.

This is the only layer that retries. Until the head of an answer has been sent to the
caller, a request may be retried even if an earlier attempt may have run it: an
idempotent request may run twice, and the dispatcher of a filing (a non-idempotent
request) looks up its idempotency key before it sends the filing. An answer that breaks
off after its head is resumed by a range request.
"""

import asyncio
import random

import aiohttp

from bergamotferry.key_exceptions import shard_in_force
from bergamotferry.messages import RequestHead, ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry.retry_budget import RetryBudget, backoff_ms, earn_retry, spend_retry
from bergamotferry.routing import find_owner, home_of_shard

from .answer_framing import is_final_status
from .answer_sinks import CountingSink, PeerSink, ResumedAnswerSink
from .background import report_failure
from .clock import now_ns
from .decision_log import log_attempt
from .dispatch import dispatch_here
from .exchange import (
    AnswerSink,
    RequestBody,
    Served,
    caller_gone_refusal,
    try_write,
)
from .host_state import HostState
from .peer_link import PeerStream, PeerUnreachable, StreamBroken
from .slow_link import SlowLink, traffic_class_of

NS_PER_MS = 1_000_000
N_ATTEMPTS_MAX = 60
# For one broken answer, the limit on attempts to resume it that cost an upstream work.
N_COSTLY_RESUMES_MAX = 5

# Refusals after which another host, or the same host a little later, may serve the
# request.
_TRANSIENT = frozenset(
    {
        ResultCode.NO_OWNER,
        ResultCode.NOT_DISPATCHER,
        ResultCode.STALE_EPOCH,
        ResultCode.OWNER_UNREACHABLE,
        ResultCode.UPSTREAM_SHED,
        ResultCode.NO_LEADER,
        ResultCode.HOST_STOPPING,
        ResultCode.HOST_NOT_READY,
    }
)
# Refusals that a host gives to all requests at present, so that it counts as
# unreachable.
_HOST_UNAVAILABLE = frozenset({ResultCode.HOST_STOPPING, ResultCode.HOST_NOT_READY})
# Refusals that have cost an upstream work, so that retries draw on the retry budget.
_COSTLY = frozenset(
    {
        ResultCode.UPSTREAM_FAILED,
        ResultCode.ANSWER_BROKEN,
        ResultCode.UPSTREAM_SHED,
    }
)
_BROKEN = frozenset({ResultCode.UPSTREAM_FAILED, ResultCode.ANSWER_BROKEN})


async def serve_request(
    state: HostState,
    is_idempotent: bool,
    head: RequestHead,
    body: RequestBody,
    sink: CountingSink,
) -> Served | Refused:
    """Serve a request, with retries while they are safe and the deadline allows.

    Returns
    -------
    Served or Refused
        If the last attempt was not run but an earlier one may have been, the refusal
        is that of the earlier attempt.
    """
    deadline_ns = now_ns() + head.deadline_ms * NS_PER_MS
    budget = state.dispatchers.retry_budget
    earn_retry(budget)
    refusal = Refused(ResultCode.NO_OWNER, "not tried")
    possibly_run: Refused | None = None
    for n_attempts in range(N_ATTEMPTS_MAX):
        time_left_ms = (deadline_ns - now_ns()) // NS_PER_MS
        if time_left_ms <= 0:
            break
        attempt_head = head._replace(deadline_ms=time_left_ms)
        home = home_of_shard(state.global_tables, head.shard, head.account)
        if isinstance(home, Refused):
            refusal = home
            break
        outcome = await _attempt(state, home, attempt_head, body, sink)
        if isinstance(outcome, Served) or outcome.code is ResultCode.CALLER_GONE:
            return outcome
        if sink.has_head:
            return await _resume(state, head, deadline_ns, sink, outcome)
        refusal = outcome
        if not outcome.is_not_run:
            possibly_run = outcome
        if not _is_retryable(outcome, body):
            break
        if _is_costly(outcome, is_idempotent) and not spend_retry(budget):
            state.metrics.incr("requests.retry_budget_spent")
            break
        if not _record_dispatcher_hint(state, head, outcome):
            await _back_off(budget, n_attempts)
    return _final_refusal(refusal, possibly_run, is_idempotent)


async def _back_off(budget: RetryBudget, n_attempts: int) -> None:
    budget.n_waiting += 1
    try:
        pause_ms = backoff_ms(n_attempts, budget.n_waiting, random.random())
        await asyncio.sleep(pause_ms / 1000)
    finally:
        budget.n_waiting -= 1


def _is_retryable(outcome: Refused, body: RequestBody) -> bool:
    # A retried filing goes to its dispatcher, which looks up the idempotency key before
    # it sends anything to the upstream, so that the filing runs at most once. A filing
    # whose outcome the dispatcher reports as unknown is never retried.
    is_transient = outcome.code in _TRANSIENT or outcome.code in _BROKEN
    return is_transient and body.is_replayable


def _is_costly(outcome: Refused, is_idempotent: bool) -> bool:
    # The retry of a filing whose stream broke is looked up by its idempotency key: if
    # the filing ran, the recorded outcome answers it, and no upstream does work twice.
    if outcome.code is ResultCode.ANSWER_BROKEN and not is_idempotent:
        return False
    return outcome.code in _COSTLY


def _final_refusal(
    outcome: Refused, possibly_run: Refused | None, is_idempotent: bool
) -> Refused:
    # That the last attempt was not run says nothing about an earlier attempt that may
    # have been run, so the refusal of the earlier attempt is reported.
    if outcome.is_not_run and possibly_run is not None:
        outcome = possibly_run
    if is_idempotent:
        return outcome
    if outcome.code is ResultCode.ANSWER_BROKEN:
        # Nothing records that the filing must not run again: the dispatcher may still
        # work on it or may never have received it. A resend under its idempotency key
        # gets the outcome, or runs the filing.
        return Refused(ResultCode.OUTCOME_PENDING, outcome.detail)
    if outcome.code is ResultCode.UPSTREAM_FAILED:
        return Refused(ResultCode.OUTCOME_UNKNOWN, outcome.detail)
    return outcome


async def _resume(
    state: HostState,
    head: RequestHead,
    deadline_ns: int,
    sink: CountingSink,
    broken: Refused,
) -> Served | Refused:
    """Request the rest of an answer that broke off, and append it to the answer.

    The rest must be of the same version, by its ``ETag``. While the shard has no owner,
    retries continue until the deadline. Retries that cost an upstream work are limited
    to ``N_COSTLY_RESUMES_MAX``.
    """
    n_costly = 0
    for n_attempts in range(N_ATTEMPTS_MAX):
        time_left_ms = (deadline_ns - now_ns()) // NS_PER_MS
        if time_left_ms <= 0 or not sink.is_resumable or head.method != "GET":
            break
        attempt_head = head._replace(
            deadline_ms=time_left_ms,
            range_header=f"bytes={sink.n_bytes}-",
            if_match=sink.etag,
        )
        body = RequestBody.empty()
        resumed_sink = ResumedAnswerSink(sink)
        outcome: Served | Refused
        home = home_of_shard(state.global_tables, head.shard, head.account)
        if isinstance(home, Refused):
            outcome = home
        else:
            outcome = await _attempt(state, home, attempt_head, body, resumed_sink)
        if isinstance(outcome, Served):
            if not resumed_sink.is_same_version:
                break
            return Served(sink.status, sink.n_bytes, outcome.upstream)
        n_costly += outcome.code in _COSTLY
        is_transient = outcome.code in _TRANSIENT or outcome.code in _BROKEN
        if (
            resumed_sink.is_refused
            or not is_transient
            or n_costly >= N_COSTLY_RESUMES_MAX
        ):
            break
        _record_dispatcher_hint(state, head, outcome)
        await _back_off(state.dispatchers.retry_budget, n_attempts)
    return broken


async def serve_peer(state: HostState, stream: PeerStream, head: RequestHead) -> None:
    """Dispatch a request that another host forwarded, and answer on its stream."""
    body = RequestBody(stream)
    link = SlowLink.from_request(state, stream.link.peer, head)
    stream.traffic_class = link.traffic_class
    sink = PeerSink(stream, link)
    outcome: Served | Refused | None = link.refusal(head.deadline_ms)
    if state.is_refusing_requests:
        outcome = Refused(ResultCode.HOST_STOPPING, "")
    if outcome is None:
        outcome = await dispatch_here(state, head, body, sink)
    if isinstance(outcome, Refused):
        if sink.has_head:
            # The head has been sent: only a cancelled stream tells the other host that
            # the answer is incomplete.
            await stream.cancel()
            return
        dispatcher = ""
        if outcome.code is ResultCode.NOT_DISPATCHER:
            dispatcher = outcome.detail
        refusal = ResponseHead(
            outcome.code, outcome.detail, 0, (), dispatcher, 0, False
        )
        await stream.send_head(refusal, True)


async def _attempt(
    state: HostState,
    data_centre: str,
    head: RequestHead,
    body: RequestBody,
    sink: AnswerSink,
) -> Served | Refused:
    host = _choose_host(state, data_centre, head)
    outcome: Served | Refused
    if not host:
        outcome = Refused(ResultCode.OWNER_UNREACHABLE, f"no host of {data_centre}")
    elif host == state.host.name:
        outcome = await dispatch_here(state, head, body, sink)
    else:
        outcome = await _forward(state, host, head, body, sink)
    log_attempt(head, host, outcome if isinstance(outcome, Refused) else None)
    return outcome


def _choose_host(state: HostState, data_centre: str, head: RequestHead) -> str:
    """Return the host to send a request to, or an empty string if there is none.

    In this data centre that is the owner's dispatcher, or this host if there is no
    owner. In another data centre it is the dispatcher that a refusal named, if it is
    reachable, or else a random host.
    """
    if data_centre == state.host.data_centre:
        shard = shard_in_force(state.own_tables, head.shard, head.key)
        owner = find_owner(state.own_tables, shard)
        if not isinstance(owner, Refused):
            return owner.dispatcher.host
        return state.host.name
    hosts = state.network.hosts.get(data_centre, ())
    hint = state.dispatcher_hints.get((data_centre, head.shard), "")
    if hint in hosts and state.network.is_reachable(hint):
        return hint
    reachable = [host for host in hosts if state.network.is_reachable(host)]
    return random.choice(reachable or hosts) if hosts else ""


def _record_dispatcher_hint(
    state: HostState, head: RequestHead, refusal: Refused
) -> bool:
    """Record the dispatcher that a refusal names.

    If the refusal names the recorded dispatcher again, the hint is removed.

    Returns
    -------
    bool
        Whether the hint is new, so that a retry needs no backoff.
    """
    if refusal.code is not ResultCode.NOT_DISPATCHER:
        return False
    host = refusal.detail
    address = state.network.addresses.get(host)
    if address is None or address.data_centre == state.host.data_centre:
        return False
    hint_key = (address.data_centre, head.shard)
    if state.dispatcher_hints.get(hint_key) == host:
        del state.dispatcher_hints[hint_key]
        return False
    state.dispatcher_hints[hint_key] = host
    return True


async def _forward(
    state: HostState,
    host: str,
    head: RequestHead,
    body: RequestBody,
    sink: AnswerSink,
) -> Served | Refused:
    try:
        stream = await state.network.open_stream(
            host, head, body.is_empty, traffic_class_of(state, head)
        )
    except PeerUnreachable:
        return Refused(ResultCode.OWNER_UNREACHABLE, f"host {host} is unreachable")
    except StreamBroken:
        return Refused(ResultCode.ANSWER_BROKEN, f"the stream to {host} broke")
    sender = None
    if not body.is_empty:
        sender = asyncio.create_task(_send_body(stream, body))
        sender.add_done_callback(report_failure)
    try:
        async with asyncio.timeout(head.deadline_ms / 1000 + 0.5):
            response = await stream.receive_head()
            if not isinstance(response, ResponseHead):
                raise StreamBroken("the first frame of the answer is not a head")
            if response.status == 0:
                if response.code in _HOST_UNAVAILABLE:
                    state.network.record_unreachable(host)
                detail = response.dispatcher or response.detail
                return Refused(ResultCode(response.code), detail)
            if not is_final_status(response.status):
                raise StreamBroken("the status of the answer is none")
            return await _relay_answer(stream, response, sink)
    except TimeoutError:
        return Refused(ResultCode.DEADLINE_EXPIRED_RUNNING, f"no answer from {host}")
    except (StreamBroken, PeerUnreachable):
        if body.is_broken:
            return Refused(ResultCode.CALLER_GONE, "the body broke off")
        return Refused(ResultCode.ANSWER_BROKEN, f"the stream to {host} broke")
    finally:
        if sender is not None:
            sender.cancel()
            # The sender must have ended before a retry reads the body: two concurrent
            # readers would each miss chunks.
            await asyncio.wait([sender])
        await stream.cancel()


async def _send_body(stream: PeerStream, body: RequestBody) -> None:
    try:
        async for chunk in body.chunks():
            await stream.send(chunk)
        await stream.end()
    except (StreamBroken, PeerUnreachable):
        return
    except Exception as error:
        # Reading the caller's body failed. The stream is cancelled, so that the
        # dispatcher does not take the part that it received for the whole body.
        await stream.cancel()
        stream.abort()
        if not isinstance(error, aiohttp.ClientError | OSError):
            raise


async def _relay_answer(
    stream: PeerStream, response: ResponseHead, sink: AnswerSink
) -> Served | Refused:
    if not await try_write(sink.head(response)):
        return caller_gone_refusal()
    n_bytes = 0
    while (data := await stream.receive()) is not None:
        n_bytes += len(data)
        if not await try_write(sink.data(data)):
            return caller_gone_refusal()
    if not await try_write(sink.end()):
        return caller_gone_refusal()
    return Served(response.status, n_bytes, "")
