"""Non-idempotent requests run at most once, by the caller's idempotency key.

The intent is committed in the data centre's group before anything is sent, and the
outcome after, so that a resend through any host finds one or the other.
"""

import hashlib
import time

import aiohttp

from bergamotferry.commands import ForgetIntent, RecordIntent, RecordOutcome
from bergamotferry.data_centre_tables import OUTCOME_BODY_MAX_BYTES
from bergamotferry.messages import RequestHead, ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.records import OutcomeRecord, Route
from bergamotferry.result_codes import ResultCode
from bergamotferry.routing import Owner

from .exchange import AnswerSink, RequestBody, Served
from .group import commit
from .host_state import HostState
from .upstream_call import left_s, send_to_upstream


async def run_once(
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
    outcome = await commit(state.own_group, intent, left_s(deadline_ns))
    if isinstance(outcome, Refused):
        return await _answer_known(state, head, digest, outcome, sink)
    recorder = _Recorder(sink)
    result = await send_to_upstream(
        state, http, owner, head, body, recorder, deadline_ns, content
    )
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
