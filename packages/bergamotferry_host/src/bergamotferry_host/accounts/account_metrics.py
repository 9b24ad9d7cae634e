"""Metrics of the accounts at a host that accepts requests.

The label of an account comes from the configuration in force, so there are as many
values as the configuration lists.
"""

from bergamotferry.fleet_metrics import LabelValues, MetricFamily, single_value_family

from ..clock import now_ns
from ..direct_host import DirectHost
from .state_age import state_age_ms


def account_families(host: DirectHost) -> list[MetricFamily]:
    """Return the metric families of accounts, if there are any, and of their keys."""
    is_fail_closed = host.settings.bounds.is_fail_closed
    accounts = host.configuration.accounts
    families = []
    if is_fail_closed:
        families.append(
            single_value_family(
                "refuses_keys",
                "Whether the state is too old to serve keys.",
                "gauge",
                not host.trusts_keys,
            )
        )
    if is_fail_closed or accounts:
        families.append(
            single_value_family(
                "configuration_age_seconds",
                "How old the configuration may be; negative if nothing confirms it.",
                "gauge",
                state_age_ms(host, now_ns()) / 1000,
            )
        )
    if not accounts:
        return families
    counts = host.metrics.account_requests
    rows: dict[LabelValues, float] = {
        (account.name,): counts[account.name,] for account in accounts
    }
    requests = MetricFamily(
        "account_requests",
        "Requests with a known key, by account.",
        "counter",
        ("account",),
        rows,
    )
    return [*families, requests]
