"""Rows of service load that control hosts report to the hosts that follow them."""

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
