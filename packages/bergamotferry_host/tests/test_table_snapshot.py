"""Tests that a snapshot restores tables completely and in order."""

from dataclasses import dataclass, field

from bergamotferry.commands import ApplyNote, MakeException, PlaceShards
from bergamotferry.data_centre_tables import DataCentreTables, apply_data_centre_command
from bergamotferry.fleet_commands import SetEvacuation
from bergamotferry.fleet_tables import FleetTables, apply_fleet_command
from bergamotferry.global_tables import GlobalTables, apply_global_command
from bergamotferry.outcomes import Accepted
from bergamotferry.records import Grant, OutcomeRecord, ShardId
from bergamotferry_host.table_snapshot import encode_tables, freeze_tables, load_tables

NOTE = (
    '{"added": {"services": [{"name": "s", "n_shards": 2}],'
    ' "data_centres": [{"name": "a", "region": "r"}]},'
    ' "based_on": 0, "number": 1}'
)


def restore(tables):
    loaded = type(tables)()
    load_tables(loaded, encode_tables(freeze_tables(tables)))
    return loaded


def test_global_tables_are_restored():
    tables = GlobalTables()
    apply_global_command(tables, ApplyNote(1, 0, NOTE))
    shards = (ShardId("s", "", 0), ShardId("s", "", 1))
    apply_global_command(tables, PlaceShards(shards, ("a", "a")))
    assert tables.revision == 1 and len(tables.shard_homes) == 2
    assert restore(tables) == tables


def test_data_centre_tables_are_restored_in_order():
    tables = DataCentreTables(last_epoch=7)
    shard = ShardId("s", "home", 3)
    tables.grants[shard] = Grant(shard, "u", 1, 7, "held")
    make_exception = MakeException(
        shard, 7, (1 << 64) - 1, shard._replace(number=9), 30
    )
    assert isinstance(apply_data_centre_command(tables, make_exception), Accepted)
    for key in ("z", "a", "m"):
        attempt_fields = ("attempt", 1, 1, 2, "00")
        record = OutcomeRecord(
            "x", key, shard, "00", "done", 200, "t", b"\x00\xff", 5, *attempt_fields
        )
        tables.outcomes[("x", key)] = record
    restored = restore(tables)
    assert restored == tables
    assert list(restored.outcomes) == [("x", "z"), ("x", "a"), ("x", "m")]


def test_frozen_tables_are_independent_of_later_changes():
    tables = GlobalTables()
    frozen = freeze_tables(tables)
    apply_global_command(tables, ApplyNote(1, 0, NOTE))
    loaded = GlobalTables()
    load_tables(loaded, encode_tables(frozen))
    assert loaded == GlobalTables()


@dataclass
class FormerFleetTables:
    """The tables of the fleet as the version before has them, without orders."""

    revision: int = 0
    configuration_version: int = 0
    configuration_source: bytes = b""
    evacuated: set = field(default_factory=set)
    retired: dict = field(default_factory=dict)
    retired_at: dict = field(default_factory=dict)
    ranges: dict = field(default_factory=dict)
    split_at: dict = field(default_factory=dict)


def test_versions_with_and_without_recorded_orders_read_each_others_snapshots():
    """Guards against an upgrade after which disks or snapshots can't be read."""
    tables = FleetTables()
    apply_fleet_command(tables, SetEvacuation("a", True))
    former = FormerFleetTables()
    load_tables(former, encode_tables(freeze_tables(tables)))
    assert former == FormerFleetTables(revision=1, evacuated={"a"})
    loaded = FleetTables()
    load_tables(loaded, encode_tables(freeze_tables(former)))
    assert loaded == FleetTables(revision=1, evacuated={"a"})
    assert restore(tables) == tables
    # A command in the log has the fields that it had before.
    assert SetEvacuation._fields == ("data_centre", "is_evacuated")


def test_derived_fields_are_not_part_of_a_snapshot():
    tables = GlobalTables()
    tables.accounts_by_token["digest"] = None
    assert b"accounts_by_token" not in encode_tables(freeze_tables(tables))
    load_tables(tables, encode_tables(freeze_tables(GlobalTables())))
    assert tables.accounts_by_token == {}
