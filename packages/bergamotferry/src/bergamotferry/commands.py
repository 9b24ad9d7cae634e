"""Commands that a group's replicated log carries.

Applying a command is deterministic: it depends on the tables and on the command alone,
so that every replica comes to the same tables. Every command may be sent again without
harm, since a proposer that lost the answer can't know whether it was committed.
"""

from typing import NamedTuple

from .fleet_commands import FleetCommand
from .records import OutcomeRecord, OutcomeState, ShardId


class Noop(NamedTuple):
    """Committed by a new leader to learn how far its predecessor came."""


class ApplyNote(NamedTuple):
    """Accept a release note; ``content`` is its canonical JSON text."""

    number: int
    based_on: int
    content: str


class PlaceShards(NamedTuple):
    """Give shards that have no data centre one each."""

    shards: tuple[ShardId, ...]
    data_centres: tuple[str, ...]


class BeginHandover(NamedTuple):
    """Ask the data centre that holds a shard to release it to another."""

    shard: ShardId
    epoch: int
    next_data_centre: str


class FinishHandover(NamedTuple):
    """The old data centre's group has committed the release of a shard."""

    shard: ShardId
    epoch: int


class OpenSession(NamedTuple):
    """Open or refresh the session of an upstream's incarnation."""

    name: str
    service: str
    address: str
    incarnation: int
    n_slots: int
    max_connections: int
    checks_epochs: bool


class DrainSession(NamedTuple):
    """No new work for this incarnation: it leaves, or its lease has run out.

    With ``is_expired`` it holds for one opening of the session only.
    """

    name: str
    incarnation: int
    is_expired: bool
    opened_epoch: int = 0


class CloseSession(NamedTuple):
    """The incarnation is gone: it left, or its lease has run out."""

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
    """Stop dispatch for shards; they are free once their release is confirmed."""

    shards: tuple[ShardId, ...]
    epochs: tuple[int, ...]


class ConfirmRelease(NamedTuple):
    """The owner gave the shards back, or its lease has run out."""

    shards: tuple[ShardId, ...]
    epochs: tuple[int, ...]


class ReleaseHomes(NamedTuple):
    """The data centre gives up shards for good, under the epochs of their homes."""

    shards: tuple[ShardId, ...]
    home_epochs: tuple[int, ...]


class MakeException(NamedTuple):
    """Give a hot key a shard of its own, held at first by its home shard's owner.

    ``grant_epoch`` is that of the home shard's grant, which gets a new one.
    """

    home: ShardId
    grant_epoch: int
    key_hash: int
    shard: ShardId
    rate_per_s: int


class EndExceptions(NamedTuple):
    """Revoke shards of single keys, so that the keys go back to their home shards."""

    shards: tuple[ShardId, ...]
    first_epochs: tuple[int, ...]


class DropExceptions(NamedTuple):
    """Give keys whose own shards are free back to their home shards."""

    shards: tuple[ShardId, ...]
    first_epochs: tuple[int, ...]


class RetireDispatcher(NamedTuple):
    """The dispatcher takes no new work, so that another may be assigned."""

    upstream: str
    epoch: int


class AssignDispatcher(NamedTuple):
    """Make a host the dispatcher of an upstream, if ``replaces_epoch`` still holds."""

    upstream: str
    host: str
    replaces_epoch: int


class RecordIntent(NamedTuple):
    """Record that a non-idempotent request is about to be sent.

    The epochs name the dispatcher that will send it, and ``attempt_id`` its one try.
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
    """Record what became of a request whose intent was recorded.

    A body over the limit is left out; its size and SHA-256 are recorded all the same.
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
    """Drop an intent whose request was certainly not run, so that it may come again."""

    account: str
    idempotency_key: str
    request_sha256: str
    attempt_id: str


class ImportOutcomes(NamedTuple):
    """Take over the outcomes of shards that were handed to this data centre.

    ``shards`` names those of which all outcomes have now come.
    """

    outcomes: tuple[OutcomeRecord, ...]
    shards: tuple[ShardId, ...]
    home_epochs: tuple[int, ...]


class RecordCrash(NamedTuple):
    """An upstream ended while this request ran on it, alone or beside others."""

    fingerprint: str
    service: str
    recorded_at_s: int
    upstream: str
    incarnation: int
    is_alone: bool


class ReleaseQuarantine(NamedTuple):
    """An operator, or time, lets a request run again."""

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
