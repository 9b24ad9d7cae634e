"""A target of a service that is divided by key; it holds the keys it was granted."""

import json
import time
from typing import NamedTuple

from targets import Head, Target

N_KEYS = 65_536


class Grant(NamedTuple):
    first: int
    last: int
    fence: int
    until_s: float


class KeyTarget(Target):
    """Keeps its grants by key range; ``seen`` are the highest fences by range."""

    def __init__(self, *arguments, **settings) -> None:
        super().__init__(*arguments, **settings)
        self.grants: list[Grant] = []
        self.seen: list[tuple[int, int, int]] = []

    def holds(self, key: int) -> bool:
        now = time.monotonic()
        return any(g.first <= key <= g.last and g.until_s > now for g in self.grants)

    def n_held(self) -> int:
        """Return how many keys it holds now."""
        now = time.monotonic()
        return sum(g.last - g.first + 1 for g in self.grants if g.until_s > now)

    async def answer(self, head: Head, body: bytes) -> bytes | None:
        if head.headers.get("x-expected-instance", self.name) != self.name:
            return self.encode(421, ["X-Not-Executed: 1"], b"")
        if head.path == "/api/grant":
            return self.on_grant(json.loads(body))
        if head.path == "/api/release":
            return self.on_release(json.loads(body))
        key = head.headers.get("x-shard-key")
        if head.path != "/health" and (key is None or not self.holds(int(key))):
            request_id = head.headers.get("x-request-id", "")
            lines = [f"X-Request-Id: {request_id}", "X-Not-Executed: 1"]
            return self.encode(421, lines, b"")
        return await super().answer(head, body)

    def on_grant(self, order: dict) -> bytes:
        first, last, fence = order["from"], order["to"], order["fence"]
        if any(f <= last and first <= t and n > fence for f, t, n in self.seen):
            return self.encode(409, [], b"")
        self.seen.append((first, last, fence))
        until_s = time.monotonic() + order["hold-ms"] / 1000
        self.cut(first, last)
        self.grants.append(Grant(first, last, fence, until_s))
        self.record.write(
            "granted", target=self.name, first=first, last=last, fence=fence
        )
        return self.encode(200, [], b"{}")

    def on_release(self, order: dict) -> bytes:
        first, last, fence = order["from"], order["to"], order["fence"]
        self.cut(first, last)
        self.record.write(
            "released", target=self.name, first=first, last=last, fence=fence
        )
        return self.encode(200, [f"X-Handover: h{first}.{fence}"], b"")

    def cut(self, first: int, last: int) -> None:
        """Forget the keys of a range, and what has expired."""
        now, kept = time.monotonic(), []
        for grant in self.grants:
            if grant.until_s <= now:
                continue
            if grant.last < first or last < grant.first:
                kept.append(grant)
                continue
            if grant.first < first:
                kept.append(grant._replace(last=first - 1))
            if last < grant.last:
                kept.append(grant._replace(first=last + 1))
        self.grants = kept
