"""Remembers when and why this host saw each grant committed, for operators who ask.

The tables hold no time of day, because replicas must agree on them. This is one host's
own observation: it is lost at a restart, and nothing is decided by it.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from bergamotferry.commands import AssignDispatcher, Command, GrantShards
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
        outcome = apply_command(tables, command)
        if isinstance(command, GrantShards) and isinstance(outcome, Accepted):
            _note_grants(tables, command, history)
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
    is_replay = time.monotonic() - history.started_s < REPLAY_PERIOD_S
    seen_at_s = 0 if is_replay else int(time.time())
    for shard in command.shards:
        grant = tables.grants.get(shard)
        known = history.grants.get(shard)
        if grant is None or grant.upstream != command.upstream:
            continue
        if known is None or known.epoch != grant.epoch:
            reason = grant_reason(command)
            history.grants[shard] = SeenGrant(grant.epoch, seen_at_s, reason)
