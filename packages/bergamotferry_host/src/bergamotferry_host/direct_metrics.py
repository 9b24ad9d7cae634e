"""What a host that takes requests tells of itself as metrics."""

from bergamotferry.fleet_metrics import (
    MetricFamily,
    counted,
    request_families,
    single,
)
from bergamotferry.window_budget import n_repeats_left

from .clock import now_ns
from .direct_host import DirectHost

NS_PER_S = 1_000_000_000


def direct_families(host: DirectHost) -> list[MetricFamily]:
    """Return the metrics of a host that takes requests."""
    now = now_ns()
    # Before the first news there is no age; it counts from the start.
    age_s = (now - (host.heard_ns or host.began_ns)) / NS_PER_S
    return [
        *request_families(host.metrics),
        *_beliefs(host),
        single(
            "control_age_seconds", "Since the last news of control.", "gauge", age_s
        ),
        single("is_ready", "Whether callers are wanted.", "gauge", host.is_ready),
        single("in_flight", "Requests under way here.", "gauge", host.n_in_flight),
        MetricFamily(
            "repeats_left",
            "Repeated sends that the budget of a service still allows here.",
            "gauge",
            ("service",),
            {
                (service,): n_repeats_left(budget, now)
                for service, budget in host.budgets.items()
            },
        ),
    ]


def _beliefs(host: DirectHost) -> list[MetricFamily]:
    upstreams = host.upstreams.values()
    return [
        single("revision", "Of the tables that are known.", "gauge", host.revision),
        single(
            "configuration_version",
            "Of the configuration in force.",
            "gauge",
            host.configuration.version,
        ),
        counted(
            "upstreams",
            "Upstreams known, by phase.",
            "phase",
            (row.row.phase for row in upstreams),
        ),
        counted(
            "requests_at_upstreams",
            "Requests of this host under way, by the upstream's data centre.",
            "data_centre",
            (
                row.row.data_centre
                for row in upstreams
                for _ in range(row.load.n_in_flight)
            ),
        ),
    ]
