"""Encodes messages, log entries and snapshots as CBOR.

A named tuple is encoded as a tagged array of its class name and its fields. Only
classes registered here are decoded. Text from a caller can't be decoded as a message,
because a CBOR tag can't be part of a text.

Hosts of two versions run side by side during an upgrade. Fields that were added at the
end of a message, with a default, get their default if they are missing. Messages that
the version before knows without these fields are written without them where it can be.
"""

from collections.abc import Mapping
from typing import Any

import cbor2

from bergamotferry import (
    commands,
    fleet_commands,
    fleet_messages,
    fleet_tables,
    hot_key_messages,
    messages,
    records,
    upstream_load,
    upstream_sessions,
)
from bergamotferry.hot_holders import overload
from bergamotferry.protection import crash_records
from bergamotferry.quota import messages as quota_messages
from bergamotferry.service_load import rows as service_load_rows

from .field_types import has_field_types

_RECORD_TAG = 40100
# Values of these types, which most values in a message are, need no conversion.
_SCALARS = frozenset((str, int, bytes, bool, float, type(None)))
# Messages whose last fields are not written while they have their defaults.
_SHORTENED = frozenset(
    (fleet_messages.FollowFleet, fleet_messages.FleetChanges, messages.Propose)
)


class EncodeError(ValueError):
    """The value contains a text or a number that has no encoding."""


class DecodeError(ValueError):
    """The bytes contain no value that this version can decode."""


def _named_tuples(module: object) -> dict[str, type]:
    return {
        name: value
        for name, value in vars(module).items()
        if isinstance(value, type) and hasattr(value, "_fields")
    }


_TYPES: dict[str, type] = {
    **_named_tuples(records),
    **_named_tuples(commands),
    **_named_tuples(crash_records),
    **_named_tuples(fleet_commands),
    **_named_tuples(fleet_tables),
    **_named_tuples(upstream_load),
    **_named_tuples(upstream_sessions),
    **_named_tuples(fleet_messages),
    **_named_tuples(hot_key_messages),
    **_named_tuples(quota_messages),
    **_named_tuples(service_load_rows),
    "HotHolders": overload.HotHolders,
    **_named_tuples(messages),
}


def encode(value: Any) -> bytes:
    """Return a value as CBOR bytes.

    Raises
    ------
    EncodeError
        If a text or a number in the value has no encoding.
    """
    try:
        return cbor2.dumps(_to_wire(value))
    except (ValueError, TypeError, OverflowError) as error:
        raise EncodeError(f"no CBOR: {type(error).__name__}") from error


def encodable_text(text: str) -> str:
    """Return a text without the parts that have no encoding.

    Bytes of a header that are no UTF-8 become such parts. The HTTP library leaves them
    out of the headers that it writes, too.
    """
    return text.encode("utf-8", "ignore").decode()


def decode(data: bytes) -> Any:
    """Return the value that is encoded in bytes.

    Raises
    ------
    DecodeError
        If the bytes are no valid CBOR, or contain an unknown type or wrong fields.
    """
    try:
        # ``immutable`` decodes arrays as tuples, which saves a second pass.
        return cbor2.loads(
            data, tag_hook=_record_from_wire, object_hook=_plain_dict, immutable=True
        )
    except Exception as error:
        if isinstance(error.__cause__, DecodeError):
            raise error.__cause__ from None
        raise DecodeError(f"bad CBOR: {type(error).__name__}") from error


def _to_wire(value: Any) -> Any:
    cls = type(value)
    if cls in _SCALARS:
        return value
    if isinstance(value, tuple):
        items = [item if type(item) in _SCALARS else _to_wire(item) for item in value]
        if cls is tuple:
            return items
        if cls in _SHORTENED:
            _drop_defaults(value, items)
        return cbor2.CBORTag(_RECORD_TAG, [cls.__name__, *items])
    if isinstance(value, list):
        return [_to_wire(item) for item in value]
    if isinstance(value, dict):
        return {_to_wire(key): _to_wire(item) for key, item in value.items()}
    return value


def _drop_defaults(record: Any, items: list[Any]) -> None:
    """Remove the last items that have the defaults of their fields."""
    defaults = record._field_defaults
    for field in reversed(record._fields):
        if field not in defaults or getattr(record, field) != defaults[field]:
            return
        items.pop()


def _add_defaults(cls: Any, fields: list[Any]) -> None:
    """Add the defaults of the last fields of a record that are missing.

    Raises
    ------
    DecodeError
        If there are too many fields, or if one that is missing has no default.
    """
    missing = cls._fields[len(fields) :]
    if not missing or any(field not in cls._field_defaults for field in missing):
        raise DecodeError(f"wrong number of fields for {cls.__name__}")
    fields += [cls._field_defaults[field] for field in missing]


def _record_from_wire(tag: cbor2.CBORTag, is_immutable: bool) -> Any:
    if tag.tag != _RECORD_TAG or not isinstance(tag.value, list | tuple):
        raise DecodeError("unknown tag")
    name, *fields = tag.value
    cls = _TYPES.get(name)
    if cls is None:
        raise DecodeError(f"unknown type {name!r}")
    if len(fields) != len(cls._fields):  # type: ignore[attr-defined]
        _add_defaults(cls, fields)
    if not has_field_types(cls, fields):
        raise DecodeError(f"wrong type of a field of {name}")
    return cls(*fields)


def _plain_dict(items: Mapping[Any, Any], is_immutable: bool) -> dict[Any, Any]:
    return dict(items)
