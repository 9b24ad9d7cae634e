"""Pauses requests for a key range while its assigned holder reports not to hold it.

Keys that move have no holder for some tenths of a second, and longer if their holder is
lost. All requests for them share one pause, which doubles with each refusal, so that
waiting for the new holder uses little of the fleet's retry budget. A range that is
assigned again has a new token, and the first request under it is sent at once.
"""

from dataclasses import dataclass

NS_PER_MS = 1_000_000
INITIAL_PAUSE_MS = 40
PAUSE_MAX_MS = 640


@dataclass(slots=True)
class KeyPause:
    """Time until which no request is sent to the holder under one token."""

    until_ns: int = 0
    n_refusals: int = 0


def record_not_held(pause: KeyPause, now_ns: int) -> None:
    """Record that the holder refused a key; this does not extend a present pause."""
    if now_ns < pause.until_ns:
        return
    pause_ms = min(PAUSE_MAX_MS, INITIAL_PAUSE_MS * 2**pause.n_refusals)
    pause.n_refusals = min(pause.n_refusals + 1, 16)
    pause.until_ns = now_ns + pause_ms * NS_PER_MS


def record_held(pause: KeyPause) -> None:
    """Record that the holder ran a request for a key of the range; ends the pause."""
    pause.n_refusals = 0
    pause.until_ns = 0
