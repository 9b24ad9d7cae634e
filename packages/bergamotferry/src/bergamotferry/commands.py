"""Commands of a group's replicated log.

Applying a command is deterministic: the result depends only on the tables and the
command, so that every replica computes the same tables. Every command may be proposed
again without harm, because a proposer that received no reply cannot know whether the
command was committed.
"""

from typing import NamedTuple

from .fleet_commands import FleetCommand
from .records import OutcomeRecord, OutcomeState, ShardId


class Noop(NamedTuple):
    """Log entry without effect that a new leader commits.

    Committing it also commits every entry of earlier terms.
    """


class ApplyNote(NamedTuple):
    """Put a release note in force; ``content`` is its canonical JSON text."""

    number: int
    based_on: int
    content: str


class PlaceShards(NamedTuple):
    """Assign each shard that has no data centre to one."""

    shards: tuple[ShardId, ...]
    data_centres: tuple[str, ...]


class BeginHandover(NamedTuple):
    """Start the handover of a shard from its data centre to another one."""

    shard: ShardId
    epoch: int
    next_data_centre: str


class FinishHandover(NamedTuple):
    """Finish a handover: the old data centre's group has committed the release."""

    shard: ShardId
    epoch: int


class OpenSession(NamedTuple):
    """Open or update the session of an upstream's incarnation."""

    name: str
    service: str
    address: str
    incarnation: int
    n_slots: int
    max_connections: int
    checks_epochs: bool


class DrainSession(NamedTuple):
    """Give an incarnation no new requests: it is leaving, or its lease has expired.

    With ``is_expired`` the command applies only to the session that was opened under
    ``opened_epoch``.
    """

    name: str
    incarnation: int
    is_expired: bool
    opened_epoch: int = 0


class CloseSession(NamedTuple):
    """Close the session of an incarnation that left or whose lease has expired."""

    name: str
    incarnation: int
    reason: str
    opened_epoch: int


class GrantShards(NamedTuple):
    """Grant free shards to an upstream's incarnation, each under a new epoch."""

    upstream: str
    incarnation: int
    shards: tuple[ShardId, ...]
    home_epochs: tuple[int, ...]


class RevokeShards(NamedTuple):
    """Stop dispatch to shards, which become free when their release is confirmed."""

    shards: tuple[ShardId, ...]
    epochs: tuple[int, ...]


class ConfirmRelease(NamedTuple):
    """Free shards whose owner has released them or has lost its lease."""

    shards: tuple[ShardId, ...]
    epochs: tuple[int, ...]


class ReleaseHomes(NamedTuple):
    """Release shards from the data centre, under the epochs of their homes."""

    shards: tuple[ShardId, ...]
    home_epochs: tuple[int, ...]


class MakeException(NamedTuple):
    """Give a hot key a shard of its own, held at first by its home shard's owner.

    ``grant_epoch`` is the epoch of the home shard's grant, which gets a new epoch.
    """

    home: ShardId
    grant_epoch: int
    key_hash: int
    shard: ShardId
    rate_per_s: int


class EndExceptions(NamedTuple):
    """Revoke the shards of exceptions, to return the keys to their home shards."""

    shards: tuple[ShardId, ...]
    first_epochs: tuple[int, ...]


class DropExceptions(NamedTuple):
    """Remove exceptions whose shards are free; the keys return to their home shards."""

    shards: tuple[ShardId, ...]
    first_epochs: tuple[int, ...]


class RetireDispatcher(NamedTuple):
    """Stop a dispatcher from taking new requests, before another one is assigned."""

    upstream: str
    epoch: int


class AssignDispatcher(NamedTuple):
    """Make a host the dispatcher of an upstream.

    The command applies only while ``replaces_epoch`` is the epoch of the present
    dispatcher, or 0 if there is none.
    """

    upstream: str
    host: str
    replaces_epoch: int


class RecordIntent(NamedTuple):
    """Record that a non-idempotent request is about to be sent.

    The epochs identify the grant and the dispatcher under which the request will be
    sent, and ``attempt_id`` identifies the attempt.
    """

    account: str
    idempotency_key: str
    shard: ShardId
    request_sha256: str
    recorded_at_s: int
    attempt_id: str
    grant_epoch: int
    dispatcher_epoch: int


class RecordOutcome(NamedTuple):
    """Record the outcome of a request whose intent was recorded.

    A body over the limit is omitted; its size and SHA-256 are still recorded.
    """

    account: str
    idempotency_key: str
    state: OutcomeState
    status: int
    content_type: str
    body: bytes
    attempt_id: str
    size_bytes: int
    body_sha256: str


class ForgetIntent(NamedTuple):
    """Remove the intent of a request that was certainly not run, to allow a resend."""

    account: str
    idempotency_key: str
    request_sha256: str
    attempt_id: str


class ImportOutcomes(NamedTuple):
    """Import the outcomes of shards that were handed over to this data centre.

    ``shards`` are the shards whose import is complete with this command.
    """

    outcomes: tuple[OutcomeRecord, ...]
    shards: tuple[ShardId, ...]
    home_epochs: tuple[int, ...]


class RecordCrash(NamedTuple):
    """Record that an upstream ended while a request ran on it.

    ``is_alone`` is whether no other request was running there.
    """

    fingerprint: str
    service: str
    recorded_at_s: int
    upstream: str
    incarnation: int
    is_alone: bool


class ReleaseQuarantine(NamedTuple):
    """Let a quarantined request run again, by order of an operator or after a time."""

    fingerprint: str


GlobalCommand = Noop | ApplyNote | PlaceShards | BeginHandover | FinishHandover
DataCentreCommand = (
    Noop
    | OpenSession
    | DrainSession
    | CloseSession
    | GrantShards
    | RevokeShards
    | ConfirmRelease
    | ReleaseHomes
    | MakeException
    | EndExceptions
    | DropExceptions
    | RetireDispatcher
    | AssignDispatcher
    | RecordIntent
    | RecordOutcome
    | ForgetIntent
    | ImportOutcomes
    | RecordCrash
    | ReleaseQuarantine
)
Command = GlobalCommand | DataCentreCommand | FleetCommand
