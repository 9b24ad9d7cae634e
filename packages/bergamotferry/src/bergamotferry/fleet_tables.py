"""Replicated tables of the fleet group: the state that must survive tolerated failures.

The tables hold the configuration, the evacuations, the incarnations of upstreams that
leave, and the holder and fencing token of each key range. All else that upstreams
report about themselves is soft state, see `upstream_sessions`.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from .commands import Command
from .fleet_commands import (
    AssignRange,
    JoinRanges,
    LeavingState,
    RetireUpstream,
    SetConfiguration,
    SetEvacuation,
    SplitRange,
)
from .outcomes import Accepted, Refused
from .result_codes import ResultCode

# Retired incarnations are kept so that their late messages don't revive them. Beyond
# this number the oldest are dropped.
N_RETIRED_MAX = 4096


class KeyRange(NamedTuple):
    """Keys assigned to one incarnation of an upstream, both ends included.

    ``handover`` is the text that the previous holder returned with its release, for the
    new holder; it is empty if there is none.
    """

    service: str
    first_key: int
    last_key: int
    upstream: str
    born_ms: int
    address: str
    token: int
    handover: str


class Retired(NamedTuple):
    """An incarnation of an upstream that has announced that it leaves.

    With `UNKNOWN_BORN_MS` of `fleet_commands` it is one that control did not know.
    """

    name: str
    born_ms: int
    state: LeavingState


@dataclass(slots=True)
class FleetTables:
    """Replicated state of the fleet group; ``revision`` counts applied commands.

    ``configuration_source`` is compressed, see `configuration_text`. ``split_at`` maps
    a range to the revision of its last split, if it was split under its present token.
    ``retired_at`` has, for each key of ``retired``, the revision that recorded it last.
    ``evacuations_ordered_at`` has the revision of the last order on each data centre,
    also if it changed nothing. ``first_known_revision`` is the revision after which
    these are recorded: snapshots of older versions have none.
    """

    revision: int = 0
    configuration_version: int = 0
    configuration_source: bytes = b""
    evacuated: set[str] = field(default_factory=set)
    evacuations_ordered_at: dict[str, int] = field(default_factory=dict)
    first_known_revision: int | None = None
    retired: dict[str, Retired] = field(default_factory=dict)
    retired_at: dict[str, int] = field(default_factory=dict)
    ranges: dict[str, KeyRange] = field(default_factory=dict)
    split_at: dict[str, int] = field(default_factory=dict)


def apply_fleet_command(tables: FleetTables, command: Command) -> Accepted | Refused:
    """Apply a committed command to the tables and return its outcome."""
    if tables.first_known_revision is None:
        tables.first_known_revision = tables.revision
    tables.revision += 1
    match command:
        case SetConfiguration():
            if command.version > tables.configuration_version:
                tables.configuration_version = command.version
                tables.configuration_source = command.source
        case SetEvacuation(data_centre, is_evacuated):
            tables.evacuations_ordered_at[data_centre] = tables.revision
            if is_evacuated:
                tables.evacuated.add(data_centre)
            else:
                tables.evacuated.discard(data_centre)
        case RetireUpstream():
            _retire(tables, command)
        case AssignRange():
            return _assign(tables, command)
        case SplitRange():
            return _split(tables, command)
        case JoinRanges():
            return _join(tables, command)
    return Accepted(tables.revision)


def evacuation_ordered_at(tables: FleetTables, data_centre: str) -> int:
    """Return the revision of the last order to evacuate a data centre or to end that.

    If the tables hold no order on it, it is the revision after which they hold all.
    """
    first_known_revision = tables.first_known_revision
    if first_known_revision is None:
        first_known_revision = tables.revision
    return tables.evacuations_ordered_at.get(data_centre, first_known_revision)


def find_retired(tables: FleetTables, name: str, born_ms: int) -> Retired | None:
    """Return the record that an incarnation leaves, or None if there is none."""
    return tables.retired.get(_incarnation_key(name, born_ms))


def retired_after(tables: FleetTables, revision: int) -> tuple[Retired, ...]:
    """Return the incarnations that were retired after a revision, in log order."""
    recent: list[Retired] = []
    for key in reversed(tables.retired_at):
        if tables.retired_at[key] <= revision:
            break
        recent.append(tables.retired[key])
    return tuple(reversed(recent))


def range_key(service: str, first_key: int) -> str:
    """Return the key of a range in ``FleetTables.ranges``."""
    return f"{service}\x00{first_key:05}"


def ranges_after(tables: FleetTables, revision: int) -> tuple[KeyRange, ...]:
    """Return the ranges that were assigned, split or joined after a revision."""
    return tuple(
        key_range
        for key, key_range in tables.ranges.items()
        if max(key_range.token, tables.split_at.get(key, 0)) > revision
    )


def _incarnation_key(name: str, born_ms: int) -> str:
    return f"{name}\x00{born_ms}"


def _retire(tables: FleetTables, command: RetireUpstream) -> None:
    key = _incarnation_key(command.name, command.born_ms)
    known = tables.retired.get(key)
    if known is not None and known.state == "gone" and command.state != "gone":
        return
    # Both are in the order of the last retirement, the oldest first.
    tables.retired.pop(key, None)
    tables.retired_at.pop(key, None)
    tables.retired[key] = Retired(command.name, command.born_ms, command.state)
    tables.retired_at[key] = tables.revision
    if len(tables.retired) > N_RETIRED_MAX:
        oldest = next(iter(tables.retired))
        del tables.retired[oldest]
        tables.retired_at.pop(oldest, None)


def _assign(tables: FleetTables, command: AssignRange) -> Accepted | Refused:
    key = range_key(command.service, command.first_key)
    known = tables.ranges.get(key)
    known_token = known.token if known is not None else 0
    if known_token != command.previous_token:
        if known is not None and known[1:6] == command[1:6]:
            # The proposer received no reply and proposed the command again.
            return Accepted(known.token)
        return Refused(ResultCode.STALE_EPOCH, "the range was assigned since")
    if _overlaps_others(tables, command, known):
        return Refused(ResultCode.STALE_EPOCH, "the range was split since")
    token = tables.revision
    tables.split_at.pop(key, None)
    tables.ranges[key] = KeyRange(
        command.service,
        command.first_key,
        command.last_key,
        command.upstream,
        command.born_ms,
        command.address,
        token,
        command.handover,
    )
    return Accepted(token)


def _overlaps_others(
    tables: FleetTables, command: AssignRange, known: KeyRange | None
) -> bool:
    """Return whether an assignment covers other keys than the range it replaces.

    An assignment that replaces no range must not overlap any.
    """
    if known is not None:
        return known.last_key != command.last_key
    return any(
        key_range.service == command.service
        and key_range.first_key <= command.last_key
        and command.first_key <= key_range.last_key
        for key_range in tables.ranges.values()
    )


def _split(tables: FleetTables, command: SplitRange) -> Accepted | Refused:
    service, first_key, last_key, token, first_keys = command
    starts = (first_key, *first_keys)
    ends = (*(start - 1 for start in first_keys), last_key)
    key_range = tables.ranges.get(range_key(service, first_key))
    is_token_current = key_range is not None and key_range.token == token
    if key_range is None or not is_token_current or list(starts) != sorted(set(starts)):
        return Refused(ResultCode.STALE_EPOCH, "the range was assigned since")
    if key_range.last_key != last_key:
        parts = [tables.ranges.get(range_key(service, start)) for start in starts]
        if [part and (part.token, part.last_key) for part in parts] == [
            (token, end) for end in ends
        ]:
            # The proposer received no reply and proposed the command again.
            return Accepted(tables.revision)
        return Refused(ResultCode.STALE_EPOCH, "the range was split since")
    if ends[-2:-1] and ends[-2] >= last_key:
        return Refused(ResultCode.STALE_EPOCH, "no key is left for the last part")
    for start, end in zip(starts, ends, strict=True):
        key = range_key(service, start)
        tables.ranges[key] = key_range._replace(first_key=start, last_key=end)
        tables.split_at[key] = tables.revision
    return Accepted(tables.revision)


def _join(tables: FleetTables, command: JoinRanges) -> Accepted | Refused:
    key = range_key(command.service, command.first_key)
    upper_key = range_key(command.service, command.upper_first_key)
    lower, upper = tables.ranges.get(key), tables.ranges.get(upper_key)
    is_unchanged = (
        lower is not None
        and upper is not None
        and (lower.token, upper.token) == (command.token, command.upper_token)
        and lower.last_key + 1 == upper.first_key
        and (lower.upstream, lower.born_ms) == (upper.upstream, upper.born_ms)
    )
    if lower is None or upper is None or not is_unchanged:
        return Refused(ResultCode.STALE_EPOCH, "the ranges changed since")
    del tables.ranges[upper_key]
    for joined_key in (key, upper_key):
        tables.split_at.pop(joined_key, None)
    tables.ranges[key] = lower._replace(
        last_key=upper.last_key, token=tables.revision, handover=""
    )
    return Accepted(tables.revision)
