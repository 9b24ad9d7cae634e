"""Tests the checks of a release note against the configuration in force."""

import json

import pytest

from bergamotferry import note_check
from bergamotferry.commands import ApplyNote
from bergamotferry.global_tables import GlobalTables, apply_global_command
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.records import ShardHome, ShardId
from bergamotferry.result_codes import ResultCode

FIRST_NOTE = {
    "data_centres": [
        {"name": "north-a", "region": "north"},
        {"name": "south-a", "region": "south"},
    ],
    "services": [{"name": "log", "n_shards": 4}, {"name": "spare", "n_shards": 2}],
    "routes": [
        {
            "service": "log",
            "name": name,
            "method": "GET",
            "deadline_ms": 1000,
        }
        for name in ("read", "list")
    ],
    "accounts": [{"name": "ann", "token_sha256": "a" * 64, "services": ["log"]}],
    "home_regions": [
        {
            "name": "home",
            "service": "log",
            "key_prefix": "h-",
            "accounts": ["ann"],
            "regions": ["south"],
        }
    ],
}


def apply_note(tables, number, based_on, **parts):
    content = json.dumps({"number": number, "based_on": based_on, **parts})
    return apply_global_command(tables, ApplyNote(number, based_on, content))


@pytest.fixture
def tables():
    built_tables = GlobalTables()
    assert apply_note(built_tables, 1, 0, added=FIRST_NOTE) == Accepted(1)
    built_tables.shard_homes[ShardId("log", "", 0)] = ShardHome("north-a", 1, "")
    built_tables.shard_homes[ShardId("log", "home", 0)] = ShardHome("south-a", 1, "")
    return built_tables


HOME_REGION = FIRST_NOTE["home_regions"][0]

# Parts of a note, and the full text of the errors that it must give.
BAD_PARTS = [
    (
        {"withdrawn": {"services": ["log"]}},
        "withdrawn.services log: routes log/read, routes log/list, accounts ann, "
        "home_regions home still refer to it",
    ),
    (
        {"withdrawn": {"accounts": ["ann"]}},
        "withdrawn.accounts ann: home_regions home still refer to it",
    ),
    (
        {"withdrawn": {"home_regions": ["home"]}},
        "withdrawn.home_regions home: a key_prefix can only be withdrawn together "
        "with its service",
    ),
    (
        {"withdrawn": {"data_centres": ["south-a"]}},
        "withdrawn.data_centres of region south: home_regions home still refer to it; "
        "withdrawn.data_centres south-a: is in; take it out first; "
        "withdrawn.data_centres south-a: still holds 1 shards",
    ),
    (
        {"withdrawn": {"routes": ["log/none"]}},
        "withdrawn.routes log/none: does not exist",
    ),
    (
        {"added": {"services": [{"name": "log", "n_shards": 4}]}},
        "added.services log: exists already",
    ),
    (
        {
            "added": {
                "routes": [{"service": "no", "name": "r", "deadline_ms": 1}],
                "accounts": [
                    {"name": "bob", "token_sha256": "a" * 64, "services": ["no"]}
                ],
            }
        },
        "added.routes no/r: names unknown services no; "
        "added.accounts bob: names unknown services no; "
        "accounts bob: another account has the same token",
    ),
    (
        {
            "changed": {
                "services": [{"name": "log", "n_shards": 5}],
                "data_centres": [{"name": "north-a", "region": "south"}],
                "home_regions": [
                    {**HOME_REGION, "key_prefix": "x-", "regions": ["north"]}
                ],
            }
        },
        "changed.services log: n_shards can't change while keys are owned; "
        "changed.data_centres north-a: a data centre can't change its region; "
        "changed.home_regions home: key_prefix can't change: keys are owned; "
        "changed.home_regions home: its keys are still owned in south-a; "
        "changed.home_regions home: names unknown data_centres of region north",
    ),
    (
        {
            "added": {
                "home_regions": [{**HOME_REGION, "name": "other", "key_prefix": "h-"}]
            }
        },
        "added.home_regions other: a key_prefix can only be added together with its "
        "service; home_regions other: another one has the same key_prefix",
    ),
    (
        {"added": {"services": [{"name": f"s{n}", "n_shards": 65536} for n in "ab"]}},
        "services: would have 131082 shards in all, limit is 131072",
    ),
]


@pytest.mark.parametrize(("parts", "expected"), BAD_PARTS)
def test_bad_note_changes_nothing_and_reports_every_error(tables, parts, expected):
    tables_before = repr(tables)
    outcome = apply_note(tables, 2, 1, **parts)
    assert outcome == Refused(ResultCode.NOTE_INVALID, expected)
    assert repr(tables) == tables_before


@pytest.mark.parametrize("kind", sorted(note_check.N_ENTITIES_MAX))
def test_number_of_each_kind_is_bounded(tables, kind, monkeypatch):
    n_now = len(getattr(tables, kind))
    monkeypatch.setitem(note_check.N_ENTITIES_MAX, kind, n_now - 1)
    outcome = apply_note(tables, 2, 1)
    expected = f"{kind}: would be {n_now}, limit is {n_now - 1}"
    assert outcome == Refused(ResultCode.NOTE_INVALID, expected)


def test_service_can_be_withdrawn_with_everything_that_refers_to_it(tables):
    parts_to_withdraw = {
        "services": ["log"],
        "routes": ["log/read", "log/list"],
        "accounts": ["ann"],
        "home_regions": ["home"],
    }
    assert apply_note(tables, 2, 1, withdrawn=parts_to_withdraw) == Accepted(2)
    assert tables.shard_homes == {}
    # Owners of the withdrawn service's shards may still exist, so a new service may not
    # take its name.
    outcome = apply_note(
        tables, 3, 2, added={"services": [{"name": "log", "n_shards": 9}]}
    )
    assert outcome.code is ResultCode.NOTE_INVALID
    assert "can't be used again" in outcome.detail


def test_data_centre_can_be_withdrawn_once_out_and_empty(tables):
    data_centre_out = {"name": "north-a", "region": "north", "state": "out"}
    assert apply_note(
        tables, 2, 1, changed={"data_centres": [data_centre_out]}
    ) == Accepted(2)
    del tables.shard_homes[ShardId("log", "", 0)]
    parts_to_withdraw = {"data_centres": ["north-a"]}
    assert apply_note(tables, 3, 2, withdrawn=parts_to_withdraw) == Accepted(3)


def test_fenced_data_centre_cannot_be_put_in_again(tables):
    data_centre = {"name": "north-a", "region": "north", "state": "fenced"}
    assert apply_note(
        tables, 2, 1, changed={"data_centres": [data_centre]}
    ) == Accepted(2)
    data_centre = {**data_centre, "state": "in"}
    assert isinstance(
        apply_note(tables, 3, 2, changed={"data_centres": [data_centre]}), Refused
    )


def test_note_number_is_accepted_once_and_only_on_the_revision_in_force(tables):
    assert apply_note(tables, 5, 1) == Accepted(5)
    assert apply_note(tables, 9, 5) == Accepted(9)
    assert apply_note(tables, 5, 1) == Accepted(5), (
        "a resend gets the answer to the first send"
    )
    withdrawn = {"services": ["spare"]}
    conflict = apply_note(tables, 5, 1, withdrawn=withdrawn)
    assert conflict.code is ResultCode.NOTE_CONFLICT
    assert apply_note(tables, 10, 5).code is ResultCode.NOTE_BASE_STALE
    assert apply_note(tables, 7, 9).code is ResultCode.NOTE_CONFLICT
    assert tables.revision == 9
    assert "spare" in tables.services
