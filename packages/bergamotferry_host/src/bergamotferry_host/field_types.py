"""Checks that the fields of a decoded record have the types that its class declares.

Messages are handled in other modules than the one that decodes them, such as in a
group's replica. A wrong type found there would end the background task that handles the
message, instead of the link that delivered it. Valid combinations of field types are
cached, so that the usual check costs one lookup.
"""

from collections.abc import Callable
from typing import Any, Literal, get_args, get_origin, get_type_hints

Check = Callable[[Any], bool]


def has_field_types(cls: type, fields: list[Any]) -> bool:
    """Return whether values have the types of the fields of a named tuple class.

    Parameters
    ----------
    cls : type
        A named tuple class.
    fields : list
        The values, as many as the class has fields.
    """
    check = _FIELD_CHECKS.get(cls)
    if check is None:
        check = _FIELD_CHECKS[cls] = _make_fields_check(
            tuple(get_type_hints(cls).values())
        )
    return check(fields)


_FIELD_CHECKS: dict[type, Check] = {}


def _make_fields_check(hints: tuple[Any, ...]) -> Check:
    is_accepted = _TypesCache(tuple(map(_allowed_types, hints)))
    tuple_checks = tuple(
        (position, _make_tuple_check(hint))
        for position, hint in enumerate(hints)
        if get_origin(hint) is tuple
    )

    def check(values: Any) -> bool:
        if not is_accepted[tuple(map(type, values))]:
            return False
        for position, check_tuple in tuple_checks:
            if not check_tuple(values[position]):
                return False
        return True

    return check


def _make_tuple_check(hint: Any) -> Check:
    first, *others = get_args(hint)
    if others != [Ellipsis]:
        return _make_fields_check((first, *others))
    allowed = _allowed_types(first)
    if get_origin(first) is not tuple:
        return lambda items: allowed.issuperset(map(type, items))
    check = _make_tuple_check(first)
    return lambda items: all(type(item) is tuple and check(item) for item in items)


class _TypesCache(dict[tuple[type, ...], bool]):
    """Maps the types of a record's values to whether the fields accept these types."""

    def __init__(self, allowed: tuple[frozenset[type], ...]) -> None:
        super().__init__()
        self.allowed = allowed

    def __missing__(self, types: tuple[type, ...]) -> bool:
        is_valid = len(types) == len(self.allowed) and all(
            value_type in allowed
            for value_type, allowed in zip(types, self.allowed, strict=True)
        )
        if is_valid:
            # Only valid types are cached: a peer could send any number of invalid ones.
            self[types] = True
        return is_valid


def _allowed_types(hint: Any) -> frozenset[type]:
    origin = get_origin(hint)
    if origin is tuple:
        return frozenset({tuple})
    if origin is Literal:
        return frozenset(map(type, get_args(hint)))
    if get_args(hint):
        return frozenset().union(*map(_allowed_types, get_args(hint)))
    # As in static type checking, a bool is accepted as an int, and both are accepted
    # as a float.
    return frozenset({int: {int, bool}, float: {float, int, bool}}.get(hint, {hint}))
