"""When a caller whose request was refused should come back.

Two loads are answered for. Where upstreams are full, those who come back soon only
meet the same queues, so they are spread over the time in which room comes about. Where
an upstream with free slots sheds what it gets, waiting brings nothing: the next try has
the same chance now, and still ends within its latency objective. The same holds for a
host whose own link is busy: the caller comes back to another host.
"""

# Enough that a caller's return can be told from a first try by the time it has left.
ROOM_PAUSE_S = 0.03
ROOM_SPREAD_S = 0.05
FULL_PAUSE_S = 0.1
FULL_SPREAD_S = 0.5
# A caller heeds a pause up to this share of the time it has left.
LEFT_SHARE_MAX = 0.3


def return_pause_s(has_room: bool, left_s: float, fraction: float) -> float:
    """Return after how long a caller should come back, in seconds.

    Parameters
    ----------
    has_room : bool
        Whether there is room now, at the upstream that refused or at other hosts.
    left_s : float
        Until the caller gives up.
    fraction : float
        Random within 0 to 1; spreads callers that are refused together.
    """
    if has_room:
        pause_s = ROOM_PAUSE_S + ROOM_SPREAD_S * fraction
    else:
        pause_s = FULL_PAUSE_S + FULL_SPREAD_S * fraction
    return max(0.0, min(pause_s, LEFT_SHARE_MAX * left_s))
