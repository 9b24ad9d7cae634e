"""Decodes the configuration in force and lists what a release note would change."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from bergamotferry.note_check import Configuration, check_note
from bergamotferry.records import Account, DataCentre, HomeRegion, Route, Service
from bergamotferry.release_note import NoteError, ReleaseNote, entity_key

_RECORD_TYPES: dict[str, type] = {
    "data_centres": DataCentre,
    "services": Service,
    "routes": Route,
    "accounts": Account,
    "home_regions": HomeRegion,
}


class Change(NamedTuple):
    """A change that a note would make to one entity.

    ``sign`` is ``+`` for added, ``~`` for changed and ``-`` for withdrawn entities.
    """

    sign: str
    kind: str
    name: str
    text: str


def read_configuration(body: Mapping[str, Any]) -> Configuration:
    """Return the configuration in a host's answer; the answer lists no shard homes."""
    tables: dict[str, Any] = {
        kind: {
            name: _decode_record(record_type, fields)
            for name, fields in body[kind].items()
        }
        for kind, record_type in _RECORD_TYPES.items()
    }
    return Configuration(
        **tables, shard_homes={}, retired_names=body.get("retired_names", {})
    )


def compare(
    configuration: Configuration, revision: int, note: ReleaseNote
) -> tuple[list[Change], list[NoteError]]:
    """Return the changes that a note would make, and the errors that prevent them.

    ``revision`` is the one in force; a note based on another revision is an error.
    """
    changes = [
        Change("+", *entity_key(entity), _fields_text(entity._asdict()))
        for entity in note.added
    ]
    for entity in note.changed:
        kind, name = entity_key(entity)
        current = getattr(configuration, kind).get(name)
        before = current._asdict() if current is not None else {}
        changes.append(
            Change(
                "~",
                kind,
                name,
                _changed_fields_text(before, entity._asdict()) or "the same",
            )
        )
    changes += [Change("-", kind, name, "") for kind, name in note.withdrawn]
    errors = check_note(configuration, note)
    if note.based_on != revision:
        text = f"is {note.based_on}, in force is {revision}"
        errors.insert(0, NoteError("based_on", text))
    return changes, errors


def _decode_record(record_type: type, fields: Mapping[str, Any]) -> Any:
    values = {
        field: tuple(value) if isinstance(value, list) else value
        for field, value in fields.items()
    }
    return record_type(**values)


def _fields_text(fields: Mapping[str, Any]) -> str:
    # The token's digest is left out: it is long and tells a reader nothing.
    return " ".join(
        f"{field}={_value_text(value)}"
        for field, value in fields.items()
        if field not in ("name", "token_sha256")
    )


def _changed_fields_text(before: Mapping[str, Any], after: Mapping[str, Any]) -> str:
    return ", ".join(
        f"{field}: {_value_text(before.get(field))} -> {_value_text(value)}"
        for field, value in after.items()
        if before.get(field) != value
    )


def _value_text(value: Any) -> str:
    if isinstance(value, tuple):
        return ",".join(str(item) for item in value) or "-"
    return str(value)
