"""CBOR for messages, log entries and snapshots.

A named tuple is carried as a tagged array of its type's name and its fields. Only types
registered here decode, and a caller's text can't be taken for a message, because the
tag is not part of any text.
"""

from typing import Any

import cbor2

from bergamotferry import commands, messages, records

_RECORD_TAG = 40100


class DecodeError(ValueError):
    """Bytes that hold no message that this version knows."""


def _named_tuples(module: object) -> dict[str, type]:
    return {
        name: value
        for name, value in vars(module).items()
        if isinstance(value, type) and hasattr(value, "_fields")
    }


_TYPES: dict[str, type] = {
    **_named_tuples(records),
    **_named_tuples(commands),
    **_named_tuples(messages),
}


def encode(value: Any) -> bytes:
    """Return a value as CBOR bytes."""
    return cbor2.dumps(_to_wire(value))


def decode(data: bytes) -> Any:
    """Return the value that bytes hold.

    Raises
    ------
    DecodeError
        If they hold no CBOR, an unknown type, or a wrong number of fields.
    """
    try:
        return _from_wire(cbor2.loads(data))
    except DecodeError:
        raise
    except Exception as error:
        raise DecodeError(f"bad CBOR: {type(error).__name__}") from error


def _to_wire(value: Any) -> Any:
    if isinstance(value, tuple):
        items = [_to_wire(item) for item in value]
        if hasattr(value, "_fields"):
            return cbor2.CBORTag(_RECORD_TAG, [type(value).__name__, *items])
        return items
    if isinstance(value, list):
        return [_to_wire(item) for item in value]
    if isinstance(value, dict):
        return {_to_wire(key): _to_wire(item) for key, item in value.items()}
    return value


def _from_wire(value: Any) -> Any:
    if isinstance(value, cbor2.CBORTag):
        return _record_from_wire(value)
    if isinstance(value, list | tuple):
        return tuple(_from_wire(item) for item in value)
    if isinstance(value, dict):
        return {_from_wire(key): _from_wire(item) for key, item in value.items()}
    return value


def _record_from_wire(tag: cbor2.CBORTag) -> Any:
    if tag.tag != _RECORD_TAG or not isinstance(tag.value, list | tuple):
        raise DecodeError("unknown tag")
    name, *fields = tag.value
    cls = _TYPES.get(name)
    if cls is None:
        raise DecodeError(f"unknown type {name!r}")
    if len(fields) != len(cls._fields):  # type: ignore[attr-defined]
        raise DecodeError(f"wrong number of fields for {name}")
    return cls(*(_from_wire(item) for item in fields))
