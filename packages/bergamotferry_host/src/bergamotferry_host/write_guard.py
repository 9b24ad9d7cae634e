"""Checks once more, just before bytes are written to an upstream, that they may be.

Getting a connection takes time, in which a lease can run out or a grant can be revoked.
The HTTP client calls the guard when it has the connection and has written nothing yet;
a guard that refuses ends the request there. A process that is frozen between the
guard and the write can still write late: an upstream that checks epochs refuses that,
and no other upstream can be protected from it.
"""

from collections.abc import Callable
from types import SimpleNamespace

import aiohttp

from bergamotferry.outcomes import Refused

WriteGuard = Callable[[], Refused | None]


class WriteRefusedError(Exception):
    """Nothing was written, because the guard refused it."""

    def __init__(self, refusal: Refused) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def guarded_client() -> aiohttp.ClientSession:
    """Return a client whose requests may carry a guard as ``trace_request_ctx``."""
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(_check_guard)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        auto_decompress=False,
        trace_configs=[trace],
    )


def check_write(guard: WriteGuard | None) -> None:
    """Ask a guard, if there is one.

    Raises
    ------
    WriteRefusedError
        If the guard refuses; nothing has been written then.
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
