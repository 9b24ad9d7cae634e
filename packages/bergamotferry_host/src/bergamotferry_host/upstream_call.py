"""One request to an upstream over HTTP, and its answer passed on.

The host's lease and the grant are checked again just before anything is written.
"""

from collections.abc import AsyncIterator

import aiohttp

from bergamotferry.messages import RequestHead, ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.records import ShardId
from bergamotferry.result_codes import ResultCode
from bergamotferry.routing import Owner, find_owner

from .clock import now_ns
from .exchange import AnswerSink, RequestBody, Served
from .host_state import HostState
from .orders import shard_text
from .upstream_url import upstream_url

CHUNK_BYTES = 64 * 1024
_PASSED_HEADERS = ("Content-Type", "ETag", "Content-Range", "Accept-Ranges")


async def send_to_upstream(
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
    again = check_owner(state, head.shard)
    if isinstance(again, Refused):
        return again
    if again.grant.epoch != owner.grant.epoch:
        return Refused(ResultCode.STALE_EPOCH, "the grant was replaced")
    if left_s(deadline_ns) <= 0:
        return Refused(ResultCode.DEADLINE_EXPIRED_IN_QUEUE, "no time is left")
    url = upstream_url(owner.session.address, head.route, head.key)
    timeout = aiohttp.ClientTimeout(total=left_s(deadline_ns), sock_connect=1.0)
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
        "Accept-Encoding": "identity",
        "Bergamotferry-Request-Id": head.request_id,
        "Bergamotferry-Account": head.account,
        "Bergamotferry-Shard": shard_text(head.shard),
        "Bergamotferry-Epoch": str(owner.grant.epoch),
        "Bergamotferry-Dispatcher-Epoch": str(owner.dispatcher.epoch),
        "Bergamotferry-Deadline-Ms": str(int(left_s(deadline_ns) * 1000)),
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


def check_owner(state: HostState, shard: ShardId) -> Owner | Refused:
    """Return the owner if this host may send to it just now."""
    owner = find_owner(state.own_tables, shard)
    if isinstance(owner, Refused):
        return owner
    if owner.dispatcher.host != state.host.name:
        return Refused(ResultCode.NOT_DISPATCHER, owner.dispatcher.host)
    if not state.has_host_lease:
        return Refused(ResultCode.NOT_DISPATCHER, "")
    return owner


def left_s(deadline_ns: int) -> float:
    """Return the seconds left until a deadline; negative once it has passed."""
    return (deadline_ns - now_ns()) / 1e9
