"""Tokens find their accounts as notes come, and only those in force."""

import hashlib
import json

from bergamotferry.commands import ApplyNote
from bergamotferry.global_tables import GlobalTables, apply_global_command
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.routing import find_account


def account(name, token):
    digest = hashlib.sha256(token.encode()).hexdigest()
    return {
        "name": name,
        "token_sha256": digest,
        "services": ["log"],
        "max_in_flight": 3,
    }


def test_tokens_follow_the_accounts_of_the_notes():
    tables = GlobalTables()
    notes = [
        {
            "added": {
                "services": [{"name": "log", "n_shards": 1}],
                "accounts": [account("ann", "old-token"), account("bob", "b-token")],
            }
        },
        {"changed": {"accounts": [account("ann", "new-token")]}},
        {"withdrawn": {"accounts": ["bob"]}},
    ]
    found = []
    for number, note in enumerate(notes, 1):
        text = json.dumps({"number": number, "based_on": number - 1, **note})
        assert apply_global_command(tables, ApplyNote(number, number - 1, text)) == (
            Accepted(number)
        )
        rows = [find_account(tables, f"{token}-token") for token in ("old", "new", "b")]
        found.append(["" if isinstance(row, Refused) else row.name for row in rows])
    assert found == [["ann", "", "bob"], ["", "ann", "bob"], ["", "ann", ""]]
