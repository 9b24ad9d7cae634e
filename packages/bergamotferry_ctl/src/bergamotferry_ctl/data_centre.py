"""Computes the capacity left after a data centre changes its state.

It also makes the release note that changes the state.
"""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from bergamotferry.note_check import Configuration
from bergamotferry.records import DataCentre


class CapacityRow(NamedTuple):
    """Slots that serve one key space, before and after a change.

    A key space is all keys of a service, or only those of one of its home regions.
    ``domain`` names the home region, and is empty for the service as a whole.
    """

    service: str
    domain: str
    regions: str
    n_slots_before: int
    n_slots_after: int


def capacity_rows(
    configuration: Configuration,
    upstreams: Iterable[Mapping[str, Any]],
    changed: DataCentre,
) -> list[CapacityRow]:
    """Return the slots of each service and home region, before and after a change.

    Only upstreams in state ``serving`` count, and only in data centres in state ``in``.
    """
    before = configuration.data_centres
    after = {**before, changed.name: changed}
    serving = [upstream for upstream in upstreams if upstream["state"] == "serving"]
    every_region = frozenset(data_centre.region for data_centre in before.values())
    key_spaces = [(name, "", every_region) for name in sorted(configuration.services)]
    key_spaces += [
        (home.service, home.name, frozenset(home.regions))
        for home in configuration.home_regions.values()
        if home.key_prefix
    ]
    return [
        CapacityRow(
            service,
            domain,
            ",".join(sorted(regions)),
            _n_slots(serving, service, regions, before),
            _n_slots(serving, service, regions, after),
        )
        for service, domain, regions in key_spaces
    ]


def key_spaces_without_capacity(rows: Iterable[CapacityRow]) -> list[CapacityRow]:
    """Return the key spaces that would lose their last upstream."""
    return [row for row in rows if row.n_slots_before and not row.n_slots_after]


def note_for_state(changed: DataCentre, revision: int) -> dict[str, Any]:
    """Return the release note that gives a data centre its new state."""
    return {
        "number": revision + 1,
        "based_on": revision,
        "changed": {"data_centres": [changed._asdict()]},
    }


def _n_slots(
    upstreams: Iterable[Mapping[str, Any]],
    service: str,
    regions: frozenset[str],
    data_centres: Mapping[str, DataCentre],
) -> int:
    total = 0
    for upstream in upstreams:
        data_centre = data_centres.get(upstream["data_centre"])
        if data_centre is None or data_centre.state != "in":
            continue
        if upstream["service"] == service and data_centre.region in regions:
            total += upstream["n_slots"]
    return total
