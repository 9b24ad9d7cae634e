"""Tests which commands about exceptions the tables accept and refuse."""

import pytest

from bergamotferry.commands import (
    AssignDispatcher,
    DropExceptions,
    EndExceptions,
    GrantShards,
    MakeException,
    OpenSession,
    RecordIntent,
    RecordOutcome,
    ReleaseHomes,
    RevokeShards,
)
from bergamotferry.data_centre_tables import DataCentreTables, apply_data_centre_command
from bergamotferry.key_exceptions import (
    N_EXCEPTIONS_MAX,
    exception_shard,
    release_fence,
    shard_in_force,
)
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.records import HOME_EPOCH_SHIFT, ShardId
from bergamotferry.result_codes import ResultCode as Code
from bergamotferry.shards import hash_key

HOME = ShardId("log", "", 1)
KEY_HASH = hash_key("log", "", "hot")
EXCEPTION_SHARD = exception_shard(HOME, 4, 0)


def _tables() -> DataCentreTables:
    tables = DataCentreTables()
    for name in ("u1", "u2"):
        _apply(tables, OpenSession(name, "log", f"{name}:1", 1, 2, 9, True))
        _apply(tables, AssignDispatcher(name, "h1", 0))
    _apply(tables, GrantShards("u1", 1, (HOME,), (3,)))
    return tables


def _apply(tables: DataCentreTables, command) -> Accepted | Refused:
    return apply_data_centre_command(tables, command)


def _make_exception(
    tables: DataCentreTables, key_hash: int = KEY_HASH, shard: ShardId = EXCEPTION_SHARD
):
    epoch = tables.grants[HOME].epoch
    return _apply(tables, MakeException(HOME, epoch, key_hash, shard, 30))


def _end_exceptions(tables: DataCentreTables) -> DropExceptions:
    shards_and_epochs = (
        (EXCEPTION_SHARD,),
        (tables.key_exceptions[EXCEPTION_SHARD].first_epoch,),
    )
    _apply(tables, EndExceptions(*shards_and_epochs))
    return DropExceptions(*shards_and_epochs)


def test_exception_begins_on_the_owner_under_new_epochs_of_both_shards() -> None:
    tables = _tables()
    epoch_before = tables.grants[HOME].epoch
    assert isinstance(_make_exception(tables), Accepted)
    home_grant, exception_grant = tables.grants[HOME], tables.grants[EXCEPTION_SHARD]
    assert epoch_before < home_grant.epoch < exception_grant.epoch
    assert {
        home_grant.epoch >> HOME_EPOCH_SHIFT,
        exception_grant.epoch >> HOME_EPOCH_SHIFT,
    } == {3}
    assert (
        exception_grant.upstream,
        exception_grant.incarnation,
        exception_grant.state,
    ) == ("u1", 1, "held")
    assert shard_in_force(tables, HOME, "hot") == EXCEPTION_SHARD
    assert shard_in_force(tables, HOME, "other") == HOME
    assert release_fence(tables, EXCEPTION_SHARD, exception_grant.epoch) == (
        HOME,
        epoch_before,
    )


@pytest.mark.parametrize("fault", ["stale epoch", "revoking", "known key", "taken"])
def test_make_exception_is_refused_if_its_condition_does_not_hold(fault: str) -> None:
    tables = _tables()
    epoch = tables.grants[HOME].epoch
    command = MakeException(HOME, epoch, KEY_HASH, EXCEPTION_SHARD, 30)
    if fault == "revoking":
        _apply(tables, RevokeShards((HOME,), (epoch,)))
    elif fault != "stale epoch":
        _make_exception(tables)
        command = command._replace(grant_epoch=tables.grants[HOME].epoch)
        other_shard = exception_shard(HOME, 4, 1)
        changes = {"known key": {"shard": other_shard}, "taken": {"key_hash": 5}}
        command = command._replace(**changes[fault])
    else:
        command = command._replace(grant_epoch=epoch - 1)
    n_before = len(tables.key_exceptions)
    assert isinstance(_apply(tables, command), Refused)
    assert len(tables.key_exceptions) == n_before


def test_number_of_exceptions_per_service_is_bounded() -> None:
    tables = _tables()
    for index in range(N_EXCEPTIONS_MAX + 1):
        outcome = _make_exception(tables, index, exception_shard(HOME, 4, index))
    assert isinstance(outcome, Refused)
    assert len(tables.key_exceptions) == N_EXCEPTIONS_MAX


def test_exception_is_dropped_only_when_its_shard_is_free() -> None:
    tables = _tables()
    _make_exception(tables)
    drop = _end_exceptions(tables)
    _apply(tables, drop)
    assert shard_in_force(tables, HOME, "hot") == EXCEPTION_SHARD
    exception_grant = tables.grants.pop(EXCEPTION_SHARD)
    _apply(tables, GrantShards("u2", 1, (EXCEPTION_SHARD,), (3,)))
    assert EXCEPTION_SHARD not in tables.grants
    _apply(tables, drop)
    assert shard_in_force(tables, HOME, "hot") == HOME
    assert tables.grants[HOME].epoch > exception_grant.epoch
    assert (tables.key_exceptions, tables.exception_shards) == ({}, {})


def test_home_shard_is_not_released_while_it_has_exceptions() -> None:
    tables = _tables()
    _make_exception(tables)
    release = ReleaseHomes((HOME,), (3,))
    del tables.grants[HOME]
    _apply(tables, release)
    assert tables.released_homes == {}
    drop = _end_exceptions(tables)
    del tables.grants[EXCEPTION_SHARD]
    _apply(tables, drop)
    _apply(tables, release)
    assert tables.released_homes == {HOME: 3}


def test_resend_finds_the_outcome_after_the_exception_was_made_and_dropped() -> None:
    tables = _tables()
    tables.imported_homes[HOME] = 3

    def intent(attempt: str) -> RecordIntent:
        shard = shard_in_force(tables, HOME, "hot")
        grant = tables.grants[shard]
        dispatcher_epoch = tables.dispatchers[grant.upstream].epoch
        return RecordIntent(
            "acc", "log/i", HOME, "d", 0, attempt, grant.epoch, dispatcher_epoch
        )

    first_intent = intent("a")
    assert isinstance(_apply(tables, first_intent), Accepted)
    _make_exception(tables)
    # The first attempt may no longer be sent, since its epoch is old, but it may have
    # run already. So its outcome is unknown, and no other attempt may run.
    assert _apply(tables, intent("b")).code is Code.OUTCOME_UNKNOWN
    stale_intent = first_intent._replace(idempotency_key="log/j")
    assert _apply(tables, stale_intent).code is Code.STALE_EPOCH
    late_outcome = RecordOutcome("acc", "log/i", "done", 200, "", b"ok", "a", 2, "")
    _apply(tables, late_outcome)
    assert _apply(tables, intent("c")).code is Code.OUTCOME_PENDING
    fresh_intent = intent("d")._replace(idempotency_key="log/k")
    assert isinstance(_apply(tables, fresh_intent), Accepted)
    drop = _end_exceptions(tables)
    del tables.grants[EXCEPTION_SHARD]
    _apply(tables, drop)
    repeated_intent = intent("e")._replace(idempotency_key="log/k")
    assert _apply(tables, repeated_intent).code is Code.OUTCOME_UNKNOWN
    assert {record.shard for record in tables.outcomes.values()} == {HOME}
