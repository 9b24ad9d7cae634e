"""How much a host may send over the slow link between regions, by traffic class.

Bulk traffic is limited to a share of the link's rate, which is split among the hosts
of the region. The rest of the rate stays free for lookups, filings and control traffic.
Lookups and filings are counted but never delayed.
"""

from dataclasses import dataclass, field

from .records import TrafficClass

BULK_SHARE = 0.6
BULK_BURST_BYTES = 256 * 1024


@dataclass(slots=True)
class LinkBudget:
    """Rate limit of bulk, and bytes sent by class.

    ``bulk_free_ns`` is the time from which bulk is within the rate limit again.
    """

    bulk_bytes_per_s: float
    bulk_free_ns: int = 0
    n_bytes: dict[TrafficClass, int] = field(
        default_factory=lambda: {"lookup": 0, "filing": 0, "bulk": 0}
    )

    @classmethod
    def from_config(
        cls, link_mbit_per_s: float, n_hosts_of_region: int
    ) -> "LinkBudget":
        """Return the budget of one of a region's hosts; a rate of 0 is unlimited."""
        if not link_mbit_per_s:
            return cls(float("inf"))
        link_bytes_per_s = link_mbit_per_s * 1_000_000 / 8
        return cls(BULK_SHARE * link_bytes_per_s / max(1, n_hosts_of_region))


def take_bytes(
    budget: LinkBudget, traffic_class: TrafficClass, size_bytes: int, now_ns: int
) -> float:
    """Count bytes to send; return how many seconds to wait before the send."""
    budget.n_bytes[traffic_class] += size_bytes
    if traffic_class != "bulk":
        return 0.0
    burst_ns = int(BULK_BURST_BYTES / budget.bulk_bytes_per_s * 1e9)
    begin_ns = max(budget.bulk_free_ns, now_ns - burst_ns)
    budget.bulk_free_ns = begin_ns + int(size_bytes / budget.bulk_bytes_per_s * 1e9)
    return max(0.0, (budget.bulk_free_ns - now_ns) / 1e9)


def backlog_s(budget: LinkBudget, now_ns: int) -> float:
    """Return how many seconds a new send of bulk would wait for earlier bulk."""
    return max(0.0, (budget.bulk_free_ns - now_ns) / 1e9)
