"""Data centres that must have the outcomes of a shard before it is released."""

import asyncio
from types import SimpleNamespace

import pytest

from bergamotferry.commands import RecordOutcome
from bergamotferry.global_tables import GlobalTables
from bergamotferry.records import (
    DataCentre,
    HomeRegion,
    OutcomeRecord,
    ShardHome,
    ShardId,
)
from bergamotferry_host import outcome_transfer
from bergamotferry_host.outcome_transfer import (
    _close_open_intent,
    outcome_targets,
    pass_on_resolution,
)

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}


def _record(account: str, state: str = "done") -> OutcomeRecord:
    shard = ShardId("s", "", 0)
    fields = ("digest", state, 200, "", b"", 1, "attempt", 1, 1, 0, "")
    return OutcomeRecord(account, "key", shard, *fields)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("account", "next_data_centre", "expected"),
    [
        ("free", "b1", ["b1"]),
        ("bound", "a2", ["a2"]),
        ("bound", "b1", ["a2"]),
    ],
    ids=["anywhere", "within the region", "never outside the region"],
)
def test_outcomes_move_with_their_shard_but_home_bound_ones_stay_in_their_region(
    account: str, next_data_centre: str, expected: list[str]
) -> None:
    tables = GlobalTables()
    for name, region in REGIONS.items():
        tables.data_centres[name] = DataCentre(name, region, "in")
    tables.home_regions["home"] = HomeRegion("home", "s", "", ("bound",), ("a",))
    home = ShardHome("a1", 3, next_data_centre)
    assert outcome_targets(tables, ShardId("s", "", 0), account, home) == expected


def test_open_intent_is_handed_over_as_unknown() -> None:
    assert _close_open_intent(_record("free", "intent")).state == "unknown"
    assert _close_open_intent(_record("free", "done")).state == "done"


@pytest.mark.parametrize(
    ("home", "expected"),
    [
        (ShardHome("a1", 3, "b1"), "b1"),
        (ShardHome("b2", 4, ""), "b2"),
    ],
    ids=["handover in progress", "handover ended"],
)
def test_late_outcome_is_passed_on_until_the_next_home_takes_it(
    monkeypatch, home, expected
):
    shard = ShardId("s", "", 0)
    tables = GlobalTables()
    for name, region in REGIONS.items():
        tables.data_centres[name] = DataCentre(name, region, "in")
    tables.shard_homes[shard] = home
    state = SimpleNamespace(
        global_tables=tables, host=SimpleNamespace(data_centre="a1")
    )
    command = RecordOutcome("acc", "s/k", "done", 200, "", b"", "attempt", 0, "")
    proposals = []

    async def propose(state, target, proposed):
        proposals.append((target, proposed))
        return len(proposals) == 3

    monkeypatch.setattr(outcome_transfer, "_propose", propose)
    monkeypatch.setattr(outcome_transfer, "PASS_ON_PAUSE_S", 0.0)
    passed_on = pass_on_resolution(state, shard, "acc", command, 5.0)
    assert asyncio.run(passed_on)
    assert proposals == 3 * [(expected, command)]
