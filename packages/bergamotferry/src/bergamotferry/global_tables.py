"""Tables of the global group: configuration and the map from shards to data centres.

No data of any request is ever here. `apply_global_command` is the only writer, and is
deterministic, so every replica that has applied the same log holds the same tables.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from .commands import (
    ApplyNote,
    BeginHandover,
    Command,
    FinishHandover,
    PlaceShards,
)
from .outcomes import Accepted, Refused
from .records import (
    Account,
    DataCentre,
    HomeRegion,
    NoteRecord,
    Route,
    Service,
    ShardHome,
    ShardId,
)
from .release_note import (
    Entity,
    NoteError,
    ReleaseNote,
    content_sha256,
    entity_key,
    parse_note_text,
)
from .result_codes import ResultCode

N_NOTES_KEPT = 4096


@dataclass(slots=True)
class GlobalTables:
    """State of the global group; one row per entity, keyed by its name."""

    revision: int = 0
    data_centres: dict[str, DataCentre] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    home_regions: dict[str, HomeRegion] = field(default_factory=dict)
    shard_homes: dict[ShardId, ShardHome] = field(default_factory=dict)
    notes: dict[int, NoteRecord] = field(default_factory=dict)


class RegionRule(NamedTuple):
    """The regions that work may touch, and the home regions that say so."""

    regions: frozenset[str]
    home_regions: tuple[str, ...]


def apply_global_command(tables: GlobalTables, command: Command) -> Accepted | Refused:
    """Apply a committed command to the tables.

    Returns
    -------
    Accepted or Refused
        A command that comes a second time gets the answer of the first.
    """
    match command:
        case ApplyNote():
            return _apply_note(tables, command)
        case PlaceShards():
            return _place_shards(tables, command)
        case BeginHandover():
            return _begin_handover(tables, command)
        case FinishHandover():
            return _finish_handover(tables, command)
    return Accepted(tables.revision)


def check_note(tables: GlobalTables, note: ReleaseNote) -> list[NoteError]:
    """Return what stands against a note, given the configuration in force."""
    errors: list[NoteError] = []
    for entity in note.added:
        kind, name = entity_key(entity)
        if name in _table(tables, kind):
            errors.append(NoteError(f"added.{kind} {name}", "exists already"))
    for entity in note.changed:
        kind, name = entity_key(entity)
        if name not in _table(tables, kind):
            errors.append(NoteError(f"changed.{kind} {name}", "does not exist"))
        else:
            errors.extend(_check_change(tables, entity))
    for kind, name in note.withdrawn:
        if name not in _table(tables, kind):
            errors.append(NoteError(f"withdrawn.{kind} {name}", "does not exist"))
    return errors + _check_references(tables, note)


def unplaced_shards(tables: GlobalTables) -> list[ShardId]:
    """Return the shards of all services that have no data centre yet."""
    return [shard for shard in all_shards(tables) if shard not in tables.shard_homes]


def all_shards(tables: GlobalTables) -> list[ShardId]:
    """Return every shard of every service and home domain."""
    shards: list[ShardId] = []
    for service in tables.services.values():
        domains = [""] + [
            home.name
            for home in tables.home_regions.values()
            if home.service == service.name and home.key_prefix
        ]
        for domain in domains:
            shards.extend(
                ShardId(service.name, domain, index)
                for index in range(service.n_shards)
            )
    return shards


def regions_allowed_for_shard(tables: GlobalTables, shard: ShardId) -> frozenset[str]:
    """Return the regions in which a shard may be placed."""
    if shard.domain:
        return frozenset(tables.home_regions[shard.domain].regions)
    return frozenset(row.region for row in tables.data_centres.values())


def region_rule(
    tables: GlobalTables, service: str, domain: str, account: str
) -> RegionRule | None:
    """Return where a request may be served, sent and kept; None if anywhere."""
    binding = [
        home
        for home in tables.home_regions.values()
        if home.service == service and (home.name == domain or account in home.accounts)
    ]
    if not binding:
        return None
    regions = frozenset.intersection(*(frozenset(home.regions) for home in binding))
    return RegionRule(regions, tuple(sorted(home.name for home in binding)))


def _apply_note(tables: GlobalTables, command: ApplyNote) -> Accepted | Refused:
    digest = content_sha256(command.content)
    known = tables.notes.get(command.number)
    if known is not None:
        if known.content_sha256 == digest:
            return Accepted(known.revision)
        return Refused(
            ResultCode.NOTE_CONFLICT,
            f"note {command.number} was accepted before with other content",
        )
    if command.based_on != tables.revision:
        return Refused(
            ResultCode.NOTE_BASE_STALE,
            f"note is based on {command.based_on}, in force is {tables.revision}",
        )
    if command.number <= tables.revision:
        return Refused(
            ResultCode.NOTE_CONFLICT,
            f"number {command.number} is not above {tables.revision}, in force",
        )
    note, errors = parse_note_text(command.content)
    if note is not None:
        errors = errors + check_note(tables, note)
    if note is None or errors:
        text = "; ".join(f"{error.place}: {error.message}" for error in errors)
        return Refused(ResultCode.NOTE_INVALID, text)
    _put_in_force(tables, note)
    tables.revision = command.number
    tables.notes[command.number] = NoteRecord(command.number, digest, command.number)
    while len(tables.notes) > N_NOTES_KEPT:
        del tables.notes[min(tables.notes)]
    return Accepted(command.number)


def _put_in_force(tables: GlobalTables, note: ReleaseNote) -> None:
    for entity in note.added + note.changed:
        kind, name = entity_key(entity)
        _table(tables, kind)[name] = entity
    for kind, name in note.withdrawn:
        del _table(tables, kind)[name]
    domains = {home.name for home in tables.home_regions.values()}
    for shard in list(tables.shard_homes):
        is_known = shard.service in tables.services
        if not is_known or (shard.domain and shard.domain not in domains):
            del tables.shard_homes[shard]


def _check_change(tables: GlobalTables, entity: Entity) -> list[NoteError]:
    kind, name = entity_key(entity)
    place = f"changed.{kind} {name}"
    match entity:
        case Service():
            if entity.n_shards != tables.services[name].n_shards:
                return [NoteError(place, "n_shards can't change while keys are owned")]
        case DataCentre():
            if entity.region != tables.data_centres[name].region:
                return [NoteError(place, "a data centre can't change its region")]
        case HomeRegion():
            if entity.key_prefix != tables.home_regions[name].key_prefix:
                return [NoteError(place, "key_prefix can't change: keys are owned")]
    return []


def _check_references(tables: GlobalTables, note: ReleaseNote) -> list[NoteError]:
    errors: list[NoteError] = []
    entities = note.added + note.changed
    gone = set(note.withdrawn)
    new_services = {row.name for row in note.added if isinstance(row, Service)}
    services = set(tables.services) | new_services
    services -= {name for kind, name in gone if kind == "services"}
    regions = {row.region for row in tables.data_centres.values()}
    regions |= {row.region for row in entities if isinstance(row, DataCentre)}
    for entity in entities:
        kind, name = entity_key(entity)
        if isinstance(entity, Route | HomeRegion) and entity.service not in services:
            errors.append(NoteError(f"{kind} {name}", "names an unknown service"))
        if isinstance(entity, Account):
            for service in entity.services:
                if service not in services:
                    errors.append(
                        NoteError(f"{kind} {name}", f"names unknown {service}")
                    )
        if isinstance(entity, HomeRegion):
            for region in entity.regions:
                if region not in regions:
                    errors.append(
                        NoteError(f"{kind} {name}", f"names unknown region {region}")
                    )
    # A prefix that appears on a live service would give its keys a second owner.
    for entity in note.added:
        if isinstance(entity, HomeRegion) and entity.key_prefix:
            if entity.service not in new_services:
                errors.append(
                    NoteError(
                        f"added.home_regions {entity.name}",
                        "a key_prefix can only be added together with its service",
                    )
                )
    return errors


def _place_shards(tables: GlobalTables, command: PlaceShards) -> Accepted:
    known = set(unplaced_shards(tables))
    for shard, data_centre in zip(command.shards, command.data_centres, strict=True):
        if shard in known:
            tables.shard_homes[shard] = ShardHome(data_centre, 1, "")
    return Accepted(tables.revision)


def _begin_handover(tables: GlobalTables, command: BeginHandover) -> Accepted | Refused:
    home = tables.shard_homes.get(command.shard)
    if home is None or home.epoch != command.epoch:
        return Refused(ResultCode.STALE_EPOCH, "the shard has moved since")
    if not home.next_data_centre:
        tables.shard_homes[command.shard] = home._replace(
            next_data_centre=command.next_data_centre
        )
    return Accepted(home.epoch)


def _finish_handover(
    tables: GlobalTables, command: FinishHandover
) -> Accepted | Refused:
    home = tables.shard_homes.get(command.shard)
    if home is None or home.epoch != command.epoch or not home.next_data_centre:
        return Refused(ResultCode.STALE_EPOCH, "the shard has moved since")
    tables.shard_homes[command.shard] = ShardHome(
        home.next_data_centre, home.epoch + 1, ""
    )
    return Accepted(home.epoch + 1)


def _table(tables: GlobalTables, kind: str) -> dict[str, Entity]:
    table: dict[str, Entity] = getattr(tables, kind)
    return table
