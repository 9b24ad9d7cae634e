"""How long a host leaves a range alone whose holder said that it does not hold it.

Keys on the move have no holder for some tenths of a second, and longer if their holder
is lost. All requests for them share one pause, which doubles, so that the wait costs
the fleet few of its repeats. A range that is assigned anew has another token, and its
first request goes out at once.
"""

from dataclasses import dataclass

NS_PER_MS = 1_000_000
PAUSE_MS = 40
PAUSE_MAX_MS = 640


@dataclass(slots=True)
class KeyPause:
    """Until when nothing goes to the holder under one token."""

    until_ns: int = 0
    n_refusals: int = 0


def note_not_held(pause: KeyPause, now_ns: int) -> None:
    """Note that the holder refused a key; refusals within a pause count once."""
    if now_ns < pause.until_ns:
        return
    pause_ms = min(PAUSE_MAX_MS, PAUSE_MS * 2**pause.n_refusals)
    pause.n_refusals = min(pause.n_refusals + 1, 16)
    pause.until_ns = now_ns + pause_ms * NS_PER_MS


def note_held(pause: KeyPause) -> None:
    """Note that the holder ran a request on a key of the range."""
    pause.n_refusals = 0
    pause.until_ns = 0
