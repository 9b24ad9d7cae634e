"""The configuration in force as a host tells it, and what a note would change in it."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from bergamotferry.note_check import Configuration, check_note
from bergamotferry.records import Account, DataCentre, HomeRegion, Route, Service
from bergamotferry.release_note import NoteError, ReleaseNote, entity_key

_TYPES: dict[str, type] = {
    "data_centres": DataCentre,
    "services": Service,
    "routes": Route,
    "accounts": Account,
    "home_regions": HomeRegion,
}


class Change(NamedTuple):
    """One thing that a note would change."""

    sign: str
    kind: str
    name: str
    text: str


def read_configuration(body: Mapping[str, Any]) -> Configuration:
    """Return the configuration in a host's answer; owners of shards are not in it."""
    tables: dict[str, Any] = {
        kind: {name: _read_row(cls, row) for name, row in body[kind].items()}
        for kind, cls in _TYPES.items()
    }
    return Configuration(
        **tables, shard_homes={}, retired_names=body.get("retired_names", {})
    )


def compare(
    configuration: Configuration, revision: int, note: ReleaseNote
) -> tuple[list[Change], list[NoteError]]:
    """Return what a note would change, and what stands against it."""
    changes = [
        Change("+", *entity_key(entity), _fields_text(entity._asdict()))
        for entity in note.added
    ]
    for entity in note.changed:
        kind, name = entity_key(entity)
        known = getattr(configuration, kind).get(name)
        before = known._asdict() if known is not None else {}
        changes.append(
            Change("~", kind, name, _difference(before, entity._asdict()) or "the same")
        )
    changes += [Change("-", kind, name, "") for kind, name in note.withdrawn]
    errors = check_note(configuration, note)
    if note.based_on != revision:
        text = f"is {note.based_on}, in force is {revision}"
        errors.insert(0, NoteError("based_on", text))
    return changes, errors


def _read_row(cls: type, row: Mapping[str, Any]) -> Any:
    values = {
        field: tuple(value) if isinstance(value, list) else value
        for field, value in row.items()
    }
    return cls(**values)


def _fields_text(row: Mapping[str, Any]) -> str:
    # A digest of a token is long and says nothing to a reader.
    return " ".join(
        f"{field}={_value_text(value)}"
        for field, value in row.items()
        if field not in ("name", "token_sha256")
    )


def _difference(before: Mapping[str, Any], after: Mapping[str, Any]) -> str:
    return ", ".join(
        f"{field}: {_value_text(before.get(field))} -> {_value_text(value)}"
        for field, value in after.items()
        if before.get(field) != value
    )


def _value_text(value: Any) -> str:
    if isinstance(value, tuple):
        return ",".join(str(item) for item in value) or "-"
    return str(value)
