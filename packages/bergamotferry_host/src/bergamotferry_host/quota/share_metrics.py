"""Metrics of the shares of usage caps at a host that accepts requests."""

from bergamotferry.fleet_metrics import (
    LabelValues,
    MetricFamily,
    single_value_family,
)
from bergamotferry.quota.caps import has_cap

from ..clock import now_ns
from ..direct_host import DirectHost

NS_PER_S = 1_000_000_000


def share_families(host: DirectHost) -> list[MetricFamily]:
    """Return the metric families of a host's shares; none without accounts capped."""
    capped = [row.name for row in host.configuration.accounts if has_cap(row)]
    if not capped:
        return []
    state, now = host.quota, now_ns()
    held: dict[LabelValues, float] = {
        (name,): share.n_held if now < share.expires_ns else 0
        for name, share in state.shares.shares.items()
        if name in capped
    }
    age_ns = now - (state.replied_ns or host.began_ns)
    return [
        MetricFamily(
            "share_held",
            "Requests that this host may still send, by account.",
            "gauge",
            ("account",),
            held,
        ),
        MetricFamily(
            "cap_refusals",
            "Requests refused because their account had used up its cap.",
            "counter",
            ("account",),
            {(name,): state.refusals[name,] for name in capped},
        ),
        MetricFamily(
            "share_questions",
            "Questions to the leader, by result.",
            "counter",
            ("result",),
            state.counts,
        ),
        single_value_family(
            "share_age_seconds",
            "Since the last question that was answered.",
            "gauge",
            age_ns / NS_PER_S,
        ),
    ]
