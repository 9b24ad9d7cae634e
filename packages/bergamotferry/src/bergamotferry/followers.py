"""Tracks which hosts take requests, as seen by one control host.

A control host is polled by the hosts that follow it, and the other control hosts report
their followers to it. All hosts of a data centre must get the same list: each host
derives from it which cold upstreams it may send to, and which upstreams it prefers. If
a control host listed only its own followers, the followers of each control host would
together send as much to a cold upstream as all hosts together may send.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

NS_PER_S = 1_000_000_000
# A host polls several times a second, and finds another control host to follow within
# one second.
FOLLOWER_EXPIRY_NS = 3 * NS_PER_S
# The report of a control host stays valid while that control host is cut off, since its
# followers may still send.
REPORT_EXPIRY_NS = 10 * NS_PER_S


class Follower(NamedTuple):
    """A host that takes requests, and its data centre."""

    host: str
    data_centre: str


class _Report(NamedTuple):
    hosts: tuple[Follower, ...]
    reported_ns: int


@dataclass(slots=True)
class Followers:
    """Time of each own follower's last poll, and other control hosts' last reports.

    ``reports`` are by name of the control host.
    """

    polled_ns: dict[Follower, int] = field(default_factory=dict)
    reports: dict[str, _Report] = field(default_factory=dict)


def record_follower(followers: Followers, follower: Follower, now_ns: int) -> None:
    """Record that a host polled this control host."""
    followers.polled_ns[follower] = now_ns


def record_reported_followers(
    followers: Followers, control_host: str, reported: Iterable[Follower], now_ns: int
) -> None:
    """Replace the followers that another control host reported."""
    followers.reports[control_host] = _Report(tuple(reported), now_ns)


def own_followers(followers: Followers, now_ns: int) -> tuple[Follower, ...]:
    """Return the hosts that follow this control host, sorted."""
    for follower, polled_ns in list(followers.polled_ns.items()):
        if now_ns - polled_ns > FOLLOWER_EXPIRY_NS:
            del followers.polled_ns[follower]
    return tuple(sorted(followers.polled_ns))


def all_followers(followers: Followers, now_ns: int) -> tuple[Follower, ...]:
    """Return all hosts that take requests, sorted and without duplicates."""
    known = set(own_followers(followers, now_ns))
    for control_host, report in list(followers.reports.items()):
        if now_ns - report.reported_ns > REPORT_EXPIRY_NS:
            del followers.reports[control_host]
        else:
            known.update(report.hosts)
    return tuple(sorted(known))
