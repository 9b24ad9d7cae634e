"""What a host keeps for spill: loads, shares and counters of each service."""

from collections import Counter
from dataclasses import dataclass, field

from bergamotferry.configuration import Configuration, DirectRoute
from bergamotferry.spill.link import LinkUse
from bergamotferry.spill.loads import bound_priorities
from bergamotferry.spill.service import ServiceSpill


@dataclass(slots=True)
class RouteIndex:
    """The routes whose requests may leave, and the bound priorities, by service."""

    version: int = 0
    free_routes: dict[str, list[DirectRoute]] = field(default_factory=dict)
    bound: dict[str, dict[int, tuple[str, ...]]] = field(default_factory=dict)

    @classmethod
    def from_config(cls, configuration: Configuration) -> "RouteIndex":
        """Return the index of a configuration."""
        bound = bound_priorities(configuration.routes, configuration.accounts)
        index = cls(configuration.version, bound=bound)
        for route in configuration.routes:
            for part in route.services:
                if part.weight > 0 and not route.home_regions:
                    index.free_routes.setdefault(part.service, []).append(route)
        return index


@dataclass(slots=True)
class HostSpill:
    """Spill of one host.

    ``services`` has an entry for each service of which a row has arrived. ``sends``
    counts sends by service, distance and reason of the place. ``n_far_bytes`` are the
    bytes of answers to requests that were sent to another region by choice.
    """

    services: dict[str, ServiceSpill] = field(default_factory=dict)
    routes: RouteIndex = field(default_factory=RouteIndex)
    link: LinkUse = field(default_factory=LinkUse)
    sends: Counter[tuple[str, ...]] = field(default_factory=Counter)
    n_far_bytes: int = 0
