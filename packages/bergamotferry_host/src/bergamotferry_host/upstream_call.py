"""Sends one request to an upstream over HTTP and relays its answer.

The host's lease and the grant are rechecked just before anything is written. The result
code relies on the client library's tracing: a request is reported as "not run" only if
no byte of it was handed to a connection, or if the upstream reports that itself.

Idempotent requests use kept-alive connections. If such a connection is found closed or
silent, the request is sent once more over a fresh connection. Filings (non-idempotent
requests) use fresh connections only, since a reset of a kept-alive connection leaves
open whether they ran.

An answer belongs to a request only if it bears the request's id, which no connection
carries twice, or if it bears none and is the first answer of its connection. Such a
connection isn't kept. Otherwise a copy of an earlier answer would reach another caller.
"""

from collections.abc import AsyncIterator
from types import SimpleNamespace
from urllib.parse import quote

import aiohttp
from yarl import URL

from bergamotferry.key_exceptions import shard_in_force
from bergamotferry.messages import RequestHead, ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.records import ShardId, TrafficClass
from bergamotferry.result_codes import ResultCode
from bergamotferry.routing import Owner, find_owner

from .answer_framing import has_length
from .clock import now_ns
from .codec import encodable_text
from .exchange import (
    AnswerSink,
    SendProgress,
    Served,
    UpstreamRequest,
    caller_gone_refusal,
    try_write,
)
from .host_state import HostState
from .http_answers import REQUEST_ID_HEADER
from .orders import shard_text
from .upstream_connections import (
    UniqueIdConnector,
    UpstreamResponse,
    close_connection,
    keep_no_longer,
)
from .write_guard import WriteRefusedError, check_write

CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
PROGRESS_TIMEOUT_S: dict[TrafficClass, float] = {
    "lookup": 1.0,
    "filing": 10.0,
    "bulk": 3.0,
}
_RELAYED_HEADERS = (
    "Content-Type",
    "Content-Encoding",
    "ETag",
    "Content-Range",
    "Accept-Ranges",
)


class SentAlready(aiohttp.ClientError):  # noqa: N818 - the name is sent to callers
    """The client library tried to send a request a second time on its own."""


def open_upstream_client(is_fresh: bool = False) -> aiohttp.ClientSession:
    """Return an HTTP client for upstreams that traces the progress of each send.

    With ``is_fresh`` each request opens a connection of its own.
    """
    return aiohttp.ClientSession(
        connector=UniqueIdConnector(REQUEST_ID_HEADER, limit=0, force_close=is_fresh),
        response_class=UpstreamResponse,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        trace_configs=[_trace_progress()],
    )


async def send_to_upstream(
    state: HostState,
    request: UpstreamRequest,
    sink: AnswerSink,
) -> Served | Refused:
    """Send a request to its owner and relay the answer to a sink."""
    kept, fresh = state.dispatchers.kept_http, state.dispatchers.fresh_http
    if kept is None or fresh is None:
        return Refused(ResultCode.NOT_DISPATCHER, "")
    if not request.route.is_idempotent:
        return await _send_once(state, fresh, request, sink, None)
    progress_timeout_s = PROGRESS_TIMEOUT_S[request.route.traffic_class]
    outcome = await _send_once(state, kept, request, sink, progress_timeout_s)
    progress = request.progress
    if isinstance(outcome, Served) or not progress.is_reused:
        return outcome
    if progress.has_head or not request.body.is_replayable:
        return outcome
    if outcome.is_not_run or outcome == _timed_out_refusal():
        # It was not sent, or the upstream has answered, or no time is left.
        return outcome
    # The kept-alive connection was closed or silent, or answered another request, which
    # says nothing about the state of the upstream itself.
    request.progress = SendProgress()
    retried = await _send_once(state, fresh, request, sink, None)
    if isinstance(retried, Refused) and retried.is_not_run:
        request.progress = progress
        return outcome
    return retried


def check_owner(state: HostState, shard: ShardId) -> Owner | Refused:
    """Return the owner of a shard if this host may send to it at this moment.

    This host must be the owner's dispatcher and hold its own lease.
    """
    owner = find_owner(state.own_tables, shard)
    if isinstance(owner, Refused):
        return owner
    if owner.dispatcher.host != state.host.name:
        return Refused(ResultCode.NOT_DISPATCHER, owner.dispatcher.host)
    if not state.has_host_lease:
        return Refused(ResultCode.NOT_DISPATCHER, "")
    return owner


def check_owner_of_key(state: HostState, head: RequestHead) -> Owner | Refused:
    """Return the owner of a request's key if this host may send to it at this moment.

    The entry host names the home shard. Whether the key has an exception is decided
    here, at the dispatcher, because the entry host's tables may lag.
    """
    return check_owner(state, shard_in_force(state.own_tables, head.shard, head.key))


def upstream_url(address: str, route: str, key: str) -> URL:
    """Return the URL of a key, encoded so that the upstream decodes the exact key."""
    return URL(f"http://{address}/{quote(route)}/{quote(key)}", encoded=True)


def time_left_s(deadline_ns: int) -> float:
    """Return the seconds until a deadline; negative once the deadline has passed."""
    return (deadline_ns - now_ns()) / 1e9


async def _send_once(
    state: HostState,
    http: aiohttp.ClientSession,
    request: UpstreamRequest,
    sink: AnswerSink,
    progress_timeout_s: float | None,
) -> Served | Refused:
    def guard() -> Refused | None:
        # Checking the grant's own shard is enough: an exception that was made meanwhile
        # has given the home shard another epoch.
        return _recheck_owner(state, request.owner, request.owner.grant.shard)

    refusal = guard()
    if refusal is not None:
        return refusal
    if time_left_s(request.deadline_ns) <= 0:
        return Refused(ResultCode.DEADLINE_EXPIRED_IN_QUEUE, "no time is left")
    head = request.head
    request.progress.guard = guard
    timeout = aiohttp.ClientTimeout(
        total=time_left_s(request.response_deadline_ns),
        sock_connect=CONNECT_TIMEOUT_S,
        sock_read=progress_timeout_s,
    )
    try:
        async with http.request(
            head.method,
            upstream_url(request.owner.session.address, head.route, head.key),
            headers=_upstream_headers(request),
            data=_upstream_body(request),
            timeout=timeout,
            allow_redirects=False,
            trace_request_ctx=request.progress,
        ) as response:
            ids = response.headers.getall(REQUEST_ID_HEADER, [])
            if ids != [head.request_id]:
                if ids or request.progress.is_reused:
                    close_connection(response)
                    return _refusal_of_other_answer(request, bool(ids))
                keep_no_longer(response)
            refusal = _refusal_of_upstream(response)
            if refusal is not None:
                return refusal
            return await _relay_answer(state, request, response, sink)
    except WriteRefusedError as error:
        return error.refusal
    except (aiohttp.ClientError, OSError) as error:
        return _refusal_of_failure(request, error)


def _recheck_owner(state: HostState, owner: Owner, shard: ShardId) -> Refused | None:
    current = check_owner(state, shard)
    if isinstance(current, Refused):
        return current
    if current.grant.epoch != owner.grant.epoch:
        return Refused(ResultCode.STALE_EPOCH, "the grant was replaced")
    if current.dispatcher.epoch != owner.dispatcher.epoch:
        return Refused(ResultCode.NOT_DISPATCHER, "")
    return None


def _refusal_of_failure(request: UpstreamRequest, error: Exception) -> Refused:
    progress = request.progress
    if not progress.is_sent:
        if time_left_s(request.deadline_ns) <= 0:
            return Refused(ResultCode.DEADLINE_EXPIRED_IN_QUEUE, "no time is left")
        return Refused(ResultCode.NO_OWNER, "the owner takes no connection")
    detail = type(error).__name__
    if request.body.is_broken:
        return caller_gone_refusal()
    progress.is_reset = not isinstance(error, TimeoutError)
    if not request.route.is_idempotent:
        return Refused(ResultCode.OUTCOME_UNKNOWN, detail)
    if (
        isinstance(error, TimeoutError)
        and time_left_s(request.response_deadline_ns) <= 0
    ):
        return _timed_out_refusal()
    if progress.has_head:
        return Refused(ResultCode.ANSWER_BROKEN, detail)
    return Refused(ResultCode.UPSTREAM_FAILED, detail)


def _timed_out_refusal() -> Refused:
    return Refused(ResultCode.DEADLINE_EXPIRED_RUNNING, "the upstream was too slow")


def _upstream_headers(request: UpstreamRequest) -> dict[str, str]:
    owner, head = request.owner, request.head
    time_left_ms = max(1, int(time_left_s(request.deadline_ns) * 1000))
    headers = {
        "Accept-Encoding": "identity",
        REQUEST_ID_HEADER: head.request_id,
        "Bergamotferry-Account": head.account,
        "Bergamotferry-Shard": shard_text(owner.grant.shard),
        "Bergamotferry-Epoch": str(owner.grant.epoch),
        "Bergamotferry-Dispatcher-Epoch": str(owner.dispatcher.epoch),
        "Bergamotferry-Deadline-Ms": str(time_left_ms),
    }
    optional = {
        "Content-Type": head.content_type,
        "Idempotency-Key": head.idempotency_key,
        "Range": head.range_header,
        "If-Match": head.if_match,
    }
    headers.update({name: value for name, value in optional.items() if value})
    return headers


def _upstream_body(request: UpstreamRequest) -> bytes | AsyncIterator[bytes] | None:
    if request.content is not None:
        return request.content
    if request.head.method in ("GET", "HEAD", "DELETE"):
        return None
    return request.body.chunks()


def _refusal_of_other_answer(request: UpstreamRequest, has_id: bool) -> Refused:
    detail = "the answer bears another id" if has_id else "the answer bears no id"
    if request.route.is_idempotent:
        return Refused(ResultCode.UPSTREAM_FAILED, detail)
    return Refused(ResultCode.OUTCOME_UNKNOWN, detail)


def _refusal_of_upstream(response: aiohttp.ClientResponse) -> Refused | None:
    if response.headers.get("Bergamotferry-Not-Started") != "true":
        return None
    if response.status == 409:
        return Refused(ResultCode.STALE_EPOCH, "the upstream does not hold this grant")
    return Refused(ResultCode.UPSTREAM_SHED, f"status {response.status}")


async def _relay_answer(
    state: HostState,
    request: UpstreamRequest,
    response: aiohttp.ClientResponse,
    sink: AnswerSink,
) -> Served | Refused:
    if not has_length(response):
        # The end of such an answer can't be distinguished from a crash of the upstream.
        detail = "the answer has neither a length nor chunks"
        if request.route.is_idempotent:
            return Refused(ResultCode.ANSWER_BROKEN, detail)
        return Refused(ResultCode.OUTCOME_UNKNOWN, detail)
    request.progress.has_head = True
    if not await try_write(sink.head(_response_head(state, request, response))):
        return caller_gone_refusal()
    n_bytes = 0
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        n_bytes += len(chunk)
        if not await try_write(sink.data(chunk)):
            return caller_gone_refusal()
    if not await try_write(sink.end()):
        return caller_gone_refusal()
    return Served(response.status, n_bytes, request.owner.session.name)


def _response_head(
    state: HostState, request: UpstreamRequest, response: aiohttp.ClientResponse
) -> ResponseHead:
    headers = [
        (name, encodable_text(response.headers[name]))
        for name in _RELAYED_HEADERS
        if name in response.headers
    ]
    if response.content_length is not None:
        headers.append(("Content-Length", str(response.content_length)))
    code = ResultCode.SERVED if response.status < 500 else ResultCode.UPSTREAM_FAILED
    epoch = request.owner.grant.epoch
    return ResponseHead(
        code, "", response.status, tuple(headers), state.host.name, epoch, False
    )


def _trace_progress() -> aiohttp.TraceConfig:
    """Return a tracer that records a send's `SendProgress` and checks its guard."""
    trace = aiohttp.TraceConfig()

    async def on_reuse(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionReuseconnParams,
    ) -> None:
        progress = context.trace_request_ctx
        if isinstance(progress, SendProgress):
            progress.is_reused = progress.is_reused or not progress.is_sent

    async def on_create(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceConnectionCreateStartParams,
    ) -> None:
        progress = context.trace_request_ctx
        if isinstance(progress, SendProgress) and not progress.is_sent:
            # A kept connection that was found unusable may have been tried before.
            progress.is_reused = False

    async def on_headers_sent(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceRequestHeadersSentParams,
    ) -> None:
        progress = context.trace_request_ctx
        if isinstance(progress, SendProgress):
            if progress.is_sent:
                # The library sends a request again when a kept-alive connection closes.
                raise SentAlready("the request was sent before")
            check_write(progress.guard)
            progress.is_sent = True

    trace.on_connection_reuseconn.append(on_reuse)
    trace.on_connection_create_start.append(on_create)
    trace.on_request_headers_sent.append(on_headers_sent)
    return trace
