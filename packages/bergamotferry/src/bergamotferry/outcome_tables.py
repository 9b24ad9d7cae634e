"""Records that ensure that each non-idempotent request runs at most once.

An intent is committed before the request is sent, under the epochs of the grant and the
dispatcher that will send it. The outcome is committed afterwards. If the dispatcher of
an intent has been replaced, the outcome is unknown and the request is never sent again.
An outcome that arrives late still replaces "unknown", because it is more precise.

Records are bounded by age, by number and by the total size of bodies. When the bodies
exceed their limit, the oldest bodies are removed first; their rows keep the size and
the digest.
"""

from typing import TYPE_CHECKING

from .commands import ForgetIntent, ImportOutcomes, RecordIntent, RecordOutcome
from .key_exceptions import grant_of_epoch
from .outcomes import Accepted, Refused
from .records import HOME_EPOCH_SHIFT, OutcomeRecord, ShardId
from .result_codes import ResultCode

if TYPE_CHECKING:
    from .data_centre_tables import DataCentreTables

N_OUTCOMES_MAX = 100_000
OUTCOME_BODY_MAX_BYTES = 4096
OUTCOME_BODIES_MAX_BYTES = 16 * 1024 * 1024
OUTCOME_RETENTION_S = 24 * 3600
FIRST_HOME_EPOCH = 1
_BODIES_LOW_WATERMARK_RATIO = 0.9


def record_intent(
    tables: "DataCentreTables", command: RecordIntent
) -> Accepted | Refused:
    """Record an intent, or answer from the record under its idempotency key.

    A recorded outcome is not returned; the host reads it from its own tables.

    Returns
    -------
    Accepted or Refused
        Accepted only if the attempt of this command may send the request.
    """
    key = (command.account, command.idempotency_key)
    known = tables.outcomes.get(key)
    if known is not None:
        return _answer_known_request(tables, known, command)
    if not _is_current_dispatcher(tables, command):
        return Refused(ResultCode.STALE_EPOCH, "the grant or dispatcher was replaced")
    if not has_imported_outcomes(
        tables, command.shard, command.grant_epoch >> HOME_EPOCH_SHIFT
    ):
        return Refused(ResultCode.NO_OWNER, "the shard's outcomes have not come yet")
    _expire_outcomes(tables, command.recorded_at_s)
    if len(tables.outcomes) >= N_OUTCOMES_MAX:
        return Refused(ResultCode.OUTCOME_STORE_FULL, "no room for another outcome")
    tables.outcomes[key] = OutcomeRecord(
        command.account,
        command.idempotency_key,
        command.shard,
        command.request_sha256,
        "intent",
        0,
        "",
        b"",
        command.recorded_at_s,
        command.attempt_id,
        command.grant_epoch,
        command.dispatcher_epoch,
        0,
        "",
    )
    return Accepted(tables.last_epoch)


def record_outcome(
    tables: "DataCentreTables", command: RecordOutcome
) -> Accepted | Refused:
    """Record the outcome of an attempt; a state of "done" is final.

    Refused as stale if the shard has been released meanwhile. Its next home may then
    have the record as "unknown", and needs this command too.
    """
    key = (command.account, command.idempotency_key)
    known = tables.outcomes.get(key)
    if known is None or known.attempt_id != command.attempt_id:
        return Refused(ResultCode.BAD_REQUEST, "no intent of this attempt is recorded")
    if known.state != "done":
        body = command.body if len(command.body) <= OUTCOME_BODY_MAX_BYTES else b""
        tables.outcomes[key] = known._replace(
            state=command.state,
            status=command.status,
            content_type=command.content_type,
            body=body,
            size_bytes=command.size_bytes,
            body_sha256=command.body_sha256,
        )
        tables.outcome_body_bytes += len(body)
        _evict_bodies(tables)
    return _accept_unless_released(tables, known)


def forget_intent(
    tables: "DataCentreTables", command: ForgetIntent
) -> Accepted | Refused:
    """Remove the intent of a request that was certainly not run.

    Refused as stale if the shard has been released meanwhile.
    """
    key = (command.account, command.idempotency_key)
    known = tables.outcomes.get(key)
    if known is not None and known.attempt_id == command.attempt_id:
        # A record in state "unknown" is removed too: other hosts don't know whether the
        # request ran, but the host of this attempt knows that it did not.
        if known.state != "done":
            del tables.outcomes[key]
        return _accept_unless_released(tables, known)
    return Accepted(tables.last_epoch)


def import_outcomes(
    tables: "DataCentreTables", command: ImportOutcomes
) -> Accepted | Refused:
    """Add the outcomes of shards that were handed over; keep records known here."""
    new = {
        (record.account, record.idempotency_key): record for record in command.outcomes
    }
    new = {key: record for key, record in new.items() if key not in tables.outcomes}
    if len(tables.outcomes) + len(new) > N_OUTCOMES_MAX:
        return Refused(ResultCode.OUTCOME_STORE_FULL, "no room for these outcomes")
    tables.outcomes.update(new)
    tables.outcome_body_bytes += sum(len(record.body) for record in new.values())
    _evict_bodies(tables)
    for shard, home_epoch in zip(command.shards, command.home_epochs, strict=True):
        known = tables.imported_homes.get(shard, 0)
        tables.imported_homes[shard] = max(known, home_epoch)
    return Accepted(tables.last_epoch)


def has_imported_outcomes(
    tables: "DataCentreTables", shard: ShardId, home_epoch: int
) -> bool:
    """Return whether the outcomes of a shard's earlier homes have been imported.

    Before the import, a request that ran at an earlier home could run again here.
    """
    if home_epoch <= FIRST_HOME_EPOCH:
        return True
    return tables.imported_homes.get(shard, 0) >= home_epoch


def is_body_complete(record: OutcomeRecord) -> bool:
    """Return whether the recorded body is complete, so that it can be replayed."""
    return len(record.body) == record.size_bytes


def _accept_unless_released(
    tables: "DataCentreTables", record: OutcomeRecord
) -> Accepted | Refused:
    released_epoch = tables.released_homes.get(record.shard)
    home_epoch = record.grant_epoch >> HOME_EPOCH_SHIFT
    if released_epoch is not None and released_epoch >= home_epoch:
        return Refused(ResultCode.STALE_EPOCH, "the shard has been released")
    return Accepted(tables.last_epoch)


def _answer_known_request(
    tables: "DataCentreTables", known: OutcomeRecord, command: RecordIntent
) -> Accepted | Refused:
    if known.request_sha256 != command.request_sha256:
        return Refused(
            ResultCode.IDEMPOTENCY_KEY_REUSED, "the key names another request"
        )
    if known.state != "intent":
        return Refused(ResultCode.OUTCOME_PENDING, "the request was sent before")
    if known.attempt_id == command.attempt_id:
        return Accepted(tables.last_epoch)
    epochs = (command.grant_epoch, command.dispatcher_epoch)
    if _is_current_dispatcher(tables, command) and epochs > (
        known.grant_epoch,
        known.dispatcher_epoch,
    ):
        # The intent's grant or dispatcher was replaced, so no host may send the request
        # any more.
        key = (known.account, known.idempotency_key)
        tables.outcomes[key] = known._replace(state="unknown")
        return Refused(ResultCode.OUTCOME_UNKNOWN, "it may have run; not run again")
    return Refused(ResultCode.OUTCOME_PENDING, "the request was sent before")


def _is_current_dispatcher(tables: "DataCentreTables", command: RecordIntent) -> bool:
    # An intent names the home shard even if its key has an exception.
    grant = grant_of_epoch(tables, command.shard, command.grant_epoch)
    if grant is None or grant.state != "held":
        return False
    dispatcher = tables.dispatchers.get(grant.upstream)
    return dispatcher is not None and dispatcher.epoch == command.dispatcher_epoch


def _expire_outcomes(tables: "DataCentreTables", now_s: int) -> None:
    # Records are in the order in which they were added. An imported record may be older
    # than the records before it, and is then removed only after them.
    while tables.outcomes:
        key, record = next(iter(tables.outcomes.items()))
        if record.recorded_at_s + OUTCOME_RETENTION_S > now_s:
            return
        tables.outcome_body_bytes -= len(record.body)
        del tables.outcomes[key]


def _evict_bodies(tables: "DataCentreTables") -> None:
    if tables.outcome_body_bytes <= OUTCOME_BODIES_MAX_BYTES:
        return
    for key, record in tables.outcomes.items():
        if (
            tables.outcome_body_bytes
            <= _BODIES_LOW_WATERMARK_RATIO * OUTCOME_BODIES_MAX_BYTES
        ):
            return
        tables.outcomes[key] = record._replace(body=b"")
        tables.outcome_body_bytes -= len(record.body)
