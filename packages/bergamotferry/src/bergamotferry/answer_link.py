"""Scheduling of large answers on a host's link, so that small answers are not delayed.

Some hosts have a link that carries little more than their callers request. There,
every inbound large answer keeps a TCP window of bytes queued at the link. Small
answers, new connections and the host's own control traffic queue behind these bytes.
The host therefore requests large answers one after the other. Requests for further
large answers wait at the host, where they occupy neither the link nor a slot of an
upstream. Small answers have the link to themselves while the upstream works on the next
large answer. An answer is streamed to its caller while it is received, since the link
has the same rate in each direction. An answer that was held until it was complete is
sent while the next one is received.

A host can't limit the rate at which an upstream sends to it: the TCP window holds more
bytes than most answers have. A nearby host with a wide link can limit the rate. It
fetches the answers and relays them in small parts, with room for other answers between
the parts. No answer is then delayed for long, and the next large answer is requested
while one is received.

Answers that can still meet their latency objective start first, since a link with a
backlog would otherwise deliver every answer late. At intervals the oldest answer
starts, so that late answers are delivered too. On a link that is fast compared with the
size of its answers, no answer waits.

Callers choose a host without knowing its load, so one link may be busy for seconds
while others are idle. A caller's first request may wait only briefly. If the expected
wait is longer, the request is refused at once, because on average a caller retry at
another host is better than the wait.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

# An answer that occupies one direction of the link for longer than this is large.
LARGE_MS = 40.0
# The rest of an overdue answer is assumed to take this share of the answer's transfer
# time. If the rate of answers isn't limited, this is the least assumed for any answer.
OVERDUE_REMAINING_SHARE = 0.5
# After this multiple of its expected time, a fetch no longer holds back the next one:
# its upstream may hang.
ABANDON_FACTOR = 2.0
# Answers may be ready this long before the outbound direction is free. Without this
# lead, the inbound direction would be idle while a large answer is sent.
READY_AHEAD_MAX_MS = 400.0
# Of this many answers that start, one is the answer that has waited longest, even if it
# can no longer be in time.
N_STARTS_PER_OLDEST = 4
# Size of a part of a large answer. A small answer waits for one part, which takes about
# 25 ms on the slowest links.
PART_BYTES = 8_192
# Large answers are relayed to a narrow link at this share of its rate; the rest is left
# to all other traffic.
RATE_LIMIT_SHARE = 0.9
# Upstream work that takes longer than expected should not leave a rate-limited link
# idle, so answers are requested earlier by this share of their transfer time.
REQUEST_EARLY_SHARE = 0.5
BYTES_PER_MS_OF_ONE_MBPS = 125.0
# The share of the latency objective, less the upstream's work, that a first request may
# wait for the link. With a smaller share, callers are refused although every link is
# busy; with a larger one, they wait at this host while other links are idle.
FIRST_REQUEST_WAIT_SHARE = 0.4


class LargeAnswer(NamedTuple):
    """Expected size of an answer, and how long its upstream works for it."""

    n_bytes: float
    work_ms: float


class WaitingAnswer(NamedTuple):
    """An answer that waits, and the latest start at which it would be in time."""

    answer: LargeAnswer
    latest_start_ms: float


class InFlightAnswer(NamedTuple):
    """An answer that was requested and is not complete.

    The answer should be complete at ``expected_end_ms``. The inbound direction of the
    link is reserved for it until ``reserved_until_ms`` at the latest.
    """

    n_bytes: float
    expected_end_ms: float
    reserved_until_ms: float


@dataclass(slots=True)
class AnswerLink:
    """A host's link, and the large answers that wait for it or are in flight.

    ``bytes_per_ms`` is the rate of the link in each direction; 0 means unlimited.
    ``is_rate_limited`` is whether large answers arrive at a limited rate that leaves
    room for others. ``outbound_held_end_ms`` is when all answers that were held until
    they were complete will have been sent. ``outbound_parts_end_ms`` is when all parts
    given to the link so far will have been sent. ``in_flight`` and ``waiting`` hold
    answers by number.
    """

    bytes_per_ms: float
    is_rate_limited: bool = False
    outbound_held_end_ms: float = 0.0
    outbound_parts_end_ms: float = 0.0
    n_started: int = 0
    in_flight: dict[int, InFlightAnswer] = field(default_factory=dict)
    waiting: dict[int, WaitingAnswer] = field(default_factory=dict)

    @classmethod
    def from_config(cls, link_mbps: float) -> "AnswerLink":
        """Return a link with a rate in megabits per second each way; 0 is unlimited."""
        return cls(link_mbps * BYTES_PER_MS_OF_ONE_MBPS)


def is_large(link: AnswerLink, n_bytes: float) -> bool:
    """Return whether an answer occupies the link for longer than `LARGE_MS`."""
    return n_bytes > LARGE_MS * link.bytes_per_ms > 0


def max_delay_ms(link: AnswerLink) -> float:
    """Return how long large answers in flight may delay a small one."""
    n_bytes = max((answer.n_bytes for answer in link.in_flight.values()), default=0.0)
    if link.is_rate_limited:
        n_bytes = min(n_bytes, PART_BYTES)
    return n_bytes / link.bytes_per_ms if n_bytes else 0.0


def inbound_ms(link: AnswerLink, n_bytes: float, now_ms: float) -> float:
    """Return how long receiving an answer may take, behind earlier large answers."""
    if link.bytes_per_ms == 0:
        return 0.0
    if link.is_rate_limited and is_large(link, n_bytes):
        return _inbound_free_ms(link, now_ms) - now_ms + _transfer_ms(link, n_bytes)
    return max_delay_ms(link) + n_bytes / link.bytes_per_ms


def expected_wait_ms(link: AnswerLink, answer: LargeAnswer, now_ms: float) -> float:
    """Estimate how much longer a new answer would take than on an idle link."""
    ahead_ms = sum(
        _occupancy_ms(link, waiting.answer) for waiting in link.waiting.values()
    )
    inbound_wait_ms = _inbound_free_ms(link, now_ms) + ahead_ms - now_ms
    inbound_wait_ms -= _lead_ms(link, answer)
    n_bytes_ahead = sum(waiting.answer.n_bytes for waiting in link.waiting.values())
    outbound_free_ms = link.outbound_held_end_ms + n_bytes_ahead / link.bytes_per_ms
    outbound_wait_ms = outbound_free_ms - now_ms - _fetch_ms(link, answer)
    return max(0.0, inbound_wait_ms, outbound_wait_ms)


def may_wait(
    link: AnswerLink,
    answer: LargeAnswer,
    time_left_ms: float,
    objective_ms: float,
    is_caller_retry: bool,
    now_ms: float,
) -> bool:
    """Return whether a caller should wait until its answer's turn.

    Parameters
    ----------
    link : AnswerLink
        Link of the host.
    answer : LargeAnswer
        Expected size and upstream work of the answer.
    time_left_ms : float
        Time until the caller's deadline.
    objective_ms : float
        Latency objective of the route.
    is_caller_retry : bool
        Whether this is a caller retry. It may wait as long as its deadline allows,
        since the caller has no better choice.
    now_ms : float
        Current time.
    """
    longest_ms = longest_wait_ms(
        link, answer, time_left_ms, objective_ms, is_caller_retry
    )
    return expected_wait_ms(link, answer, now_ms) <= longest_ms


def longest_wait_ms(
    link: AnswerLink,
    answer: LargeAnswer,
    time_left_ms: float,
    objective_ms: float,
    is_caller_retry: bool,
) -> float:
    """Return how long an answer may wait in total; see `may_wait`."""
    longest_ms = time_left_ms - _fetch_ms(link, answer)
    if is_caller_retry:
        return longest_ms
    return min(longest_ms, FIRST_REQUEST_WAIT_SHARE * (objective_ms - answer.work_ms))


def enqueue_answer(
    link: AnswerLink, number: int, answer: LargeAnswer, due_in_ms: float, now_ms: float
) -> None:
    """Add a large answer to those that wait.

    Parameters
    ----------
    link : AnswerLink
        Link of the host.
    number : int
        Identifies the answer.
    answer : LargeAnswer
        Expected size and upstream work of the answer.
    due_in_ms : float
        Time within which the caller should have the answer.
    now_ms : float
        Current time.
    """
    latest_start_ms = now_ms + due_in_ms - _fetch_ms(link, answer)
    link.waiting[number] = WaitingAnswer(answer, latest_start_ms)


def take_startable(link: AnswerLink, now_ms: float) -> list[int]:
    """Move the waiting answers that may be requested now to those in flight.

    Returns
    -------
    list of int
        Numbers of these answers, in the order in which to request them.
    """
    started: list[int] = []
    while link.waiting:
        number = _next_answer(link, now_ms)
        answer = link.waiting[number].answer
        if _start_delay_ms(link, answer, now_ms) > 0:
            break
        del link.waiting[number]
        in_ms = _fetch_ms(link, answer)
        if link.is_rate_limited:
            # Answers requested earlier arrive first, whenever this one is ready.
            after_ms = (
                _inbound_free_ms(link, now_ms)
                - now_ms
                + _transfer_ms(link, answer.n_bytes)
            )
            in_ms = max(in_ms, after_ms)
        link.in_flight[number] = InFlightAnswer(
            answer.n_bytes, now_ms + in_ms, now_ms + ABANDON_FACTOR * in_ms
        )
        link.n_started += 1
        started.append(number)
    return started


def next_start_delay_ms(link: AnswerLink, now_ms: float) -> float | None:
    """Return in how many ms the next answer may be requested; None if none waits."""
    if not link.waiting:
        return None
    answer = link.waiting[_next_answer(link, now_ms)].answer
    return max(0.0, _start_delay_ms(link, answer, now_ms))


def record_fetched(
    link: AnswerLink, number: int, n_bytes: float, now_ms: float
) -> None:
    """Record that an answer was received.

    The host holds ``n_bytes`` of the answer, and sends them to the caller from now on.
    """
    remove_answer(link, number)
    begin_ms = max(link.outbound_held_end_ms, now_ms)
    link.outbound_held_end_ms = begin_ms + n_bytes / link.bytes_per_ms


def take_part(link: AnswerLink, n_bytes: int, now_ms: float) -> float:
    """Reserve the link for a part of a large answer; return in how many ms it is sent.

    The next part should be written no earlier. An answer that is written whole keeps
    the link's queue full until the answer is sent, and everything written meanwhile
    queues behind it. Small parts let other answers in between, and take no longer in
    total. On a link without a limit no part has to wait.
    """
    if link.bytes_per_ms == 0:
        return 0.0
    begin_ms = max(link.outbound_parts_end_ms, now_ms)
    link.outbound_parts_end_ms = begin_ms + n_bytes / link.bytes_per_ms
    return link.outbound_parts_end_ms - now_ms


def remove_answer(link: AnswerLink, number: int) -> None:
    """Remove an answer that was received, has failed, or is no longer wanted."""
    link.in_flight.pop(number, None)
    link.waiting.pop(number, None)


def _start_delay_ms(link: AnswerLink, answer: LargeAnswer, now_ms: float) -> float:
    """Return in how many ms an answer may be requested; 0 or less means now."""
    inbound_wait_ms = _inbound_free_ms(link, now_ms) - now_ms - _lead_ms(link, answer)
    ready_ms = now_ms + _fetch_ms(link, answer)
    return max(
        inbound_wait_ms, link.outbound_held_end_ms - ready_ms - READY_AHEAD_MAX_MS
    )


def _fetch_ms(link: AnswerLink, answer: LargeAnswer) -> float:
    """Return the time from the request of an answer to its last byte."""
    return answer.work_ms + _transfer_ms(link, answer.n_bytes)


def _transfer_ms(link: AnswerLink, n_bytes: float) -> float:
    """Return how long an answer occupies the inbound direction once it is ready."""
    share = RATE_LIMIT_SHARE if link.is_rate_limited else 1.0
    return n_bytes / (share * link.bytes_per_ms)


def _occupancy_ms(link: AnswerLink, answer: LargeAnswer) -> float:
    """Return by how much an answer delays those behind it."""
    if link.is_rate_limited:
        return _transfer_ms(link, answer.n_bytes)
    return _fetch_ms(link, answer)


def _lead_ms(link: AnswerLink, answer: LargeAnswer) -> float:
    """Return how long before the inbound direction is free an answer may be requested.

    On a rate-limited link, the upstream works on the answer while earlier answers are
    received. If the answer is ready early, the nearby host that fetches it holds it.
    """
    if not link.is_rate_limited:
        return 0.0
    return answer.work_ms + REQUEST_EARLY_SHARE * _transfer_ms(link, answer.n_bytes)


def _inbound_free_ms(link: AnswerLink, now_ms: float) -> float:
    """Return when all requested answers should have been received."""
    free_ms = now_ms
    for answer in link.in_flight.values():
        if now_ms < answer.reserved_until_ms:
            free_ms = max(free_ms, answer.expected_end_ms)
            if now_ms >= answer.expected_end_ms or not link.is_rate_limited:
                remaining_ms = OVERDUE_REMAINING_SHARE * _transfer_ms(
                    link, answer.n_bytes
                )
                free_ms = max(free_ms, now_ms + remaining_ms)
    return free_ms


def _next_answer(link: AnswerLink, now_ms: float) -> int:
    """Return the number of the waiting answer that starts next."""
    if link.n_started % N_STARTS_PER_OLDEST == 0:
        return next(iter(link.waiting))
    for number, waiting in link.waiting.items():
        if now_ms <= waiting.latest_start_ms:
            return number
    return next(iter(link.waiting))
