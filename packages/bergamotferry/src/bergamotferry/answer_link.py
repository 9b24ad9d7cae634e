"""How many large answers a host fetches at a time, so that its link serves small ones.

This answers for hosts whose link carries little more than what callers ask for. There,
every large answer under way keeps a window of bytes queued, and what comes after waits
behind all of them: small answers, new connections, and the host's own control traffic.
So only as many large answers are under way as the link carries within a short time; the
others wait here, where they hold neither the link nor a slot of an upstream. Those that
can still come within their latency objective go first, since a link that is behind
would otherwise bring every one late; now and then the oldest goes, so that late ones
come too. On a link that is quick for its answers nothing ever waits.

Callers choose their host blindly, so one link may be busy for seconds while others are
idle. A caller that comes for the first time is kept for a short wait only; otherwise it
is sent back at once, and its second choice is better than the wait on the whole.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

# An answer that takes the link this long is large.
LARGE_MS = 40.0
# What may be under way at once, by how long the link takes for it: on a slow link, one
# usual answer that goes out to its caller, and another that is fetched meanwhile.
UNDER_WAY_MAX_MS = 800.0
# Each so many turns the oldest answer begins, whether it can be in time or not.
OLDEST_EVERY = 4
# A part of a large answer; on the slowest links a small answer waits for it some 25 ms.
PART_BYTES = 8_192
# Each byte comes in from the upstream and goes out to the caller.
N_CROSSINGS = 2
BYTES_PER_MS_OF_ONE_MBPS = 125.0
# How much of its latency objective a first try may spend on waiting for the link. With
# less, callers are sent back although every link is busy; with more, they queue here
# while other links are idle.
FIRST_WAIT_SHARE = 0.4


class WaitingAnswer(NamedTuple):
    """What the link will carry for an answer, and until when it begins in time."""

    n_bytes: float
    begin_by_ms: float


@dataclass(slots=True)
class AnswerLink:
    """Large answers under way and waiting, by number, with the bytes still to carry.

    ``bytes_per_ms`` is what the link carries in both directions together, and 0 a link
    without a bound. ``out_free_ms`` is when the parts of large answers that were given
    to the link so far have left it.
    """

    bytes_per_ms: float
    out_free_ms: float = 0.0
    n_started: int = 0
    under_way: dict[int, float] = field(default_factory=dict)
    waiting: dict[int, WaitingAnswer] = field(default_factory=dict)

    @classmethod
    def from_config(cls, link_mbps: float) -> "AnswerLink":
        """Return a link that carries some megabits a second."""
        return cls(link_mbps * BYTES_PER_MS_OF_ONE_MBPS)


def is_large(link: AnswerLink, n_bytes: float) -> bool:
    """Return whether an answer takes the link for long."""
    return n_bytes > LARGE_MS * link.bytes_per_ms > 0


def expected_wait_ms(link: AnswerLink) -> float:
    """Return about how long one more large answer would wait before it may begin."""
    n_bytes = sum(link.under_way.values())
    n_bytes += sum(row.n_bytes for row in link.waiting.values())
    return max(0.0, n_bytes / link.bytes_per_ms - UNDER_WAY_MAX_MS / 2)


def may_wait(
    link: AnswerLink,
    work_ms: float,
    left_ms: float,
    objective_ms: float,
    has_come_back: bool,
) -> bool:
    """Return whether a caller should be kept until its answer's turn.

    Parameters
    ----------
    link : AnswerLink
        Of the host.
    work_ms : float
        How long an upstream takes for the answer.
    left_ms : float
        Until the caller gives up.
    objective_ms : float
        Within which its route's answers should come.
    has_come_back : bool
        Whether it was refused before; then it has no better choice.
    """
    longest_ms = left_ms - work_ms
    if not has_come_back:
        longest_ms = min(longest_ms, FIRST_WAIT_SHARE * (objective_ms - work_ms))
    return expected_wait_ms(link) <= longest_ms


def enqueue_answer(
    link: AnswerLink, number: int, n_bytes: float, due_in_ms: float, now_ms: float
) -> None:
    """Add a large answer to those that wait.

    Parameters
    ----------
    link : AnswerLink
        Of the host.
    number : int
        Names the answer.
    n_bytes : float
        About its size.
    due_in_ms : float
        Until its upstream's work would have to begin, for the answer to be with its
        caller within the latency objective if it took the link no time.
    now_ms : float
        The time.
    """
    n_carried = N_CROSSINGS * n_bytes
    begin_by_ms = now_ms + due_in_ms - n_carried / link.bytes_per_ms
    link.waiting[number] = WaitingAnswer(n_carried, begin_by_ms)


def take_startable(link: AnswerLink, now_ms: float) -> list[int]:
    """Return the answers that may begin now, in their order."""
    started: list[int] = []
    while link.waiting:
        number = _next_answer(link, now_ms)
        n_after = sum(link.under_way.values()) + link.waiting[number].n_bytes
        if link.under_way and n_after > UNDER_WAY_MAX_MS * link.bytes_per_ms:
            break
        link.under_way[number] = link.waiting.pop(number).n_bytes
        link.n_started += 1
        started.append(number)
    return started


def note_fetched(link: AnswerLink, number: int, n_bytes: float) -> float:
    """Note that an answer came in whole; return how long it takes to go out, in ms."""
    if number in link.under_way:
        link.under_way[number] = n_bytes
    return n_bytes / link.bytes_per_ms


def take_part(link: AnswerLink, n_bytes: int, now_ms: float) -> float:
    """Give the link a part of a large answer; return after how long the next may come.

    An answer that is handed over whole keeps the link's queue full until it is out, and
    whatever is sent meanwhile waits behind it. Small parts let others in between, and
    take no longer together.
    """
    begin_ms = max(link.out_free_ms, now_ms)
    link.out_free_ms = begin_ms + n_bytes / link.bytes_per_ms
    return link.out_free_ms - now_ms


def leave_link(link: AnswerLink, number: int) -> None:
    """Forget an answer that went out, has failed, or is not wanted any more."""
    link.under_way.pop(number, None)
    link.waiting.pop(number, None)


def _next_answer(link: AnswerLink, now_ms: float) -> int:
    if link.n_started % OLDEST_EVERY == 0:
        return next(iter(link.waiting))
    for number, row in link.waiting.items():
        if now_ms <= row.begin_by_ms:
            return number
    return next(iter(link.waiting))
