"""Rechecks, right before a request is written to an upstream, that it may be sent.

While a connection is obtained, a lease can expire or a grant can be revoked. The HTTP
client therefore calls a guard once it has the connection and before it writes a byte; a
refusal of the guard ends the request. A process that is suspended between the guard and
the write can still write too late. An upstream that checks epochs refuses such a late
request; an upstream that checks none can't be protected from it.
"""

from collections.abc import Callable
from types import SimpleNamespace

import aiohttp

from bergamotferry.outcomes import Refused

from .upstream_connections import UpstreamResponse
from .upstream_protocol import UpstreamConnector

WriteGuard = Callable[[], Refused | None]


class WriteRefusedError(Exception):
    """The guard refused the request, and nothing was written."""

    def __init__(self, refusal: Refused) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def guarded_client() -> aiohttp.ClientSession:
    """Return a client whose requests accept a guard as ``trace_request_ctx``.

    Answers to orders bear no id, and an upstream may write one twice. So each
    connection carries one order.
    """
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_check_guard)
    return aiohttp.ClientSession(
        connector=UpstreamConnector(limit=0, force_close=True),
        response_class=UpstreamResponse,
        auto_decompress=False,
        trace_configs=[trace],
    )


def check_write(guard: WriteGuard | None) -> None:
    """Call a guard, if there is one.

    Raises
    ------
    WriteRefusedError
        If the guard refuses; nothing has been written at that point.
    """
    refusal = guard() if guard is not None else None
    if refusal is not None:
        raise WriteRefusedError(refusal)


async def _check_guard(
    session: aiohttp.ClientSession,
    context: SimpleNamespace,
    parameters: aiohttp.TraceRequestHeadersSentParams,
) -> None:
    check_write(context.trace_request_ctx)
