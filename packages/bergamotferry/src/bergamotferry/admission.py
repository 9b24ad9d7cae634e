"""Admission to one upstream: exact slots and a queue bounded by deadlines.

The dispatcher of an upstream is the only host that sends to it, so counting here is
exact. A request that can't be served within its deadline is refused at once, while
"not run" is still true.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from .outcomes import Refused
from .result_codes import ResultCode

QUEUE_MAX = 256
SERVICE_TIME_GUESS_MS = 10.0
SERVICE_TIME_SMOOTHING = 0.1


class Ticket(NamedTuple):
    """A request that waits for, or holds, a slot."""

    request_id: str
    account: str
    deadline_ns: int


@dataclass(slots=True)
class UpstreamQueue:
    """Slots and waiting requests of one upstream's incarnation."""

    n_slots: int
    waiting: deque[Ticket] = field(default_factory=deque)
    running: dict[str, Ticket] = field(default_factory=dict)
    service_time_ms: float = SERVICE_TIME_GUESS_MS


def enqueue(queue: UpstreamQueue, ticket: Ticket, now_ns: int) -> Refused | None:
    """Let a request wait for a slot, or refuse it at once."""
    if len(queue.waiting) >= QUEUE_MAX:
        return Refused(ResultCode.QUEUE_FULL, f"{QUEUE_MAX} requests wait already")
    wait_ms = expected_wait_ms(queue)
    if now_ns + int(wait_ms * 1e6) > ticket.deadline_ns:
        return Refused(
            ResultCode.DEADLINE_TOO_SHORT, f"expected wait is {wait_ms:.0f} ms"
        )
    queue.waiting.append(ticket)
    return None


def take_ready(queue: UpstreamQueue, now_ns: int) -> tuple[list[Ticket], list[Ticket]]:
    """Move waiting requests into free slots.

    Returns
    -------
    started : list of Ticket
        Requests that now hold a slot.
    expired : list of Ticket
        Requests whose deadline has passed while they waited.
    """
    started: list[Ticket] = []
    expired: list[Ticket] = []
    while queue.waiting and len(queue.running) < queue.n_slots:
        ticket = queue.waiting.popleft()
        if ticket.deadline_ns <= now_ns:
            expired.append(ticket)
            continue
        queue.running[ticket.request_id] = ticket
        started.append(ticket)
    return started, expired


def finish(queue: UpstreamQueue, request_id: str, took_ms: float | None) -> None:
    """Give a slot back; ``took_ms`` is None if the time says nothing."""
    queue.running.pop(request_id, None)
    if took_ms is not None:
        difference_ms = took_ms - queue.service_time_ms
        queue.service_time_ms += SERVICE_TIME_SMOOTHING * difference_ms


def withdraw(queue: UpstreamQueue, request_id: str) -> None:
    """Take back a request that still waits; its caller is gone."""
    queue.waiting = deque(t for t in queue.waiting if t.request_id != request_id)


def expected_wait_ms(queue: UpstreamQueue) -> float:
    """Return how long a new request would wait for a slot."""
    n_ahead = len(queue.waiting) + len(queue.running)
    if n_ahead < queue.n_slots:
        return 0.0
    return (n_ahead - queue.n_slots + 1) * queue.service_time_ms / queue.n_slots
