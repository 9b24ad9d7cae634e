"""How much spilled load the link between regions has room for.

The load is that of bursts which send requests to another region while downloads and
bound requests already use the link, which all hosts of a region share. A full link
delays every answer on it, also those that have no other way. So spilled answers may
take what other traffic leaves of half of the link.
"""

from dataclasses import dataclass

from .plan import ServiceTraffic
from .value import OVERHEAD_BYTES

NS_PER_S = 1_000_000_000
# Rate of the link between two regions each way, in Mbit/s. No host can measure it.
REGION_LINK_MBPS = 30.0
BYTES_PER_S_OF_ONE_MBPS = 125_000.0
# Share of the link that all traffic may use before spill ends.
LINK_USED_SHARE = 0.5
# Part of the last interval in the smoothed rate. Downloads come in bursts of seconds.
RATE_SMOOTHING = 0.2


@dataclass(slots=True)
class LinkUse:
    """What this host received from other regions besides spilled answers.

    ``n_bytes`` is the count at ``updated_ns``, and ``bytes_per_s`` the smoothed rate.
    """

    n_bytes: int = 0
    updated_ns: int = 0
    bytes_per_s: float = 0.0


def record_link_use(use: LinkUse, n_bytes: int, now_ns: int) -> None:
    """Update the rate from a count of all bytes since this host's start."""
    if use.updated_ns:
        elapsed_s = max(0.001, (now_ns - use.updated_ns) / NS_PER_S)
        bytes_per_s = max(0, n_bytes - use.n_bytes) / elapsed_s
        use.bytes_per_s += RATE_SMOOTHING * (bytes_per_s - use.bytes_per_s)
    use.n_bytes, use.updated_ns = n_bytes, now_ns


def spill_room_bytes_per_s(use: LinkUse, n_hosts: float) -> float:
    """Return how many bytes a second a region may get for spilled requests.

    ``n_hosts`` is how many hosts the region has; they are assumed to receive alike.
    """
    usable = LINK_USED_SHARE * REGION_LINK_MBPS * BYTES_PER_S_OF_ONE_MBPS
    return max(0.0, usable - n_hosts * use.bytes_per_s)


def slots_for_bytes(bytes_per_s: float, traffic: ServiceTraffic) -> float:
    """Return how many slots the requests keep busy whose bytes take a rate."""
    requests_per_s = bytes_per_s / (traffic.n_body_bytes + OVERHEAD_BYTES)
    return requests_per_s * traffic.work_ms / 1_000


def bytes_for_slots(n_slots: float, traffic: ServiceTraffic) -> float:
    """Return the bytes a second of the requests that keep slots busy."""
    requests_per_s = n_slots * 1_000 / traffic.work_ms
    return requests_per_s * (traffic.n_body_bytes + OVERHEAD_BYTES)
