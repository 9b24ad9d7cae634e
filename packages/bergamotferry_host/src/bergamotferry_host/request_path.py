"""The entry host's part: from a routed request to an answer, over one or two hosts.

This is the only layer that tries again, and it does so only when the request was not
run or is idempotent, while nothing has been passed to the caller yet.
"""

import asyncio
import random
from collections.abc import AsyncIterator

import aiohttp

from bergamotferry.messages import RequestHead, ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode
from bergamotferry.routing import find_owner, home_of_shard

from .clock import now_ns
from .dispatch import dispatch_here
from .exchange import AnswerSink, RequestBody, Served
from .host_state import HostState
from .peer_link import PeerStream, PeerUnreachable, StreamBroken
from .peer_network import hosts_of_data_centre

NS_PER_MS = 1_000_000
RETRY_PAUSE_MS = 20
RETRY_PAUSE_MAX_MS = 200
N_ATTEMPTS_MAX = 60

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
    }
)
_BROKEN = frozenset({ResultCode.UPSTREAM_FAILED, ResultCode.ANSWER_BROKEN})


async def serve_request(
    state: HostState,
    http: aiohttp.ClientSession,
    data_centre: str,
    is_idempotent: bool,
    head: RequestHead,
    body: RequestBody,
    sink: "CountingSink",
) -> Served | Refused:
    """Serve a request, trying again while that is safe and the deadline allows."""
    deadline_ns = now_ns() + head.deadline_ms * NS_PER_MS
    pause_ms = float(RETRY_PAUSE_MS)
    outcome: Served | Refused = Refused(ResultCode.NO_OWNER, "not tried")
    for _ in range(N_ATTEMPTS_MAX):
        left_ms = (deadline_ns - now_ns()) // NS_PER_MS
        if left_ms <= 0:
            break
        attempt = head._replace(deadline_ms=left_ms)
        home = home_of_shard(state.global_tables, head.shard, head.account)
        if isinstance(home, Refused):
            return home
        data_centre = home
        outcome = await _attempt(state, http, data_centre, attempt, body, sink)
        if isinstance(outcome, Served) or sink.has_head:
            return outcome
        is_safe = outcome.is_not_run or is_idempotent
        is_passing = outcome.code in _PASSING or outcome.code in _BROKEN
        if not (is_safe and is_passing and body.is_replayable):
            return outcome
        if not _learn_dispatcher(state, head, outcome):
            await asyncio.sleep(pause_ms * random.uniform(0.5, 1.0) / 1000)
            pause_ms = min(2 * pause_ms, RETRY_PAUSE_MAX_MS)
    return outcome


async def serve_peer(
    state: HostState, http: aiohttp.ClientSession, stream: PeerStream, head: RequestHead
) -> None:
    """Dispatch a request that another host forwarded."""
    body = RequestBody(_stream_body(stream))
    sink = _PeerSink(stream)
    if state.is_refusing:
        outcome: Served | Refused = Refused(ResultCode.HOST_STOPPING, "")
    else:
        outcome = await dispatch_here(state, http, head, body, sink)
    if isinstance(outcome, Refused):
        dispatcher = ""
        if outcome.code is ResultCode.NOT_DISPATCHER:
            dispatcher = outcome.detail
        refusal = ResponseHead(
            outcome.code, outcome.detail, 0, (), dispatcher, 0, False
        )
        await stream.send_head(refusal)


class CountingSink:
    """Passes an answer to the caller and remembers whether it has begun."""

    def __init__(self, target: AnswerSink) -> None:
        self.target = target
        self.has_head = False
        self.code = ResultCode.SERVED

    async def head(self, head: ResponseHead) -> None:
        """Take the head; no other attempt is made after this."""
        self.has_head = True
        self.code = ResultCode(head.code)
        await self.target.head(head)

    async def data(self, data: bytes) -> None:
        """Take a part of the body."""
        await self.target.data(data)

    async def end(self) -> None:
        """Take the end of the body."""
        await self.target.end()


class _PeerSink:
    def __init__(self, stream: PeerStream) -> None:
        self.stream = stream

    async def head(self, head: ResponseHead) -> None:
        await self.stream.send_head(head)

    async def data(self, data: bytes) -> None:
        await self.stream.send(data)

    async def end(self) -> None:
        await self.stream.end()


async def _attempt(
    state: HostState,
    http: aiohttp.ClientSession,
    data_centre: str,
    head: RequestHead,
    body: RequestBody,
    sink: AnswerSink,
) -> Served | Refused:
    host = _choose_host(state, data_centre, head)
    if not host:
        return Refused(ResultCode.OWNER_UNREACHABLE, f"no host of {data_centre}")
    if host == state.host.name:
        return await dispatch_here(state, http, head, body, sink)
    return await _forward(state, host, head, body, sink)


def _choose_host(state: HostState, data_centre: str, head: RequestHead) -> str:
    if data_centre == state.host.data_centre:
        owner = find_owner(state.own_tables, head.shard)
        if not isinstance(owner, Refused):
            return owner.dispatcher.host
        return state.host.name
    hosts = hosts_of_data_centre(state.network.addresses, data_centre)
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
        stream = await state.network.open_stream(host, head)
    except PeerUnreachable:
        return Refused(ResultCode.OWNER_UNREACHABLE, f"host {host} is unreachable")
    sender = asyncio.create_task(_send_body(stream, body))
    try:
        async with asyncio.timeout(head.deadline_ms / 1000 + 0.5):
            response: ResponseHead = await stream.receive_head()
            if response.status == 0:
                if response.code == ResultCode.HOST_STOPPING:
                    state.network.note_unreachable(host)
                detail = response.dispatcher or response.detail
                return Refused(ResultCode(response.code), detail)
            return await _pass_on(stream, response, sink)
    except TimeoutError:
        return Refused(ResultCode.DEADLINE_EXPIRED_RUNNING, f"no answer from {host}")
    except (StreamBroken, PeerUnreachable):
        code = ResultCode.ANSWER_BROKEN
        if head.idempotency_key:
            code = ResultCode.OUTCOME_UNKNOWN
        return Refused(code, f"the link to {host} broke")
    finally:
        sender.cancel()
        await stream.cancel()


async def _send_body(stream: PeerStream, body: RequestBody) -> None:
    try:
        async for chunk in body.chunks():
            await stream.send(chunk)
        await stream.end()
    except (StreamBroken, PeerUnreachable):
        return


async def _pass_on(
    stream: PeerStream, response: ResponseHead, sink: AnswerSink
) -> Served:
    await sink.head(response)
    n_bytes = 0
    while (data := await stream.receive()) is not None:
        n_bytes += len(data)
        await sink.data(data)
    await sink.end()
    return Served(response.status, n_bytes, "")


async def _stream_body(stream: PeerStream) -> AsyncIterator[bytes]:
    while (data := await stream.receive()) is not None:
        yield data
