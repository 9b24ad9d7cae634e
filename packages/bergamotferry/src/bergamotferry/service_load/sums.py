"""Adds up the reports of hosts and the sums of other control hosts.

The sums are for services whose load passes their capacity within seconds, at some data
centres or at all. They are soft state: each report and each message replaces the one
before, and silence is no load for long. A host that moves to another control host is
counted there from its first report on, and here no longer once its last report is old.
Rows of a data centre that is not heard of any more keep their figures for a while, with
their age.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median

from .bounds import KnownCapacity, Offered, PlaceKey, bounded_offer, work_ms_of
from .rows import LoadSums, ServiceLoad, SummedLoad, WorkReport

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
# Hosts report twice a second, and control hosts send their sums as often.
REPORT_EXPIRY_NS = 1_500_000_000
# Figures this old describe another load.
SUMS_EXPIRY_NS = 10 * NS_PER_S
# While no data centre has more work than this share of its slots, the rows decide
# nothing, and followers get them only once in some rounds.
CALM_SHARE = 0.6
N_ROUNDS_CALM = 4


@dataclass(slots=True)
class _Report:
    offered: Offered
    work_ms: dict[str, float]
    received_ns: int


@dataclass(slots=True)
class _Sums:
    message: LoadSums
    received_ns: int


@dataclass(slots=True)
class LoadTable:
    """Reports by follower and sums by other control host.

    ``n_round`` numbers the computations of ``rows``, which were made at
    ``computed_ns``. ``rounds_sent`` is the last one that each follower received; only
    hosts that report are listed, since others may not be able to read the rows.
    ``cut_hosts`` are those whose last report was cut, by what was ``known`` then.
    """

    reports: dict[str, _Report] = field(default_factory=dict)
    sums: dict[str, _Sums] = field(default_factory=dict)
    n_round: int = 0
    rows: tuple[ServiceLoad, ...] = ()
    computed_ns: int = 0
    rounds_sent: dict[str, int] = field(default_factory=dict)
    cut_hosts: set[str] = field(default_factory=set)
    known: KnownCapacity = KnownCapacity({}, (), 1)


def record_report(
    table: LoadTable, host: str, report: WorkReport, now_ns: int
) -> tuple[str, ...]:
    """Record a host's report, which replaces the one before.

    Returns
    -------
    tuple of str
        The services whose claim was cut for the first time in a row.
    """
    offered, cut = bounded_offer(report, table.known)
    table.reports[host] = _Report(offered, work_ms_of(report), now_ns)
    table.rounds_sent.setdefault(host, -N_ROUNDS_CALM)
    was_cut = host in table.cut_hosts
    (table.cut_hosts.add if cut else table.cut_hosts.discard)(host)
    return () if was_cut else cut


def record_sums(
    table: LoadTable, control_host: str, message: LoadSums, now_ns: int
) -> None:
    """Record the sums of another control host, which replace the ones before."""
    table.sums[control_host] = _Sums(message, now_ns)


def expire_reports(table: LoadTable, followers: Iterable[str], now_ns: int) -> None:
    """Forget old reports and sums, and hosts that don't follow any more."""
    for host, report in list(table.reports.items()):
        if now_ns - report.received_ns > REPORT_EXPIRY_NS:
            del table.reports[host]
    for control_host, sums in list(table.sums.items()):
        if now_ns - sums.received_ns > SUMS_EXPIRY_NS:
            del table.sums[control_host]
    known = set(followers) | table.reports.keys()
    for host in table.rounds_sent.keys() - known:
        del table.rounds_sent[host]
    table.cut_hosts &= known


def own_sums(table: LoadTable, data_centres: Iterable[str], now_ns: int) -> LoadSums:
    """Return the sums of the followers' reports, and the followers' data centres."""
    offered: Offered = {}
    ages_ms: dict[PlaceKey, int] = {}
    for report in table.reports.values():
        age_ms = (now_ns - report.received_ns) // NS_PER_MS
        for place, by_priority in report.offered.items():
            total = offered.setdefault(place, {})
            for priority, n_slots in by_priority.items():
                total[priority] = total.get(priority, 0.0) + n_slots
            ages_ms[place] = max(ages_ms.get(place, 0), age_ms)
    rows = tuple(
        SummedLoad(*place, _rounded(by_priority), ages_ms[place])
        for place, by_priority in sorted(offered.items())
    )
    return LoadSums(rows, tuple(sorted(set(data_centres))))


def work_ms_by_service(table: LoadTable) -> dict[str, float]:
    """Return the mean work of a request by service, as most followers report it.

    It is the median of the hosts, which a false report hardly moves.
    """
    reported: dict[str, list[float]] = {}
    for report in table.reports.values():
        for service, work_ms in report.work_ms.items():
            reported.setdefault(service, []).append(work_ms)
    return {service: median(values) for service, values in reported.items()}


def compute_rows(
    table: LoadTable, own: LoadSums, slots: Mapping[PlaceKey, float], now_ns: int
) -> None:
    """Compute the rows of all services that have requests, and begin a new round."""
    sources = [(own, 0)]
    for sums in table.sums.values():
        sources.append((sums.message, (now_ns - sums.received_ns) // NS_PER_MS))
    services = {row.service for message, _ in sources for row in message.rows}
    places = {place for place in slots if place[0] in services}
    places |= {(row.service, row.data_centre) for m, _ in sources for row in m.rows}
    rows = (_row(place, slots.get(place, 0.0), sources) for place in sorted(places))
    table.rows = tuple(row for row in rows if row is not None)
    table.computed_ns = now_ns
    table.n_round += 1


def rows_for(table: LoadTable, host: str, now_ns: int) -> tuple[ServiceLoad, ...]:
    """Return the rows that are due for a follower.

    The time since they were computed counts to their age.
    """
    n_rounds = table.n_round - table.rounds_sent.get(host, table.n_round)
    n_due = N_ROUNDS_CALM if all(map(_is_calm, table.rows)) else 1
    if n_rounds < n_due:
        return ()
    table.rounds_sent[host] = table.n_round
    since_ms = (now_ns - table.computed_ns) // NS_PER_MS
    return tuple(row._replace(age_ms=row.age_ms + since_ms) for row in table.rows)


def _is_calm(row: ServiceLoad) -> bool:
    offered = sum(n_slots for _, n_slots in row.offered_slots)
    return offered <= CALM_SHARE * row.n_slots


def _row(
    place: PlaceKey, n_slots: float, sources: list[tuple[LoadSums, int]]
) -> ServiceLoad | None:
    """Return the row of one service and data centre, or None if nothing is known.

    Sources that are not old count; if there are none, the youngest old one does.
    """
    service, data_centre = place
    heard: list[tuple[int, SummedLoad | None]] = []
    for message, since_ms in sources:
        found = [row for row in message.rows if row[:2] == place]
        if found:
            heard.append((since_ms, found[0]))
        elif data_centre in message.data_centres:
            heard.append((since_ms, None))
    if not heard:
        return None
    heard.sort(key=lambda entry: entry[0])
    fresh = [entry for entry in heard if entry[0] * NS_PER_MS <= REPORT_EXPIRY_NS]
    offered: dict[int, float] = {}
    age_ms = 0
    for since_ms, row in fresh or heard[:1]:
        age_ms = max(age_ms, since_ms + (row.age_ms if row is not None else 0))
        for priority, priority_slots in row.offered_slots if row is not None else ():
            offered[priority] = offered.get(priority, 0.0) + priority_slots
    return ServiceLoad(
        service, data_centre, round(n_slots, 1), _rounded(offered), age_ms
    )


def _rounded(offered: Mapping[int, float]) -> tuple[tuple[int, float], ...]:
    return tuple(
        (priority, round(n_slots, 2)) for priority, n_slots in sorted(offered.items())
    )
