"""Spreads dispatchers evenly over the hosts of a data centre, one at a time.

When a host is lost or stops, the other hosts become dispatchers of its upstreams.
Without this module, a host that returns would dispatch for no upstream. Each move is
the same handover as in a planned stop: the old host stops sending and reports that, and
only then is a new dispatcher assigned. During the handover the upstream gets no new
requests, so one dispatcher moves at a time. An upstream with bulk requests in flight
keeps its dispatcher, because the old host would wait for these requests to end.
"""

from collections import Counter
from collections.abc import Iterable

from .commands import DataCentreCommand, RetireDispatcher
from .data_centre_tables import DataCentreTables
from .leases import NS_PER_MS, LeaseTable, live_hosts

# A host knows how warm an upstream is only after observing it for a whole slow start,
# which takes 8 s. A host that dispatched earlier would admit too few requests.
SPREAD_MIN_LIVE_MS = 10_000
SPREAD_INTERVAL_MS = 500


def spread_dispatchers(
    tables: DataCentreTables, leases: LeaseTable, now_ns: int
) -> list[DataCentreCommand]:
    """Retire one dispatcher of the host that has most, if the spread is uneven.

    The spread is uneven if a settled host has at least two dispatchers fewer. A host is
    settled once it has been live for `SPREAD_MIN_LIVE_MS`. No dispatcher is retired
    while another handover is in progress.
    """
    settled = _settled_hosts(leases, now_ns)
    n_dispatchers = Counter({host: 0 for host in settled})
    for dispatcher in tables.dispatchers.values():
        if dispatcher.state != "serving":
            return []
        n_dispatchers[dispatcher.host] += 1
    if not settled or now_ns - leases.last_spread_ns < SPREAD_INTERVAL_MS * NS_PER_MS:
        return []
    busiest = max(sorted(n_dispatchers), key=lambda host: n_dispatchers[host])
    if n_dispatchers[busiest] - min(n_dispatchers[host] for host in settled) < 2:
        return []
    for name, dispatcher in sorted(tables.dispatchers.items()):
        session = tables.sessions.get(name)
        is_serving = session is not None and session.state == "serving"
        has_bulk = name in leases.bulk_upstreams.get(busiest, ())
        if dispatcher.host == busiest and is_serving and not has_bulk:
            leases.last_spread_ns = now_ns
            return [RetireDispatcher(name, dispatcher.epoch)]
    return []


def record_bulk_upstreams(
    leases: LeaseTable, host: str, upstreams: Iterable[str]
) -> None:
    """Record the upstreams on which a host has bulk requests in flight."""
    names = frozenset(upstreams)
    leases.n_changes += names != leases.bulk_upstreams.get(host)
    leases.bulk_upstreams[host] = names


def _settled_hosts(leases: LeaseTable, now_ns: int) -> list[str]:
    """Return the hosts that the leader has seen live for `SPREAD_MIN_LIVE_MS`.

    The time counts from the first run that found this incarnation of the host live, and
    starts again when the host's lease expires.
    """
    since_ns = leases.live_since_ns
    live = live_hosts(leases, now_ns)
    processes = {host: (host, leases.hosts[host].incarnation) for host in live}
    for process in since_ns.keys() - set(processes.values()):
        del since_ns[process]
    for process in processes.values():
        since_ns.setdefault(process, now_ns)
    min_live_ns = SPREAD_MIN_LIVE_MS * NS_PER_MS
    return [host for host in live if now_ns - since_ns[processes[host]] >= min_live_ns]
