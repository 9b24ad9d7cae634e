"""Bounds what a control host believes of one host's report.

The bound is for reports that are false, whether by a fault or on purpose, while a
service is at its capacity. A claim within what one host can have can't be told from a
true one. A claim above it is scaled down, so that one host moves the sum by a few
percent at most.
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from .rows import WorkReport, WorkRow

# Hosts get unequal parts of the load, and few requests in one interval. Even at 2.5
# times the capacity a host has seldom more than this multiple of its equal part of all
# slots.
HOST_PART_MAX = 4.0
# More rows than this name no services of a real configuration.
N_ROWS_MAX = 256

PlaceKey = tuple[str, str]
Offered = dict[PlaceKey, dict[int, float]]


class KnownCapacity(NamedTuple):
    """What a claim is compared with.

    ``slots`` are all slots by service, ``data_centres`` those of the deployment, and
    ``n_hosts`` the number of hosts that take requests.
    """

    slots: Mapping[str, float]
    data_centres: Collection[str]
    n_hosts: int


def bounded_offer(
    report: WorkReport, known: KnownCapacity
) -> tuple[Offered, tuple[str, ...]]:
    """Return the work of a report, in slots, and the services whose claim was cut.

    Work of services without slots, or of unknown data centres, is left out.
    """
    rows = _known_rows(report, known)
    interval_ms = max(1, report.interval_ms)
    claimed: dict[str, float] = {}
    for row in rows:
        claimed[row.service] = claimed.get(row.service, 0.0) + row.offered_ms
    factors = {
        service: min(1.0, _bound_slots(service, known) * interval_ms / claimed_ms)
        for service, claimed_ms in claimed.items()
        if claimed_ms
    }
    offered: Offered = {}
    for row in rows:
        by_priority = offered.setdefault((row.service, row.data_centre), {})
        n_slots = factors.get(row.service, 0.0) * row.offered_ms / interval_ms
        by_priority[row.priority] = by_priority.get(row.priority, 0.0) + n_slots
    cut = tuple(sorted(service for service, part in factors.items() if part < 1.0))
    return offered, cut


def work_ms_of(report: WorkReport) -> dict[str, float]:
    """Return the mean work of a request by service, as one host reports it."""
    n_arrived: dict[str, int] = {}
    offered_ms: dict[str, int] = {}
    for row in report.rows[:N_ROWS_MAX]:
        n_arrived[row.service] = n_arrived.get(row.service, 0) + row.n_arrived
        offered_ms[row.service] = offered_ms.get(row.service, 0) + row.offered_ms
    return {
        service: offered_ms[service] / n
        for service, n in n_arrived.items()
        if n > 0 and offered_ms[service] > 0
    }


def _known_rows(report: WorkReport, known: KnownCapacity) -> list[WorkRow]:
    return [
        row
        for row in report.rows[:N_ROWS_MAX]
        if row.service in known.slots
        and row.data_centre in known.data_centres
        and row.offered_ms >= 0
    ]


def _bound_slots(service: str, known: KnownCapacity) -> float:
    return HOST_PART_MAX * known.slots[service] / max(1, known.n_hosts)


def slots_by_service(slots: Mapping[PlaceKey, float]) -> dict[str, float]:
    """Return the slots of all data centres together, by service."""
    total: dict[str, float] = {}
    for (service, _), n_slots in slots.items():
        total[service] = total.get(service, 0.0) + n_slots
    return total
