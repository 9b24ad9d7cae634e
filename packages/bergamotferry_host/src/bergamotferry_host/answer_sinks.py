"""Where the parts of an answer go: to a caller, on to another host, or after a break.

Each takes a head, data and an end, as `exchange.AnswerSink` says.
"""

from bergamotferry.messages import ResponseHead
from bergamotferry.result_codes import ResultCode

from .exchange import AnswerSink
from .peer_link import PeerStream
from .slow_link import SlowLink


class CountingSink:
    """Passes an answer to the caller and remembers how far it came."""

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
        """Whether the rest can be asked for by range, from the same version."""
        is_strong = self.etag.startswith('"')
        return self.status == 200 and is_strong and self.n_bytes < self.size_bytes

    async def head(self, head: ResponseHead) -> None:
        """Take the head; no other attempt is made after this."""
        self.has_head = True
        self.code = ResultCode(head.code)
        self.status = head.status
        headers = dict(head.headers)
        self.etag = headers.get("ETag", "")
        self.size_bytes = int(headers.get("Content-Length", "-1"))
        await self.target.head(head)

    async def data(self, data: bytes) -> None:
        """Take a part of the body."""
        self.n_bytes += len(data)
        await self.target.data(data)

    async def end(self) -> None:
        """Take the end of the body."""
        await self.target.end()


class RestSink:
    """Takes the rest of an answer, if it is of the same version and place."""

    def __init__(self, sink: CountingSink) -> None:
        self.sink = sink
        self.is_same_version = False
        self.is_refused = False

    async def head(self, head: ResponseHead) -> None:
        """Take the head."""
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
        """Take a part of the body."""
        if self.is_same_version:
            await self.sink.data(data)

    async def end(self) -> None:
        """Take the end of the body."""
        if self.is_same_version:
            await self.sink.end()


class PeerSink:
    """Passes an answer to the host that forwarded the request, at the link's pace."""

    def __init__(self, stream: PeerStream, link: SlowLink) -> None:
        self.stream = stream
        self.link = link
        self.has_head = False

    async def head(self, head: ResponseHead) -> None:
        """Take the head."""
        self.has_head = True
        await self.stream.send_head(head)

    async def data(self, data: bytes) -> None:
        """Take a part of the body."""
        await self.link.pace(len(data))
        await self.stream.send(data)

    async def end(self) -> None:
        """Take the end of the body."""
        await self.stream.end()
