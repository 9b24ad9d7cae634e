"""Calls that give keys to an upstream and take them back.

A hold counts from the arrival of its call, so a call that was given up must not arrive
any more. An orderly close would let the kernel go on sending what a cut link holds up,
for many seconds; a reset discards it. So every connection for these calls is reset when
it is closed, also by the end of the process.
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

from .fleet_settings import DirectHeaders

CALL_TIMEOUT_S = 1.0
RELEASE_TIMEOUT_S = 3.0

CallResult = Literal[
    "done", "newer_token", "no_process", "refused", "not_sent", "unsure"
]


class RangeCallPaths(NamedTuple):
    """Where upstreams take the calls, and the names of the bodies' fields."""

    grant: str = "/v1/grant"
    release: str = "/v1/release"
    first_key: str = "first_key"
    last_key: str = "last_key"
    token: str = "token"
    hold_ms: str = "hold_ms"
    handover: str = "handover"


@dataclass(frozen=True, slots=True)
class RangeAnswer:
    """What became of a call; ``handover`` is what a holder passes on.

    A call that was "refused" or "not_sent" is not carried out, now or later; one that
    is "unsure" may be.
    """

    result: CallResult
    handover: str = ""


def open_range_session() -> aiohttp.ClientSession:
    """Return the session for these calls; closing a connection resets it."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, socket_factory=_resetting_socket),
        trace_configs=[_trace_sent()],
    )


async def call_grant(
    http: aiohttp.ClientSession,
    paths: RangeCallPaths,
    row: KeyRange,
    hold_ms: int,
    headers: DirectHeaders,
) -> RangeAnswer:
    """Give, or renew, a range to its holder, and to no other process there."""
    body: dict[str, object] = {
        paths.first_key: row.first_key,
        paths.last_key: row.last_key,
        paths.token: row.token,
        paths.hold_ms: hold_ms,
    }
    if row.handover:
        body[paths.handover] = row.handover
    url = f"http://{row.address}{paths.grant}"
    return await _call(http, url, body, row.upstream, headers, CALL_TIMEOUT_S)


async def call_release(
    http: aiohttp.ClientSession,
    paths: RangeCallPaths,
    row: KeyRange,
    headers: DirectHeaders,
) -> RangeAnswer:
    """Take a range back; the answer comes when the work on its keys has ended."""
    body: dict[str, object] = {
        paths.first_key: row.first_key,
        paths.last_key: row.last_key,
        paths.token: row.token,
    }
    url = f"http://{row.address}{paths.release}"
    answer = await _call(http, url, body, row.upstream, headers, RELEASE_TIMEOUT_S)
    # A holder refuses no release, so another process has the address.
    return RangeAnswer("no_process") if answer.result == "refused" else answer


async def _call(
    http: aiohttp.ClientSession,
    url: str,
    body: dict[str, object],
    upstream: str,
    names: DirectHeaders,
    timeout_s: float,
) -> RangeAnswer:
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=timeout_s)
    progress = _CallProgress()
    try:
        async with http.post(
            url,
            json=body,
            headers={names.expected_upstream: upstream},
            timeout=timeout,
            trace_request_ctx=progress,
        ) as response:
            await response.read()
            return _read_answer(response, names)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        if progress.is_sent:
            return RangeAnswer("unsure")
        if _is_connection_refused(error):
            return RangeAnswer("no_process")
        return RangeAnswer("not_sent")


def _is_connection_refused(error: Exception) -> bool:
    return (
        isinstance(error, aiohttp.ClientConnectorError)
        and error.os_error.errno == errno.ECONNREFUSED
    )


def _read_answer(response: aiohttp.ClientResponse, names: DirectHeaders) -> RangeAnswer:
    match response.status:
        case 200:
            return RangeAnswer("done", response.headers.get(names.handover, ""))
        case 409:
            return RangeAnswer("newer_token")
        case 421:
            # Another process has the address, so the holder's has ended.
            return RangeAnswer("no_process")
        case 400 if names.not_run in response.headers:
            return RangeAnswer("refused")
        case _:
            return RangeAnswer("unsure")


@dataclass(slots=True)
class _CallProgress:
    """Whether a byte of a call may have left this host."""

    is_sent: bool = False


def _trace_sent() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()

    async def on_head(
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceRequestHeadersSentParams,
    ) -> None:
        # The library tells of the head just before it writes it.
        context.trace_request_ctx.is_sent = True

    trace.on_request_headers_sent.append(on_head)
    return trace


def _resetting_socket(address: AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    created = socket.socket(family=family, type=kind, proto=protocol)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    return created
