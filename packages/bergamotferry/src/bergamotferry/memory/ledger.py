"""Counts the bytes that a host holds, by purpose, and decides who may hold more.

It answers a load that no rate shows: clients that open many connections, send bodies
that each are allowed, stop short of their end and stay. Without a bound over all of
them the process is ended for its memory, and every other request with it.

Everything that grows with what clients do is a holding: the bodies of requests, what
has arrived of requests that wait for their turn, answers that are held, and answers
that their callers have not read. A body that does not fit is refused before any of it
is sent. If it would fit without senders that have stalled, those are ended, the one
that has been silent longest first; what they held is free once their requests have
ended. A part is kept for small bodies, so that ordinary callers are served meanwhile.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal

Purpose = Literal["body", "waiting", "answer", "unread"]

MIB = 1024 * 1024
# What a process takes before it holds anything.
PROCESS_MEMORY_MB = 48
# The rest is for what the event loop reads or writes at one time, and for free memory
# that the allocator can't return.
HELD_SHARE = 0.6
# Larger bodies leave this share of the ledger to smaller ones.
SMALL_BYTES = 128 * 1024
SMALL_ONLY_SHARE = 0.15
# A sender that pauses for longer may be ended while memory is short.
STALLED_NS = 1_000_000_000


@dataclass(slots=True)
class MemoryLedger:
    """The bytes that a host may hold, 0 for no bound, and those that it holds.

    ``senders`` are the holdings whose bodies are still arriving, the one that has made
    no progress for longest first. ``n_ended`` counts senders that were ended.
    """

    max_bytes: int = 0
    held_bytes: Counter[Purpose] = field(default_factory=Counter)
    senders: "OrderedDict[int, Holding]" = field(default_factory=OrderedDict)
    n_ended: int = 0

    @classmethod
    def from_memory(cls, memory_mb: float) -> "MemoryLedger":
        """Return the ledger of a process with a limit of memory; 0 is no limit."""
        if not memory_mb:
            return cls()
        held_mb = max(0.0, memory_mb - PROCESS_MEMORY_MB) * HELD_SHARE
        return cls(max(1, int(held_mb * MIB)))


@dataclass(slots=True, eq=False)
class Holding:
    """The bytes of a ledger that one request or one connection takes.

    ``end`` ends the sender of a body that is still arriving; ``is_ended`` is whether it
    was called. ``progress_ns`` is when the last part of the body arrived.
    """

    ledger: MemoryLedger
    purpose: Purpose
    n_bytes: int = 0
    progress_ns: int = 0
    end: Callable[[], None] | None = None
    is_ended: bool = False


def hold(holding: Holding, n_bytes: int, now_ns: int = 0) -> bool:
    """Let a holding have ``n_bytes`` in all; return whether there is room for them.

    Without room the holding keeps what it had, and senders that have stalled are ended.
    """
    ledger, n_more = holding.ledger, n_bytes - holding.n_bytes
    if n_more > 0 and not _fits(ledger, n_bytes, n_more):
        end_stalled(ledger, n_more, now_ns)
        return False
    hold_anyway(holding, n_bytes)
    return True


def hold_anyway(holding: Holding, n_bytes: int) -> None:
    """Record that a holding has ``n_bytes``, whether or not there is room for them."""
    holding.ledger.held_bytes[holding.purpose] += n_bytes - holding.n_bytes
    holding.n_bytes = n_bytes


def give_back(holding: Holding) -> None:
    """Return the bytes of a holding, at the end of its request or connection."""
    end_sending(holding)
    hold_anyway(holding, 0)


def begin_sending(holding: Holding, end: Callable[[], None], now_ns: int) -> None:
    """Record that the body of a holding is arriving; ``end`` stops its sender."""
    holding.end = end
    record_progress(holding, now_ns)


def record_progress(holding: Holding, now_ns: int) -> None:
    """Record that a part of the body of a holding has arrived."""
    holding.progress_ns = now_ns
    senders = holding.ledger.senders
    senders[id(holding)] = holding
    senders.move_to_end(id(holding))


def end_sending(holding: Holding) -> None:
    """Record that no more of the body of a holding will arrive."""
    holding.end = None
    holding.ledger.senders.pop(id(holding), None)


def end_stalled(ledger: MemoryLedger, n_bytes: int, now_ns: int) -> int:
    """End stalled senders until they hold ``n_bytes``; return how many were ended."""
    n_ended = 0
    while n_bytes > 0 and ledger.senders:
        holding = next(iter(ledger.senders.values()))
        if now_ns - holding.progress_ns < STALLED_NS or holding.end is None:
            break
        end, holding.is_ended = holding.end, True
        end_sending(holding)
        end()
        n_bytes -= holding.n_bytes
        n_ended += 1
    ledger.n_ended += n_ended
    return n_ended


def _fits(ledger: MemoryLedger, n_bytes: int, n_more: int) -> bool:
    if not ledger.max_bytes:
        return True
    is_small = n_bytes <= SMALL_BYTES
    share = 1.0 if is_small else 1.0 - SMALL_ONLY_SHARE
    return ledger.held_bytes.total() + n_more <= share * ledger.max_bytes
