"""Checks a release note against the configuration in force.

The configuration that would result from the note is built first, and its references and
bounds are checked. So one note may withdraw an entity together with everything that
refers to the entity, and every error is found at once. Nothing here changes a table.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from .records import (
    Account,
    DataCentre,
    HomeRegion,
    Route,
    Service,
    ShardHome,
    ShardId,
)
from .release_note import Entity, NoteError, ReleaseNote, entity_key

N_ENTITIES_MAX: dict[str, int] = {
    "data_centres": 64,
    "services": 256,
    "routes": 2048,
    "accounts": 10_000,
    "home_regions": 512,
}
N_SHARDS_TOTAL_MAX = 131_072
N_RETIRED_NAMES_MAX = 10_000
N_NAMES_SHOWN = 5


class Configuration(NamedTuple):
    """The entities that operators have set, and the tables that withdrawals depend on.

    ``shard_homes`` shows which data centres still hold shards. ``retired_names`` are
    the withdrawn services and the withdrawn home regions with a key prefix. Grants of
    their shards may outlive them for a while in a data centre that is partitioned away,
    so these names can never be used again.
    """

    data_centres: Mapping[str, DataCentre]
    services: Mapping[str, Service]
    routes: Mapping[str, Route]
    accounts: Mapping[str, Account]
    home_regions: Mapping[str, HomeRegion]
    shard_homes: Mapping[ShardId, ShardHome]
    retired_names: Mapping[str, int]


def check_note(before: Configuration, note: ReleaseNote) -> list[NoteError]:
    """Return every error in a note, or an empty list if it may be applied."""
    after = with_note(before, note)
    return [
        *_check_existence(before, note),
        *_check_changes(before, note),
        *_check_references(after, note),
        *_check_withdrawn_data_centres(before, note),
        *_check_home_prefixes(before, after, note),
        *_check_tokens(after, note),
        *_check_bounds(before, after, note),
    ]


def with_note(before: Configuration, note: ReleaseNote) -> Configuration:
    """Return the configuration that would result from a note."""
    tables: dict[str, Any] = {
        kind: dict(rows_of(before, kind)) for kind in N_ENTITIES_MAX
    }
    for entity in note.added + note.changed:
        kind, name = entity_key(entity)
        tables[kind][name] = entity
    for kind, name in note.withdrawn:
        tables[kind].pop(name, None)
    return before._replace(**tables)


def rows_of(configuration: Configuration, kind: str) -> Mapping[str, Entity]:
    """Return the rows of one kind, such as ``routes``, by name."""
    rows: Mapping[str, Entity] = getattr(configuration, kind)
    return rows


def retired_by(before: Configuration, note: ReleaseNote) -> list[str]:
    """Return the names that a note withdraws for good."""
    retired: list[str] = []
    for kind, name in note.withdrawn:
        home = before.home_regions.get(name) if kind == "home_regions" else None
        if kind == "services" or (home is not None and home.key_prefix):
            retired.append(f"{kind} {name}")
    return retired


def _check_existence(before: Configuration, note: ReleaseNote) -> list[NoteError]:
    errors: list[NoteError] = []
    for entity in note.added:
        kind, name = entity_key(entity)
        if name in rows_of(before, kind):
            errors.append(NoteError(f"added.{kind} {name}", "exists already"))
        elif f"{kind} {name}" in before.retired_names:
            errors.append(
                NoteError(
                    f"added.{kind} {name}",
                    "was withdrawn before; the name can't be used again",
                )
            )
    for entity in note.changed:
        kind, name = entity_key(entity)
        if name not in rows_of(before, kind):
            errors.append(NoteError(f"changed.{kind} {name}", "does not exist"))
    for kind, name in note.withdrawn:
        if name not in rows_of(before, kind):
            errors.append(NoteError(f"withdrawn.{kind} {name}", "does not exist"))
    return errors


def _check_changes(before: Configuration, note: ReleaseNote) -> list[NoteError]:
    errors: list[NoteError] = []
    for entity in note.changed:
        kind, name = entity_key(entity)
        known = rows_of(before, kind).get(name)
        if known is not None:
            place = f"changed.{kind} {name}"
            texts = _change_errors(before, known, entity)
            errors.extend(NoteError(place, text) for text in texts)
    return errors


def _change_errors(before: Configuration, known: Entity, entity: Entity) -> list[str]:
    match known, entity:
        case Service(), Service() if known.n_shards != entity.n_shards:
            return ["n_shards can't change while keys are owned"]
        case DataCentre(), DataCentre():
            texts: list[str] = []
            if entity.region != known.region:
                texts.append("a data centre can't change its region")
            if known.state == "fenced" and entity.state != "fenced":
                texts.append("a fenced data centre can't return: others own its keys")
            return texts
        case HomeRegion(), HomeRegion():
            return _home_change_errors(before, known, entity)
    return []


def _home_change_errors(
    before: Configuration, known: HomeRegion, entity: HomeRegion
) -> list[str]:
    texts: list[str] = []
    if entity.service != known.service:
        texts.append("a home region can't change its service")
    if entity.key_prefix != known.key_prefix:
        texts.append("key_prefix can't change: keys are owned")
    holders = {
        home.data_centre
        for shard, home in before.shard_homes.items()
        if shard.domain == known.name
    }
    left_out = [
        name
        for name in sorted(holders)
        if name in before.data_centres
        and before.data_centres[name].region not in entity.regions
    ]
    if left_out:
        texts.append(f"its keys are still owned in {_summarize_names(left_out)}")
    return texts


def _check_references(after: Configuration, note: ReleaseNote) -> list[NoteError]:
    """Return an error for each row that names a missing entity.

    The place of the error is the row if the note adds or changes the row, and otherwise
    the withdrawal of the entity that the row names.
    """
    place_by_entity = {entity_key(entity): "added" for entity in note.added}
    place_by_entity |= {entity_key(entity): "changed" for entity in note.changed}
    texts_by_place: dict[str, list[str]] = {}
    for kind in N_ENTITIES_MAX:
        for name, entity in rows_of(after, kind).items():
            for target in _missing_targets(after, entity):
                if (kind, name) in place_by_entity:
                    place = f"{place_by_entity[kind, name]}.{kind} {name}"
                    texts_by_place.setdefault(place, []).append(f"unknown {target}")
                else:
                    place = f"withdrawn.{target}"
                    texts_by_place.setdefault(place, []).append(f"{kind} {name}")
    return [
        NoteError(
            place,
            f"{_summarize_names(texts)} still refer to it"
            if place.startswith("withdrawn.")
            else f"names {_summarize_names(texts)}",
        )
        for place, texts in texts_by_place.items()
    ]


def _missing_targets(after: Configuration, entity: Entity) -> list[str]:
    targets: list[str] = []
    if isinstance(entity, Route | HomeRegion) and entity.service not in after.services:
        targets.append(f"services {entity.service}")
    if isinstance(entity, Account):
        targets += [
            f"services {name}" for name in entity.services if name not in after.services
        ]
    if isinstance(entity, HomeRegion):
        regions = {row.region for row in after.data_centres.values()}
        targets += [
            f"accounts {name}" for name in entity.accounts if name not in after.accounts
        ]
        targets += [
            f"data_centres of region {name}"
            for name in entity.regions
            if name not in regions
        ]
    return targets


def _check_withdrawn_data_centres(
    before: Configuration, note: ReleaseNote
) -> list[NoteError]:
    errors: list[NoteError] = []
    for kind, name in note.withdrawn:
        known = before.data_centres.get(name) if kind == "data_centres" else None
        if known is None:
            continue
        place = f"withdrawn.{kind} {name}"
        if known.state == "in":
            errors.append(NoteError(place, "is in; take it out first"))
        n_shards = sum(
            name in (home.data_centre, home.next_data_centre)
            for home in before.shard_homes.values()
        )
        if n_shards:
            errors.append(NoteError(place, f"still holds {n_shards} shards"))
    return errors


def _check_home_prefixes(
    before: Configuration, after: Configuration, note: ReleaseNote
) -> list[NoteError]:
    # If a prefix were added to a live service or withdrawn from it, the keys with the
    # prefix would change their shards, and so get a second owner.
    errors: list[NoteError] = []
    for entity in note.added:
        if isinstance(entity, HomeRegion) and entity.key_prefix:
            if entity.service in before.services:
                errors.append(
                    NoteError(
                        f"added.home_regions {entity.name}",
                        "a key_prefix can only be added together with its service",
                    )
                )
    for kind, name in note.withdrawn:
        home = before.home_regions.get(name) if kind == "home_regions" else None
        if home is not None and home.key_prefix and home.service in after.services:
            errors.append(
                NoteError(
                    f"withdrawn.home_regions {name}",
                    "a key_prefix can only be withdrawn together with its service",
                )
            )
    prefix_uses = Counter(
        (home.service, home.key_prefix)
        for home in after.home_regions.values()
        if home.key_prefix
    )
    for entity in note.added + note.changed:
        if isinstance(entity, HomeRegion):
            if prefix_uses[entity.service, entity.key_prefix] > 1:
                place = f"home_regions {entity.name}"
                errors.append(NoteError(place, "another one has the same key_prefix"))
    return errors


def _check_tokens(after: Configuration, note: ReleaseNote) -> list[NoteError]:
    uses = Counter(account.token_sha256 for account in after.accounts.values())
    return [
        NoteError(f"accounts {entity.name}", "another account has the same token")
        for entity in note.added + note.changed
        if isinstance(entity, Account) and uses[entity.token_sha256] > 1
    ]


def _check_bounds(
    before: Configuration, after: Configuration, note: ReleaseNote
) -> list[NoteError]:
    errors = [
        NoteError(kind, f"would be {len(rows_of(after, kind))}, limit is {maximum}")
        for kind, maximum in N_ENTITIES_MAX.items()
        if len(rows_of(after, kind)) > maximum
    ]
    n_domains = Counter(
        home.service for home in after.home_regions.values() if home.key_prefix
    )
    n_shards = sum(
        row.n_shards * (1 + n_domains[row.name]) for row in after.services.values()
    )
    if n_shards > N_SHARDS_TOTAL_MAX:
        text = f"would have {n_shards} shards in all, limit is {N_SHARDS_TOTAL_MAX}"
        errors.append(NoteError("services", text))
    n_retired = len(before.retired_names) + len(retired_by(before, note))
    if n_retired > N_RETIRED_NAMES_MAX:
        text = f"over {N_RETIRED_NAMES_MAX} names would be withdrawn for good"
        errors.append(NoteError("withdrawn", text))
    return errors


def _summarize_names(names: Iterable[str]) -> str:
    """Return names as text: the first `N_NAMES_SHOWN`, and the number of the others."""
    all_names = list(names)
    text = ", ".join(all_names[:N_NAMES_SHOWN])
    n_more = len(all_names) - N_NAMES_SHOWN
    return f"{text} and {n_more} more" if n_more > 0 else text
