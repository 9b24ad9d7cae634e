"""Sends a request to one upstream and classifies the result.

An answer is accepted only if it is complete, carries the request's id and has no
content encoding. Whether the upstream may have run the request depends on how far the
send got: the upstream cannot have run a request whose head was never written to a
connection.
"""

import errno
from collections.abc import AsyncIterable, AsyncIterator, Callable, Mapping
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Literal, NamedTuple, cast

import aiohttp
from multidict import CIMultiDict, MultiMapping
from yarl import URL

from bergamotferry.direct_placement import (
    Distance,
)
from bergamotferry.upstream_load import (
    LoadReport,
)
from bergamotferry.upstream_notice import NO_NOTICE, UpstreamNotice, read_notice

from .answer_framing import HOP_HEADERS, has_length
from .answer_streaming import (
    AnswerHead,
    CallerAnswer,
    CallerLeftError,
    hold_or_stream,
    may_stream,
    stream_answer,
    wait_to_receive,
)
from .bounded_answer import (
    ANSWER_MAX_BYTES,
    SHORT_BODY_MAX_BYTES,
    AnswerTooLargeError,
    check_length,
    read_whole,
)
from .clock import now_ns
from .fleet_settings import DirectHeaders
from .http_address import split_address
from .pipelining import hold_back_behind
from .upstream_connections import UniqueIdConnector, UpstreamResponse, close_connection

# The link to another region is shared by all hosts and may be congested briefly.
CONNECT_TIMEOUT_S: dict[Distance, float] = {"here": 0.4, "near": 0.4, "far": 1.0}
# Upstreams close idle connections, so a connection idle for longer is not reused.
KEEPALIVE_S = 7.0
ANSWER_SLACK_S = 0.05
COUNT_DIGITS_MAX = 7
# Longest body that is handed to the connection as a whole.
WHOLE_WRITE_MAX_BYTES = 1024 * 1024
PART_BYTES = 64 * 1024
# No machine is faster or slower than usual by more than this factor.
SLOWNESS_MIN, SLOWNESS_MAX = 0.001, 1_000.0
RETRY_AFTER = "Retry-After"
OTHER_ANSWER = "the answer belongs to another request"
ANSWER_WITHOUT_ID = "the answer bears no id"
ANSWER_TOO_LARGE = "the answer is too large to hold"
NOT_WRITTEN = "the permit of the request was void when it was to be written"
# "not_run": the upstream reports that it did not run the request.
# "other_upstream": status 421; the process that answered must not run the request.
# "no_connection", "no_process": nothing was sent; "no_process" if the connection was
# refused.
# "broken": there is no usable answer, and the upstream may have run the request.
# "too_late": nothing was sent, because the answer would arrive too late, or because the
# request was not allowed any more.
SendResult = Literal[
    "answered",
    "not_run",
    "other_upstream",
    "no_connection",
    "no_process",
    "broken",
    "too_late",
]
ConnectionUse = Literal["new", "kept", "fetched"]


class DirectSend(NamedTuple):
    """A request as it is sent to one upstream.

    A large answer is streamed to ``caller``. If ``caller`` is None, or a hedge makes a
    second answer possible, the answer is buffered until it is complete. A buffered
    answer has ``answer_max_bytes`` at most. ``may_write`` is called right before the
    head is written; if it returns false, nothing is.
    """

    method: str
    target: str
    address: str
    upstream: str
    request_id: str
    headers: Mapping[str, str]
    body: bytes
    time_left_ms: float
    distance: Distance = "here"
    caller: CallerAnswer | None = None
    may_be_hedged: bool = False
    answer_max_bytes: int = ANSWER_MAX_BYTES
    may_write: Callable[[], bool] | None = None


@dataclass(slots=True)
class SendOutcome:
    """The result of a send; an ``answered`` one has a status, headers and a body.

    ``n_bytes`` is the size of the body; ``body`` is empty if the body was streamed.
    ``head_ns`` is when the answer's head arrived: how long the body takes to arrive
    depends on this host's link and not on the upstream. ``through`` is the control host
    that fetched the answer, if any. ``notice`` is what the head of an answer to this
    request says of the upstream, whether or not the answer was usable.
    """

    result: SendResult
    detail: str = ""
    status: int = 0
    headers: CIMultiDict[str] | None = None
    body: bytes = b""
    n_bytes: int = 0
    report: LoadReport | None = None
    cold_left_ms: int = 0
    is_timeout: bool = False
    head_ns: int = 0
    through: str = ""
    notice: UpstreamNotice = NO_NOTICE
    connection: ConnectionUse = "new"


@dataclass(slots=True)
class _Progress:
    may_write: Callable[[], bool] | None = None
    is_sent: bool = False
    is_kept: bool = False
    notice: UpstreamNotice = NO_NOTICE


class NotWrittenError(aiohttp.ClientError):
    """The request may not be written any more, and nothing of it was."""


class SentTwiceError(aiohttp.ClientError):
    """The client library tried to send a request a second time on its own."""


def open_direct_session(header_names: DirectHeaders) -> aiohttp.ClientSession:
    """Return the HTTP client session for all requests to upstreams."""
    return aiohttp.ClientSession(
        connector=UniqueIdConnector(
            header_names.request_id, limit=0, keepalive_timeout=KEEPALIVE_S
        ),
        response_class=UpstreamResponse,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        trace_configs=[_trace_progress()],
    )


async def send_direct(
    http: aiohttp.ClientSession, header_names: DirectHeaders, send: DirectSend
) -> SendOutcome:
    """Send a request to one upstream and read its whole answer.

    Raises
    ------
    CallerLeftError
        If the caller disconnected while a large answer was streamed to it.
    """
    progress = _Progress(send.may_write)
    outcome = await _send_once(http, header_names, send, progress)
    outcome.notice = progress.notice
    outcome.connection = "kept" if progress.is_kept else "new"
    return outcome


async def _send_once(
    http: aiohttp.ClientSession,
    header_names: DirectHeaders,
    send: DirectSend,
    progress: _Progress,
) -> SendOutcome:
    headers = CIMultiDict(send.headers)
    if send.request_id:
        # The one by which the answer is known, and which its connection notes.
        headers[header_names.request_id] = send.request_id
    headers[header_names.deadline_ms] = str(max(1, int(send.time_left_ms)))
    headers[header_names.expected_upstream] = send.upstream
    data: bytes | AsyncIterator[bytes] | None = send.body or None
    if len(send.body) > WHOLE_WRITE_MAX_BYTES:
        # The library would copy it into the buffer of the connection.
        data = _parts_of(send.body)
        headers["Content-Length"] = str(len(send.body))
    timeout = aiohttp.ClientTimeout(
        total=send.time_left_ms / 1000 + ANSWER_SLACK_S,
        sock_connect=CONNECT_TIMEOUT_S[send.distance],
    )
    try:
        async with http.request(
            send.method,
            _url_of(send),
            headers=headers,
            data=data,
            timeout=timeout,
            allow_redirects=False,
            trace_request_ctx=progress,
        ) as response:
            if _is_answer_to(send, response.headers, header_names):
                progress.notice = notice_in(
                    response.status, response.headers, header_names
                )
            return await _read_answer(response, header_names, send)
    except aiohttp.ClientConnectorError as error:
        is_refused = error.os_error.errno == errno.ECONNREFUSED
        return SendOutcome("no_process" if is_refused else "no_connection", str(error))
    except CallerLeftError:
        raise
    except NotWrittenError:
        return SendOutcome("too_late", NOT_WRITTEN)
    except (aiohttp.ClientError, OSError, ValueError) as error:
        detail = type(error).__name__
        if isinstance(error, AnswerTooLargeError):
            detail = ANSWER_TOO_LARGE
        if not progress.is_sent:
            return SendOutcome("no_connection", detail)
        return SendOutcome("broken", detail, is_timeout=isinstance(error, TimeoutError))


def notice_in(
    status: int, headers: MultiMapping[str], header_names: DirectHeaders
) -> UpstreamNotice:
    """Return what the head of an answer says of its upstream."""
    return read_notice(
        status, headers.get(header_names.leaving), headers.getall(RETRY_AFTER, [])
    )


def parse_load_report(text: str) -> LoadReport | None:
    """Parse an upstream's load report; return None if it is malformed."""
    parts = text.split(",")
    counts = [_parse_count(part) for part in parts[:3]]
    if len(counts) < 3 or None in counts:
        return None
    try:
        slowness = float(parts[3]) / 100 if len(parts) > 3 else 1.0
    except ValueError:
        return None
    if not SLOWNESS_MIN <= slowness <= SLOWNESS_MAX:
        return None
    n_running, n_waiting, n_slots = (count or 0 for count in counts)
    return LoadReport(n_running, n_waiting, n_slots, slowness)


async def _parts_of(body: bytes) -> AsyncIterator[bytes]:
    """Yield a body in parts, as the connection takes them."""
    for first in range(0, len(body), PART_BYTES):
        yield body[first : first + PART_BYTES]


def _url_of(send: DirectSend) -> URL:
    """Return the URL of a send.

    The whole target is its path, since a query that is empty would lose its "?".
    """
    ip, port = split_address(send.address)
    return URL.build(scheme="http", host=ip, port=port, path=send.target, encoded=True)


async def _read_answer(
    response: aiohttp.ClientResponse, header_names: DirectHeaders, send: DirectSend
) -> SendOutcome:
    headers = response.headers
    if not _is_answer_to(send, headers, header_names):
        # The answer to this request may still come, and another one after it.
        close_connection(response)
        is_other = header_names.request_id in headers
        return SendOutcome("broken", OTHER_ANSWER if is_other else ANSWER_WITHOUT_ID)
    report = parse_load_report(headers.get(header_names.load, ""))
    if response.status == 421 or header_names.not_run in headers:
        # The body is read to its end so that the connection can be reused.
        await read_whole(response, SHORT_BODY_MAX_BYTES)
        detail = f"status {response.status}"
        result: SendResult = "other_upstream" if response.status == 421 else "not_run"
        end_to_end = _end_to_end_headers(response)
        return SendOutcome(result, detail, response.status, end_to_end, report=report)
    unusable_reason = _unusable_reason(response)
    if unusable_reason:
        response.close()
        return SendOutcome("broken", unusable_reason)
    outcome = SendOutcome(
        "answered",
        status=response.status,
        headers=_end_to_end_headers(response),
        report=report,
        cold_left_ms=parse_cold_left_ms(headers.get(header_names.cold_left_ms, "")),
        head_ns=now_ns(),
    )
    n_bytes = response.content_length if response.method != "HEAD" else 0
    parts: AsyncIterable[bytes] = response.content.iter_any()
    if await is_streamed(send, outcome.status, n_bytes):
        caller = cast(CallerAnswer, send.caller)
        outcome.n_bytes = n_bytes or 0
        await stream_answer(
            caller, outcome.status, outcome.headers, outcome.n_bytes, parts
        )
        return outcome
    if send.caller is None:
        body: bytes | None = await read_whole(response, send.answer_max_bytes)
    else:
        check_length(response, send.answer_max_bytes)
        head = AnswerHead(outcome.status, outcome.headers, n_bytes)
        body = await hold_or_stream(send.caller, head, parts, send.answer_max_bytes)
    outcome.body = body or b""
    outcome.n_bytes = len(outcome.body) if body is not None else n_bytes or 0
    return outcome


async def is_streamed(send: DirectSend, status: int, n_bytes: int | None) -> bool:
    """Return whether an answer is streamed, once its size allows to receive it.

    If it is, no request behind it on the caller's connection begins before it is sent.
    """
    if send.caller is None:
        return False
    await wait_to_receive(send.caller, n_bytes)
    if send.may_be_hedged or not may_stream(send.caller, status, n_bytes):
        return False
    hold_back_behind(send.caller.request)
    return True


def _is_answer_to(
    send: DirectSend, headers: MultiMapping[str], header_names: DirectHeaders
) -> bool:
    """Return whether an answer bears the id of a send, and no other.

    Without an id it can't be told from the answer to another request without one.
    """
    ids = set(headers.getall(header_names.request_id, ()))
    return bool(send.request_id) and ids == {send.request_id}


def _unusable_reason(response: aiohttp.ClientResponse) -> str:
    """Return why an answer with this head is unusable; empty if it is usable."""
    if "Content-Encoding" in response.headers:
        return "the answer is encoded"
    if not has_length(response):
        return "the answer has neither a length nor chunks"
    return ""


def _end_to_end_headers(response: aiohttp.ClientResponse) -> CIMultiDict[str]:
    return CIMultiDict(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_HEADERS
    )


def parse_cold_left_ms(text: str) -> int:
    """Parse how long an upstream stays cold, in ms; return 0 if it is not reported."""
    return _parse_count(text) or 0


def _parse_count(text: str) -> int | None:
    """Parse a whole number of a header; return None if it is malformed or too large."""
    digits = text.strip()
    if not (digits.isascii() and digits.isdigit()) or len(digits) > COUNT_DIGITS_MAX:
        return None
    return int(digits)


def _trace_progress() -> aiohttp.TraceConfig:
    """Return a tracer that records that a send began, and prevents a second one.

    After a kept connection broke, the library would connect again. The failure of that
    connection would then hide that the request had been sent.
    """
    trace = aiohttp.TraceConfig()

    async def check_not_sent(
        session: aiohttp.ClientSession, context: SimpleNamespace, params: object
    ) -> None:
        progress = context.trace_request_ctx
        # Load probes have no progress; they may be sent again.
        if progress is not None and progress.is_sent:
            raise SentTwiceError("the request was already sent once")

    async def on_create(
        session: aiohttp.ClientSession, context: SimpleNamespace, params: object
    ) -> None:
        await check_not_sent(session, context, params)
        if context.trace_request_ctx is not None:
            # A kept connection that was found unusable may have been tried before.
            context.trace_request_ctx.is_kept = False

    async def on_reuse(
        session: aiohttp.ClientSession, context: SimpleNamespace, params: object
    ) -> None:
        await check_not_sent(session, context, params)
        if context.trace_request_ctx is not None:
            context.trace_request_ctx.is_kept = True

    async def on_head(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceRequestHeadersSentParams,
    ) -> None:
        await check_not_sent(session, context, params)
        progress = context.trace_request_ctx
        if progress is None:
            return
        if progress.may_write is not None and not progress.may_write():
            raise NotWrittenError(NOT_WRITTEN)
        progress.is_sent = True

    trace.on_connection_create_start.append(on_create)
    trace.on_connection_reuseconn.append(on_reuse)
    trace.on_request_headers_sent.append(on_head)
    return trace
