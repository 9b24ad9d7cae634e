"""Leases that the leader of a data centre's group holds for hosts and upstreams.

A lease is not in the log: renewals would cost a commit each. The grantor counts from
receiving a renewal, the holder from sending it, so the holder's always ends first. A
new leader knows no renewals of its predecessor's and takes every lease as just granted.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

NS_PER_MS = 1_000_000
HOST_LEASE_MS = 600
SESSION_LEASE_MS = 600
RENEW_INTERVAL_MS = 120
# Bound on how much faster the holder's clock may run than the grantor's, in percent.
CLOCK_RATE_PERCENT = 2


class HostLease(NamedTuple):
    """A host's lease as the grantor counts it."""

    incarnation: str
    expires_ns: int
    is_stopping: bool


@dataclass(slots=True)
class LeaseTable:
    """All leases that one leader has granted."""

    hosts: dict[str, HostLease] = field(default_factory=dict)
    sessions: dict[str, int] = field(default_factory=dict)
    drained: dict[str, int] = field(default_factory=dict)
    released: set[tuple[object, int]] = field(default_factory=set)


def assume_all_granted(
    leases: LeaseTable, hosts: Iterable[str], sessions: Iterable[str], now_ns: int
) -> None:
    """Take every lease as just granted, as a new leader must."""
    leases.hosts = {
        host: HostLease("", now_ns + granted_ns(HOST_LEASE_MS), False) for host in hosts
    }
    leases.sessions = {name: now_ns + granted_ns(SESSION_LEASE_MS) for name in sessions}
    leases.drained = {}
    leases.released = set()


def renew_host(
    leases: LeaseTable, host: str, incarnation: str, is_stopping: bool, now_ns: int
) -> None:
    """Renew a host's lease; one of an older incarnation is replaced."""
    expires_ns = now_ns + granted_ns(HOST_LEASE_MS)
    leases.hosts[host] = HostLease(incarnation, expires_ns, is_stopping)


def renew_session(leases: LeaseTable, name: str, now_ns: int) -> None:
    """Renew an upstream's session lease."""
    leases.sessions[name] = now_ns + granted_ns(SESSION_LEASE_MS)


def follow_sessions(leases: LeaseTable, sessions: Iterable[str], now_ns: int) -> None:
    """Begin the leases of sessions that were just opened; forget closed ones."""
    open_sessions = set(sessions)
    for name in open_sessions - leases.sessions.keys():
        renew_session(leases, name, now_ns)
    for name in leases.sessions.keys() - open_sessions:
        del leases.sessions[name]


def live_hosts(leases: LeaseTable, now_ns: int) -> list[str]:
    """Return the hosts that hold a lease and are not stopping."""
    return sorted(
        host
        for host, lease in leases.hosts.items()
        if lease.expires_ns > now_ns and lease.incarnation and not lease.is_stopping
    )


def is_host_expired(leases: LeaseTable, host: str, now_ns: int) -> bool:
    """Return whether a host can hold no lease any more."""
    lease = leases.hosts.get(host)
    return lease is None or lease.expires_ns <= now_ns


def is_session_expired(leases: LeaseTable, name: str, now_ns: int) -> bool:
    """Return whether an upstream can hold no session lease any more."""
    return leases.sessions.get(name, 0) <= now_ns


def granted_ns(lease_ms: int) -> int:
    """Return how long the grantor waits for a lease of ``lease_ms``, in ns."""
    return lease_ms * NS_PER_MS * (100 + CLOCK_RATE_PERCENT) // 100
