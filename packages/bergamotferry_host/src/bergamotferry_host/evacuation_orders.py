"""Takes operators' orders to evacuate a data centre, and to end its evacuation.

An order that its sender has given up on must not undo a later one. This host can know
of that only while the order is in its own connection: if the sender has closed it, also
if the end comes a moment after the order, or if this host was suspended (see
`suspension`). From there on the order may wait for any time, so it names what this host
had read as it took the order, and the leader refuses it if it would undo what was
ordered since (see `order_conflicts`).

Each order gets a number of its own, so that the lines of the host that took it and of
the leader that committed or refused it can be put together.
"""

import asyncio
from collections.abc import Callable

from bergamotferry.fleet_commands import SetEvacuation
from bergamotferry.messages import OrderOrigin
from bergamotferry.outcomes import Accepted, Refused, result_code
from bergamotferry.result_codes import ResultCode

from .clock import now_ns, time_of_day_ms
from .fleet_control import ControlHost, commit_and_count, refuse_if_suspended
from .logs import log

# The end of a connection comes right behind an order that waited with it.
SENDER_END_WAIT_S = 0.05


async def set_evacuation(
    host: ControlHost,
    data_centre: str,
    is_evacuated: bool,
    has_sender_left: Callable[[], bool],
) -> Accepted | Refused:
    """Commit the start or the end of the evacuation of a data centre.

    Parameters
    ----------
    host : ControlHost
        This host.
    data_centre : str
        Name of the data centre.
    is_evacuated : bool
        Whether the data centre is to be evacuated.
    has_sender_left : callable
        Returns whether the sender of the order has closed its connection by now.

    Returns
    -------
    Accepted or Refused
        Refused if the order is abandoned, or if a later one that this host had not read
        demands something else; a fresh order is then taken once this host has read it.
        After ``NO_LEADER`` the order may or may not be committed.
    """
    taken_ns = now_ns()
    origin = _take_order(host)
    outcome: Accepted | Refused | None = await _refuse_if_abandoned(
        host, has_sender_left
    )
    if outcome is None:
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


async def _refuse_if_abandoned(
    host: ControlHost, has_sender_left: Callable[[], bool]
) -> Refused | None:
    """Refuse an order whose sender is known to have left, or may have."""
    refusal = refuse_if_suspended(host)
    if refusal is not None:
        return refusal
    await asyncio.sleep(SENDER_END_WAIT_S)
    if has_sender_left():
        return Refused(ResultCode.CALLER_GONE, "the sender of the order has left")
    return None


def _take_order(host: ControlHost) -> OrderOrigin:
    """Return the origin of an order that this host takes now."""
    return OrderOrigin(
        f"{host.process_id}-{next(host.order_numbers)}",
        host.settings.name,
        host.tables.revision,
        time_of_day_ms(),
    )
