"""Metrics of spill: the shares, and why requests are placed where they are."""

from bergamotferry.fleet_metrics import LabelValues, MetricFamily, single_value_family

from ..clock import now_ns
from ..direct_host import DirectHost

NS_PER_S = 1_000_000_000


def spill_families(host: DirectHost) -> list[MetricFamily]:
    """Return the metric families of spill of a host."""
    shares: dict[LabelValues, float] = {}
    room: dict[LabelValues, float] = {}
    for name, spill in host.spill.services.items():
        for data_centre, slots in spill.shares.room.items():
            shares[name, data_centre] = spill.shares.planned.get(data_centre, 0.0)
            room[name, data_centre] = slots
    age_s = -1.0
    if host.service_loads:
        oldest_ms = max(row.age_ms for row in host.service_loads.values())
        age_s = (now_ns() - host.service_loads_ns) / NS_PER_S + oldest_ms / 1_000
    labels = ("service", "data_centre")
    return [
        MetricFamily(
            "spill_share",
            "Share of a service's free requests that leave for a data centre.",
            "gauge",
            labels,
            shares,
        ),
        MetricFamily(
            "spill_room_slots",
            "Load that a data centre may still get from single requests.",
            "gauge",
            labels,
            room,
        ),
        MetricFamily(
            "spill_sends",
            "Sends by service, distance and the reason of their place.",
            "counter",
            ("service", "distance", "reason"),
            host.spill.sends,
        ),
        single_value_family(
            "service_load_age_seconds",
            "Age of the oldest row of service load, -1 without rows.",
            "gauge",
            age_s,
        ),
        single_value_family(
            "spill_link_bytes_per_second",
            "Received here from other regions, without spilled answers.",
            "gauge",
            host.spill.link.bytes_per_s,
        ),
    ]
