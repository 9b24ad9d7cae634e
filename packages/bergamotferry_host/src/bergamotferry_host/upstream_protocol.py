"""Bounds what an upstream may send before the head of its answer.

The HTTP library skips interim answers (status 1xx) and parses all that one read returns
without a pause. An upstream that sends interim answers without end would keep the event
loop busy, and all that the host does besides would wait. So little is read at a time
until the head is complete, and beyond `N_INTERIM_MAX` interim answers the connection is
closed and the request fails. Every session for upstreams uses an `UpstreamConnector`.
"""

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

# Servers send a few: 100 to a request with "Expect", 102 while they work, 103 with
# hints.
N_INTERIM_MAX = 32
HEAD_READ_MAX_BYTES = 4 * 1024
BODY_READ_MAX_BYTES = 64 * 1024
FINAL_STATUS_MIN = 200


class TooManyInterimError(aiohttp.ClientError):
    """An upstream sent interim answers instead of an answer."""


class UpstreamProtocol(ResponseHandler):
    """One connection to an upstream; ``n_interim`` counts since the last request."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.n_interim = 0

    def set_response_params(self, **settings: Any) -> None:
        """Expect the head of an answer, before each request."""
        self.n_interim = 0
        self._limit_reads(HEAD_READ_MAX_BYTES)
        super().set_response_params(**settings)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take the head of an answer; drop interim answers beyond the bound."""
        message, _ = data
        if message.code >= FINAL_STATUS_MIN:
            self._limit_reads(BODY_READ_MAX_BYTES)
        else:
            self.n_interim += 1
        if self.n_interim <= N_INTERIM_MAX:
            super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse what was read; close the connection beyond the bound."""
        super().data_received(data)
        if self.n_interim > N_INTERIM_MAX and self.transport is not None:
            self.set_exception(TooManyInterimError("too many interim answers"))
            self.transport.abort()

    def _limit_reads(self, n_bytes: int) -> None:
        transport: Any = self.transport
        if hasattr(transport, "max_size"):
            transport.max_size = n_bytes


class UpstreamConnector(aiohttp.TCPConnector):
    """Opens connections on which the heads of answers are bounded.

    Parameters
    ----------
    **settings
        Settings of `aiohttp.TCPConnector`.
    """

    def __init__(self, **settings: Any) -> None:
        super().__init__(**settings)
        # The library has no public way to choose the protocol.
        factory: Any = functools.partial(UpstreamProtocol, loop=self._loop)
        self._factory = factory
