"""The HTTP edge for callers: ``/v1/<service>/<route>/<key>``.

Readiness, the request's head, authentication, routing and the account's limit are
checked before the body is read.
"""

import asyncio
import secrets

from aiohttp import web

from bergamotferry.messages import RequestHead, ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.records import Account
from bergamotferry.result_codes import ResultCode
from bergamotferry.routing import RoutedRequest, find_account, route_request

from .answer_sinks import CountingSink
from .caller_body import CallerBody, CallerBodyError, begin_body
from .caller_request import CallerRequest, read_caller_request
from .clock import now_ns
from .decision_log import RequestDecision, log_request
from .exchange import Served
from .host_state import HostState
from .http_answers import bearer_token, outcome_headers, refusal_response
from .pipelining import arrived_ns
from .readiness import has_configuration, is_ready
from .request_path import serve_request

_BODY_FAILURE_POLL_S = 0.05


def build_caller_app(state: HostState) -> web.Application:
    """Return the web application that serves callers and ``/ready``."""

    async def handle(request: web.Request) -> web.StreamResponse:
        return await _handle(state, request)

    async def ready(request: web.Request) -> web.Response:
        if is_ready(state):
            return web.Response(text="ready\n")
        return refusal_response(_not_ready_refusal(state), "")

    app = web.Application(client_max_size=1 << 31)
    app.router.add_get("/ready", ready)
    # "100 Continue" is sent only after all checks that need no body: `begin_body`
    # writes it.
    app.router.add_route("*", "/{path:.*}", handle, expect_handler=_defer_continue)
    return app


async def _defer_continue(request: web.Request) -> None:
    return None


async def _handle(state: HostState, request: web.Request) -> web.StreamResponse:
    decision = RequestDecision(
        secrets.token_hex(8), revision=state.global_tables.revision
    )
    started_ns = arrived_ns(request)
    state.n_in_flight += 1
    sink = CountingSink(_CallerSink(request, decision))
    outcome: Served | Refused = Refused(ResultCode.INTERNAL_ERROR, "a fault")
    try:
        outcome = await _answer(state, request, decision, sink)
        return await _finish_response(request, decision.request_id, sink, outcome)
    except asyncio.CancelledError:
        outcome = Refused(ResultCode.CALLER_GONE, "the caller hung up")
        raise
    except ConnectionError:
        outcome = Refused(ResultCode.CALLER_GONE, "the caller hung up")
        return refusal_response(outcome, decision.request_id)
    finally:
        state.n_in_flight -= 1
        if _is_caller_gone(outcome) and sink.is_whole:
            # The caller had its whole answer and closed the connection at once.
            outcome = Served(sink.status, sink.n_bytes, "")
        took_ms = (now_ns() - started_ns) / 1e6
        refusal = outcome if isinstance(outcome, Refused) else None
        status = outcome.status if isinstance(outcome, Served) else 0
        log_request(decision, refusal, status, took_ms, state.metrics)


async def _answer(
    state: HostState,
    request: web.Request,
    decision: RequestDecision,
    sink: CountingSink,
) -> Served | Refused:
    if state.is_refusing_requests or not has_configuration(state):
        return _not_ready_refusal(state)
    parsed = read_caller_request(request)
    if isinstance(parsed, Refused):
        return parsed
    account = find_account(state.global_tables, bearer_token(request))
    if isinstance(account, Refused):
        return account
    decision.account = account.name
    routed = _route(state, parsed, account, decision)
    if isinstance(routed, Refused):
        return routed
    n_running = state.in_flight_by_account[account.name]
    if n_running >= account.max_in_flight:
        detail = f"{account.max_in_flight} requests are in flight on this host"
        return Refused(ResultCode.ACCOUNT_OVER_LIMIT, detail)
    state.in_flight_by_account[account.name] += 1
    try:
        return await _serve(state, request, parsed, routed, decision, sink)
    finally:
        state.in_flight_by_account[account.name] -= 1
        if not state.in_flight_by_account[account.name]:
            del state.in_flight_by_account[account.name]


def _is_caller_gone(outcome: Served | Refused) -> bool:
    return isinstance(outcome, Refused) and outcome.code is ResultCode.CALLER_GONE


def _not_ready_refusal(state: HostState) -> Refused:
    if state.is_stopping:
        return Refused(ResultCode.HOST_STOPPING, "ask another host")
    return Refused(ResultCode.HOST_NOT_READY, "the host is catching up")


def _route(
    state: HostState,
    parsed: CallerRequest,
    account: Account,
    decision: RequestDecision,
) -> RoutedRequest | Refused:
    target = parsed.target
    tables = state.global_tables
    routed = route_request(
        tables,
        account,
        target.service,
        target.route,
        parsed.method,
        target.key,
        state.host.region,
    )
    if f"{target.service}/{target.route}" in tables.routes:
        decision.route = f"{target.service}/{target.route}"
    if isinstance(routed, Refused):
        return routed
    decision.shard = routed.shard
    decision.to_data_centre = routed.data_centre
    decision.is_home_bound = routed.is_home_bound
    limit_ms = routed.route.deadline_ms
    decision.deadline_ms = min(limit_ms, parsed.deadline_ms or limit_ms)
    if not routed.route.is_idempotent and not parsed.idempotency_key:
        return Refused(ResultCode.MISSING_IDEMPOTENCY_KEY, "send Idempotency-Key")
    return routed


async def _serve(
    state: HostState,
    request: web.Request,
    parsed: CallerRequest,
    routed: RoutedRequest,
    decision: RequestDecision,
    sink: CountingSink,
) -> Served | Refused:
    body_start = await begin_body(
        request, routed.route.max_body_bytes, decision.deadline_ms / 1000
    )
    if isinstance(body_start, Refused):
        return body_start
    caller_body, body = body_start
    # The time behind earlier requests of the connection, and the time of the body.
    spent_ms = (now_ns() - arrived_ns(request)) // 1_000_000
    head = _request_head(
        parsed, routed, decision, max(1, decision.deadline_ms - spent_ms)
    )
    serving = serve_request(state, routed.route.is_idempotent, head, body, sink)
    try:
        if caller_body.is_complete:
            return await serving
        return await _serve_streamed(asyncio.ensure_future(serving), caller_body)
    finally:
        decision.n_bytes_in = caller_body.n_bytes


async def _serve_streamed(
    serving: "asyncio.Future[Served | Refused]", body: CallerBody
) -> Served | Refused:
    """Serve a request while its body arrives; stop once the body breaks a limit."""
    try:
        while not body.is_complete and not serving.done():
            if body.failure is not None:
                return _body_broken_refusal(body.failure)
            await asyncio.wait([serving], timeout=_BODY_FAILURE_POLL_S)
        outcome = await serving
    except CallerBodyError:
        outcome = Refused(ResultCode.BODY_BROKEN, "the body broke")
    finally:
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
    if body.failure is None:
        return outcome
    is_not_run = isinstance(outcome, Refused) and outcome.is_not_run
    return body.failure if is_not_run else _body_broken_refusal(body.failure)


def _body_broken_refusal(failure: Refused) -> Refused:
    # Part of the body was forwarded, so the refusal must not report "not run".
    return Refused(ResultCode.BODY_BROKEN, f"{failure.code.name}: {failure.detail}")


def _request_head(
    parsed: CallerRequest,
    routed: RoutedRequest,
    decision: RequestDecision,
    deadline_ms: int,
) -> RequestHead:
    return RequestHead(
        decision.request_id,
        routed.account.name,
        routed.route.service,
        routed.route.name,
        parsed.target.key,
        routed.shard,
        parsed.method,
        deadline_ms,
        parsed.idempotency_key,
        parsed.content_type,
        parsed.range_header,
        parsed.if_match,
        1,
        decision.revision,
    )


async def _finish_response(
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
        # The head has been sent: only a closed connection informs the caller that the
        # answer is incomplete. Earlier answers that are on their way arrive before.
        request.transport.close()
    return response  # type: ignore[no-any-return]


class _CallerSink:
    """Writes an answer to the caller and records it for the decision log."""

    def __init__(self, request: web.Request, decision: RequestDecision) -> None:
        self.request = request
        self.decision = decision
        self.response = web.StreamResponse()

    async def head(self, head: ResponseHead) -> None:
        self.decision.dispatcher = head.dispatcher
        self.decision.epoch = head.epoch
        self.response.set_status(head.status)
        for name, value in head.headers:
            self.response.headers[name] = value
        headers = outcome_headers(ResultCode(head.code), self.decision.request_id)
        self.response.headers.update(headers)
        if head.is_replayed:
            self.response.headers["Bergamotferry-Replayed"] = "true"
        await self.response.prepare(self.request)

    async def data(self, data: bytes) -> None:
        self.decision.n_bytes_out += len(data)
        await self.response.write(data)

    async def end(self) -> None:
        await self.response.write_eof()
