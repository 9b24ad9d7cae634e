"""Upstreams of the soak that hold keys and serve a key only while they hold it.

All of them record their holds in one `HeldKeys`. A key with two holders is therefore
found when one of the two begins to run a request for it.
"""

import asyncio
import random
import time
from dataclasses import dataclass, field

from aiohttp import web
from platform_fleet import not_run_answer
from platform_soak_upstream import NETWORK, SoakUpstream

# Ranges are split at multiples of this.
KEYS_PER_BUCKET = 8
SERVICE = "keys"
# The share `HOT_SHARE` of the requests is for a few adjacent keys, which overload a
# single holder.
HOT_FIRST_KEY, N_HOT_KEYS, HOT_SHARE = 10_240, 512, 0.6
N_KEYS = 65_536
# Share of the grant calls that are applied although their answer is lost.
LOST_ANSWER_SHARE = 0.02
# Right after its thaw, a control host may send a grant call that it prepared before its
# freeze. Grants are therefore exempt from the check for this long after a thaw.
THAW_EXEMPTION_S = 0.3


def draw_key(rng: random.Random) -> int:
    """Draw the key of a request."""
    if rng.random() < HOT_SHARE:
        return draw_hot_key(rng)
    return rng.randrange(N_KEYS)


def draw_hot_key(rng: random.Random) -> int:
    """Draw one of the hot keys."""
    return HOT_FIRST_KEY + rng.randrange(N_HOT_KEYS)


def bucket_of(request: web.Request) -> int:
    """Return the bucket of a request's key."""
    return int(request.headers["X-Shard-Key"]) // KEYS_PER_BUCKET


@dataclass
class HeldKeys:
    """The holds of all upstreams by bucket of keys, and the violations that were found.

    ``hold_ends_s`` has the end of each hold by upstream and bucket, ``exempt`` the
    holds that the check leaves out, ``double_holds`` a line for each request that ran
    while another upstream held its bucket, ``thaws`` the times at which frozen control
    hosts continued, and ``n_released_buckets`` the number of buckets that were
    released.
    """

    hold_ends_s: dict[str, dict[int, float]] = field(default_factory=dict)
    exempt: set[tuple[str, int]] = field(default_factory=set)
    double_holds: list[str] = field(default_factory=list)
    thaws: list[float] = field(default_factory=list)
    n_released_buckets: int = 0

    def grant(self, name: str, buckets: range, hold_ends_s: float) -> None:
        ends_s_by_bucket = self.hold_ends_s.setdefault(name, {})
        now_s = time.monotonic()
        is_after_thaw = any(
            0 <= now_s - thaw_s < THAW_EXEMPTION_S for thaw_s in self.thaws
        )
        for bucket in buckets:
            ends_s_by_bucket[bucket] = hold_ends_s
            if is_after_thaw:
                self.exempt.add((name, bucket))
            else:
                self.exempt.discard((name, bucket))

    def release(self, name: str, buckets: range) -> None:
        ends_s_by_bucket = self.hold_ends_s.setdefault(name, {})
        self.n_released_buckets += len(
            [ends_s_by_bucket.pop(bucket, None) for bucket in buckets]
        )

    def holds(self, name: str, bucket: int) -> bool:
        return self.hold_ends_s.get(name, {}).get(bucket, 0.0) > time.monotonic()

    def record_run(self, name: str, bucket: int) -> None:
        """Record that an upstream begins a request.

        The run is a violation if another upstream holds the bucket of the request's
        key, unless one of the two holds is exempt.
        """
        for other_name in self.hold_ends_s:
            is_exempt = bool({(name, bucket), (other_name, bucket)} & self.exempt)
            if other_name != name and self.holds(other_name, bucket) and not is_exempt:
                self.double_holds.append(
                    f"{name} ran a request for bucket {bucket}, held by {other_name}"
                )


@dataclass
class KeyedUpstream(SoakUpstream):
    """An upstream of the sharded service, which hosts reach without the proxy."""

    held: HeldKeys = field(default_factory=HeldKeys)
    fencing_tokens: dict[int, int] = field(default_factory=dict)

    service = SERVICE
    n_slots = 1
    work_s = (0.032, 0.06)

    @property
    def name(self) -> str:
        """Name of the current incarnation."""
        return f"k-{self.number}-{self.incarnation}"

    @property
    def own_address(self) -> str:
        return f"{NETWORK}.2.{50 + self.number}:18099"

    @property
    def address(self) -> str:
        """Address at which hosts reach the upstream."""
        return self.own_address

    def begin_incarnation(self) -> None:
        """Take the next name, and hold nothing; the former process serves no more."""
        self.held.hold_ends_s.pop(self.name, None)
        self.fencing_tokens.clear()
        super().begin_incarnation()

    async def respond(self, request: web.Request) -> web.StreamResponse:
        """Serve a control call, or run a request for a key that is held here."""
        if request.headers.get("X-Expected-Instance") != self.name:
            return not_run_answer(request)
        if request.path in ("/api/grant", "/api/release"):
            return await self._serve_control_call(request)
        if not self.held.holds(self.name, bucket_of(request)):
            return not_run_answer(request)
        return await super().respond(request)

    def record_run(self, request: web.Request) -> None:
        """Record that a request begins to run, and which key it is for."""
        super().record_run(request)
        self.held.record_run(self.name, bucket_of(request))

    async def _serve_control_call(self, request: web.Request) -> web.Response:
        name, body = self.name, await request.json()
        if name != self.name:
            # The process has ended, and its connections with it.
            return web.Response()
        buckets = range(
            body["from"] // KEYS_PER_BUCKET, body["to"] // KEYS_PER_BUCKET + 1
        )
        if request.path == "/api/release":
            self.held.release(self.name, buckets)
            # Requests for these keys run for up to 60 ms and must end first.
            await asyncio.sleep(0.06)
            return web.Response(headers={"X-Handover": f"from {self.name}"})
        if any(
            self.fencing_tokens.get(bucket, 0) > body["fence"] for bucket in buckets
        ):
            return web.Response(status=409)
        for bucket in buckets:
            self.fencing_tokens[bucket] = body["fence"]
        self.held.grant(self.name, buckets, time.monotonic() + body["hold-ms"] / 1000)
        if self.rng.random() < LOST_ANSWER_SHARE and request.transport is not None:
            request.transport.abort()
        return web.Response()
