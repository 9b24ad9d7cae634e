"""The two ends of a request inside the system: its body and the sink of its answer."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Protocol

from bergamotferry.messages import ResponseHead

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

    @property
    def is_replayable(self) -> bool:
        """Whether another attempt can send the whole body."""
        return self.n_bytes_read <= REPLAY_MAX_BYTES

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start."""
        for chunk in list(self.read):
            yield chunk
        if self.is_over:
            return
        async for chunk in self.source:
            self.n_bytes_read += len(chunk)
            if self.is_replayable:
                self.read.append(chunk)
            yield chunk
        self.is_over = True


async def no_body() -> AsyncIterator[bytes]:
    """Return the body of a request that has none."""
    chunks: tuple[bytes, ...] = ()
    for chunk in chunks:
        yield chunk
