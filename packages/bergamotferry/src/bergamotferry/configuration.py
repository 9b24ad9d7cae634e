"""A whole configuration of a deployment that sends directly, and how a route is found.

Operators replace the whole; the highest version counts. A configuration that breaks a
rule is refused with all its errors at once, so nothing here has to guess.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

RouteKind = Literal["safe", "unsafe", "download"]

TIMEOUT_MAX_MS = 600_000
OBJECTIVE_OVER_TIMEOUT_MAX_MS = 60_000
N_SHARD_KEYS = 65_536


class WeightedService(NamedTuple):
    """A part of a route's requests."""

    service: str
    weight: float


class DirectRoute(NamedTuple):
    """Requests of one host name under one path prefix.

    ``latency_objective_ms`` is when an answer still earns its full worth; ``priority``
    0 is the most urgent; without ``home_regions`` a request may go anywhere.
    """

    name: str
    host_name: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    latency_objective_ms: int
    priority: int
    n_attempts_max: int
    services: tuple[WeightedService, ...]
    home_regions: tuple[str, ...]

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind != "unsafe"


class DirectService(NamedTuple):
    """A service's upstreams: how to probe them and what they bear.

    A cold upstream bears ``cold_per_s`` requests a second for ``cold_s``; keys of a
    sharded service that came without a handover are slow for ``key_warm_s``.
    """

    name: str
    health_path: str
    n_connections_max: int
    cold_s: float
    cold_per_s: float
    is_sharded: bool
    key_warm_s: float


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    header_max_bytes: int = 16_384
    body_max_bytes: int = 67_108_864
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000


class ConfigurationError(NamedTuple):
    """What is wrong, and with which route or service."""

    place: str
    detail: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """A version's routes, services and limits, with routes indexed for lookup."""

    version: int
    routes: tuple[DirectRoute, ...] = ()
    services: dict[str, DirectService] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    routes_by_place: dict[tuple[str, str], DirectRoute] = field(default_factory=dict)

    @classmethod
    def from_rows(
        cls,
        version: int,
        routes: Iterable[DirectRoute],
        services: Iterable[DirectService],
        limits: CallerLimits,
    ) -> "Configuration":
        """Return a configuration with its index."""
        rows = tuple(routes)
        return cls(
            version,
            rows,
            {row.name: row for row in services},
            limits,
            {(row.host_name, row.path_prefix): row for row in rows},
        )


def check_configuration(configuration: Configuration) -> list[ConfigurationError]:
    """Return everything that is wrong with a configuration; empty if it may be used."""
    errors: list[ConfigurationError] = []
    places: set[tuple[str, str]] = set()
    for route in configuration.routes:
        place = (route.host_name, route.path_prefix)
        if place in places:
            errors.append(ConfigurationError(route.name, "host and prefix stand twice"))
        places.add(place)
        errors += _check_route(route, configuration.services)
    return errors


def find_route(
    configuration: Configuration, host_name: str, path: str
) -> DirectRoute | None:
    """Return the route whose prefix is the longest that begins the path."""
    end = path.rfind("/")
    while end >= 0:
        prefix = path[: end + 1]
        route = configuration.routes_by_place.get((host_name, prefix))
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def choose_service(route: DirectRoute, fraction: float) -> str:
    """Return the service of one request.

    Parameters
    ----------
    route : DirectRoute
        Its weights need not add up to anything but must not all be 0.
    fraction : float
        Random within 0 to 1.
    """
    left = fraction * sum(part.weight for part in route.services)
    for part in route.services:
        left -= part.weight
        if left < 0:
            return part.service
    return next(p.service for p in reversed(route.services) if p.weight > 0)


def _check_route(
    route: DirectRoute, services: dict[str, DirectService]
) -> list[ConfigurationError]:
    wrong: list[str] = []
    wrong += [
        f"unknown service {part.service}"
        for part in route.services
        if part.service not in services
    ]
    if sum(part.weight for part in route.services) <= 0:
        wrong.append("the weights add up to 0")
    if any(part.weight < 0 for part in route.services):
        wrong.append("a weight is negative")
    if not route.path_prefix.startswith("/"):
        wrong.append("the path prefix does not begin with a slash")
    if not 0 < route.timeout_ms <= TIMEOUT_MAX_MS:
        wrong.append(f"the timeout is not within {TIMEOUT_MAX_MS} ms")
    over_ms = route.latency_objective_ms - route.timeout_ms
    if over_ms >= OBJECTIVE_OVER_TIMEOUT_MAX_MS:
        wrong.append("the latency objective is far above the timeout")
    return [ConfigurationError(route.name, text) for text in wrong]
