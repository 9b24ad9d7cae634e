"""Leases that the leader of a data centre's group grants to hosts and upstreams.

Leases are not in the log, because each renewal would cost a commit. The leader, as
grantor, counts a lease from the receipt of a renewal, and the holder counts it from the
sending of the renewal. So the lease always ends for the holder first. A new leader
knows none of its predecessor's renewals, and treats every lease as just granted.

After a lease has ended, the leader may decide without its holder, for example to grant
shards to another upstream. Two rules prevent the holder from acting against such a
decision:

- An expired session lease is never renewed: the session must be opened again.
- A host lease that begins anew carries the last index of the leader's log. The host
  acts only after it has applied the log up to that index, so it knows every decision
  that was made while it had no lease.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from .records import Dispatcher, Grant, ShardId, UpstreamSession

NS_PER_MS = 1_000_000
HOST_LEASE_MS = 500
SESSION_LEASE_MS = 500
RENEW_INTERVAL_MS = 100
# The most by which the grantor's clock may run faster than the holder's, in percent.
# The grantor waits longer by this much, so that the lease still ends for the holder
# first.
CLOCK_RATE_DIFFERENCE_MAX_PERCENT = 2


class HostLease(NamedTuple):
    """A host's lease as the grantor counts it, and the log index at its beginning."""

    incarnation: str
    expires_ns: int
    is_stopping: bool
    since_index: int


class SessionLease(NamedTuple):
    """The lease of an upstream's session, as the grantor counts it.

    ``opened_epoch`` distinguishes the sessions that one upstream opens in turn.
    ``seen_ns`` is since when this leader has known the session.
    """

    opened_epoch: int
    expires_ns: int
    seen_ns: int


@dataclass(slots=True)
class LeaseTable:
    """All leases that one leader has granted, and what hosts reported with renewals.

    ``drained`` holds, by upstream, the epoch of the last dispatcher that has stopped
    sending, and ``released`` the shards and epochs of released grants.
    ``out_since_ns`` is when the leader first saw that its data centre was taken out,
    or None.
    ``live_since_ns`` is since when each incarnation of a host has been live.
    ``bulk_upstreams`` are, by host, the upstreams with bulk requests in flight.
    ``n_changes`` counts the changes that may call for a decision; plain renewals are
    not counted. ``tables_changed_ns`` is when a change of the tables was last noticed,
    or None if no change was noticed yet.
    """

    hosts: dict[str, HostLease] = field(default_factory=dict)
    sessions: dict[str, SessionLease] = field(default_factory=dict)
    drained: dict[str, int] = field(default_factory=dict)
    released: set[tuple[ShardId, int]] = field(default_factory=set)
    out_since_ns: int | None = None
    fill_checked_ns: int = 0
    live_since_ns: dict[tuple[str, str], int] = field(default_factory=dict)
    bulk_upstreams: dict[str, frozenset[str]] = field(default_factory=dict)
    last_spread_ns: int = 0
    n_changes: int = 0
    tables_changed_ns: int | None = None


def assume_all_granted(
    leases: LeaseTable,
    hosts: Iterable[str],
    sessions: Mapping[str, UpstreamSession],
    now_ns: int,
) -> None:
    """Treat every lease as just granted, as a new leader must."""
    leases.hosts = {
        host: HostLease("", now_ns + grantor_lease_ns(HOST_LEASE_MS), False, 0)
        for host in hosts
    }
    leases.sessions = {}
    follow_sessions(leases, sessions, now_ns)
    leases.drained = {}
    leases.released = set()
    leases.out_since_ns = None


def renew_host(
    leases: LeaseTable,
    host: str,
    incarnation: str,
    is_stopping: bool,
    last_index: int,
    now_ns: int,
) -> HostLease:
    """Renew a host's lease.

    A lease that has expired, or that another incarnation held, begins anew at
    ``last_index``, the last index of the leader's log. A new incarnation at the host's
    address proves that the old process has ended, so the end of the old lease need not
    be waited for.
    """
    known = leases.hosts.get(host)
    since_index = last_index
    if known is not None and known.incarnation == incarnation:
        if known.expires_ns > now_ns:
            since_index = known.since_index
    is_plain_renewal = (
        known is not None
        and known.expires_ns > now_ns
        and (known.incarnation, known.is_stopping) == (incarnation, is_stopping)
    )
    leases.n_changes += not is_plain_renewal
    expires_ns = now_ns + grantor_lease_ns(HOST_LEASE_MS)
    lease = HostLease(incarnation, expires_ns, is_stopping, since_index)
    leases.hosts[host] = lease
    return lease


def renew_session(leases: LeaseTable, session: UpstreamSession, now_ns: int) -> bool:
    """Renew an upstream's session lease; return False if it has expired."""
    if session.state == "expired" or is_session_expired(leases, session, now_ns):
        return False
    expires_ns = now_ns + grantor_lease_ns(SESSION_LEASE_MS)
    is_known = _is_same_opening(leases, session)
    seen_ns = leases.sessions[session.name].seen_ns if is_known else now_ns
    lease = SessionLease(session.opened_epoch, expires_ns, seen_ns)
    leases.sessions[session.name] = lease
    return True


def session_ages(
    leases: LeaseTable, sessions: Mapping[str, UpstreamSession], now_ns: int
) -> tuple[tuple[str, int, int], ...]:
    """Return name, incarnation and age in ms of each upstream.

    The age counts from when this leader first knew the session, so the reported age is
    never too high. A host that has just started needs the ages, because it would
    otherwise treat warm upstreams as cold.
    """
    return tuple(
        (
            name,
            session.incarnation,
            (now_ns - leases.sessions[name].seen_ns) // NS_PER_MS,
        )
        for name, session in sorted(sessions.items())
        if _is_same_opening(leases, session)
    )


def follow_sessions(
    leases: LeaseTable, sessions: Mapping[str, UpstreamSession], now_ns: int
) -> None:
    """Begin the leases of newly opened sessions; remove those of closed ones."""
    for session in sessions.values():
        if not _is_same_opening(leases, session):
            expires_ns = now_ns + grantor_lease_ns(SESSION_LEASE_MS)
            lease = SessionLease(session.opened_epoch, expires_ns, now_ns)
            leases.sessions[session.name] = lease
    for name in leases.sessions.keys() - sessions.keys():
        del leases.sessions[name]


def record_reports(
    leases: LeaseTable,
    drained: Iterable[tuple[str, int]],
    released: Iterable[tuple[ShardId, int]],
) -> None:
    """Record a host's reports of drained dispatchers and released grants.

    A late report does not replace a newer one.
    """
    for name, epoch in drained:
        if epoch > leases.drained.get(name, 0):
            leases.drained[name] = epoch
            leases.n_changes += 1
    n_before = len(leases.released)
    leases.released.update(released)
    leases.n_changes += len(leases.released) - n_before


def forget_reports(
    leases: LeaseTable,
    dispatchers: Mapping[str, Dispatcher],
    grants: Mapping[ShardId, Grant],
) -> None:
    """Remove reports about dispatchers and grants that were replaced.

    Epochs are never reused, so such a report is not needed again. Reports that are
    still needed stay, and hosts repeat them with every renewal.
    """
    leases.drained = {
        name: epoch
        for name, epoch in leases.drained.items()
        if name in dispatchers and dispatchers[name].epoch <= epoch
    }
    leases.released = {
        (shard, epoch)
        for shard, epoch in leases.released
        if shard in grants and grants[shard].epoch <= epoch
    }


def live_hosts(leases: LeaseTable, now_ns: int) -> list[str]:
    """Return the hosts that have renewed with this leader and are not stopping.

    A host whose lease is only assumed has no incarnation yet and is left out.
    """
    return sorted(
        host
        for host, lease in leases.hosts.items()
        if lease.expires_ns > now_ns and lease.incarnation and not lease.is_stopping
    )


def is_host_stopping(leases: LeaseTable, host: str) -> bool:
    """Return whether a host has reported that it is stopping."""
    lease = leases.hosts.get(host)
    return lease is not None and lease.is_stopping


def is_host_expired(leases: LeaseTable, host: str, now_ns: int) -> bool:
    """Return whether a host can no longer hold a lease."""
    lease = leases.hosts.get(host)
    return lease is None or lease.expires_ns <= now_ns


def is_session_expired(
    leases: LeaseTable, session: UpstreamSession, now_ns: int
) -> bool:
    """Return whether an upstream can no longer hold a lease of this session."""
    if not _is_same_opening(leases, session):
        return False
    return leases.sessions[session.name].expires_ns <= now_ns


def grantor_lease_ns(lease_ms: int) -> int:
    """Return how long a lease of ``lease_ms`` lasts for the grantor, in ns."""
    return lease_ms * NS_PER_MS * (100 + CLOCK_RATE_DIFFERENCE_MAX_PERCENT) // 100


def _is_same_opening(leases: LeaseTable, session: UpstreamSession) -> bool:
    lease = leases.sessions.get(session.name)
    return lease is not None and lease.opened_epoch == session.opened_epoch
