"""The shares of a service's requests that one data centre sends to each other one.

The load is one that changes within seconds, seen in rows that are a second old. A share
rises in small steps, so that it follows a lack of slots that lasts and not each swing,
and falls faster. A flow that is too small to matter starts no share. Without current
rows every share goes back to nothing.

Besides its share, a data centre has room elsewhere for single requests that find no
slot at home (`search`). All hosts that may use the room of a data centre divide it by
drawing lots: a request that draws no place stays at home or near it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

from .plan import SpillPlan

# Largest change of a share at one update, twice a second.
STEP_UP = 0.03
STEP_DOWN = 0.2
# A smaller share is not worth to begin with.
START_SHARE = 0.03
# A share that has fallen below this has ended.
END_SHARE = 0.005
# Load of a host's own data centre, as a share of its slots, below which a row is not
# believed when the room elsewhere is divided: a host that uses the room lacks slots.
BELIEVED_LOAD_MIN = 0.5
# A change of this size is worth a line in the log.
LOGGED_CHANGE = 0.1

DrawKind = Literal["home", "planned", "overflow"]


class Draw(NamedTuple):
    """What one request has drawn: it leaves, may leave, or stays at home."""

    kind: DrawKind
    data_centre: str = ""


@dataclass(slots=True)
class ServiceShares:
    """Shares of one service by other data centre, as of the last update.

    ``planned`` is the share that leaves, and ``wanted`` the share that it moves
    towards. ``overflow`` is the share that may leave if it finds no slot at home.
    ``room`` is the load that each data centre may still get. ``is_current`` is whether
    the rows are recent. ``logged`` is the share at the last line in the log.
    """

    planned: dict[str, float] = field(default_factory=dict)
    wanted: dict[str, float] = field(default_factory=dict)
    overflow: dict[str, float] = field(default_factory=dict)
    room: dict[str, float] = field(default_factory=dict)
    is_current: bool = False
    logged: dict[str, float] = field(default_factory=dict)


def update_shares(
    shares: ServiceShares,
    plan: SpillPlan | None,
    own: str,
    offered_slots: float,
    n_slots: float,
) -> None:
    """Move the shares by one step towards a plan.

    Parameters
    ----------
    shares : ServiceShares
        Updated in place.
    plan : SpillPlan or None
        The plan of the newest rows; None if they are too old.
    own : str
        This host's data centre.
    offered_slots : float
        Load of its callers that may leave, in slots.
    n_slots : float
        Slots of its upstreams.
    """
    shares.is_current = plan is not None
    wanted: dict[str, float] = {}
    room: dict[str, float] = {}
    if plan is not None:
        room = {name: slots for name, slots in plan.room.items() if name != own}
        wanted = {
            target: min(1.0, flow / offered_slots)
            for (source, target), flow in plan.flows.items()
            if source == own
        }
    shares.wanted, shares.room = wanted, room
    shares.planned = {
        name: share
        for name in sorted(shares.planned.keys() | wanted.keys())
        if (share := _stepped(shares.planned.get(name, 0.0), wanted.get(name, 0.0)))
    }
    n_sharing = plan.n_sharing if plan is not None else 1
    believed_slots = max(offered_slots, BELIEVED_LOAD_MIN * n_slots, 0.001)
    shares.overflow = {
        name: max(0.0, wanted.get(name, 0.0) - shares.planned.get(name, 0.0))
        + slots / n_sharing / believed_slots
        for name, slots in room.items()
    }


def drop_share(shares: ServiceShares, data_centre: str) -> None:
    """End a share at once, since the rules no longer allow its data centre."""
    for by_name in (shares.planned, shares.wanted, shares.overflow, shares.room):
        by_name.pop(data_centre, None)


def draw_place(shares: ServiceShares, fraction: float) -> Draw:
    """Return what a request draws.

    Parameters
    ----------
    shares : ServiceShares
        Shares of the request's service.
    fraction : float
        Random number from 0 to 1, 1 excluded.
    """
    for name, share in shares.planned.items():
        if fraction < share:
            return Draw("planned", name)
        fraction -= share
    for name, share in shares.overflow.items():
        if fraction < share:
            return Draw("overflow", name)
        fraction -= share
    return Draw("home")


def changes_to_log(shares: ServiceShares) -> Iterator[tuple[str, float, float]]:
    """Yield the data centres whose share has changed, with the share logged before.

    These are shares that begin, end, or have changed by `LOGGED_CHANGE`.
    """
    for name in sorted(shares.planned.keys() | shares.logged.keys()):
        share, before = shares.planned.get(name, 0.0), shares.logged.get(name, 0.0)
        begins_or_ends = (share > 0) != (before > 0)
        if begins_or_ends or abs(share - before) >= LOGGED_CHANGE:
            yield name, share, before
            shares.logged[name] = share
    shares.logged = {name: share for name, share in shares.logged.items() if share > 0}


def _stepped(share: float, wanted: float) -> float:
    """Return a share after one step; 0 if there is none."""
    if share == 0.0 and wanted < START_SHARE:
        return 0.0
    stepped = share + max(-STEP_DOWN, min(STEP_UP, wanted - share))
    return stepped if stepped >= END_SHARE else 0.0
