"""The metrics of what a host holds in memory."""

from bergamotferry.fleet_metrics import MetricFamily, single_value_family
from bergamotferry.memory.ledger import MemoryLedger


def memory_families(ledger: MemoryLedger) -> list[MetricFamily]:
    """Return the metric families of a ledger."""
    return [
        MetricFamily(
            "memory_held_bytes",
            "Held for callers and upstreams, by purpose.",
            "gauge",
            ("purpose",),
            {(purpose,): n_bytes for purpose, n_bytes in ledger.held_bytes.items()},
        ),
        single_value_family(
            "memory_held_max_bytes",
            "That may be held; 0 is no limit.",
            "gauge",
            ledger.max_bytes,
        ),
        single_value_family(
            "stalled_bodies_ended",
            "Bodies that were ended as they stalled while memory was short.",
            "counter",
            ledger.n_ended,
        ),
    ]
