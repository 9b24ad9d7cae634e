"""How many large answers from other regions a host fetches at once.

All hosts share the link between regions, and no host knows which others send on it.
Under heavy load, large answers alone would fill it, and filings that must go to their
home region would queue behind them. The host measures the rate at which an answer
arrives after its first bytes. A rate far below the best recent rate means that the link
is congested, and the host then requests fewer answers at once. The other requests wait
for their turn, and those whose turn would come too late are refused at once.
"""

from dataclasses import dataclass

SIZE_INITIAL = 3.0
SIZE_MIN, SIZE_MAX = 1.0, 24.0
# An answer that arrived at less than this share of the best rate had to share the link
# with others.
CONGESTED_RATE_SHARE = 0.2
# Many hosts share the link, so each one reduces its window a little at a time.
SHRINK_FACTOR = 0.9
# The window grows by this much over as many uncongested answers as its size.
GROWTH_PER_WINDOW = 0.5
# The best rate decays within some hundreds of answers.
BEST_RATE_DECAY = 0.997
# A smaller answer arrives together with its first bytes, so it shows no rate.
RATE_SAMPLE_MIN_BYTES = 30_000
# A shorter transfer counts as this long.
TRANSFER_MIN_MS = 1.0
FETCH_TIME_SMOOTHING = 0.1


@dataclass(slots=True)
class RemoteWindow:
    """Number of answers that may be in flight at once, and the rates it is based on.

    ``size`` is that number; ``best_bytes_per_ms`` is the best recent rate of an answer.
    ``mean_fetch_ms`` is the mean time from the request of an answer to its last byte.
    """

    size: float = SIZE_INITIAL
    best_bytes_per_ms: float = 0.0
    mean_fetch_ms: float = 0.0


def may_fetch_remote(window: RemoteWindow, n_in_flight: int) -> bool:
    """Return whether one more answer may be requested."""
    return n_in_flight + 1 <= window.size


def remote_wait_ms(window: RemoteWindow, n_in_flight: int, n_waiting: int) -> float:
    """Return about how long one more answer would wait for its turn, in ms."""
    if n_waiting == 0 and may_fetch_remote(window, n_in_flight):
        return 0.0
    return (n_waiting + 1) * window.mean_fetch_ms / window.size


def record_remote_answer(
    window: RemoteWindow, n_bytes: int, transfer_ms: float, fetch_ms: float
) -> None:
    """Adjust the window to the rate at which an answer arrived.

    Parameters
    ----------
    window : RemoteWindow
        Window of this host.
    n_bytes : int
        Size of the answer.
    transfer_ms : float
        Time from the answer's head to its last byte, in ms.
    fetch_ms : float
        Time from the request of the answer to its last byte, in ms.
    """
    if window.mean_fetch_ms == 0.0:
        window.mean_fetch_ms = fetch_ms
    window.mean_fetch_ms += FETCH_TIME_SMOOTHING * (fetch_ms - window.mean_fetch_ms)
    if n_bytes < RATE_SAMPLE_MIN_BYTES:
        return
    bytes_per_ms = n_bytes / max(TRANSFER_MIN_MS, transfer_ms)
    window.best_bytes_per_ms = max(
        bytes_per_ms, BEST_RATE_DECAY * window.best_bytes_per_ms
    )
    if bytes_per_ms < CONGESTED_RATE_SHARE * window.best_bytes_per_ms:
        window.size = max(SIZE_MIN, SHRINK_FACTOR * window.size)
    else:
        window.size = min(SIZE_MAX, window.size + GROWTH_PER_WINDOW / window.size)
