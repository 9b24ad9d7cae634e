"""The entry host's part: from a routed request to an answer, over one or two hosts.

This is the only layer that tries again, and it does so only when the request was not
run or is idempotent, while nothing has been passed to the caller yet.
"""

import asyncio
import random

import aiohttp

from bergamotferry.key_exceptions import shard_in_force
from bergamotferry.messages import RequestHead, ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry.retry_budget import RetryBudget, backoff_ms, earn_try, spend_try
from bergamotferry.routing import find_owner, home_of_shard

from .answer_sinks import CountingSink, PeerSink, RestSink
from .background import report_failure
from .clock import now_ns
from .decision_log import log_attempt
from .dispatch import dispatch_here
from .exchange import (
    AnswerSink,
    RequestBody,
    Served,
    caller_gone,
    is_taken,
)
from .host_state import HostState
from .peer_link import PeerStream, PeerUnreachable, StreamBroken
from .slow_link import SlowLink, traffic_class_of

NS_PER_MS = 1_000_000
N_ATTEMPTS_MAX = 60
# Tries for the rest of one broken answer that may cost an upstream work.
N_RESUMES_MAX = 5

# Refusals after which another host, or the same one a little later, may serve.
_PASSING = frozenset(
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
# These hold for all that is asked of a host just now.
_OF_THE_HOST = frozenset({ResultCode.HOST_STOPPING, ResultCode.HOST_NOT_READY})
# These have cost an upstream work, so that trying again is budgeted.
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
    """Serve a request, trying again while that is safe and the deadline allows."""
    deadline_ns = now_ns() + head.deadline_ms * NS_PER_MS
    budget = state.dispatchers.retry_budget
    earn_try(budget)
    refusal = Refused(ResultCode.NO_OWNER, "not tried")
    maybe_run: Refused | None = None
    for n_tries in range(N_ATTEMPTS_MAX):
        left_ms = (deadline_ns - now_ns()) // NS_PER_MS
        if left_ms <= 0:
            break
        attempt = head._replace(deadline_ms=left_ms)
        home = home_of_shard(state.global_tables, head.shard, head.account)
        if isinstance(home, Refused):
            refusal = home
            break
        outcome = await _attempt(state, home, attempt, body, sink)
        if isinstance(outcome, Served) or outcome.code is ResultCode.CALLER_GONE:
            return outcome
        if sink.has_head:
            return await _resume(state, head, deadline_ns, sink, outcome)
        refusal = outcome
        if not outcome.is_not_run:
            maybe_run = outcome
        if not _may_try_again(outcome, body):
            break
        if _is_costly(outcome, is_idempotent) and not spend_try(budget):
            state.metrics.incr("requests.retry_budget_spent")
            break
        if not _learn_dispatcher(state, head, outcome):
            await _pause(budget, n_tries)
    return _final_refusal(refusal, maybe_run, is_idempotent)


async def _pause(budget: RetryBudget, n_tries: int) -> None:
    budget.n_waiting += 1
    try:
        pause_ms = backoff_ms(n_tries, budget.n_waiting, random.random())
        await asyncio.sleep(pause_ms / 1000)
    finally:
        budget.n_waiting -= 1


def _may_try_again(outcome: Refused, body: RequestBody) -> bool:
    # A non-idempotent request is sent again to its dispatcher, not to its upstream:
    # its idempotency key is looked up there, and it runs at most once. What the
    # dispatcher itself calls unknown is never tried again.
    is_passing = outcome.code in _PASSING or outcome.code in _BROKEN
    return is_passing and body.is_replayable


def _is_costly(outcome: Refused, is_idempotent: bool) -> bool:
    # A filing whose stream broke is looked up by its idempotency key when it is sent
    # again: if it ran, the record answers, and no upstream does the work twice.
    if outcome.code is ResultCode.ANSWER_BROKEN and not is_idempotent:
        return False
    return outcome.code in _COSTLY


def _final_refusal(
    outcome: Refused, maybe_run: Refused | None, is_idempotent: bool
) -> Refused:
    # A last try that was not run says nothing about an earlier one that may have.
    if outcome.is_not_run and maybe_run is not None:
        outcome = maybe_run
    if outcome.code in _BROKEN and not is_idempotent:
        return Refused(ResultCode.OUTCOME_UNKNOWN, outcome.detail)
    return outcome


async def _resume(
    state: HostState,
    head: RequestHead,
    deadline_ns: int,
    sink: CountingSink,
    broken: Refused,
) -> Served | Refused:
    """Fetch the rest of an answer that broke off, from the same version only.

    A lost owner is waited for until the deadline; tries that cost an upstream work are
    few.
    """
    n_costly = 0
    for n_tries in range(N_ATTEMPTS_MAX):
        left_ms = (deadline_ns - now_ns()) // NS_PER_MS
        if left_ms <= 0 or not sink.is_resumable or head.method != "GET":
            break
        attempt = head._replace(
            deadline_ms=left_ms,
            range_header=f"bytes={sink.n_bytes}-",
            if_match=sink.etag,
        )
        body = RequestBody.empty()
        rest = RestSink(sink)
        outcome: Served | Refused
        home = home_of_shard(state.global_tables, head.shard, head.account)
        if isinstance(home, Refused):
            outcome = home
        else:
            outcome = await _attempt(state, home, attempt, body, rest)
        if isinstance(outcome, Served):
            if not rest.is_same_version:
                break
            return Served(sink.status, sink.n_bytes, outcome.upstream)
        n_costly += outcome.code in _COSTLY
        is_passing = outcome.code in _PASSING or outcome.code in _BROKEN
        if rest.is_refused or not is_passing or n_costly >= N_RESUMES_MAX:
            break
        _learn_dispatcher(state, head, outcome)
        await _pause(state.dispatchers.retry_budget, n_tries)
    return broken


async def serve_peer(state: HostState, stream: PeerStream, head: RequestHead) -> None:
    """Dispatch a request that another host forwarded."""
    body = RequestBody(stream)
    link = SlowLink.from_request(state, stream.link.peer, head)
    stream.traffic_class = link.traffic_class
    sink = PeerSink(stream, link)
    outcome: Served | Refused | None = link.refusal(head.deadline_ms)
    if state.is_refusing:
        outcome = Refused(ResultCode.HOST_STOPPING, "")
    if outcome is None:
        outcome = await dispatch_here(state, head, body, sink)
    if isinstance(outcome, Refused):
        if sink.has_head:
            # The head is out; only a broken stream tells that this is short.
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


def _learn_dispatcher(state: HostState, head: RequestHead, refusal: Refused) -> bool:
    """Note a dispatcher that a refusal names; return whether it was news."""
    if refusal.code is not ResultCode.NOT_DISPATCHER:
        return False
    host = refusal.detail
    address = state.network.addresses.get(host)
    if address is None or address.data_centre == state.host.data_centre:
        return False
    place = (address.data_centre, head.shard)
    if state.dispatcher_hints.get(place) == host:
        del state.dispatcher_hints[place]
        return False
    state.dispatcher_hints[place] = host
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
    sender = None
    if not body.is_empty:
        sender = asyncio.create_task(_send_body(stream, body))
        sender.add_done_callback(report_failure)
    try:
        async with asyncio.timeout(head.deadline_ms / 1000 + 0.5):
            response = await stream.receive_head()
            if not isinstance(response, ResponseHead):
                raise StreamBroken("the answer has no head")
            if response.status == 0:
                if response.code in _OF_THE_HOST:
                    state.network.note_unreachable(host)
                detail = response.dispatcher or response.detail
                return Refused(ResultCode(response.code), detail)
            return await _pass_on(stream, response, sink)
    except TimeoutError:
        return Refused(ResultCode.DEADLINE_EXPIRED_RUNNING, f"no answer from {host}")
    except (StreamBroken, PeerUnreachable):
        if body.is_broken:
            return Refused(ResultCode.CALLER_GONE, "the body broke off")
        return Refused(ResultCode.ANSWER_BROKEN, f"the stream to {host} broke")
    finally:
        if sender is not None:
            sender.cancel()
            # Waited for, since two readers of one body would take parts of each other.
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
        # The caller's body broke: the dispatcher must not take it for whole.
        await stream.cancel()
        stream.break_off()
        if not isinstance(error, aiohttp.ClientError | OSError):
            raise


async def _pass_on(
    stream: PeerStream, response: ResponseHead, sink: AnswerSink
) -> Served | Refused:
    if not await is_taken(sink.head(response)):
        return caller_gone()
    n_bytes = 0
    while (data := await stream.receive()) is not None:
        n_bytes += len(data)
        if not await is_taken(sink.data(data)):
            return caller_gone()
    if not await is_taken(sink.end()):
        return caller_gone()
    return Served(response.status, n_bytes, "")
