"""The part of control hosts in the exchange of service load.

A control host takes the reports of its followers, sends their sums to the other control
hosts, and returns the rows to followers. It does so in rounds of a fixed length, so
that its work does not grow with the number of requests. Nothing of this is committed.

Hosts of the version before can't read these messages. Rows go only to followers that
have reported, and sums are sent only once there are reports, so control hosts are
replaced first.
"""

import asyncio

from bergamotferry.followers import all_followers, own_followers
from bergamotferry.service_load.bounds import KnownCapacity, slots_by_service
from bergamotferry.service_load.capacity import PlaceKey, usual_slots
from bergamotferry.service_load.rows import LoadSums, ServiceLoad, WorkReport
from bergamotferry.service_load.sums import (
    compute_rows,
    expire_reports,
    own_sums,
    record_report,
    record_sums,
    rows_for,
    work_ms_by_service,
)

from ..clock import now_ns
from ..fleet_control import ControlHost
from ..logs import log_warning
from ..suspension import has_just_resumed

ROUND_INTERVAL_S = 0.5


async def run_load_exchange(host: ControlHost) -> None:
    """Send sums to the other control hosts and compute rows, until cancelled."""
    while True:
        begin_round(host)
        await asyncio.sleep(ROUND_INTERVAL_S)


def begin_round(host: ControlHost) -> None:
    """Send the sums of the followers' reports, and compute the rows anew."""
    now = now_ns()
    table = host.load_table
    followers = own_followers(host.followers, now)
    had_reports = bool(table.reports)
    expire_reports(table, (row.host for row in followers), now)
    own = own_sums(table, (row.data_centre for row in followers), now)
    if had_reports:
        for other in host.control_hosts - {host.settings.name}:
            host.network.notify(other, own)
    # A host may have the usual part of a service whose upstreams are all cold.
    usual = slots_by_service(_slots(host, {}, now))
    n_hosts = len(all_followers(host.followers, now))
    table.known = KnownCapacity(usual, host.settings.regions, n_hosts)
    slots = _slots(host, work_ms_by_service(table), now)
    compute_rows(table, own, slots, now)


def record_load_notice(
    host: ControlHost, message: WorkReport | LoadSums, peer: str
) -> None:
    """Record a report of a follower, or the sums of another control host.

    What waited while this process was suspended is older than it looks, and is dropped.
    """
    now = now_ns()
    if has_just_resumed(host.suspension, now):
        return
    if isinstance(message, LoadSums):
        record_sums(host.load_table, peer, message, now)
        return
    cut = record_report(host.load_table, peer, message, now)
    if cut:
        n_hosts = host.load_table.known.n_hosts
        log_warning("work report cut", peer=peer, services=cut, n_hosts=n_hosts)


def service_loads_for(host: ControlHost, follower: str) -> tuple[ServiceLoad, ...]:
    """Return the rows that a follower has not had yet."""
    return rows_for(host.load_table, follower, now_ns())


def _slots(
    host: ControlHost, work_ms: dict[str, float], now: int
) -> dict[PlaceKey, float]:
    sessions = host.sessions.rows.values()
    services = host.configuration.services
    return usual_slots(sessions, services, host.tables.evacuated, work_ms, {}, now)
