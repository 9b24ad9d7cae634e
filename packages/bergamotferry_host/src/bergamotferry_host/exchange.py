"""The body of a request, the sink of its answer, and the progress of its send.

The callers' edge, the entry host's request path and the dispatcher exchange requests
and answers through these types, whether they run on one host or on two.
"""

from collections.abc import AsyncIterator, Awaitable
from dataclasses import dataclass, field
from typing import Protocol

import aiohttp

from bergamotferry.messages import RequestHead, ResponseHead
from bergamotferry.outcomes import Refused
from bergamotferry.records import Route
from bergamotferry.result_codes import ResultCode
from bergamotferry.routing import Owner

from .write_guard import WriteGuard

REPLAY_MAX_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class Served:
    """The whole answer was written to the sink; ``n_bytes`` is its body's size."""

    status: int
    n_bytes: int
    upstream: str


class AnswerSink(Protocol):
    """Receives an answer; a refusal is returned and never written to a sink."""

    async def head(self, head: ResponseHead) -> None:
        """Write the head; the request can't be retried from here on."""

    async def data(self, data: bytes) -> None:
        """Write a part of the body."""

    async def end(self) -> None:
        """Finish the body."""


@dataclass(slots=True)
class RequestBody:
    """A body that a retry can send again while at most ``REPLAY_MAX_BYTES`` were read.

    ``read_chunks`` are the chunks read so far, up to that limit.
    ``is_complete`` is set at the end of the source, ``is_broken`` if the source failed.
    """

    source: AsyncIterator[bytes]
    read_chunks: list[bytes] = field(default_factory=list)
    n_bytes_read: int = 0
    is_complete: bool = False
    is_broken: bool = False

    @classmethod
    def empty(cls) -> "RequestBody":
        """Return the body of a request that has none."""
        return cls(_no_chunks(), is_complete=True)

    @property
    def is_empty(self) -> bool:
        """Whether the body is known to be empty, without reading more of it."""
        return self.is_complete and not self.n_bytes_read

    @property
    def is_replayable(self) -> bool:
        """Whether another attempt can send the whole body."""
        return not self.is_broken and self.n_bytes_read <= REPLAY_MAX_BYTES

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start.

        Raises
        ------
        ConnectionError
            If the source failed before, since the chunks read until then must not be
            sent as a whole body.
        """
        if self.is_broken:
            raise ConnectionError("the request body failed before its end")
        for chunk in list(self.read_chunks):
            yield chunk
        if self.is_complete:
            return
        try:
            async for chunk in self.source:
                self.n_bytes_read += len(chunk)
                if self.is_replayable:
                    self.read_chunks.append(chunk)
                yield chunk
        except Exception:
            self.is_broken = True
            raise
        self.is_complete = True


@dataclass(slots=True)
class SendProgress:
    """The progress of a send to an upstream, from which "not run" is decided.

    ``is_reused`` is set if the connection was kept from an earlier request, ``is_sent``
    before the request's head is written, ``has_head`` once the answer's head arrived,
    ``is_reset`` if the connection broke other than by a timeout. ``guard`` is checked
    just before anything is written.
    """

    is_reused: bool = False
    is_sent: bool = False
    has_head: bool = False
    is_reset: bool = False
    guard: WriteGuard | None = None


@dataclass(slots=True)
class UpstreamRequest:
    """A request that holds a slot of its owner.

    ``content`` is the whole body, if it was read before the request got its slot.
    ``response_deadline_ns`` is when the dispatcher stops waiting for the upstream. For
    a filing that is later than the caller's deadline, ``deadline_ns``.
    """

    owner: Owner
    route: Route
    head: RequestHead
    body: RequestBody
    deadline_ns: int
    response_deadline_ns: int
    content: bytes | None = None
    progress: SendProgress = field(default_factory=SendProgress)


async def try_write(write: Awaitable[None]) -> bool:
    """Wait for a write to a sink; return False if the write failed.

    A failed sink must not be mistaken for a failed source, which may be retried.
    """
    try:
        await write
    except (aiohttp.ClientError, OSError):
        return False
    return True


def caller_gone_refusal() -> Refused:
    """Return the refusal of a request whose caller can't receive the answer."""
    return Refused(ResultCode.CALLER_GONE, "the answer could not be passed on")


async def _no_chunks() -> AsyncIterator[bytes]:
    chunks: tuple[bytes, ...] = ()
    for chunk in chunks:
        yield chunk
