"""Odd answers of the soak's upstreams, each kind at an upstream's own share.

- A full upstream refuses a request, or resets the connection instead.
- An upstream runs a request, and its answer says 503, 429 or 408 without the not-run
  header.
- An upstream runs a request, and the status of its answer is none.
- An upstream writes an answer that nobody asked for: an earlier one of the connection
  once more, the same without its id, or one to another request that is over. It writes
  it when the next request arrives, just before that request's answer, or while the
  connection is idle. These bytes follow a complete answer on the same connection and
  never lie within another one.
"""

import asyncio
import random
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple
from weakref import WeakKeyDictionary

from aiohttp import web
from platform_fleet import not_run_answer

# An upstream draws its own share of each kind of odd answer from these.
SHARES = (0.01, 0.04, 0.1)
# An upstream repeats a refusal far more often than another answer.
REFUSAL_EXTRA_SHARES = (0.2, 0.5, 0.8)
# Share of the refusals by which a full upstream says that a slot is free again.
FREE_SLOT_SHARE = 0.5
FULL_STATUSES = (503, 429)
UNMARKED_STATUSES = (503, 429, 408)
NO_STATUSES = ("000", "099", "600", "999")
# What an upstream writes without being asked: its last answer on the connection, that
# answer without its id, or one of its answers to other requests.
EXTRA_KINDS = ("same", "without id", "other request")
EXTRA_KIND_WEIGHTS = (0.7, 0.15, 0.15)
IDLE_DELAY_S = (0.003, 0.1)
REMEMBERED_MAX_BYTES = 1_000
# An answer to another request is this many answers old, so that its request is over.
N_ANSWERS_SINCE = 100
ID_HEADER = "X-Request-Id"


class OddShares(NamedTuple):
    """How often an upstream answers oddly, each as a share of its requests.

    ``extra_after_refusal`` and ``extra`` are the shares of the requests that find an
    unasked answer before theirs, by what the connection's last answer was.
    """

    full: float = 0.0
    full_by_reset: float = 0.0
    unmarked: float = 0.0
    no_status: float = 0.0
    extra: float = 0.0
    extra_after_refusal: float = 0.0
    extra_when_idle: float = 0.0


def draw_shares(rng: random.Random) -> OddShares:
    """Draw the shares of one upstream."""
    return OddShares(
        full=rng.choice(SHARES),
        full_by_reset=rng.choice(SHARES),
        unmarked=rng.choice(SHARES),
        no_status=rng.choice(SHARES),
        extra=rng.choice(SHARES),
        extra_after_refusal=rng.choice(REFUSAL_EXTRA_SHARES),
        extra_when_idle=rng.choice(SHARES),
    )


class WrittenAnswer(NamedTuple):
    """An answer that an upstream has written on a connection."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def is_refusal(self) -> bool:
        return self.status >= 400

    def to_bytes(self, kind: str) -> bytes:
        """Return what is written for an extra answer of a kind."""
        lines = [f"HTTP/1.1 {self.status} Odd", f"Content-Length: {len(self.body)}"]
        lines += [
            f"{name}: {value}"
            for name, value in self.headers.items()
            if name != ID_HEADER or kind != "without id"
        ]
        return "\r\n".join([*lines, "", ""]).encode() + self.body


@dataclass
class _Connection:
    last: WrittenAnswer | None = None
    n_requests: int = 0


@dataclass
class OddAnswers:
    """The odd answers of one upstream; ``n_by_kind`` counts those that were written."""

    rng: random.Random
    n_by_kind: Counter[str] = field(default_factory=Counter)
    shares: OddShares = OddShares()
    _connections: "WeakKeyDictionary[asyncio.Transport, _Connection]" = field(
        default_factory=WeakKeyDictionary
    )
    _former: "deque[WrittenAnswer]" = field(
        default_factory=lambda: deque(maxlen=N_ANSWERS_SINCE)
    )

    async def answer(
        self,
        request: web.Request,
        respond: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Answer a request by ``respond``, with extra answers before or after it."""
        transport = request.transport
        if transport is None:
            return await respond(request)
        connection = self._connections.setdefault(transport, _Connection())
        connection.n_requests += 1
        last = connection.last
        is_extra = self.rng.random() < self._extra_share(last)
        is_on_arrival = self.rng.random() < 0.5
        if is_extra and is_on_arrival:
            self._write_extra(transport, last, "on arrival")
        answer = await respond(request)
        if is_extra and not is_on_arrival and not answer.prepared:
            self._write_extra(transport, last, "before the answer")
        self._remember(connection, answer)
        if self.rng.random() < self.shares.extra_when_idle:
            delay_s = self.rng.uniform(*IDLE_DELAY_S)
            n_requests = connection.n_requests
            asyncio.get_running_loop().call_later(
                delay_s, self._write_when_idle, transport, connection, n_requests
            )
        return answer

    def draw_refusal(self, request: web.Request) -> web.Response | None:
        """Return the refusal of a full upstream; None if the request shall run."""
        if self.rng.random() < self.shares.full_by_reset:
            self.n_by_kind["full, by reset"] += 1
            if request.transport is not None:
                request.transport.abort()
            return not_run_answer(request)
        if self.rng.random() >= self.shares.full:
            return None
        self.n_by_kind["full"] += 1
        refusal = not_run_answer(request)
        refusal.set_status(self.rng.choice(FULL_STATUSES))
        if self.rng.random() < FREE_SLOT_SHARE:
            refusal.headers["X-Server-Load"] = "0,0,2,100"
        return refusal

    def draw_unmarked(self, request: web.Request) -> web.Response | None:
        """Return a failure of a request that ran; None if it shall be answered."""
        if self.rng.random() >= self.shares.unmarked:
            return None
        self.n_by_kind["unmarked"] += 1
        headers = {ID_HEADER: request.headers[ID_HEADER]}
        return web.Response(status=self.rng.choice(UNMARKED_STATUSES), headers=headers)

    def writes_no_status(self, request: web.Request) -> bool:
        """Write an answer whose status is none, in some cases; return whether it did.

        The connection is closed after it.
        """
        transport = request.transport
        if transport is None or self.rng.random() >= self.shares.no_status:
            return False
        self.n_by_kind["no status"] += 1
        status = self.rng.choice(NO_STATUSES)
        request_id = request.headers[ID_HEADER]
        lines = [f"HTTP/1.1 {status} Odd", f"{ID_HEADER}: {request_id}"]
        lines += ["X-Response-Seal: s", "Content-Length: 0", "", ""]
        transport.write("\r\n".join(lines).encode())
        transport.close()
        return True

    def _extra_share(self, last: WrittenAnswer | None) -> float:
        if last is not None and last.is_refusal:
            return self.shares.extra_after_refusal
        return self.shares.extra

    def _write_extra(
        self, transport: asyncio.Transport, last: WrittenAnswer | None, when: str
    ) -> None:
        (kind,) = self.rng.choices(EXTRA_KINDS, EXTRA_KIND_WEIGHTS)
        extra = last
        if kind == "other request":
            is_old = len(self._former) == N_ANSWERS_SINCE
            extra = self._former[0] if is_old else None
        if last is None or extra is None or transport.is_closing():
            return
        self.n_by_kind[f"extra {when}"] += 1
        transport.write(extra.to_bytes(kind))

    def _write_when_idle(
        self, transport: asyncio.Transport, connection: _Connection, n_requests: int
    ) -> None:
        if connection.n_requests == n_requests:
            self._write_extra(transport, connection.last, "when idle")

    def _remember(self, connection: _Connection, answer: web.StreamResponse) -> None:
        body = answer.body if isinstance(answer, web.Response) else None
        is_short = isinstance(answer, web.Response) and (
            body is None or len(body) <= REMEMBERED_MAX_BYTES
        )
        if is_short:
            written = WrittenAnswer(answer.status, dict(answer.headers), body or b"")
            connection.last = written
            self._former.append(written)
