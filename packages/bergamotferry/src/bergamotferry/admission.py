"""Admission to one upstream: exact slots, and queues that are fair and bounded.

The dispatcher of an upstream is the only host that sends to it, so its count of used
slots is exact. Traffic classes share the slots by weight and by the time that their
requests take, so that lookups go first and bulk still makes progress. Within a class,
accounts take turns. A request that can't be served within its deadline is refused at
once, while "not run" is still true.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from .outcomes import Refused
from .records import TrafficClass
from .result_codes import ResultCode
from .slow_start import SlowStart, n_slots_allowed, rate_per_s, take_start

QUEUE_MAX = 256
ACCOUNT_QUEUE_MAX = 128
CLASS_WEIGHTS: dict[TrafficClass, float] = {"lookup": 16.0, "filing": 4.0, "bulk": 1.0}
SERVICE_TIME_INITIAL_MS = 10.0
SERVICE_TIME_SMOOTHING = 0.1
PURGE_INTERVAL_NS = 20_000_000


class Ticket(NamedTuple):
    """A request that waits for a slot or holds one.

    With ``is_exclusive`` no other request may run.
    """

    request_id: str
    account: str
    deadline_ns: int
    traffic_class: TrafficClass
    is_exclusive: bool


@dataclass(slots=True)
class ClassQueue:
    """Waiting requests of one traffic class by account; the first account is next.

    ``virtual_time_ms`` is the slot time that the class has received, divided by its
    weight.
    """

    accounts: dict[str, deque[Ticket]] = field(default_factory=dict)
    n_waiting: int = 0
    virtual_time_ms: float = 0.0
    service_time_ms: float = SERVICE_TIME_INITIAL_MS


@dataclass(slots=True)
class UpstreamQueue:
    """Slots and waiting requests of one incarnation of an upstream.

    Without ``is_early_refusal`` a request waits until its deadline has passed.
    """

    n_slots: int
    ramp: SlowStart
    is_early_refusal: bool = True
    classes: dict[TrafficClass, ClassQueue] = field(
        default_factory=lambda: {name: ClassQueue() for name in CLASS_WEIGHTS}
    )
    running: dict[str, Ticket] = field(default_factory=dict)
    has_seen_other_classes: bool = False
    last_purge_ns: int = 0

    @property
    def n_waiting(self) -> int:
        """Number of waiting requests."""
        return sum(row.n_waiting for row in self.classes.values())


def enqueue(queue: UpstreamQueue, ticket: Ticket, now_ns: int) -> Refused | None:
    """Add a request to the queue, or refuse it at once."""
    row = queue.classes[ticket.traffic_class]
    waiting = row.accounts.get(ticket.account, ())
    if queue.n_waiting >= QUEUE_MAX or len(waiting) >= ACCOUNT_QUEUE_MAX:
        return Refused(ResultCode.QUEUE_FULL, f"{queue.n_waiting} requests wait")
    wait_ms = expected_wait_ms(queue, ticket, now_ns)
    finish_ns = now_ns + int((wait_ms + row.service_time_ms) * 1e6)
    if wait_ms and queue.is_early_refusal and finish_ns > ticket.deadline_ns:
        return Refused(
            ResultCode.DEADLINE_TOO_SHORT, f"expected wait is {wait_ms:.0f} ms"
        )
    if not row.n_waiting:
        # A class earns no credit for the time it was idle.
        busy = [r.virtual_time_ms for r in queue.classes.values() if r.n_waiting]
        row.virtual_time_ms = max(
            row.virtual_time_ms, min(busy, default=row.virtual_time_ms)
        )
    row.accounts.setdefault(ticket.account, deque()).append(ticket)
    row.n_waiting += 1
    queue.has_seen_other_classes = (
        queue.has_seen_other_classes or ticket.traffic_class != "bulk"
    )
    return None


def take_ready(queue: UpstreamQueue, now_ns: int) -> tuple[list[Ticket], list[Ticket]]:
    """Move waiting requests into free slots.

    Returns
    -------
    started : list of Ticket
        Requests that now hold a slot.
    expired : list of Ticket
        Requests that can no longer be served within their deadline.
    """
    expired = _remove_expired(queue, now_ns)
    started: list[Ticket] = []
    while len(queue.running) < n_slots_allowed(queue.ramp, queue.n_slots, now_ns):
        row = _next_class(queue)
        if row is None:
            break
        ticket = next(iter(row.accounts.values()))[0]
        if _would_miss_deadline(queue, row, ticket, now_ns):
            _remove_first(row)
            expired.append(ticket)
            continue
        if ticket.is_exclusive and queue.running or _is_exclusive_running(queue):
            break
        if not take_start(queue.ramp, now_ns):
            break
        _remove_first(row)
        row.virtual_time_ms += row.service_time_ms / CLASS_WEIGHTS[ticket.traffic_class]
        queue.running[ticket.request_id] = ticket
        started.append(ticket)
    return started, expired


def finish(queue: UpstreamQueue, request_id: str, took_ms: float | None) -> None:
    """Free the slot of a request; ``took_ms`` is None if the time shows nothing."""
    ticket = queue.running.pop(request_id, None)
    if ticket is not None and took_ms is not None:
        row = queue.classes[ticket.traffic_class]
        row.service_time_ms += SERVICE_TIME_SMOOTHING * (took_ms - row.service_time_ms)


def withdraw(queue: UpstreamQueue, request_id: str) -> None:
    """Remove a waiting request whose caller is gone."""
    _remove_where(queue, lambda ticket: ticket.request_id == request_id)


def clear_waiting(queue: UpstreamQueue) -> None:
    """Remove all waiting requests."""
    _remove_where(queue, lambda _: True)


def expected_wait_ms(queue: UpstreamQueue, ticket: Ticket, now_ns: int) -> float:
    """Return how long a new request would wait for a slot, in ms."""
    n_slots = n_slots_allowed(queue.ramp, queue.n_slots, now_ns)
    if not queue.n_waiting and len(queue.running) < n_slots:
        return 0.0
    row = queue.classes[ticket.traffic_class]
    n_before = len(row.accounts.get(ticket.account, ()))
    # Accounts take turns: before this request starts, each other account starts at most
    # as many requests as its own account does, this request included.
    n_turns = (n_before + 1) * max(1, len(row.accounts))
    n_ahead = min(row.n_waiting, n_turns)
    busy = {name for name, other in queue.classes.items() if other.n_waiting}
    weights = sum(CLASS_WEIGHTS[name] for name in busy | {ticket.traffic_class})
    share = CLASS_WEIGHTS[ticket.traffic_class] / weights
    slot_ms = (n_ahead / share + 1) * row.service_time_ms / n_slots
    ramp_ms = 1000 * n_ahead / share / rate_per_s(queue.ramp, now_ns)
    return max(slot_ms, ramp_ms)


def _next_class(queue: UpstreamQueue) -> ClassQueue | None:
    """Return the waiting class that has received least of its share, if any."""
    rows = dict(queue.classes)
    n_bulk = sum(t.traffic_class == "bulk" for t in queue.running.values())
    if queue.has_seen_other_classes and 0 < n_bulk >= queue.n_slots - 1:
        # Bulk requests run long: where other classes send too, bulk leaves them a slot.
        del rows["bulk"]
    waiting = [row for row in rows.values() if row.n_waiting]
    return min(waiting, key=lambda row: row.virtual_time_ms, default=None)


def _would_miss_deadline(
    queue: UpstreamQueue, row: ClassQueue, ticket: Ticket, now_ns: int
) -> bool:
    """Return whether a request gets no slot because it would miss its deadline."""
    if ticket.deadline_ns <= now_ns:
        return True
    # While others wait, no slot goes to a request that would end after its deadline.
    # The last waiting request is tried even so, unless its deadline has passed.
    # Otherwise the end of a slow phase would never be noticed.
    ends_ns = now_ns + int(row.service_time_ms * 1e6)
    would_end_late = queue.is_early_refusal and ends_ns > ticket.deadline_ns
    return would_end_late and queue.n_waiting > 1


def _is_exclusive_running(queue: UpstreamQueue) -> bool:
    return any(ticket.is_exclusive for ticket in queue.running.values())


def _remove_first(row: ClassQueue) -> None:
    """Remove the next request of a class, and move its account to the end."""
    account = next(iter(row.accounts))
    waiting = row.accounts.pop(account)
    waiting.popleft()
    row.n_waiting -= 1
    if waiting:
        # The account moves to the end, behind the other accounts.
        row.accounts[account] = waiting


def _remove_expired(queue: UpstreamQueue, now_ns: int) -> list[Ticket]:
    """Remove requests past their deadline, at most once per purge interval."""
    if now_ns - queue.last_purge_ns < PURGE_INTERVAL_NS:
        return []
    queue.last_purge_ns = now_ns
    return _remove_where(queue, lambda ticket: ticket.deadline_ns <= now_ns)


def _remove_where(
    queue: UpstreamQueue, is_removed: Callable[[Ticket], bool]
) -> list[Ticket]:
    """Remove and return the waiting requests for which a condition holds."""
    removed: list[Ticket] = []
    for row in queue.classes.values():
        for account in list(row.accounts):
            waiting = row.accounts[account]
            gone = [ticket for ticket in waiting if is_removed(ticket)]
            if not gone:
                continue
            removed += gone
            row.n_waiting -= len(gone)
            left = deque(ticket for ticket in waiting if not is_removed(ticket))
            if left:
                row.accounts[account] = left
            else:
                del row.accounts[account]
    return removed
