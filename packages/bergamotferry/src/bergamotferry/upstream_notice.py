"""What an upstream says of itself in its answers: that it leaves, or wants a pause.

A host acts on these notices by its own memory alone, so they bind also while it hears
nothing of the control hosts. The memory is one `Availability` for each incarnation of
an upstream that the host knows. It ends with the incarnation: a process that starts
again under the same name or address has said nothing yet.

An upstream that leaves serves on for a while. Until then it may take a request that no
other upstream can take. An upstream that wants a pause gets nothing at all.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
LEAVING_VALUE = "1"
TURNED_AWAY_STATUS = 503
# A wrong value must not take an upstream out for good.
PAUSE_MAX_S = 300.0
# A request for a leaving upstream is sent at least this long before the upstream may
# end, since the connection has to be established first.
LAST_SEND_MARGIN_MS = 500
# How long an upstream gets nothing after another process answered at its address. An
# upstream that has ended counts as lost within 30 s, after five tries at most.
REPLACED_MIN_MS = 1_000
N_DOUBLINGS_MAX = 4
_SECONDS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)


class UpstreamNotice(NamedTuple):
    """What one answer says: whether the upstream leaves, and the pause it wants."""

    is_leaving: bool = False
    pause_s: float = 0.0


NO_NOTICE = UpstreamNotice()


@dataclass(slots=True)
class Availability:
    """What an incarnation has said of itself, and whether it was found at its address.

    ``leaving_ns`` is when it first said that it leaves, or 0. It wants nothing until
    ``paused_until_ns``. At ``replaced_ns`` another process answered at its address, for
    the ``n_replaced``-th time without an answer of its own between.
    """

    leaving_ns: int = 0
    paused_until_ns: int = 0
    replaced_ns: int = 0
    n_replaced: int = 0


def read_notice(
    status: int, leaving: str | None, retry_after: Iterable[str]
) -> UpstreamNotice:
    """Return what the head of an answer says.

    Parameters
    ----------
    status : int
        HTTP status of the answer; only a 503 can ask for a pause.
    leaving : str or None
        Value of the header by which an upstream says that it leaves.
    retry_after : iterable of str
        Values of all ``Retry-After`` headers.
    """
    is_leaving = leaving is not None and leaving.strip() == LEAVING_VALUE
    pause_s = parse_pause_s(retry_after) if status == TURNED_AWAY_STATUS else 0.0
    if not is_leaving and not pause_s:
        return NO_NOTICE
    return UpstreamNotice(is_leaving, pause_s)


def parse_pause_s(values: Iterable[str]) -> float:
    """Return the pause in seconds that ``Retry-After`` headers ask for.

    A value is a decimal number of seconds. Anything else, such as a date or a negative
    number, is ignored. Of several values the longest counts. The result is at most
    `PAUSE_MAX_S`, and 0 without a valid value.
    """
    valid = [text.strip() for text in values]
    pauses_s = [float(text) for text in valid if _SECONDS.fullmatch(text)]
    return min(PAUSE_MAX_S, max(pauses_s, default=0.0))


def record_notice(
    availability: Availability, notice: UpstreamNotice, now_ns: int
) -> None:
    """Record what an answer said; an earlier notice is never withdrawn by a later one.

    A pause ends by time only, and a leaving upstream does not stay.
    """
    if notice.is_leaving and not availability.leaving_ns:
        availability.leaving_ns = now_ns
    paused_until_ns = now_ns + int(notice.pause_s * NS_PER_S)
    if notice.pause_s:
        availability.paused_until_ns = max(
            availability.paused_until_ns, paused_until_ns
        )


def record_replaced(availability: Availability, now_ns: int) -> None:
    """Record that another process answered at an upstream's address.

    That answer may be false, or the upstream may be there again, so that it is tried
    again after a time, which doubles. One that has ended is reported lost meanwhile.
    """
    if is_replaced(availability, now_ns):
        return
    availability.n_replaced += 1
    availability.replaced_ns = now_ns


def record_own_answer(availability: Availability, sent_ns: int) -> None:
    """Record that an upstream itself has answered what was sent at ``sent_ns``."""
    if sent_ns > availability.replaced_ns:
        availability.n_replaced = 0


def is_replaced(availability: Availability, now_ns: int) -> bool:
    """Return whether another process has answered at the address a short time ago."""
    if not availability.n_replaced:
        return False
    n_doublings = min(N_DOUBLINGS_MAX, availability.n_replaced - 1)
    out_ms = REPLACED_MIN_MS << n_doublings
    return now_ns < availability.replaced_ns + out_ms * NS_PER_MS


def is_available(availability: Availability, now_ns: int) -> bool:
    """Return whether an upstream may get requests."""
    if availability.leaving_ns or is_replaced(availability, now_ns):
        return False
    return now_ns >= availability.paused_until_ns


def is_last_resort(availability: Availability, now_ns: int, drain_ms: int) -> bool:
    """Return whether a leaving upstream may get a request that no other can take.

    Parameters
    ----------
    availability : Availability
        What the upstream has said.
    now_ns : int
        Current time.
    drain_ms : int
        How long a leaving upstream still serves.
    """
    if not availability.leaving_ns or is_replaced(availability, now_ns):
        return False
    if now_ns < availability.paused_until_ns:
        return False
    served_ms = max(0, drain_ms - LAST_SEND_MARGIN_MS)
    return now_ns < availability.leaving_ns + served_ms * NS_PER_MS


def pause_left_ms(availability: Availability, now_ns: int) -> float:
    """Return how long an upstream still wants nothing, in ms."""
    return max(0.0, (availability.paused_until_ns - now_ns) / NS_PER_MS)
