"""The metrics of a host that accepts requests in direct mode."""

from bergamotferry.fleet_metrics import (
    MetricFamily,
    count_family,
    request_families,
    single_value_family,
)
from bergamotferry.protection.crash_records import crash_verdicts
from bergamotferry.window_budget import n_retries_left

from .accounts.account_metrics import account_families
from .clock import now_ns
from .direct_host import DirectHost
from .memory.memory_metrics import memory_families
from .quota.share_metrics import share_families
from .service_load.load_metrics import host_load_families
from .spill.metrics import spill_families

NS_PER_S = 1_000_000_000


def direct_metric_families(host: DirectHost) -> list[MetricFamily]:
    """Return the metric families of a host that accepts requests."""
    now = now_ns()
    # Until a control host first reports, the age is measured from the host's start.
    age_s = (now - (host.control_reported_ns or host.began_ns)) / NS_PER_S
    return [
        *request_families(host.metrics),
        *_known_state(host),
        *host_load_families(host),
        *spill_families(host),
        *account_families(host),
        *share_families(host),
        *memory_families(host.memory),
        single_value_family(
            "control_age_seconds", "Since the last news of control.", "gauge", age_s
        ),
        single_value_family(
            "is_ready", "Whether callers are wanted.", "gauge", host.is_ready
        ),
        single_value_family(
            "in_flight", "Requests under way here.", "gauge", host.n_in_flight
        ),
        single_value_family(
            "upstreams_leaving",
            "Upstreams that said in an answer that they leave.",
            "counter",
            host.metrics.n_leaving,
        ),
        single_value_family(
            "upstream_pauses",
            "Pauses that upstreams asked for.",
            "counter",
            host.metrics.n_pauses,
        ),
        single_value_family(
            "upstream_ends",
            "Upstreams that ended while they ran a request of this host.",
            "counter",
            host.end_watch.n_ends,
        ),
        count_family(
            "crash_records",
            "Requests under which upstreams ended, by verdict.",
            "verdict",
            crash_verdicts(host.crashes.table, host.settings.name, now),
        ),
        MetricFamily(
            "repeats_left",
            "Repeated sends that the budget of a service still allows here.",
            "gauge",
            ("service",),
            {
                (service,): n_retries_left(budget, now)
                for service, budget in host.retry_budgets.items()
            },
        ),
    ]


def _known_state(host: DirectHost) -> list[MetricFamily]:
    """Return the metrics of known tables and upstreams, and of requests in flight."""
    upstreams = host.upstreams.values()
    return [
        single_value_family(
            "revision", "Of the tables that are known.", "gauge", host.revision
        ),
        single_value_family(
            "configuration_version",
            "Of the configuration in force.",
            "gauge",
            host.configuration.version,
        ),
        count_family(
            "upstreams",
            "Upstreams known, by phase.",
            "phase",
            (upstream.row.phase for upstream in upstreams),
        ),
        count_family(
            "requests_at_upstreams",
            "Requests of this host under way, by the upstream's data centre.",
            "data_centre",
            (
                upstream.row.data_centre
                for upstream in upstreams
                for _ in range(upstream.load.n_in_flight)
            ),
        ),
    ]
