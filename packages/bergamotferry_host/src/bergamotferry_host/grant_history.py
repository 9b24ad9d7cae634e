"""Records when and why this host saw each grant committed, for operators' queries.

The tables contain no wall-clock time, because all replicas must have the same tables.
The history is one host's own observation: it is lost at a restart, and no decision
depends on it.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from bergamotferry.commands import (
    AssignDispatcher,
    Command,
    DropExceptions,
    GrantShards,
    MakeException,
)
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.records import ShardId

# Entries that are applied within this time after the start may be replayed ones.
REPLAY_PERIOD_S = 2.0

ApplyCommand = Callable[[Any, Command], Accepted | Refused]


class SeenGrant(NamedTuple):
    """A grant, the Unix time at which it was seen committed, and its reason.

    The time is 0 if the grant may be older than this process.
    """

    epoch: int
    seen_at_s: int
    reason: str


@dataclass(slots=True)
class GrantHistory:
    """The latest grant that this host saw of each shard."""

    grants: dict[ShardId, SeenGrant] = field(default_factory=dict)
    started_s: float = field(default_factory=time.monotonic)


def observe_grants(apply_command: ApplyCommand, history: GrantHistory) -> ApplyCommand:
    """Return an apply function that also records the grants it applies."""

    def apply_and_record(tables: Any, command: Command) -> Accepted | Refused:
        merged_homes = _homes_of_dropped_exceptions(tables, command)
        outcome = apply_command(tables, command)
        if isinstance(outcome, Refused):
            return outcome
        if isinstance(command, GrantShards):
            _record_granted(tables, command, history)
        elif isinstance(command, MakeException):
            reason = "a hot key of the home shard got a shard of its own"
            _record_shards(tables, (command.home, command.shard), reason, history)
        elif merged_homes:
            _record_shards(
                tables, merged_homes, "a key came back to the shard", history
            )
        return outcome

    return apply_and_record


def grant_reason(command: GrantShards | AssignDispatcher) -> str:
    """Return the reason of a grant or an assignment, in words for operators."""
    if isinstance(command, AssignDispatcher):
        return f"{command.upstream} had no serving dispatcher"
    return (
        f"the shard was free and {command.upstream} (incarnation "
        f"{command.incarnation}) had room by its slots"
    )


def _record_granted(tables: Any, command: GrantShards, history: GrantHistory) -> None:
    granted = [
        shard
        for shard in command.shards
        if shard in tables.grants and tables.grants[shard].upstream == command.upstream
    ]
    _record_shards(tables, granted, grant_reason(command), history)


def _record_shards(
    tables: Any, shards: Iterable[ShardId], reason: str, history: GrantHistory
) -> None:
    is_replay = time.monotonic() - history.started_s < REPLAY_PERIOD_S
    seen_at_s = 0 if is_replay else int(time.time())
    for shard in shards:
        grant = tables.grants.get(shard)
        recorded = history.grants.get(shard)
        if grant is not None and (recorded is None or recorded.epoch != grant.epoch):
            history.grants[shard] = SeenGrant(grant.epoch, seen_at_s, reason)


def _homes_of_dropped_exceptions(tables: Any, command: Command) -> list[ShardId]:
    if not isinstance(command, DropExceptions):
        return []
    exceptions = [tables.key_exceptions.get(shard) for shard in command.shards]
    return [exception.home for exception in exceptions if exception is not None]
