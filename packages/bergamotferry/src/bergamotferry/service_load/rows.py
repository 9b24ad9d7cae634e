"""Rows and messages by which hosts share the load of services.

A host that takes requests sends a `WorkReport` to the control host that it follows.
Control hosts add up the reports of their followers and send each other the
`LoadSums`. The result is one `ServiceLoad` for each service and data centre, which
control hosts return to their followers.
"""

from typing import NamedTuple


class ServiceLoad(NamedTuple):
    """Load of a service in one data centre over the last report interval.

    ``n_slots`` is how many slots of usual speed the upstreams of the data centre have
    together. ``offered_slots`` pairs each priority, the most urgent first, with the
    work that arrived there, in slots that it keeps busy. ``age_ms`` is the age of the
    oldest report in it.
    """

    service: str
    data_centre: str
    n_slots: float
    offered_slots: tuple[tuple[int, float], ...]
    age_ms: int


class WorkRow(NamedTuple):
    """Work of one service and priority that arrived at a host, in slot-milliseconds.

    ``data_centre`` is where the work belongs: the host's own data centre, or one of a
    home region if the work may not run in the host's own. ``admitted_ms`` is the part
    of it that was sent to an upstream. ``n_refused`` counts refused requests.
    """

    service: str
    data_centre: str
    priority: int
    n_arrived: int
    offered_ms: int
    admitted_ms: int
    n_refused: int


class WorkReport(NamedTuple):
    """All work that arrived at a host in the last ``interval_ms``."""

    interval_ms: int
    rows: tuple[WorkRow, ...]


class SummedLoad(NamedTuple):
    """Work of a service in one data centre, from the followers of one control host.

    ``age_ms`` is the age of the oldest report in the sum.
    """

    service: str
    data_centre: str
    offered_slots: tuple[tuple[int, float], ...]
    age_ms: int


class LoadSums(NamedTuple):
    """All sums of one control host; ``data_centres`` are those of its followers."""

    rows: tuple[SummedLoad, ...]
    data_centres: tuple[str, ...]


def age_now_ms(row: ServiceLoad, received_ns: int, now_ns: int) -> float:
    """Return the age of a row that was received at ``received_ns``, in ms."""
    return row.age_ms + max(0, now_ns - received_ns) / 1_000_000
