"""Serializes the tables of a group for snapshots on disk and between hosts.

Tables are dataclasses whose fields hold plain values, immutable rows, or dicts, sets
and lists of these. Fields that are missing from a snapshot get their defaults, so that
a newer version can read the snapshots of an older one. Fields that are derived from
other fields are in no snapshot, and get their defaults too.
"""

from dataclasses import fields
from typing import Any

from .codec import decode, encode


def freeze_tables(tables: Any) -> dict[str, Any]:
    """Return a copy that later commands don't modify; it shares the immutable rows."""
    return {
        table_field.name: _freeze(getattr(tables, table_field.name))
        for table_field in fields(tables)
        if not table_field.metadata.get("is_derived")
    }


def encode_tables(frozen: dict[str, Any]) -> bytes:
    """Return the result of `freeze_tables` as bytes."""
    return encode(tuple((name, _pack(value)) for name, value in frozen.items()))


def load_tables(tables: Any, data: bytes) -> None:
    """Replace the content of tables by the content of a snapshot.

    Raises
    ------
    DecodeError
        If the bytes can't be decoded.
    """
    values = {name: _unpack(packed) for name, packed in decode(data)}
    defaults = type(tables)()
    for table_field in fields(tables):
        value = values.get(table_field.name, getattr(defaults, table_field.name))
        setattr(tables, table_field.name, value)


def _freeze(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _freeze(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_freeze(item) for item in value]
    return set(value) if isinstance(value, set) else value


def _pack(value: Any) -> tuple[Any, ...]:
    if isinstance(value, dict):
        return ("dict", tuple((key, _pack(item)) for key, item in value.items()))
    if isinstance(value, list):
        return ("list", tuple(_pack(item) for item in value))
    if isinstance(value, set):
        return ("set", tuple(sorted(value)))
    return ("value", value)


def _unpack(packed: Any) -> Any:
    kind, content = packed
    if kind == "dict":
        return {key: _unpack(item) for key, item in content}
    if kind == "list":
        return [_unpack(item) for item in content]
    return set(content) if kind == "set" else content
