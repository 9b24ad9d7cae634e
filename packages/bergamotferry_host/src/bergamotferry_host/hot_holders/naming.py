"""Names the overloaded holders: the leader to control hosts, those to their followers.

The names are soft state. The leader repeats them while there are any, and names that
were not repeated for `EXPIRY_NS` are dropped, so that nothing is refused for a load
that nobody reports any more. Followers that have reported work can read the names; see
`service_load.load_exchange` on hosts of the version before.
"""

import asyncio

from bergamotferry.hot_holders.overload import HotHolders, find_hot_holders
from bergamotferry.key_load import busy_slots_by_bucket

from ..clock import now_ns
from ..fleet_control import ControlHost, is_caught_up_leader
from ..logs import log

INTERVAL_S = 0.5
EXPIRY_NS = 2_000_000_000


async def run_hot_holders(host: ControlHost) -> None:
    """Name the overloaded holders while this host leads, until cancelled."""
    while True:
        await asyncio.sleep(INTERVAL_S)
        if is_caught_up_leader(host):
            name_hot_holders(host)


def name_hot_holders(host: ControlHost) -> None:
    """Find the overloaded holders and tell the other control hosts if there are any."""
    names = _find_names(host)
    before = hot_holders_of(host)
    host.hot_holders.names, host.hot_holders.named_ns = names, now_ns()
    if names != before:
        log("hot holders", names=names, before=before)
    # Hosts of the version before don't read this; there are reports only without them.
    if (names or before) and host.load_table.rounds_sent:
        for other in host.control_hosts - {host.settings.name}:
            host.network.notify(other, HotHolders(names))


def record_hot_holders(host: ControlHost, message: HotHolders) -> None:
    """Record the names that the leader sent."""
    host.hot_holders.names, host.hot_holders.named_ns = message.names, now_ns()


def hot_holders_of(host: ControlHost) -> tuple[str, ...]:
    """Return the overloaded holders as this control host knows them."""
    is_recent = now_ns() - host.hot_holders.named_ns <= EXPIRY_NS
    return host.hot_holders.names if is_recent else ()


def hot_holders_for(host: ControlHost, follower: str) -> tuple[str, ...]:
    """Return the overloaded holders for a follower that can read them."""
    return hot_holders_of(host) if follower in host.load_table.rounds_sent else ()


def _find_names(host: ControlHost) -> tuple[str, ...]:
    upstreams = {name: session.row for name, session in host.sessions.rows.items()}
    names: list[str] = []
    for service in host.configuration.services.values():
        if not service.is_sharded:
            continue
        busy_slots = busy_slots_by_bucket(host.key_loads, service.name, now_ns())
        rows = [r for r in host.tables.ranges.values() if r.service == service.name]
        names += find_hot_holders(rows, busy_slots, upstreams)
    return tuple(names)
