"""Metrics of the ledger of usage caps on the leader."""

from bergamotferry.fleet_metrics import LabelValues, MetricFamily
from bergamotferry.quota.ledger import book_of, n_counted, n_unknown

from ..clock import now_ns
from ..fleet_control import ControlHost, is_caught_up_leader
from .share_ledger import LeaderQuota

_BY = ("account",)


def ledger_families(host: ControlHost, quota: LeaderQuota) -> list[MetricFamily]:
    """Return the metric families of the leader's ledger; none on other hosts."""
    ledger = quota.ledger
    if ledger is None or not is_caught_up_leader(host) or not quota.caps:
        return []
    now = now_ns()
    limits: dict[LabelValues, float] = {}
    counted: dict[LabelValues, float] = {}
    unknown: dict[LabelValues, float] = {}
    for name, cap in quota.caps.items():
        book = book_of(ledger, name)
        limits[name,] = cap.n_normal
        counted[name,] = n_counted(ledger, book, now)
        unknown[name,] = n_unknown(ledger, book, cap, now)
    return [
        MetricFamily(
            "cap_limit", "Sends in a window that may count.", "gauge", _BY, limits
        ),
        MetricFamily(
            "cap_counted",
            "Sends of the last window, and those that hosts may still make.",
            "gauge",
            _BY,
            counted,
        ),
        MetricFamily(
            "cap_unknown",
            "Sends that an earlier leader may have granted and nobody has reported.",
            "gauge",
            _BY,
            unknown,
        ),
    ]
