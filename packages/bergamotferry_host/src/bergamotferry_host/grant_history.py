"""Remembers when and why this host saw each grant committed, for operators who ask.

The tables hold no time of day, because replicas must agree on them. This is one host's
own observation: it is lost at a restart, and nothing is decided by it.
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

# Entries that come this soon after the start may be old ones, read again.
REPLAY_PERIOD_S = 2.0

ApplyCommand = Callable[[Any, Command], Accepted | Refused]


class SeenGrant(NamedTuple):
    """When a grant was seen committed; 0 if it may be older than this process."""

    epoch: int
    seen_at_s: int
    reason: str


@dataclass(slots=True)
class GrantHistory:
    """The latest grant seen of each shard."""

    grants: dict[ShardId, SeenGrant] = field(default_factory=dict)
    started_s: float = field(default_factory=time.monotonic)


def observe_grants(apply_command: ApplyCommand, history: GrantHistory) -> ApplyCommand:
    """Return an apply function that also notes the grants it applies."""

    def apply_and_note(tables: Any, command: Command) -> Accepted | Refused:
        homes = _homes_coming_back(tables, command)
        outcome = apply_command(tables, command)
        if isinstance(outcome, Refused):
            return outcome
        if isinstance(command, GrantShards):
            _note_grants(tables, command, history)
        elif isinstance(command, MakeException):
            reason = "a hot key of the home shard got a shard of its own"
            _note(tables, (command.home, command.shard), reason, history)
        elif homes:
            _note(tables, homes, "a key came back to the shard", history)
        return outcome

    return apply_and_note


def grant_reason(command: GrantShards | AssignDispatcher) -> str:
    """Return in words why a command was committed."""
    if isinstance(command, AssignDispatcher):
        return f"{command.upstream} had no serving dispatcher"
    return (
        f"the shard was free and {command.upstream} (incarnation "
        f"{command.incarnation}) had room by its slots"
    )


def _note_grants(tables: Any, command: GrantShards, history: GrantHistory) -> None:
    mine = [
        shard
        for shard in command.shards
        if shard in tables.grants and tables.grants[shard].upstream == command.upstream
    ]
    _note(tables, mine, grant_reason(command), history)


def _note(
    tables: Any, shards: Iterable[ShardId], reason: str, history: GrantHistory
) -> None:
    is_replay = time.monotonic() - history.started_s < REPLAY_PERIOD_S
    seen_at_s = 0 if is_replay else int(time.time())
    for shard in shards:
        grant = tables.grants.get(shard)
        known = history.grants.get(shard)
        if grant is not None and (known is None or known.epoch != grant.epoch):
            history.grants[shard] = SeenGrant(grant.epoch, seen_at_s, reason)


def _homes_coming_back(tables: Any, command: Command) -> list[ShardId]:
    if not isinstance(command, DropExceptions):
        return []
    rows = [tables.key_exceptions.get(shard) for shard in command.shards]
    return [row.home for row in rows if row is not None]
