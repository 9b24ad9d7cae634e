"""Commands of the fleet group, the only replicated log of a direct-mode deployment.

Like all commands, they are deterministic and idempotent.
"""

from typing import Literal, NamedTuple

LeavingState = Literal["draining", "gone"]
# Start time in the retirement of an upstream that no control host knew.
UNKNOWN_BORN_MS = 0


class SetConfiguration(NamedTuple):
    """Put a whole configuration in force if its version is above the present one.

    ``source`` is the operator's text, compressed; reads return the text unchanged.
    """

    version: int
    source: bytes


class SetEvacuation(NamedTuple):
    """Begin or end the evacuation of a data centre."""

    data_centre: str
    is_evacuated: bool


class RetireUpstream(NamedTuple):
    """Record that an incarnation of an upstream leaves, which is final.

    State "gone" is the leave that an upstream sends. It names no incarnation, so
    ``born_ms`` is the newest one that a control host knew, or `UNKNOWN_BORN_MS`, and
    the leave also binds hosts that know another one.
    """

    name: str
    born_ms: int
    state: LeavingState


class AssignRange(NamedTuple):
    """Assign a range of keys, both ends included, to an incarnation of an upstream.

    The revision at which the command is applied becomes the fencing token of the range,
    so tokens only rise. ``previous_token`` is the token of the assignment that this one
    replaces, or 0 if there is none. Of two assignments that were planned from the same
    state, only the first takes effect.
    """

    service: str
    first_key: int
    last_key: int
    upstream: str
    born_ms: int
    address: str
    handover: str
    previous_token: int


class SplitRange(NamedTuple):
    """Split a range into parts that can move separately; holder and token stay.

    ``first_keys`` are the first keys of the second and all later parts, in order.
    """

    service: str
    first_key: int
    last_key: int
    token: int
    first_keys: tuple[int, ...]


class JoinRanges(NamedTuple):
    """Join two neighbouring ranges of one holder into one range with a new token."""

    service: str
    first_key: int
    token: int
    upper_first_key: int
    upper_token: int


FleetCommand = (
    SetConfiguration
    | SetEvacuation
    | RetireUpstream
    | AssignRange
    | SplitRange
    | JoinRanges
)
