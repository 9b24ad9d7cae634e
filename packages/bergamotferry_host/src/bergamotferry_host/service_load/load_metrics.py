"""Metrics of the exchange of service load, at hosts and at control hosts."""

from collections.abc import Iterable

from bergamotferry.fleet_metrics import LabelValues, MetricFamily
from bergamotferry.service_load.rows import ServiceLoad, age_now_ms

from ..clock import now_ns
from ..direct_host import DirectHost
from ..fleet_control import ControlHost

MS_PER_S = 1_000


def host_load_families(host: DirectHost) -> list[MetricFamily]:
    """Return the loads of services as a host last heard of them, with their age."""
    rows = host.service_loads.values()
    return _families(rows, host.service_loads_ns, now_ns())


def control_load_families(host: ControlHost) -> list[MetricFamily]:
    """Return the loads of services as a control host last computed them."""
    table = host.load_table
    return [
        *_families(table.rows, table.computed_ns, now_ns()),
        MetricFamily(
            "work_reports",
            "Hosts whose reports of arrived work count, and those whose were cut.",
            "gauge",
            ("state",),
            {
                ("counted",): float(len(table.reports)),
                ("cut",): float(len(table.cut_hosts)),
            },
        ),
    ]


def _families(
    rows: Iterable[ServiceLoad], received_ns: int, now: int
) -> list[MetricFamily]:
    labels = ("service", "data_centre")
    slots: dict[LabelValues, float] = {}
    ages_s: dict[LabelValues, float] = {}
    offered: dict[LabelValues, float] = {}
    for row in rows:
        place = row.service, row.data_centre
        slots[place] = row.n_slots
        ages_s[place] = age_now_ms(row, received_ns, now) / MS_PER_S
        for priority, n_slots in row.offered_slots:
            offered[(*place, str(priority))] = n_slots
    return [
        MetricFamily("service_slots", "Slots of usual speed.", "gauge", labels, slots),
        MetricFamily(
            "service_load_age_seconds",
            "Age of the oldest report in the load of a service.",
            "gauge",
            labels,
            ages_s,
        ),
        MetricFamily(
            "service_offered_slots",
            "Work that arrives, in slots that it keeps busy.",
            "gauge",
            (*labels, "priority"),
            offered,
        ),
    ]
