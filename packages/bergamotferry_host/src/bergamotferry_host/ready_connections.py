"""A connector that opens the connection for the next call to an address ahead.

A full upstream serves its open connections, and leaves a new one waiting for a free
slot. A call on a new connection then comes too late just when it matters. A connection
that is kept between calls would not wait, but an upstream could repeat an earlier
answer on it, and the answers to some calls bear no id. So each connection carries one
call, and it is opened when the call before it begins.
"""

import asyncio
from collections import Counter
from typing import Any, NamedTuple

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .background import start_task
from .clock import now_ns
from .upstream_connections import UnaskedBytesError
from .upstream_protocol import UpstreamConnector

# Upstreams close connections that are idle for longer; a call that is sent just then
# would be lost.
READY_MAX_AGE_NS = 4_000_000_000
# Several calls to one address may begin at the same moment.
N_READY_MAX = 8


class _ReadyConnection(NamedTuple):
    """A connection on which nothing was sent yet."""

    protocol: ResponseHandler
    opened_ns: int


class ReadyConnector(UpstreamConnector):
    """Opens connections ahead; each is closed after one call.

    Parameters
    ----------
    **settings
        Settings of `aiohttp.TCPConnector`.
    """

    def __init__(self, **settings: Any) -> None:
        super().__init__(force_close=True, **settings)
        self._ready: dict[Any, list[_ReadyConnection]] = {}
        self._opening: set[asyncio.Task[None]] = set()
        self._n_opening: Counter[Any] = Counter()

    async def _create_connection(
        self, req: aiohttp.ClientRequest, traces: list[Any], timeout: Any
    ) -> ResponseHandler:
        protocol = self._take_ready(req.connection_key)
        if protocol is None:
            protocol = await super()._create_connection(req, traces, timeout)
            if protocol.should_close:
                # What has come is no answer to the call, which bears no id.
                protocol.close()
                raise UnaskedBytesError("the upstream wrote or closed at once")
        key = req.connection_key
        if len(self._ready.get(key, ())) + self._n_opening[key] < N_READY_MAX:
            self._n_opening[key] += 1
            start_task(self._open_ready(req, timeout), self._opening)
        return protocol

    async def _open_ready(self, req: aiohttp.ClientRequest, timeout: Any) -> None:
        """Open a connection for a later call; a failure only makes that call slower."""
        try:
            protocol = await super()._create_connection(req, [], timeout)
        except (aiohttp.ClientError, OSError):
            return
        finally:
            self._count_opened(req.connection_key)
        if self._closed:
            protocol.close()
            return
        ready = self._ready.setdefault(req.connection_key, [])
        ready.append(_ReadyConnection(protocol, now_ns()))

    def _count_opened(self, key: Any) -> None:
        self._n_opening[key] -= 1
        if not self._n_opening[key]:
            del self._n_opening[key]

    def _take_ready(self, key: Any) -> ResponseHandler | None:
        """Return the oldest usable connection to an address, if there is one."""
        self._close_unusable()
        ready = self._ready.get(key)
        return ready.pop(0).protocol if ready else None

    def _close_unusable(self) -> None:
        oldest_ns = now_ns() - READY_MAX_AGE_NS
        for key, ready in list(self._ready.items()):
            usable = [entry for entry in ready if _is_usable(entry, oldest_ns)]
            for entry in ready:
                if entry not in usable:
                    entry.protocol.close()
            if usable:
                self._ready[key] = usable
            else:
                del self._ready[key]

    def close(self, *, abort_ssl: bool = False) -> Any:
        """Close all connections, those that are ready included."""
        for task in self._opening:
            task.cancel()
        for ready in self._ready.values():
            for entry in ready:
                entry.protocol.close()
        self._ready.clear()
        return super().close(abort_ssl=abort_ssl)


def _is_usable(entry: _ReadyConnection, oldest_ns: int) -> bool:
    """Return whether a connection is open, young enough, and nothing arrived on it."""
    is_clean = entry.protocol.is_connected() and not entry.protocol.should_close
    return is_clean and entry.opened_ns >= oldest_ns
