"""How many slots of usual speed the upstreams of a service have in a data centre.

The result is compared with the work that arrives, at loads around the capacity of a
service. Upstreams that are ready count with their slots, weighted by their speed. A
cold upstream takes few requests a second, so it counts as the slots that these keep
busy; right after a power loss all upstreams are cold. An evacuated data centre has no
slots.
"""

from collections.abc import Collection, Iterable, Mapping

from ..configuration import DirectService
from ..upstream_sessions import Session

NS_PER_MS = 1_000_000

PlaceKey = tuple[str, str]


def usual_slots(
    sessions: Iterable[Session],
    services: Mapping[str, DirectService],
    evacuated: Collection[str],
    work_ms: Mapping[str, float],
    relative_work_times: Mapping[str, float],
    now_ns: int,
) -> dict[PlaceKey, float]:
    """Return the slots of usual speed by service and data centre.

    Parameters
    ----------
    sessions : iterable of Session
        All known upstreams.
    services : mapping of str to DirectService
        Services of the configuration; upstreams of others are left out.
    evacuated : collection of str
        Evacuated data centres.
    work_ms : mapping of str to float
        Mean work of a request by service; if it is not known, all slots count.
    relative_work_times : mapping of str to float
        Relative work times by upstream; 1 if it is not known.
    now_ns : int
        Current time in nanoseconds.
    """
    slots: dict[PlaceKey, float] = {}
    for session in sessions:
        row = session.row
        service = services.get(row.service)
        if service is None or row.phase != "ready" or row.data_centre in evacuated:
            continue
        n_slots = row.n_slots / relative_work_times.get(row.name, 1.0)
        if _is_cold(session, now_ns) and row.service in work_ms:
            n_slots = min(n_slots, service.cold_per_s * work_ms[row.service] / 1000)
        place = row.service, row.data_centre
        slots[place] = slots.get(place, 0.0) + n_slots
    return slots


def _is_cold(session: Session, now_ns: int) -> bool:
    heard_ms_ago = (now_ns - session.last_contact_ns) / NS_PER_MS
    return session.row.cold_left_ms > heard_ms_ago
