"""The two ends of a request inside the system: its body and the sink of its answer."""

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
    """The whole answer has been passed on."""

    status: int
    n_bytes: int
    upstream: str


class AnswerSink(Protocol):
    """Takes the answer; a refusal never comes here."""

    async def head(self, head: ResponseHead) -> None:
        """Take the head; after this no other attempt can be made."""

    async def data(self, data: bytes) -> None:
        """Take a part of the body."""

    async def end(self) -> None:
        """Take the end of the body."""


@dataclass(slots=True)
class RequestBody:
    """A body that can be sent again while no more than a little of it was read."""

    source: AsyncIterator[bytes]
    read: list[bytes] = field(default_factory=list)
    n_bytes_read: int = 0
    is_over: bool = False
    is_broken: bool = False

    @classmethod
    def empty(cls) -> "RequestBody":
        """Return the body of a request that has none."""
        return cls(_nothing(), is_over=True)

    @property
    def is_empty(self) -> bool:
        """Whether it is known already that there is nothing to send."""
        return self.is_over and not self.n_bytes_read

    @property
    def is_replayable(self) -> bool:
        """Whether another attempt can send the whole body."""
        return not self.is_broken and self.n_bytes_read <= REPLAY_MAX_BYTES

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start.

        Raises
        ------
        ConnectionError
            If the body broke before; what came of it must not pass for the whole.
        """
        if self.is_broken:
            raise ConnectionError("the body broke before its end")
        for chunk in list(self.read):
            yield chunk
        if self.is_over:
            return
        try:
            async for chunk in self.source:
                self.n_bytes_read += len(chunk)
                if self.is_replayable:
                    self.read.append(chunk)
                yield chunk
        except Exception:
            self.is_broken = True
            raise
        self.is_over = True


@dataclass(slots=True)
class SendProgress:
    """How far a send to an upstream came; what "not run" rests on."""

    is_reused: bool = False
    is_sent: bool = False
    has_head: bool = False
    is_reset: bool = False
    guard: WriteGuard | None = None


@dataclass(slots=True)
class UpstreamRequest:
    """A request that holds a slot of its owner.

    ``content`` is the whole body if it was read before; ``give_up_ns`` is when waiting
    for the upstream ends, which for a filing is later than the caller's deadline.
    """

    owner: Owner
    route: Route
    head: RequestHead
    body: RequestBody
    deadline_ns: int
    give_up_ns: int
    content: bytes | None = None
    progress: SendProgress = field(default_factory=SendProgress)


async def is_taken(work: Awaitable[None]) -> bool:
    """Wait for a sink; False if it broke, which must not pass for a broken source."""
    try:
        await work
    except (aiohttp.ClientError, OSError):
        return False
    return True


def caller_gone() -> Refused:
    """Return the refusal of a request whose caller takes no more of the answer."""
    return Refused(ResultCode.CALLER_GONE, "the answer could not be passed on")


async def _nothing() -> AsyncIterator[bytes]:
    chunks: tuple[bytes, ...] = ()
    for chunk in chunks:
        yield chunk
