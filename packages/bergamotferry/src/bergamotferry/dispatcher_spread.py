"""Spreads dispatchers evenly over a data centre's hosts again, one at a time.

When a host is lost or stops, the others take its upstreams; when it comes back it would
stay without any. Each move is the handover of a planned stop: the old host stops
sending and says so, and only then is another assigned. While that lasts the upstream
gets no new work, so one moves at a time, and none that has bulk in flight, for whose
end the old host would wait.
"""

from collections import Counter
from collections.abc import Iterable

from .commands import DataCentreCommand, RetireDispatcher
from .data_centre_tables import DataCentreTables
from .leases import NS_PER_MS, LeaseTable, live_hosts

# A host knows how warm an upstream is only after it has seen it for the whole of its
# slow start, which is 8 s; before that it would let few requests through.
SPREAD_LIVE_MS = 10_000
SPREAD_INTERVAL_MS = 500


def spread_dispatchers(
    tables: DataCentreTables, leases: LeaseTable, now_ns: int
) -> list[DataCentreCommand]:
    """Retire one dispatcher of the host that has most, if another has two fewer.

    Only hosts that have been here for a while get some, and only once no other handover
    is under way.
    """
    settled = _settled_hosts(leases, now_ns)
    loads = Counter({host: 0 for host in settled})
    for dispatcher in tables.dispatchers.values():
        if dispatcher.state != "serving":
            return []
        loads[dispatcher.host] += 1
    if not settled or now_ns - leases.spread_ns < SPREAD_INTERVAL_MS * NS_PER_MS:
        return []
    fullest = max(sorted(loads), key=lambda host: loads[host])
    if loads[fullest] - min(loads[host] for host in settled) < 2:
        return []
    for name, dispatcher in sorted(tables.dispatchers.items()):
        session = tables.sessions.get(name)
        is_serving = session is not None and session.state == "serving"
        has_bulk = name in leases.bulk_upstreams.get(fullest, ())
        if dispatcher.host == fullest and is_serving and not has_bulk:
            leases.spread_ns = now_ns
            return [RetireDispatcher(name, dispatcher.epoch)]
    return []


def note_bulk(leases: LeaseTable, host: str, upstreams: Iterable[str]) -> None:
    """Note the upstreams on which a host has bulk in flight."""
    names = frozenset(upstreams)
    leases.n_changes += names != leases.bulk_upstreams.get(host)
    leases.bulk_upstreams[host] = names


def _settled_hosts(leases: LeaseTable, now_ns: int) -> list[str]:
    """Return the live hosts whose process has been seen for long enough."""
    seen = leases.live_since_ns
    live = live_hosts(leases, now_ns)
    places = {host: (host, leases.hosts[host].incarnation) for host in live}
    for place in seen.keys() - set(places.values()):
        del seen[place]
    for place in places.values():
        seen.setdefault(place, now_ns)
    wait_ns = SPREAD_LIVE_MS * NS_PER_MS
    return [host for host in live if now_ns - seen[places[host]] >= wait_ns]
