"""Release notes, by which operators add, change and withdraw entities.

A note is a JSON object with its ``number``, the revision that it is ``based_on``, and
the three parts ``added``, ``changed`` and ``withdrawn``. The parser reports every error
with its place, and never raises for bad input.
"""

import hashlib
import json
import re
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from .records import Account, DataCentre, HomeRegion, Route, Service

N_SHARDS_MAX = 65536
DEADLINE_MAX_MS = 600_000
BODY_MAX_BYTES = 1 << 30
NOTE_MAX_BYTES = 1 << 20
IN_FLIGHT_MAX = 100_000
N_NAMES_MAX = 256
KEY_PREFIX_MAX_LENGTH = 128
N_ERRORS_REPORTED_MAX = 100

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}\Z")
_ROUTE_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}/[a-z0-9][a-z0-9-]{0,62}\Z")
_SHA256 = re.compile(r"[0-9a-f]{64}\Z")
_PARTS = ("added", "changed", "withdrawn")
_TRAFFIC_CLASSES = ("lookup", "filing", "bulk")
_METHODS = ("GET", "POST", "PUT", "DELETE")

Entity = DataCentre | Service | Route | Account | HomeRegion


class NoteError(NamedTuple):
    """An error in a release note and its place, such as ``added.routes[2].method``."""

    place: str
    message: str


class ReleaseNote(NamedTuple):
    """A parsed note: whole rows to add and change, kinds and names to withdraw."""

    number: int
    based_on: int
    added: tuple[Entity, ...]
    changed: tuple[Entity, ...]
    withdrawn: tuple[tuple[str, str], ...]


def canonical_content(note: Mapping[str, Any]) -> str:
    """Return the note as JSON text, which is the same for equal notes."""
    return json.dumps(note, sort_keys=True, separators=(",", ":"), ensure_ascii=True)


def content_sha256(content: str) -> str:
    """Return the digest of a note's canonical text, in hex."""
    return hashlib.sha256(content.encode()).hexdigest()


def parse_note_text(text: str) -> tuple[ReleaseNote | None, list[NoteError]]:
    """Parse a release note from JSON text.

    Returns
    -------
    note : ReleaseNote or None
        None if the text is too long or is not a JSON object. If there are errors, the
        note leaves out the rows with an unknown or invalid field, and an invalid number
        is replaced by the least allowed one.
    errors : list of NoteError
        Every error found; empty if the note is well-formed.
    """
    if len(text.encode(errors="surrogatepass")) > NOTE_MAX_BYTES:
        return None, [NoteError("note", f"longer than {NOTE_MAX_BYTES} bytes")]
    duplicates: list[NoteError] = []
    try:
        raw = json.loads(text, object_pairs_hook=_duplicate_field_hook(duplicates))
    except (ValueError, RecursionError) as error:
        return None, [NoteError("note", f"not JSON: {error}")]
    if not isinstance(raw, dict):
        return None, [NoteError("note", "must be a JSON object")]
    note, errors = parse_note(raw)
    return note, duplicates + errors


def parse_note(raw: Mapping[str, Any]) -> tuple[ReleaseNote | None, list[NoteError]]:
    """Parse a release note from decoded JSON; see `parse_note_text`."""
    errors: list[NoteError] = []
    for name in raw:
        if name not in ("number", "based_on", *_PARTS):
            errors.append(NoteError(name, "unknown field"))
    number = _read_int(raw, "number", "", 1, 1 << 53, errors)
    based_on = _read_int(raw, "based_on", "", 0, 1 << 53, errors)
    added = _read_part(raw.get("added", {}), "added", errors)
    changed = _read_part(raw.get("changed", {}), "changed", errors)
    withdrawn = _read_withdrawn(raw.get("withdrawn", {}), errors)
    has_numbers = not {"number", "based_on"} & {error.place for error in errors}
    if has_numbers and number <= based_on:
        errors.append(NoteError("number", "must be above based_on"))
    _check_duplicates(added + changed, withdrawn, errors)
    return ReleaseNote(number, based_on, added, changed, withdrawn), errors


def entity_key(entity: Entity) -> tuple[str, str]:
    """Return the kind and the name by which the tables hold an entity."""
    if isinstance(entity, Route):
        return "routes", f"{entity.service}/{entity.name}"
    kinds: dict[type, str] = {
        DataCentre: "data_centres",
        Service: "services",
        Account: "accounts",
        HomeRegion: "home_regions",
    }
    return kinds[type(entity)], entity.name


def errors_text(errors: list[NoteError]) -> str:
    """Return errors as one line: the first hundred, and the number of the others."""
    texts = [
        f"{error.place}: {error.message}" for error in errors[:N_ERRORS_REPORTED_MAX]
    ]
    if len(errors) > N_ERRORS_REPORTED_MAX:
        texts.append(f"and {len(errors) - N_ERRORS_REPORTED_MAX} more")
    return "; ".join(texts)


def _duplicate_field_hook(
    errors: list[NoteError],
) -> Callable[[list[tuple[str, Any]]], dict[str, Any]]:
    def read_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        # A dict keeps only the last value of a name that occurs twice, so duplicates
        # must be found before the dict is returned.
        fields = dict(pairs)
        if len(fields) != len(pairs):
            counts = Counter(name for name, _ in pairs)
            errors.extend(
                NoteError(name, "field named twice in one object")
                for name, count in counts.items()
                if count > 1
            )
        return fields

    return read_pairs


def _read_part(raw: Any, part: str, errors: list[NoteError]) -> tuple[Entity, ...]:
    if not isinstance(raw, dict):
        errors.append(NoteError(part, "must be an object of lists"))
        return ()
    entities: list[Entity] = []
    for kind, rows in raw.items():
        place = f"{part}.{kind}"
        reader = _READERS.get(kind)
        if reader is None:
            errors.append(NoteError(place, "unknown kind"))
            continue
        if not isinstance(rows, list):
            errors.append(NoteError(place, "must be a list"))
            continue
        for position, row in enumerate(rows):
            row_place = f"{place}[{position}]"
            if not isinstance(row, dict):
                errors.append(NoteError(row_place, "must be an object"))
                continue
            n_errors = len(errors)
            entity = reader(row, row_place, errors)
            if len(errors) == n_errors:
                entities.append(entity)
    return tuple(entities)


def _read_withdrawn(raw: Any, errors: list[NoteError]) -> tuple[tuple[str, str], ...]:
    if not isinstance(raw, dict):
        errors.append(NoteError("withdrawn", "must be an object of lists of names"))
        return ()
    withdrawn: list[tuple[str, str]] = []
    for kind, names in raw.items():
        place = f"withdrawn.{kind}"
        if kind not in _READERS:
            errors.append(NoteError(place, "unknown kind"))
            continue
        if not isinstance(names, list):
            errors.append(NoteError(place, "must be a list of names"))
            continue
        pattern = _ROUTE_NAME if kind == "routes" else _NAME
        for position, name in enumerate(names):
            if isinstance(name, str) and pattern.match(name):
                withdrawn.append((kind, name))
            else:
                syntax = "SERVICE/ROUTE" if kind == "routes" else "a name"
                errors.append(NoteError(f"{place}[{position}]", f"must be {syntax}"))
    return tuple(withdrawn)


def _check_duplicates(
    entities: tuple[Entity, ...],
    withdrawn: tuple[tuple[str, str], ...],
    errors: list[NoteError],
) -> None:
    seen: set[tuple[str, str]] = set()
    for key in [entity_key(entity) for entity in entities] + list(withdrawn):
        if key in seen:
            errors.append(NoteError(f"{key[0]} {key[1]}", "named twice in one note"))
        seen.add(key)


def _read_data_centre(
    row: Mapping[str, Any], place: str, errors: list[NoteError]
) -> DataCentre:
    _check_fields(row, ("name", "region", "state"), place, errors)
    state = row.get("state", "in")
    if state not in ("in", "out", "fenced"):
        errors.append(NoteError(f"{place}.state", "must be in, out or fenced"))
    return DataCentre(
        _read_name(row, "name", place, errors),
        _read_name(row, "region", place, errors),
        state,
    )


def _read_service(
    row: Mapping[str, Any], place: str, errors: list[NoteError]
) -> Service:
    _check_fields(row, ("name", "n_shards"), place, errors)
    return Service(
        _read_name(row, "name", place, errors),
        _read_int(row, "n_shards", place, 1, N_SHARDS_MAX, errors),
    )


def _read_route(row: Mapping[str, Any], place: str, errors: list[NoteError]) -> Route:
    _check_fields(row, Route._fields, place, errors)
    method = row.get("method", "GET")
    if method not in _METHODS:
        errors.append(NoteError(f"{place}.method", f"must be one of {_METHODS}"))
    traffic_class = row.get("traffic_class", "lookup")
    if traffic_class not in _TRAFFIC_CLASSES:
        errors.append(
            NoteError(f"{place}.traffic_class", f"must be one of {_TRAFFIC_CLASSES}")
        )
    is_idempotent = row.get("is_idempotent", True)
    if not isinstance(is_idempotent, bool):
        errors.append(NoteError(f"{place}.is_idempotent", "must be true or false"))
    return Route(
        _read_name(row, "service", place, errors),
        _read_name(row, "name", place, errors),
        method,
        is_idempotent,
        traffic_class,
        _read_int(row, "deadline_ms", place, 1, DEADLINE_MAX_MS, errors),
        _read_int(
            {"max_body_bytes": 0, **row},
            "max_body_bytes",
            place,
            0,
            BODY_MAX_BYTES,
            errors,
        ),
    )


def _read_account(
    row: Mapping[str, Any], place: str, errors: list[NoteError]
) -> Account:
    _check_fields(row, Account._fields, place, errors)
    token_sha256 = row.get("token_sha256")
    if not isinstance(token_sha256, str) or not _SHA256.match(token_sha256):
        errors.append(
            NoteError(f"{place}.token_sha256", "must be 64 hexadecimal digits")
        )
    return Account(
        _read_name(row, "name", place, errors),
        str(token_sha256),
        _read_names(row, "services", place, errors),
        _read_int(
            {"max_in_flight": 256, **row},
            "max_in_flight",
            place,
            1,
            IN_FLIGHT_MAX,
            errors,
        ),
    )


def _read_home_region(
    row: Mapping[str, Any], place: str, errors: list[NoteError]
) -> HomeRegion:
    _check_fields(row, HomeRegion._fields, place, errors)
    key_prefix = row.get("key_prefix", "")
    if not _is_key_prefix(key_prefix):
        text = f"must be text of up to {KEY_PREFIX_MAX_LENGTH} characters"
        errors.append(NoteError(f"{place}.key_prefix", text))
    accounts = _read_names({"accounts": [], **row}, "accounts", place, errors)
    if not key_prefix and not accounts:
        errors.append(NoteError(place, "needs a key_prefix or accounts"))
    regions = _read_names(row, "regions", place, errors)
    if not regions:
        errors.append(NoteError(f"{place}.regions", "must name a region"))
    return HomeRegion(
        _read_name(row, "name", place, errors),
        _read_name(row, "service", place, errors),
        str(key_prefix),
        accounts,
        regions,
    )


_READERS: dict[str, Callable[[Mapping[str, Any], str, list[NoteError]], Entity]] = {
    "data_centres": _read_data_centre,
    "services": _read_service,
    "routes": _read_route,
    "accounts": _read_account,
    "home_regions": _read_home_region,
}


def _check_fields(
    row: Mapping[str, Any],
    known: tuple[str, ...],
    place: str,
    errors: list[NoteError],
) -> None:
    for name in row:
        if name not in known:
            errors.append(NoteError(f"{place}.{name}", "unknown field"))


def _read_name(
    row: Mapping[str, Any], field: str, place: str, errors: list[NoteError]
) -> str:
    value = row.get(field)
    if not isinstance(value, str) or not _NAME.match(value):
        errors.append(
            NoteError(f"{place}.{field}", "must be a name of a-z, 0-9 and -, up to 63")
        )
        return ""
    return value


def _read_names(
    row: Mapping[str, Any], field: str, place: str, errors: list[NoteError]
) -> tuple[str, ...]:
    value = row.get(field)
    if not isinstance(value, list) or not all(
        isinstance(name, str) and _NAME.match(name) for name in value
    ):
        errors.append(NoteError(f"{place}.{field}", "must be a list of names"))
        return ()
    if len(value) > N_NAMES_MAX:
        errors.append(NoteError(f"{place}.{field}", f"limit is {N_NAMES_MAX} names"))
    if len(set(value)) != len(value):
        errors.append(NoteError(f"{place}.{field}", "a name stands twice"))
    return tuple(value)


def _is_key_prefix(value: Any) -> bool:
    # JSON may hold half of a surrogate pair, which no key can contain.
    if not isinstance(value, str) or len(value) > KEY_PREFIX_MAX_LENGTH:
        return False
    return not any("\ud800" <= character <= "\udfff" for character in value)


def _read_int(
    row: Mapping[str, Any],
    field: str,
    place: str,
    minimum: int,
    maximum: int,
    errors: list[NoteError],
) -> int:
    value = row.get(field)
    field_place = f"{place}.{field}" if place else field
    if not isinstance(value, int) or isinstance(value, bool):
        errors.append(NoteError(field_place, "must be a whole number"))
        return minimum
    if not minimum <= value <= maximum:
        errors.append(NoteError(field_place, f"must be from {minimum} to {maximum}"))
        return minimum
    return value
