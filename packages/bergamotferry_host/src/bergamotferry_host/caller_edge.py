"""Callers' HTTP: ``/v1/<service>/<route>/<key>``.

Everything that can refuse a request is asked before its body is read.
"""

import secrets

import aiohttp
from aiohttp import web

from bergamotferry.messages import RequestHead, ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry.routing import RoutedRequest, find_account, route_request

from .clock import now_ns
from .exchange import RequestBody, Served
from .host_state import HostState
from .http_answers import bearer_token, outcome_headers, refusal_response
from .logs import log
from .readiness import is_ready
from .request_path import CountingSink, serve_request

KEY_MAX_LENGTH = 512
IDEMPOTENCY_KEY_MAX_LENGTH = 128
_DEADLINE_HEADER = "Bergamotferry-Deadline-Ms"


def build_caller_app(state: HostState, http: aiohttp.ClientSession) -> web.Application:
    """Return the application that serves callers."""

    async def handle(request: web.Request) -> web.StreamResponse:
        return await _handle(state, http, request)

    async def ready(request: web.Request) -> web.Response:
        if is_ready(state):
            return web.Response(text="ready\n")
        return refusal_response(_not_ready(state), "")

    app = web.Application(client_max_size=1 << 31)
    app.router.add_get("/ready", ready)
    app.router.add_route("*", "/v1/{service}/{route}/{key:.+}", handle)
    return app


async def _handle(
    state: HostState, http: aiohttp.ClientSession, request: web.Request
) -> web.StreamResponse:
    request_id = secrets.token_hex(8)
    started_ns = now_ns()
    state.n_in_flight += 1
    sink = CountingSink(_CallerSink(request, request_id))
    try:
        routed = _route(state, request)
        if isinstance(routed, Refused):
            outcome: Served | Refused = routed
        else:
            outcome = await _serve(state, http, request, request_id, routed, sink)
        _log_outcome(state, request, request_id, routed, outcome, started_ns)
        return await _finish(request, request_id, sink, outcome)
    finally:
        state.n_in_flight -= 1


def _route(state: HostState, request: web.Request) -> RoutedRequest | Refused:
    if not is_ready(state):
        return _not_ready(state)
    tables = state.global_tables
    account = find_account(tables, bearer_token(request))
    if isinstance(account, Refused):
        return account
    key = request.match_info["key"]
    if len(key) > KEY_MAX_LENGTH:
        return Refused(ResultCode.BAD_REQUEST, f"key is over {KEY_MAX_LENGTH}")
    routed = route_request(
        tables,
        account,
        request.match_info["service"],
        request.match_info["route"],
        request.method,
        key,
        state.host.region,
    )
    if isinstance(routed, Refused):
        return routed
    idempotency_key = request.headers.get("Idempotency-Key", "")
    if not routed.route.is_idempotent and not idempotency_key:
        return Refused(ResultCode.MISSING_IDEMPOTENCY_KEY, "send Idempotency-Key")
    if len(idempotency_key) > IDEMPOTENCY_KEY_MAX_LENGTH:
        return Refused(ResultCode.BAD_REQUEST, "Idempotency-Key is too long")
    if (request.content_length or 0) > routed.route.max_body_bytes:
        return Refused(
            ResultCode.BODY_TOO_LARGE, f"limit is {routed.route.max_body_bytes} bytes"
        )
    return routed


def _not_ready(state: HostState) -> Refused:
    if state.is_stopping:
        return Refused(ResultCode.HOST_STOPPING, "ask another host")
    return Refused(ResultCode.HOST_NOT_READY, "the host is catching up")


async def _serve(
    state: HostState,
    http: aiohttp.ClientSession,
    request: web.Request,
    request_id: str,
    routed: RoutedRequest,
    sink: CountingSink,
) -> Served | Refused:
    deadline_ms = _deadline_ms(request, routed.route.deadline_ms)
    if isinstance(deadline_ms, Refused):
        return deadline_ms
    head = RequestHead(
        request_id,
        routed.account.name,
        routed.route.service,
        routed.route.name,
        request.match_info["key"],
        routed.shard,
        request.method,
        deadline_ms,
        request.headers.get("Idempotency-Key", ""),
        request.headers.get("Content-Type", ""),
        request.headers.get("Range", ""),
        request.headers.get("If-Match", ""),
        1,
        state.global_tables.revision,
    )
    body = RequestBody(request.content.iter_any())
    return await serve_request(
        state,
        routed.data_centre,
        routed.route.is_idempotent,
        head,
        body,
        sink,
    )


def _deadline_ms(request: web.Request, limit_ms: int) -> int | Refused:
    text = request.headers.get(_DEADLINE_HEADER)
    if text is None:
        return limit_ms
    if not text.isdigit() or int(text) == 0:
        return Refused(ResultCode.BAD_REQUEST, f"{_DEADLINE_HEADER} is not a number")
    return min(limit_ms, int(text))


async def _finish(
    request: web.Request,
    request_id: str,
    sink: CountingSink,
    outcome: Served | Refused,
) -> web.StreamResponse:
    if not sink.has_head:
        if isinstance(outcome, Served):
            outcome = Refused(ResultCode.INTERNAL_ERROR, "served without an answer")
        return refusal_response(outcome, request_id)
    response = sink.target.response  # type: ignore[attr-defined]
    if isinstance(outcome, Refused) and request.transport is not None:
        # The head is out already: only a broken connection tells that this is short.
        request.transport.abort()
    return response  # type: ignore[no-any-return]


def _log_outcome(
    state: HostState,
    request: web.Request,
    request_id: str,
    routed: RoutedRequest | Refused,
    outcome: Served | Refused,
    started_ns: int,
) -> None:
    took_ms = (now_ns() - started_ns) / 1e6
    code = outcome.code if isinstance(outcome, Refused) else ResultCode.SERVED
    service = request.match_info["service"]
    route = request.match_info["route"]
    fields: dict[str, object] = {
        "request_id": request_id,
        "code": int(code),
        "took_ms": round(took_ms, 2),
    }
    if isinstance(routed, RoutedRequest):
        fields["to_data_centre"] = routed.data_centre
        fields["shard"] = routed.shard.number
        fields["route"] = f"{service}/{route}"
    if isinstance(outcome, Refused):
        fields["why"] = outcome.detail
    log("routed", **fields)
    state.metrics.incr(f"requests.code.{int(code)}")
    state.metrics.timing("requests.took_ms", took_ms)


class _CallerSink:
    def __init__(self, request: web.Request, request_id: str) -> None:
        self.request = request
        self.request_id = request_id
        self.response = web.StreamResponse()

    async def head(self, head: ResponseHead) -> None:
        self.response.set_status(head.status)
        for name, value in head.headers:
            self.response.headers[name] = value
        headers = outcome_headers(ResultCode(head.code), self.request_id)
        self.response.headers.update(headers)
        if head.is_replayed:
            self.response.headers["Bergamotferry-Replayed"] = "true"
        await self.response.prepare(self.request)

    async def data(self, data: bytes) -> None:
        await self.response.write(data)

    async def end(self) -> None:
        await self.response.write_eof()
