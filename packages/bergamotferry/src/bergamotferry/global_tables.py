"""Tables of the global group: the configuration, and the data centre of each shard.

The tables hold no data of any request. `apply_global_command` is the only writer. It is
deterministic, so every replica that has applied the same log holds the same tables.
"""

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import NamedTuple

from .commands import (
    ApplyNote,
    BeginHandover,
    Command,
    FinishHandover,
    PlaceShards,
)
from .note_check import Configuration, check_note, retired_by
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
    ReleaseNote,
    content_sha256,
    entity_key,
    errors_text,
    parse_note_text,
)
from .result_codes import ResultCode

N_NOTES_KEPT = 4096
# Marks a field that is derived from other fields and therefore left out of snapshots.
DERIVED = MappingProxyType({"is_derived": True})


@dataclass(slots=True)
class GlobalTables:
    """State of the global group; each table holds one row per entity, by its name."""

    revision: int = 0
    data_centres: dict[str, DataCentre] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    home_regions: dict[str, HomeRegion] = field(default_factory=dict)
    shard_homes: dict[ShardId, ShardHome] = field(default_factory=dict)
    notes: dict[int, NoteRecord] = field(default_factory=dict)
    retired_names: dict[str, int] = field(default_factory=dict)
    # Derived from the accounts: filled on first use, cleared by each release note.
    accounts_by_token: dict[str, Account] = field(
        default_factory=dict, compare=False, repr=False, metadata=DERIVED
    )


class RegionRule(NamedTuple):
    """The regions that a request may reach, and the home regions that set the rule."""

    regions: frozenset[str]
    home_regions: tuple[str, ...]


def apply_global_command(tables: GlobalTables, command: Command) -> Accepted | Refused:
    """Apply a committed command to the tables.

    Returns
    -------
    Accepted or Refused
        Refused if the command's condition does not hold; the tables are unchanged
        then. A release note that is applied a second time gets the result of the first.
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


def configuration_of(tables: GlobalTables) -> Configuration:
    """Return the configuration in force, in the form that ``note_check`` reads."""
    return Configuration(
        tables.data_centres,
        tables.services,
        tables.routes,
        tables.accounts,
        tables.home_regions,
        tables.shard_homes,
        tables.retired_names,
    )


def unplaced_shards(tables: GlobalTables) -> list[ShardId]:
    """Return the shards of all services that have no data centre yet."""
    return [shard for shard in all_shards(tables) if shard not in tables.shard_homes]


def all_shards(tables: GlobalTables) -> list[ShardId]:
    """Return every shard of every service, also those in domains of home regions."""
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


def is_withdrawn(tables: GlobalTables, shard: ShardId) -> bool:
    """Return whether a shard's service or home region was withdrawn for good.

    A shard that is only unknown is not withdrawn: these tables may lag behind the
    release note that adds the shard.
    """
    retired = tables.retired_names
    return (
        f"services {shard.service}" in retired
        or f"home_regions {shard.domain}" in retired
    )


def region_rule(
    tables: GlobalTables, service: str, domain: str, account: str
) -> RegionRule | None:
    """Return where a request may be sent, served and stored; None if anywhere."""
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
        errors = errors + check_note(configuration_of(tables), note)
    if note is None or errors:
        return Refused(ResultCode.NOTE_INVALID, errors_text(errors))
    _put_in_force(tables, note)
    tables.revision = command.number
    tables.notes[command.number] = NoteRecord(command.number, digest, command.number)
    while len(tables.notes) > N_NOTES_KEPT:
        del tables.notes[min(tables.notes)]
    return Accepted(command.number)


def _put_in_force(tables: GlobalTables, note: ReleaseNote) -> None:
    for retired in retired_by(configuration_of(tables), note):
        tables.retired_names[retired] = note.number
    tables.accounts_by_token.clear()
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


def _place_shards(tables: GlobalTables, command: PlaceShards) -> Accepted:
    unplaced = set(unplaced_shards(tables))
    for shard, data_centre in zip(command.shards, command.data_centres, strict=True):
        if shard in unplaced:
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
