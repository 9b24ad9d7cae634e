"""HTTP calls that grant ranges of keys to upstreams, renew them and release them.

An upstream counts a hold from the arrival of the call, so a call must not arrive after
it was abandoned. After an orderly close the kernel keeps retransmitting unsent bytes
over a cut link for many seconds; a reset discards them. Every connection of these calls
therefore has a linger time of 0 and is reset on close, also when the process ends.
"""

import errno
import socket
import struct
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Literal, NamedTuple

import aiohttp
from aiohttp.connector import AddrInfoType

from bergamotferry.fleet_tables import KeyRange

from .bounded_answer import SHORT_BODY_MAX_BYTES, read_whole
from .fleet_settings import DirectHeaders
from .ready_connections import ReadyConnector
from .upstream_connections import UpstreamResponse

GRANT_TIMEOUT_S = 1.0
RELEASE_TIMEOUT_S = 3.0
HANDOVER_MAX_CHARACTERS = 1_024

CallResult = Literal[
    "done", "newer_token", "no_process", "no_listener", "refused", "not_sent", "unsure"
]


class RangeCallNames(NamedTuple):
    """Paths of the calls at an upstream, and field names of the request bodies."""

    grant: str = "/v1/grant"
    release: str = "/v1/release"
    first_key: str = "first_key"
    last_key: str = "last_key"
    token: str = "token"
    hold_ms: str = "hold_ms"
    handover: str = "handover"


@dataclass(frozen=True, slots=True)
class RangeAnswer:
    """Result of a call; ``handover`` is the state that a holder returns on release.

    "no_process" means that another process answered, so the holder's has ended. A
    "no_listener", "refused" or "not_sent" call has no effect, now or later.
    "no_listener" means that the connection was refused. That does not prove that the
    process has ended, since a link may refuse connections too. An "unsure" call may
    still take effect.
    """

    result: CallResult
    handover: str = ""


def open_range_session() -> aiohttp.ClientSession:
    """Return an HTTP session whose connections are reset when they are closed."""
    return aiohttp.ClientSession(
        connector=ReadyConnector(limit=0, socket_factory=_create_resetting_socket),
        response_class=UpstreamResponse,
        trace_configs=[_trace_headers_sent()],
    )


async def call_grant(
    http: aiohttp.ClientSession,
    call_names: RangeCallNames,
    row: KeyRange,
    hold_ms: int,
    header_names: DirectHeaders,
) -> RangeAnswer:
    """Grant or renew a range; no other process at the holder's address may accept."""
    body: dict[str, object] = {
        call_names.first_key: row.first_key,
        call_names.last_key: row.last_key,
        call_names.token: row.token,
        call_names.hold_ms: hold_ms,
    }
    if row.handover:
        body[call_names.handover] = row.handover
    url = f"http://{row.address}{call_names.grant}"
    return await _post(http, url, body, row.upstream, header_names, GRANT_TIMEOUT_S)


async def call_release(
    http: aiohttp.ClientSession,
    call_names: RangeCallNames,
    row: KeyRange,
    header_names: DirectHeaders,
) -> RangeAnswer:
    """Release a range; the holder answers once the work on its keys has ended."""
    body: dict[str, object] = {
        call_names.first_key: row.first_key,
        call_names.last_key: row.last_key,
        call_names.token: row.token,
    }
    url = f"http://{row.address}{call_names.release}"
    answer = await _post(http, url, body, row.upstream, header_names, RELEASE_TIMEOUT_S)
    # A holder never refuses a release, so a refusal comes from another process that
    # listens at the holder's address.
    return RangeAnswer("no_process") if answer.result == "refused" else answer


async def _post(
    http: aiohttp.ClientSession,
    url: str,
    body: dict[str, object],
    upstream: str,
    header_names: DirectHeaders,
    timeout_s: float,
) -> RangeAnswer:
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=timeout_s)
    progress = _CallProgress()
    try:
        async with http.post(
            url,
            json=body,
            headers={header_names.expected_upstream: upstream},
            timeout=timeout,
            trace_request_ctx=progress,
        ) as response:
            await read_whole(response, SHORT_BODY_MAX_BYTES)
            return _read_answer(response, header_names)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        if progress.is_sent:
            return RangeAnswer("unsure")
        if _is_connection_refused(error):
            return RangeAnswer("no_listener")
        return RangeAnswer("not_sent")


def _is_connection_refused(error: Exception) -> bool:
    return (
        isinstance(error, aiohttp.ClientConnectorError)
        and error.os_error.errno == errno.ECONNREFUSED
    )


def _read_answer(
    response: aiohttp.ClientResponse, header_names: DirectHeaders
) -> RangeAnswer:
    match response.status:
        case 200:
            handover = response.headers.get(header_names.handover, "")
            return RangeAnswer("done", handover if _is_handover(handover) else "")
        case 409:
            return RangeAnswer("newer_token")
        case 421:
            # Another process listens at the address: the holder's process has ended.
            return RangeAnswer("no_process")
        case 400 if header_names.not_run in response.headers:
            return RangeAnswer("refused")
        case _:
            return RangeAnswer("unsure")


def _is_handover(text: str) -> bool:
    """Return whether a handover can be stored; keys move without it otherwise."""
    return text.isascii() and len(text) <= HANDOVER_MAX_CHARACTERS


@dataclass(slots=True)
class _CallProgress:
    """Tracks whether any byte of a call may have left this host."""

    is_sent: bool = False


def _trace_headers_sent() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()

    async def on_headers_sent(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceRequestHeadersSentParams,
    ) -> None:
        # aiohttp calls this hook just before it writes the request head.
        context.trace_request_ctx.is_sent = True

    trace.on_request_headers_sent.append(on_headers_sent)
    return trace


def _create_resetting_socket(address: AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    new_socket = socket.socket(family=family, type=kind, proto=protocol)
    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return new_socket
