"""Detects that this process was suspended, so that it doesn't act on stale orders.

An order that arrived while a host was suspended waits in its socket. Its sender has
given up on it by then, has sent it to another host, and may have sent a newer order on
the same object since. A host that goes on therefore refuses for a moment to commit what
was waiting; the sender of a fresh order sends it again.
"""

import asyncio
from dataclasses import dataclass

from .clock import now_ns
from .logs import log_warning

TICK_S = 0.05
# Senders give up on an order after a second without an answer.
SUSPENDED_MIN_NS = 500_000_000
# What waited in the sockets has been read by then.
RESUME_NS = 200_000_000


@dataclass(slots=True)
class SuspensionWatch:
    """When this process last ran, and when it last went on after a suspension.

    ``ticked_ns`` is 0 while nothing watches the process.
    """

    ticked_ns: int = 0
    resumed_ns: int = -RESUME_NS


async def run_suspension_watch(watch: SuspensionWatch) -> None:
    """Record suspensions until cancelled."""
    watch.ticked_ns = now_ns()
    while True:
        await asyncio.sleep(TICK_S)
        record_tick(watch, now_ns())


def record_tick(watch: SuspensionWatch, now: int) -> None:
    """Record that this process runs."""
    if now - watch.ticked_ns >= SUSPENDED_MIN_NS:
        watch.resumed_ns = now
        log_warning("suspended", for_ms=(now - watch.ticked_ns) // 1_000_000)
    watch.ticked_ns = now


def has_just_resumed(watch: SuspensionWatch, now: int) -> bool:
    """Return whether orders that are read now may have waited during a suspension."""
    is_unrecorded = 0 < watch.ticked_ns <= now - SUSPENDED_MIN_NS
    return is_unrecorded or now - watch.resumed_ns < RESUME_NS
