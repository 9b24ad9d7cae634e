"""Updates the shares of each service from the newest rows of service load."""

import asyncio

from bergamotferry.cold_rate import is_cold
from bergamotferry.service_load.rows import ServiceLoad
from bergamotferry.spill.link import (
    bytes_for_slots,
    record_link_use,
    slots_for_bytes,
    spill_room_bytes_per_s,
)
from bergamotferry.spill.plan import ServiceTraffic
from bergamotferry.spill.service import ServiceSpill, far_flow, update_service
from bergamotferry.spill.shares import changes_to_log, drop_share

from ..clock import now_ns
from ..direct_host import DirectHost, work_time_of
from ..logs import log_routine
from .state import RouteIndex

UPDATE_INTERVAL_S = 0.5
# A row is believed up to this multiple of the slots that this host knows of, since
# upstreams may be faster than usual.
KNOWN_SLOTS_FACTOR = 1.2


async def run_spill_updates(host: DirectHost) -> None:
    """Update the shares twice a second, until cancelled."""
    while True:
        await asyncio.sleep(UPDATE_INTERVAL_S)
        update_spill(host)


def update_spill(host: DirectHost) -> None:
    """Take the newest rows, and move the shares of all services by one step."""
    rows_by_service: dict[str, list[ServiceLoad]] = {}
    for row in host.service_loads.values():
        # Settings are changed host by host, so others may know more data centres.
        if row.data_centre in host.settings.regions:
            rows_by_service.setdefault(row.service, []).append(row)
    spill = host.spill
    if not rows_by_service and not spill.services:
        return
    if spill.routes.version != host.configuration.version:
        spill.routes = RouteIndex.from_config(host.configuration)
    for name in spill.services.keys() - host.configuration.services.keys():
        del spill.services[name]
    room_bytes_per_s = _link_room_bytes_per_s(host)
    for name in sorted(rows_by_service.keys() | spill.services.keys()):
        service = host.configuration.services.get(name)
        if service is None or service.is_sharded:
            continue
        service_spill = spill.services.setdefault(name, ServiceSpill())
        rows = rows_by_service.get(name, [])
        traffic = service_traffic(host, name)
        far_slots_max = slots_for_bytes(room_bytes_per_s, traffic)
        _update_service(host, name, service_spill, rows, traffic, far_slots_max)
        flow = far_flow(service_spill, host.settings.data_centre, host.settings.regions)
        room_bytes_per_s = max(0.0, room_bytes_per_s - bytes_for_slots(flow, traffic))


def service_traffic(host: DirectHost, service: str) -> ServiceTraffic:
    """Return what the requests of a service are like that may leave."""
    works = [
        (work_time_of(host, route), route.full_value_ms)
        for route in host.spill.routes.free_routes.get(service, [])
    ]
    n_all = sum(work.n_answers + 1 for work, _ in works)
    if not works:
        return ServiceTraffic(100.0, 1_000.0, 0.0)
    return ServiceTraffic(
        sum(work.mean_ms * (work.n_answers + 1) for work, _ in works) / n_all,
        sum(objective * (work.n_answers + 1) for work, objective in works) / n_all,
        sum(work.answer_bytes * (work.n_answers + 1) for work, _ in works) / n_all,
    )


def known_slots(host: DirectHost, service: str) -> dict[str, float]:
    """Return how many slots of ready, warm upstreams may be used, by data centre."""
    now = now_ns()
    slots: dict[str, float] = {}
    for upstream in host.ready_by_service.get(service, []):
        data_centre = upstream.row.data_centre
        if data_centre not in host.evacuated and not is_cold(upstream.cold, now):
            slots[data_centre] = slots.get(data_centre, 0.0) + upstream.row.n_slots
    return slots


def _update_service(
    host: DirectHost,
    name: str,
    spill: ServiceSpill,
    rows: list[ServiceLoad],
    traffic: ServiceTraffic,
    far_slots_max: float,
) -> None:
    slots = known_slots(host, name)
    update_service(
        spill,
        rows,
        (now_ns() - host.service_loads_ns) / 1e6,
        host.settings.data_centre,
        host.settings.regions,
        traffic,
        host.spill.routes.bound.get(name, {}),
        lambda data_centre: KNOWN_SLOTS_FACTOR * slots.get(data_centre, 0.0),
        far_slots_max,
    )
    for data_centre in host.evacuated:
        drop_share(spill.shares, data_centre)
    _log_changes(host, name, spill, far_slots_max)


def _log_changes(
    host: DirectHost, name: str, spill: ServiceSpill, far_slots_max: float
) -> None:
    loads = {place.data_centre: place for place in spill.places}
    own = loads.get(host.settings.data_centre)
    for data_centre, share, before in changes_to_log(spill.shares):
        other = loads.get(data_centre)
        log_routine(
            "spill share changed",
            service=name,
            to_data_centre=data_centre,
            share=round(share, 3),
            share_before=round(before, 3),
            share_wanted=round(spill.shares.wanted.get(data_centre, 0.0), 3),
            own_load=round(own.free_slots + own.bound_slots, 1) if own else -1,
            own_slots=round(own.n_slots, 1) if own else -1,
            load=round(other.free_slots + other.bound_slots, 1) if other else -1,
            slots=round(other.n_slots, 1) if other else -1,
            far_slots_max=round(far_slots_max, 1),
            age_ms=round(spill.loads.age_ms),
            is_evacuated=data_centre in host.evacuated,
        )


def _link_room_bytes_per_s(host: DirectHost) -> float:
    """Return the bytes a second that this region may get for spilled requests."""
    regions = host.settings.regions
    own_region_share = sum(
        region == host.settings.region for region in regions.values()
    ) / max(1, len(regions))
    n_far_bytes = host.metrics.payload_bytes["far", "answer"]
    spill = host.spill
    record_link_use(spill.link, n_far_bytes - spill.n_far_bytes, now_ns())
    return spill_room_bytes_per_s(spill.link, own_region_share * host.n_hosts_all)
