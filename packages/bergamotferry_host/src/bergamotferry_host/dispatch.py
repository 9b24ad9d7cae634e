"""The dispatcher: the one host that sends work to an upstream.

`dispatch_here` takes a request through admission, checks the host's lease and the grant
again just before anything is written, and passes the answer on. `run_dispatcher`
follows the tables: it orders grants from upstreams, and stops work for those it lost.
"""

import asyncio
import hashlib
import time
from collections.abc import AsyncIterator

import aiohttp

from bergamotferry.admission import (
    Ticket,
    UpstreamQueue,
    enqueue,
    finish,
    take_ready,
    withdraw,
)
from bergamotferry.commands import ForgetIntent, RecordIntent, RecordOutcome
from bergamotferry.data_centre_tables import OUTCOME_BODY_MAX_BYTES
from bergamotferry.messages import RequestHead, ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.records import OutcomeRecord, Route, ShardId
from bergamotferry.result_codes import ResultCode
from bergamotferry.routing import Owner, find_owner

from .clock import now_ns
from .dispatcher_table import UpstreamWork
from .exchange import AnswerSink, RequestBody, Served
from .group import commit
from .host_state import HostState
from .logs import log

DISPATCHER_TICK_S = 0.02
ORDER_TIMEOUT_S = 1.0
CHUNK_BYTES = 64 * 1024
NS_PER_MS = 1_000_000
_PASSED_HEADERS = ("Content-Type", "ETag", "Content-Range", "Accept-Ranges")


async def dispatch_here(
    state: HostState,
    http: aiohttp.ClientSession,
    head: RequestHead,
    body: RequestBody,
    sink: AnswerSink,
) -> Served | Refused:
    """Run a request on the owner of its shard, for which this host dispatches."""
    owner = _check_owner(state, head.shard)
    if isinstance(owner, Refused):
        return owner
    work = state.dispatchers.works.get(owner.session.name)
    if work is None or work.confirmed.get(head.shard) != owner.grant.epoch:
        return Refused(ResultCode.NO_OWNER, "the owner has not confirmed the grant yet")
    deadline_ns = now_ns() + head.deadline_ms * NS_PER_MS
    refusal = await _wait_for_slot(work, head, deadline_ns)
    if refusal is not None:
        return refusal
    work.in_flight[head.shard] = work.in_flight.get(head.shard, 0) + 1
    started_ns = now_ns()
    is_served = False
    task = asyncio.current_task()
    if task is not None:
        work.tasks.add(task)
    try:
        outcome = await _run(state, http, owner, head, body, sink, deadline_ns)
        is_served = isinstance(outcome, Served)
        return outcome
    finally:
        if task is not None:
            work.tasks.discard(task)
        took_ms = (now_ns() - started_ns) / NS_PER_MS if is_served else None
        finish(work.queue, head.request_id, took_ms)
        work.in_flight[head.shard] -= 1
        if not work.in_flight[head.shard]:
            del work.in_flight[head.shard]
        _start_ready(work)


async def run_dispatcher(state: HostState, http: aiohttp.ClientSession) -> None:
    """Follow the tables until cancelled."""
    pending: set[asyncio.Task[None]] = set()
    while True:
        _follow_sessions(state)
        for work in state.dispatchers.works.values():
            if not work.is_ordering and state.has_host_lease:
                task = asyncio.create_task(_order_grants(state, http, work))
                pending.add(task)
                task.add_done_callback(pending.discard)
            _start_ready(work)
        await asyncio.sleep(DISPATCHER_TICK_S)


def drained_upstreams(state: HostState) -> tuple[tuple[str, int], ...]:
    """Return the upstreams, with epoch, that this host has stopped sending to."""
    drained: list[tuple[str, int]] = []
    tables = state.own_tables
    for name, dispatcher in tables.dispatchers.items():
        session = tables.sessions.get(name)
        if dispatcher.host != state.host.name or session is None:
            continue
        is_stopped = session.state != "serving" or dispatcher.state != "serving"
        work = state.dispatchers.works.get(name)
        if is_stopped and (work is None or not work.in_flight):
            drained.append((name, dispatcher.epoch))
    return tuple(drained)


def released_shards(state: HostState) -> tuple[tuple[ShardId, int], ...]:
    """Return the shards under revocation that their upstream has given back."""
    grants = state.own_tables.grants
    released: list[tuple[ShardId, int]] = []
    for work in state.dispatchers.works.values():
        for shard, epoch in work.released:
            grant = grants.get(shard)
            if grant is not None and grant.epoch == epoch:
                released.append((shard, epoch))
    return tuple(released)


def _check_owner(state: HostState, shard: ShardId) -> Owner | Refused:
    owner = find_owner(state.own_tables, shard)
    if isinstance(owner, Refused):
        return owner
    if owner.dispatcher.host != state.host.name:
        return Refused(ResultCode.NOT_DISPATCHER, owner.dispatcher.host)
    if not state.has_host_lease:
        return Refused(ResultCode.NOT_DISPATCHER, "")
    return owner


async def _wait_for_slot(
    work: UpstreamWork, head: RequestHead, deadline_ns: int
) -> Refused | None:
    ticket = Ticket(head.request_id, head.account, deadline_ns)
    refusal = enqueue(work.queue, ticket, now_ns())
    if refusal is not None:
        return refusal
    future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    work.started[head.request_id] = future
    _start_ready(work)
    try:
        is_started = await future
    except asyncio.CancelledError:
        withdraw(work.queue, head.request_id)
        finish(work.queue, head.request_id, None)
        raise
    finally:
        work.started.pop(head.request_id, None)
    if is_started:
        return None
    if deadline_ns <= now_ns():
        return Refused(ResultCode.DEADLINE_EXPIRED_IN_QUEUE, "waited too long")
    return Refused(ResultCode.NOT_DISPATCHER, "")


def _start_ready(work: UpstreamWork) -> None:
    started, expired = take_ready(work.queue, now_ns())
    for ticket in started:
        future = work.started.get(ticket.request_id)
        if future is not None and not future.done():
            future.set_result(True)
    for ticket in expired:
        future = work.started.get(ticket.request_id)
        if future is not None and not future.done():
            future.set_result(False)


async def _run(
    state: HostState,
    http: aiohttp.ClientSession,
    owner: Owner,
    head: RequestHead,
    body: RequestBody,
    sink: AnswerSink,
    deadline_ns: int,
) -> Served | Refused:
    route = state.global_tables.routes.get(f"{head.service}/{head.route}")
    if route is None:
        return Refused(ResultCode.UNKNOWN_ROUTE, "the route was withdrawn")
    if route.is_idempotent:
        return await _send(state, http, owner, head, body, sink, deadline_ns, None)
    return await _run_once(state, http, owner, head, body, sink, deadline_ns, route)


async def _run_once(
    state: HostState,
    http: aiohttp.ClientSession,
    owner: Owner,
    head: RequestHead,
    body: RequestBody,
    sink: AnswerSink,
    deadline_ns: int,
    route: Route,
) -> Served | Refused:
    """Run a non-idempotent request at most once, by its idempotency key."""
    content = b"".join([chunk async for chunk in body.chunks()])
    digest = hashlib.sha256(
        b"\x00".join((route.service.encode(), route.name.encode(), head.key.encode()))
        + b"\x00"
        + content
    ).hexdigest()
    intent = RecordIntent(
        head.account, head.idempotency_key, head.shard, digest, int(time.time())
    )
    outcome = await commit(state.own_group, intent, _left_s(deadline_ns))
    if isinstance(outcome, Refused):
        return await _answer_known(state, head, digest, outcome, sink)
    recorder = _Recorder(sink)
    result = await _send(state, http, owner, head, body, recorder, deadline_ns, content)
    await _record(state, head, digest, result, recorder)
    return result


async def _answer_known(
    state: HostState,
    head: RequestHead,
    digest: str,
    refusal: Refused,
    sink: AnswerSink,
) -> Served | Refused:
    if refusal.code != ResultCode.OUTCOME_PENDING:
        return refusal
    record = state.own_tables.outcomes.get((head.account, head.idempotency_key))
    if record is None or record.request_sha256 != digest:
        return refusal
    if record.state == "unknown":
        return Refused(ResultCode.OUTCOME_UNKNOWN, "it may have run; not run again")
    if record.state == "intent":
        return refusal
    return await _replay(state, record, sink)


async def _replay(
    state: HostState, record: OutcomeRecord, sink: AnswerSink
) -> Served | Refused:
    headers = (("Content-Type", record.content_type),)
    head = ResponseHead(0, "", record.status, headers, state.host.name, 0, True)
    await sink.head(head)
    await sink.data(record.body)
    await sink.end()
    return Served(record.status, len(record.body), "")


async def _record(
    state: HostState,
    head: RequestHead,
    digest: str,
    result: Served | Refused,
    recorder: "_Recorder",
) -> None:
    if isinstance(result, Served):
        await commit(
            state.own_group,
            RecordOutcome(
                head.account,
                head.idempotency_key,
                "done",
                result.status,
                recorder.content_type,
                bytes(recorder.body),
            ),
        )
    elif result.is_not_run:
        forget = ForgetIntent(head.account, head.idempotency_key, digest)
        await commit(state.own_group, forget)
    else:
        unknown = RecordOutcome(
            head.account, head.idempotency_key, "unknown", 0, "", b""
        )
        await commit(state.own_group, unknown)


class _Recorder:
    """Passes an answer on and keeps as much of it as is recorded."""

    def __init__(self, sink: AnswerSink) -> None:
        self.sink = sink
        self.content_type = ""
        self.body = bytearray()

    async def head(self, head: ResponseHead) -> None:
        self.content_type = dict(head.headers).get("Content-Type", "")
        await self.sink.head(head)

    async def data(self, data: bytes) -> None:
        if len(self.body) < OUTCOME_BODY_MAX_BYTES:
            self.body += data
        await self.sink.data(data)

    async def end(self) -> None:
        await self.sink.end()


async def _send(
    state: HostState,
    http: aiohttp.ClientSession,
    owner: Owner,
    head: RequestHead,
    body: RequestBody,
    sink: AnswerSink,
    deadline_ns: int,
    content: bytes | None,
) -> Served | Refused:
    """Send a request to its owner and pass the answer on."""
    again = _check_owner(state, head.shard)
    if isinstance(again, Refused):
        return again
    if again.grant.epoch != owner.grant.epoch:
        return Refused(ResultCode.STALE_EPOCH, "the grant was replaced")
    if _left_s(deadline_ns) <= 0:
        return Refused(ResultCode.DEADLINE_EXPIRED_IN_QUEUE, "no time is left")
    url = f"http://{owner.session.address}/{head.route}/{head.key}"
    timeout = aiohttp.ClientTimeout(total=_left_s(deadline_ns), sock_connect=1.0)
    has_head = False
    try:
        async with http.request(
            head.method,
            url,
            headers=_upstream_headers(owner, head, deadline_ns),
            data=_upstream_body(head, body, content),
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            refusal = _refusal_of_upstream(response)
            if refusal is not None:
                return refusal
            has_head = True
            return await _pass_answer(state, owner, response, sink)
    except aiohttp.ClientConnectorError:
        return Refused(ResultCode.NO_OWNER, "the owner takes no connection")
    except TimeoutError:
        return Refused(ResultCode.DEADLINE_EXPIRED_RUNNING, "the upstream was too slow")
    except (aiohttp.ClientError, ConnectionError) as error:
        code = ResultCode.ANSWER_BROKEN if has_head else ResultCode.UPSTREAM_FAILED
        if head.idempotency_key and content is not None:
            code = ResultCode.OUTCOME_UNKNOWN
        return Refused(code, type(error).__name__)


def _upstream_headers(
    owner: Owner, head: RequestHead, deadline_ns: int
) -> dict[str, str]:
    headers = {
        "Bergamotferry-Request-Id": head.request_id,
        "Bergamotferry-Account": head.account,
        "Bergamotferry-Shard": shard_text(head.shard),
        "Bergamotferry-Epoch": str(owner.grant.epoch),
        "Bergamotferry-Dispatcher-Epoch": str(owner.dispatcher.epoch),
        "Bergamotferry-Deadline-Ms": str(int(_left_s(deadline_ns) * 1000)),
    }
    if head.content_type:
        headers["Content-Type"] = head.content_type
    if head.idempotency_key:
        headers["Idempotency-Key"] = head.idempotency_key
    if head.range_header:
        headers["Range"] = head.range_header
    if head.if_match:
        headers["If-Match"] = head.if_match
    return headers


def _upstream_body(
    head: RequestHead, body: RequestBody, content: bytes | None
) -> bytes | AsyncIterator[bytes] | None:
    if content is not None:
        return content
    if head.method in ("GET", "DELETE"):
        return None
    return body.chunks()


def _refusal_of_upstream(response: aiohttp.ClientResponse) -> Refused | None:
    if response.headers.get("Bergamotferry-Not-Started") != "true":
        return None
    if response.status == 409:
        return Refused(ResultCode.STALE_EPOCH, "the upstream knows a newer grant")
    return Refused(ResultCode.UPSTREAM_SHED, f"status {response.status}")


async def _pass_answer(
    state: HostState,
    owner: Owner,
    response: aiohttp.ClientResponse,
    sink: AnswerSink,
) -> Served:
    headers = [
        (name, response.headers[name])
        for name in _PASSED_HEADERS
        if name in response.headers
    ]
    if response.content_length is not None:
        headers.append(("Content-Length", str(response.content_length)))
    code = ResultCode.SERVED if response.status < 500 else ResultCode.UPSTREAM_FAILED
    await sink.head(
        ResponseHead(
            code,
            "",
            response.status,
            tuple(headers),
            state.host.name,
            owner.grant.epoch,
            False,
        )
    )
    n_bytes = 0
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        n_bytes += len(chunk)
        await sink.data(chunk)
    await sink.end()
    return Served(response.status, n_bytes, owner.session.name)


def _follow_sessions(state: HostState) -> None:
    tables = state.own_tables
    works = state.dispatchers.works
    for name, dispatcher in tables.dispatchers.items():
        session = tables.sessions.get(name)
        if session is None or dispatcher.host != state.host.name:
            continue
        work = works.get(name)
        if work is None or work.epoch != dispatcher.epoch:
            _drop_work(state, name)
            works[name] = UpstreamWork(
                session, dispatcher.epoch, UpstreamQueue(session.n_slots)
            )
        if session.state == "expired":
            _abort_work(works[name])
        elif session.state != "serving" or dispatcher.state != "serving":
            _refuse_waiting(works[name])
    for name in list(works):
        known = tables.dispatchers.get(name)
        if known is None or known.host != state.host.name:
            _drop_work(state, name)


def _drop_work(state: HostState, name: str) -> None:
    work = state.dispatchers.works.pop(name, None)
    if work is not None:
        _abort_work(work)


def _abort_work(work: UpstreamWork) -> None:
    _refuse_waiting(work)
    for task in list(work.tasks):
        task.cancel()


def _refuse_waiting(work: UpstreamWork) -> None:
    work.queue.waiting.clear()
    for future in work.started.values():
        if not future.done():
            future.set_result(False)


async def _order_grants(
    state: HostState, http: aiohttp.ClientSession, work: UpstreamWork
) -> None:
    """Order new grants and releases from an upstream, and note what it confirmed."""
    work.is_ordering = True
    try:
        granted, released = _orders_due(state, work)
        if not granted and not released:
            return
        order = {
            "dispatcher_epoch": work.epoch,
            "incarnation": work.session.incarnation,
            "granted": [[shard_text(shard), epoch] for shard, epoch in granted],
            "released": [[shard_text(shard), epoch] for shard, epoch in released],
        }
        url = f"http://{work.session.address}/bergamotferry/v1/grants"
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        if not state.has_host_lease:
            return
        async with http.post(url, json=order, timeout=timeout) as response:
            if response.status != 200:
                log("order refused", upstream=work.session.name, status=response.status)
                return
        work.confirmed.update(granted)
        work.released.update(released)
    except (aiohttp.ClientError, ConnectionError, TimeoutError):
        return
    finally:
        work.is_ordering = False


def _orders_due(
    state: HostState, work: UpstreamWork
) -> tuple[list[tuple[ShardId, int]], list[tuple[ShardId, int]]]:
    dispatcher = state.own_tables.dispatchers.get(work.session.name)
    if dispatcher is None or dispatcher.state != "serving":
        return [], []
    granted: list[tuple[ShardId, int]] = []
    released: list[tuple[ShardId, int]] = []
    for shard, grant in state.own_tables.grants.items():
        if grant.upstream != work.session.name:
            continue
        if grant.state == "held" and work.confirmed.get(shard) != grant.epoch:
            granted.append((shard, grant.epoch))
        elif grant.state == "revoking" and (shard, grant.epoch) not in work.released:
            if shard not in work.in_flight:
                released.append((shard, grant.epoch))
    return granted, released


def shard_text(shard: ShardId) -> str:
    """Return a shard as upstreams see it, such as ``testlog//17``."""
    return f"{shard.service}/{shard.domain}/{shard.number}"


def _left_s(deadline_ns: int) -> float:
    return (deadline_ns - now_ns()) / 1e9
