"""Checks that the fields of a row from the wire have the types that its class states.

A message is acted on far from where it was read: in a group's replica, say, where a
wrong type would end the duty that met it instead of the link that brought it. The types
of a row's fields are looked up among those seen before, so that the usual row costs one
lookup.
"""

from collections.abc import Callable
from typing import Any, Literal, get_args, get_origin, get_type_hints

Check = Callable[[Any], bool]


def has_field_types(cls: type, fields: list[Any]) -> bool:
    """Return whether values may be the fields of a named tuple.

    Parameters
    ----------
    cls : type
        A named tuple class.
    fields : list
        As many values as the class has fields.
    """
    check = _ROW_CHECKS.get(cls)
    if check is None:
        check = _ROW_CHECKS[cls] = _fields_check(tuple(get_type_hints(cls).values()))
    return check(fields)


_ROW_CHECKS: dict[type, Check] = {}


def _fields_check(hints: tuple[Any, ...]) -> Check:
    shapes = _Shapes(tuple(map(_allowed_types, hints)))
    tuple_checks = tuple(
        (place, _tuple_check(hint))
        for place, hint in enumerate(hints)
        if get_origin(hint) is tuple
    )

    def check(values: Any) -> bool:
        if not shapes[tuple(map(type, values))]:
            return False
        for place, check_tuple in tuple_checks:
            if not check_tuple(values[place]):
                return False
        return True

    return check


def _tuple_check(hint: Any) -> Check:
    first, *others = get_args(hint)
    if others != [Ellipsis]:
        return _fields_check((first, *others))
    allowed = _allowed_types(first)
    if get_origin(first) is not tuple:
        return lambda items: allowed.issuperset(map(type, items))
    check = _tuple_check(first)
    return lambda items: all(type(item) is tuple and check(item) for item in items)


class _Shapes(dict[tuple[type, ...], bool]):
    """Whether values of some types may stand in some fields, by those types."""

    def __init__(self, allowed: tuple[frozenset[type], ...]) -> None:
        super().__init__()
        self.allowed = allowed

    def __missing__(self, types: tuple[type, ...]) -> bool:
        is_right = len(types) == len(self.allowed) and all(
            found in allowed for found, allowed in zip(types, self.allowed, strict=True)
        )
        if is_right:
            # Wrong shapes are not kept, since a peer could send any number of them.
            self[types] = True
        return is_right


def _allowed_types(hint: Any) -> frozenset[type]:
    origin = get_origin(hint)
    if origin is tuple:
        return frozenset({tuple})
    if origin is Literal:
        return frozenset(map(type, get_args(hint)))
    if get_args(hint):
        return frozenset().union(*map(_allowed_types, get_args(hint)))
    # As for the type checker, a truth value passes for a number, and an integer for
    # one with a fraction.
    return frozenset({int: {int, bool}, float: {float, int, bool}}.get(hint, {hint}))
