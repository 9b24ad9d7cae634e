"""Sinks that count an answer, resume a broken answer, or relay one to another host.

Each sink accepts a head, parts of the body and an end, as defined by
`exchange.AnswerSink`.
"""

from bergamotferry.messages import ResponseHead
from bergamotferry.result_codes import ResultCode

from .exchange import AnswerSink
from .peer_link import PeerStream
from .slow_link import SlowLink


class CountingSink:
    """Relays an answer to its target and records how much of it was relayed."""

    def __init__(self, target: AnswerSink) -> None:
        self.target = target
        self.has_head = False
        self.code = ResultCode.SERVED
        self.status = 0
        self.etag = ""
        self.size_bytes = -1
        self.n_bytes = 0

    @property
    def is_resumable(self) -> bool:
        """Whether a range request can fetch the rest of the same version.

        This needs a status of 200, a strong ETag and a known length.
        """
        is_strong = self.etag.startswith('"')
        return self.status == 200 and is_strong and self.n_bytes < self.size_bytes

    @property
    def is_whole(self) -> bool:
        """Whether the head and every byte that it announced were relayed."""
        return self.has_head and self.n_bytes == self.size_bytes

    async def head(self, head: ResponseHead) -> None:
        """Relay the head; no other attempt is made after this."""
        self.has_head = True
        self.code = ResultCode(head.code)
        self.status = head.status
        headers = dict(head.headers)
        self.etag = headers.get("ETag", "")
        self.size_bytes = int(headers.get("Content-Length", "-1"))
        await self.target.head(head)

    async def data(self, data: bytes) -> None:
        """Relay a part of the body and count its bytes."""
        self.n_bytes += len(data)
        await self.target.data(data)

    async def end(self) -> None:
        """Relay the end of the body."""
        await self.target.end()


class ResumedAnswerSink:
    """Relays the rest of a broken answer to the sink that relayed its first part.

    The rest is dropped unless it is of the same version and starts where the first
    part ended.
    """

    def __init__(self, sink: CountingSink) -> None:
        self.sink = sink
        self.is_same_version = False
        self.is_refused = False

    async def head(self, head: ResponseHead) -> None:
        """Check the head against the first part; relay nothing."""
        headers = dict(head.headers)
        size = self.sink.size_bytes
        expected = f"bytes {self.sink.n_bytes}-{size - 1}/{size}"
        self.is_same_version = (
            head.status == 206
            and headers.get("ETag") == self.sink.etag
            and headers.get("Content-Range") == expected
        )
        self.is_refused = not self.is_same_version

    async def data(self, data: bytes) -> None:
        """Relay a part of the body if the head matched."""
        if self.is_same_version:
            await self.sink.data(data)

    async def end(self) -> None:
        """Relay the end of the body if the head matched."""
        if self.is_same_version:
            await self.sink.end()


class PeerSink:
    """Relays an answer to the host that forwarded the request, at the link's rate."""

    def __init__(self, stream: PeerStream, link: SlowLink) -> None:
        self.stream = stream
        self.link = link
        self.has_head = False

    async def head(self, head: ResponseHead) -> None:
        """Relay the head."""
        self.has_head = True
        await self.stream.send_head(head)

    async def data(self, data: bytes) -> None:
        """Relay a part of the body when the link budget allows it."""
        await self.link.wait_for_budget(len(data))
        await self.stream.send(data)

    async def end(self) -> None:
        """Relay the end of the body."""
        await self.stream.end()
