"""Tokens resolve to the accounts that are in force after each release note."""

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


def test_tokens_resolve_to_the_accounts_of_the_latest_note():
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
    names_after_notes = []
    for number, note in enumerate(notes, 1):
        text = json.dumps({"number": number, "based_on": number - 1, **note})
        assert apply_global_command(tables, ApplyNote(number, number - 1, text)) == (
            Accepted(number)
        )
        accounts = [
            find_account(tables, f"{token}-token") for token in ("old", "new", "b")
        ]
        names_after_notes.append(
            [
                "" if isinstance(found_account, Refused) else found_account.name
                for found_account in accounts
            ]
        )
    assert names_after_notes == [
        ["ann", "", "bob"],
        ["", "ann", "bob"],
        ["", "ann", ""],
    ]
