"""Counts the work that arrives at one host, for its reports to a control host.

The counts are for services that are short of capacity for some seconds. A report covers
the time since the one before and names only what had requests in that time. A lost
report makes the load look smaller until the next one, so none is sent again.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from .rows import WorkReport, WorkRow

NS_PER_MS = 1_000_000
INTERVAL_MIN_MS = 1

# Service, data centre and priority.
WorkKey = tuple[str, str, int]


class CountedWork(NamedTuple):
    """How the work of a request was counted when it arrived."""

    key: WorkKey
    work_ms: float


@dataclass(slots=True)
class _Count:
    n_arrived: int = 0
    offered_ms: float = 0.0
    admitted_ms: float = 0.0
    n_refused: int = 0


@dataclass(slots=True)
class WorkCounts:
    """Work since ``began_ns``; ``n_elsewhere`` requests had to run elsewhere."""

    began_ns: int
    n_elsewhere: int = 0
    counts: dict[WorkKey, _Count] = field(default_factory=dict)


def record_arrived(counts: WorkCounts, key: WorkKey, work_ms: float) -> None:
    """Count the expected work of a request that has arrived."""
    count = counts.counts.setdefault(key, _Count())
    count.n_arrived += 1
    count.offered_ms += work_ms


def record_admitted(counts: WorkCounts, key: WorkKey, work_ms: float) -> None:
    """Count the expected work of a request that is sent for the first time."""
    counts.counts.setdefault(key, _Count()).admitted_ms += work_ms


def record_refused(counts: WorkCounts, key: WorkKey) -> None:
    """Count a refused request."""
    counts.counts.setdefault(key, _Count()).n_refused += 1


def take_report(counts: WorkCounts, now_ns: int) -> WorkReport:
    """Return the work since the last call, and begin to count anew."""
    interval_ms = (now_ns - counts.began_ns) // NS_PER_MS
    rows = tuple(
        WorkRow(
            *key,
            count.n_arrived,
            round(count.offered_ms),
            round(count.admitted_ms),
            count.n_refused,
        )
        for key, count in counts.counts.items()
    )
    counts.counts.clear()
    counts.began_ns = now_ns
    return WorkReport(max(INTERVAL_MIN_MS, interval_ms), rows)


def data_centre_of_work(
    counts: WorkCounts,
    own: str,
    home_regions: Collection[str],
    regions: Mapping[str, str],
    evacuated: Collection[str],
) -> str:
    """Return the data centre that the work of one request belongs to.

    It is the host's own, unless the request must run in another region. Such work is
    spread over the data centres of its home regions.

    Parameters
    ----------
    counts : WorkCounts
        Counts of the host.
    own : str
        Data centre of the host.
    home_regions : collection of str
        Regions in which the request may run; all if it is empty.
    regions : mapping of str to str
        Region of each data centre.
    evacuated : collection of str
        Evacuated data centres.
    """
    if not home_regions or regions.get(own) in home_regions:
        return own
    homes = sorted(name for name, region in regions.items() if region in home_regions)
    usable = [name for name in homes if name not in evacuated] or homes
    if not usable:
        return own
    counts.n_elsewhere += 1
    return usable[counts.n_elsewhere % len(usable)]
