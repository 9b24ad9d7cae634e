"""Tables of a group as bytes, for snapshots on disks and between hosts.

Tables are dataclasses whose fields hold plain values, immutable rows, or dicts, sets
and lists of these. Fields that a snapshot lacks keep their defaults, so that a newer
version reads the snapshots of an older one. So do fields that follow from others, which
are in no snapshot.
"""

from dataclasses import fields
from typing import Any

from .codec import decode, encode


def freeze_tables(tables: Any) -> dict[str, Any]:
    """Return a copy that later commands don't change; rows are shared."""
    return {
        row.name: _freeze(getattr(tables, row.name))
        for row in fields(tables)
        if not row.metadata.get("is_derived")
    }


def encode_tables(frozen: dict[str, Any]) -> bytes:
    """Return frozen tables as bytes."""
    return encode(tuple((name, _pack(value)) for name, value in frozen.items()))


def load_tables(tables: Any, data: bytes) -> None:
    """Replace the content of tables by that of a snapshot.

    Raises
    ------
    DecodeError
        If the bytes hold no tables.
    """
    values = {name: _unpack(packed) for name, packed in decode(data)}
    fresh = type(tables)()
    for row in fields(tables):
        value = values.get(row.name, getattr(fresh, row.name))
        setattr(tables, row.name, value)


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
