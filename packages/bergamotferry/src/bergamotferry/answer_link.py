"""How many large answers a host fetches at a time, so that its link serves small ones.

This answers for hosts whose link carries little more than what callers ask for. There,
every large answer under way keeps a window of bytes queued, and what comes after waits
behind all of them: small answers, new connections, and the host's own control traffic.
So only as many large answers are under way as the link carries within a short time; the
others wait here, in order, where they hold neither the link nor a slot of an upstream.
On a link that is quick for its answers nothing ever waits.
"""

from dataclasses import dataclass, field

# An answer that takes the link this long is large.
LARGE_MS = 40.0
# What may be under way at once, by how long the link takes for it: on a slow link, one
# usual answer that goes out to its caller, and another that is fetched meanwhile.
UNDER_WAY_MAX_MS = 800.0
# Each byte comes in from the upstream and goes out to the caller.
N_CROSSINGS = 2
BYTES_PER_MS_OF_ONE_MBPS = 125.0


@dataclass(slots=True)
class AnswerLink:
    """Large answers under way and waiting, by number, with the bytes still to carry.

    ``bytes_per_ms`` is what the link carries in both directions together, and 0 a link
    without a bound.
    """

    bytes_per_ms: float
    under_way: dict[int, float] = field(default_factory=dict)
    waiting: dict[int, float] = field(default_factory=dict)

    @classmethod
    def from_config(cls, link_mbps: float) -> "AnswerLink":
        """Return a link that carries some megabits a second."""
        return cls(link_mbps * BYTES_PER_MS_OF_ONE_MBPS)


def is_large(link: AnswerLink, n_bytes: float) -> bool:
    """Return whether an answer takes the link for long."""
    return n_bytes > LARGE_MS * link.bytes_per_ms > 0


def expected_wait_ms(link: AnswerLink) -> float:
    """Return about how long one more large answer would wait before it may begin."""
    n_bytes = sum(link.under_way.values()) + sum(link.waiting.values())
    return max(0.0, n_bytes / link.bytes_per_ms - UNDER_WAY_MAX_MS / 2)


def enqueue_answer(link: AnswerLink, number: int, n_bytes: float) -> None:
    """Add a large answer to those that wait."""
    link.waiting[number] = N_CROSSINGS * n_bytes


def take_startable(link: AnswerLink) -> list[int]:
    """Return the answers that may begin now, in the order in which they came."""
    started: list[int] = []
    for number, n_bytes in list(link.waiting.items()):
        n_after = sum(link.under_way.values()) + n_bytes
        if link.under_way and n_after > UNDER_WAY_MAX_MS * link.bytes_per_ms:
            break
        link.under_way[number] = link.waiting.pop(number)
        started.append(number)
    return started


def note_fetched(link: AnswerLink, number: int, n_bytes: float) -> float:
    """Note that an answer came in whole; return how long it takes to go out, in ms."""
    if number in link.under_way:
        link.under_way[number] = n_bytes
    return n_bytes / link.bytes_per_ms


def leave_link(link: AnswerLink, number: int) -> None:
    """Forget an answer that went out, has failed, or is not wanted any more."""
    link.under_way.pop(number, None)
    link.waiting.pop(number, None)
