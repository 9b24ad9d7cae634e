"""Admission to one upstream: exact slots, and queues that are fair and bounded.

The dispatcher of an upstream is the only host that sends to it, so its count of used
slots is exact. Traffic classes share the slots by weight and by the time that their
requests take, so that lookups go first and bulk still makes progress. Within a class,
accounts take turns. A request that can't be served within its deadline is refused at
once, while the refusal can still state that the request was not run.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from .outcomes import Refused
from .records import TrafficClass
from .result_codes import ResultCode
from .slow_start import SlowStart, n_slots_allowed, rate_per_s, take_start

N_WAITING_MAX = 256
N_WAITING_PER_ACCOUNT_MAX = 128
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
    has_seen_non_bulk: bool = False
    last_purge_ns: int = 0

    @property
    def n_waiting(self) -> int:
        """Number of waiting requests."""
        return sum(class_queue.n_waiting for class_queue in self.classes.values())


def enqueue(queue: UpstreamQueue, ticket: Ticket, now_ns: int) -> Refused | None:
    """Add a request to the queue, or refuse it at once."""
    class_queue = queue.classes[ticket.traffic_class]
    waiting = class_queue.accounts.get(ticket.account, ())
    if queue.n_waiting >= N_WAITING_MAX or len(waiting) >= N_WAITING_PER_ACCOUNT_MAX:
        return Refused(ResultCode.QUEUE_FULL, f"{queue.n_waiting} requests wait")
    wait_ms = expected_wait_ms(queue, ticket, now_ns)
    finish_ns = now_ns + int((wait_ms + class_queue.service_time_ms) * 1e6)
    if wait_ms and queue.is_early_refusal and finish_ns > ticket.deadline_ns:
        detail = (
            f"expected wait is {wait_ms:.0f} ms: {queue.n_waiting} requests wait, "
            f"one takes {class_queue.service_time_ms:.0f} ms, "
            f"{n_slots_allowed(queue.ramp, queue.n_slots, now_ns)} slots, "
            f"{rate_per_s(queue.ramp, now_ns):.0f} starts a second"
        )
        return Refused(ResultCode.DEADLINE_TOO_SHORT, detail)
    if not class_queue.n_waiting:
        # A class earns no credit for the time it was idle.
        busy_virtual_times_ms = [
            other.virtual_time_ms for other in queue.classes.values() if other.n_waiting
        ]
        class_queue.virtual_time_ms = max(
            class_queue.virtual_time_ms,
            min(busy_virtual_times_ms, default=class_queue.virtual_time_ms),
        )
    class_queue.accounts.setdefault(ticket.account, deque()).append(ticket)
    class_queue.n_waiting += 1
    queue.has_seen_non_bulk = queue.has_seen_non_bulk or ticket.traffic_class != "bulk"
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
        class_queue = _next_class(queue)
        if class_queue is None:
            break
        ticket = next(iter(class_queue.accounts.values()))[0]
        if _would_miss_deadline(queue, class_queue, ticket, now_ns):
            _remove_first(class_queue)
            expired.append(ticket)
            continue
        if ticket.is_exclusive and queue.running or _is_exclusive_running(queue):
            break
        if not take_start(queue.ramp, now_ns):
            break
        _remove_first(class_queue)
        class_queue.virtual_time_ms += (
            class_queue.service_time_ms / CLASS_WEIGHTS[ticket.traffic_class]
        )
        queue.running[ticket.request_id] = ticket
        started.append(ticket)
    return started, expired


def finish(queue: UpstreamQueue, request_id: str, took_ms: float | None) -> None:
    """Free the slot of a request.

    ``took_ms`` is None if the time says nothing about the service time of its class.
    """
    ticket = queue.running.pop(request_id, None)
    if ticket is not None and took_ms is not None:
        class_queue = queue.classes[ticket.traffic_class]
        class_queue.service_time_ms += SERVICE_TIME_SMOOTHING * (
            took_ms - class_queue.service_time_ms
        )


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
    class_queue = queue.classes[ticket.traffic_class]
    n_before = len(class_queue.accounts.get(ticket.account, ()))
    # Accounts take turns: before this request starts, each other account starts at most
    # as many requests as its own account does, this request included.
    n_turns = (n_before + 1) * max(1, len(class_queue.accounts))
    n_ahead = min(class_queue.n_waiting, n_turns)
    busy_classes = {name for name, other in queue.classes.items() if other.n_waiting}
    total_weight = sum(
        CLASS_WEIGHTS[name] for name in busy_classes | {ticket.traffic_class}
    )
    share = CLASS_WEIGHTS[ticket.traffic_class] / total_weight
    slot_ms = (n_ahead / share + 1) * class_queue.service_time_ms / n_slots
    ramp_ms = 1000 * n_ahead / share / rate_per_s(queue.ramp, now_ns)
    return max(slot_ms, ramp_ms)


def _next_class(queue: UpstreamQueue) -> ClassQueue | None:
    """Return the waiting class that has received the least slot time for its weight."""
    class_queues = dict(queue.classes)
    n_bulk = sum(t.traffic_class == "bulk" for t in queue.running.values())
    if queue.has_seen_non_bulk and 0 < n_bulk >= queue.n_slots - 1:
        # Bulk requests run long, so they leave one slot to other classes once the
        # upstream has received requests of such a class.
        del class_queues["bulk"]
    waiting = [
        class_queue for class_queue in class_queues.values() if class_queue.n_waiting
    ]
    return min(
        waiting, key=lambda class_queue: class_queue.virtual_time_ms, default=None
    )


def _would_miss_deadline(
    queue: UpstreamQueue, class_queue: ClassQueue, ticket: Ticket, now_ns: int
) -> bool:
    """Return whether a request gets no slot because it would miss its deadline."""
    if ticket.deadline_ns <= now_ns:
        return True
    # While others wait, no slot goes to a request that would end after its deadline.
    # The last waiting request still gets a slot, unless its deadline has passed.
    # Otherwise the end of a slow phase would never be noticed.
    end_ns = now_ns + int(class_queue.service_time_ms * 1e6)
    would_end_late = queue.is_early_refusal and end_ns > ticket.deadline_ns
    return would_end_late and queue.n_waiting > 1


def _is_exclusive_running(queue: UpstreamQueue) -> bool:
    return any(ticket.is_exclusive for ticket in queue.running.values())


def _remove_first(class_queue: ClassQueue) -> None:
    """Remove the next request of a class, and move its account to the end."""
    account = next(iter(class_queue.accounts))
    waiting = class_queue.accounts.pop(account)
    waiting.popleft()
    class_queue.n_waiting -= 1
    if waiting:
        class_queue.accounts[account] = waiting


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
    for class_queue in queue.classes.values():
        for account in list(class_queue.accounts):
            waiting = class_queue.accounts[account]
            gone = [ticket for ticket in waiting if is_removed(ticket)]
            if not gone:
                continue
            removed += gone
            class_queue.n_waiting -= len(gone)
            left = deque(ticket for ticket in waiting if not is_removed(ticket))
            if left:
                class_queue.accounts[account] = left
            else:
                del class_queue.accounts[account]
    return removed
