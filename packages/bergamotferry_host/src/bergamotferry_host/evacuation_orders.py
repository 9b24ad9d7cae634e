"""Takes operators' orders to evacuate a data centre, and to end its evacuation.

Each order gets a number of its own, so that the lines of the host that took it and of
the leader that committed or refused it can be put together.
"""

from bergamotferry.fleet_commands import SetEvacuation
from bergamotferry.messages import OrderOrigin
from bergamotferry.outcomes import Accepted, Refused, result_code

from .clock import now_ns, time_of_day_ms
from .fleet_control import ControlHost, commit_and_count
from .logs import log


async def set_evacuation(
    host: ControlHost, data_centre: str, is_evacuated: bool
) -> Accepted | Refused:
    """Commit the start or the end of the evacuation of a data centre."""
    taken_ns = now_ns()
    origin = _take_order(host)
    command = SetEvacuation(data_centre, is_evacuated)
    outcome = await commit_and_count(host, command, origin)
    log(
        "evacuation ordered",
        order=origin.order_id,
        evacuation_of=data_centre,
        is_evacuated=is_evacuated,
        read_revision=origin.read_revision,
        revision=outcome.revision if isinstance(outcome, Accepted) else 0,
        waited_ms=(now_ns() - taken_ns) // 1_000_000,
        code=result_code(outcome),
    )
    return outcome


def _take_order(host: ControlHost) -> OrderOrigin:
    """Return the origin of an order that this host takes now."""
    return OrderOrigin(
        f"{host.process_id}-{next(host.order_numbers)}",
        host.settings.name,
        host.tables.revision,
        time_of_day_ms(),
    )
