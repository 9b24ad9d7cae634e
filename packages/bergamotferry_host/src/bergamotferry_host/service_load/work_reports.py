"""Reports the work that arrives at a host, and keeps the rows that come back.

The host reports to the control host that it follows. It sends nothing while it has no
requests, except a first report after each change of the control host: it shows that
this host can read the rows.
"""

import asyncio
import random

from bergamotferry.fleet_messages import FleetChanges
from bergamotferry.service_load.work_counts import (
    CountedWork,
    data_centre_of_work,
    record_admitted,
    record_arrived,
    record_refused,
    take_report,
)

from ..clock import now_ns
from ..direct_host import DirectHost, work_time_of
from ..request_state import DirectRequest

# Loads pass the capacity of a service for some seconds at a time.
REPORT_INTERVAL_S = 0.5


async def run_work_reports(host: DirectHost) -> None:
    """Report arrived work to the followed control host, until cancelled."""
    # Hosts that start together would otherwise report in the same instant.
    await asyncio.sleep(REPORT_INTERVAL_S * random.random())
    told, had_rows = "", False
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        report = take_report(host.work_counts, now_ns())
        if host.followed and (report.rows or had_rows or host.followed != told):
            # Without rows it replaces the report before, whose work is over.
            host.network.notify(host.followed, report)
            told, had_rows = host.followed, bool(report.rows)


def count_arrival(host: DirectHost, request: DirectRequest) -> None:
    """Count the work of a request that has arrived."""
    data_centre = data_centre_of_work(
        host.work_counts,
        host.settings.data_centre,
        request.home_regions,
        host.settings.regions,
        host.evacuated,
    )
    key = request.service.name, data_centre, request.priority
    request.work = CountedWork(key, work_time_of(host, request.route).mean_ms)
    record_arrived(host.work_counts, *request.work)


def count_first_send(host: DirectHost, request: DirectRequest) -> None:
    """Count the work of a request as admitted when it is sent for the first time."""
    if request.n_sends == 0 and request.work is not None:
        record_admitted(host.work_counts, *request.work)


def count_refusal(host: DirectHost, request: DirectRequest | None) -> None:
    """Count a request that this host refused, unless its work was never counted."""
    if request is not None and request.work is not None:
        record_refused(host.work_counts, request.work.key)


def apply_service_loads(
    host: DirectHost, reply: FleetChanges, took_ms: float, wait_ms: int
) -> None:
    """Replace the rows that this host knows by those of a reply, if it has any.

    Parameters
    ----------
    host : DirectHost
        This host.
    reply : FleetChanges
        Reply of the followed control host.
    took_ms : float
        Time from the request to the reply, in ms.
    wait_ms : int
        How long the control host was asked to wait for a change. What the reply took
        beyond this was spent on its way, so it counts to the age of the rows.
    """
    if not reply.service_loads:
        return
    late_ms = max(0, round(took_ms - wait_ms))
    host.service_loads = {
        (row.service, row.data_centre): row._replace(age_ms=row.age_ms + late_ms)
        for row in reply.service_loads
    }
    host.service_loads_ns = now_ns()
