"""Configuration of a deployment in direct mode: its validity rules and route lookup.

Operators replace the whole configuration, and the highest version is in force. A
configuration that breaks a rule is refused, with a list of all its errors. The route
lookup therefore relies on the rules without checking them again.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

from .accounts import Account, index_keys, request_priority

RouteKind = Literal["safe", "unsafe", "download"]

TIMEOUT_MAX_MS = 600_000
OBJECTIVE_OVER_TIMEOUT_MAX_MS = 60_000
N_SHARD_KEYS = 65_536


class WeightedService(NamedTuple):
    """A service that gets a share of a route's requests, by weight."""

    service: str
    weight: float


class DirectRoute(NamedTuple):
    """Requests for one host name under one path prefix.

    An answer within ``latency_objective_ms`` has its full value to the caller.
    ``priority`` 0 is the most urgent. Without ``home_regions``, requests may be served
    in any region. ``allows_anonymous`` is whether requests without an account are
    served although there are accounts.
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
    allows_anonymous: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether requests of the route may run more than once."""
        return self.kind != "unsafe"

    @property
    def full_value_ms(self) -> int:
        """Time within which an answer has its full value.

        Without a latency objective, which is 0 then, it is the timeout.
        """
        return self.latency_objective_ms or self.timeout_ms


class DirectService(NamedTuple):
    """How to probe the upstreams of a service, and how much load they can take.

    A cold upstream can take ``cold_per_s`` requests a second for ``cold_s`` seconds.
    Keys of a sharded service that moved without a handover are slow for ``key_warm_s``
    seconds.
    """

    name: str
    health_path: str
    n_connections_max: int
    cold_s: float
    cold_per_s: float
    is_sharded: bool
    key_warm_s: float


class CallerLimits(NamedTuple):
    """Limits on what a caller may send, and on how long it may take or stay idle."""

    header_max_bytes: int = 16_384
    body_max_bytes: int = 67_108_864
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000


class ConfigurationError(NamedTuple):
    """An error of a configuration, and the route or account that it concerns."""

    place: str
    detail: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """Routes, services, limits and accounts of one version, with indexes.

    ``most_urgent`` is the priority of the most urgent requests of each service.
    ``account_by_key`` has the accounts by digest of their keys.
    """

    version: int
    routes: tuple[DirectRoute, ...] = ()
    services: dict[str, DirectService] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    routes_by_prefix: dict[tuple[str, str], DirectRoute] = field(default_factory=dict)
    most_urgent: dict[str, int] = field(default_factory=dict)
    accounts: tuple[Account, ...] = ()
    account_by_key: dict[bytes, Account] = field(default_factory=dict)

    @property
    def needs_keys(self) -> bool:
        """Whether every route needs an API key."""
        is_any_open = any(route.allows_anonymous for route in self.routes)
        return bool(self.accounts) and not is_any_open

    @classmethod
    def from_rows(
        cls,
        version: int,
        routes: Iterable[DirectRoute],
        services: Iterable[DirectService],
        limits: CallerLimits,
        accounts: Iterable[Account] = (),
    ) -> "Configuration":
        """Return a configuration with its indexes."""
        listed_routes = tuple(routes)
        listed_accounts = tuple(accounts)
        return cls(
            version,
            listed_routes,
            {service.name: service for service in services},
            limits,
            {(route.host_name, route.path_prefix): route for route in listed_routes},
            _most_urgent(listed_routes, listed_accounts),
            listed_accounts,
            index_keys(listed_accounts),
        )


def check_configuration(configuration: Configuration) -> list[ConfigurationError]:
    """Return all errors of a configuration; the list is empty if it is valid."""
    errors: list[ConfigurationError] = []
    prefixes: set[tuple[str, str]] = set()
    for route in configuration.routes:
        prefix = (route.host_name, route.path_prefix)
        if prefix in prefixes:
            errors.append(ConfigurationError(route.name, "host and prefix stand twice"))
        prefixes.add(prefix)
        errors += _check_route(route, configuration.services)
    return errors + _check_accounts(configuration.accounts)


def find_route(
    configuration: Configuration, host_name: str, path: str
) -> DirectRoute | None:
    """Return the route with the longest prefix that matches the path, or None."""
    end = path.rfind("/")
    while end >= 0:
        prefix = path[: end + 1]
        route = configuration.routes_by_prefix.get((host_name, prefix))
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def is_most_urgent(
    configuration: Configuration,
    route: DirectRoute,
    service: str,
    account: Account | None = None,
) -> bool:
    """Return whether no other requests of a service are more urgent than these."""
    priority = request_priority(route.priority, account)
    return priority <= configuration.most_urgent.get(service, priority)


def choose_service(route: DirectRoute, fraction: float) -> str:
    """Return the service for one request, chosen by weight.

    Parameters
    ----------
    route : DirectRoute
        Route whose weights have any sum above 0.
    fraction : float
        Random number from 0 to 1, 1 excluded.
    """
    remaining = fraction * sum(part.weight for part in route.services)
    for part in route.services:
        remaining -= part.weight
        if remaining < 0:
            return part.service
    return next(p.service for p in reversed(route.services) if p.weight > 0)


def _most_urgent(
    routes: Iterable[DirectRoute], accounts: tuple[Account, ...]
) -> dict[str, int]:
    most_urgent: dict[str, int] = {}
    for route in routes:
        priority = _most_urgent_of_route(route, accounts)
        for part in route.services:
            if part.weight > 0:
                known = most_urgent.get(part.service, priority)
                most_urgent[part.service] = min(known, priority)
    return most_urgent


def _most_urgent_of_route(route: DirectRoute, accounts: tuple[Account, ...]) -> int:
    """Return the priority of the most urgent requests that a route may get."""
    priorities = {request_priority(route.priority, account) for account in accounts}
    if route.allows_anonymous or not accounts:
        priorities.add(route.priority)
    return min(priorities)


def _check_accounts(accounts: Iterable[Account]) -> list[ConfigurationError]:
    """Return the errors of accounts; keys are named by their position, from 1."""
    errors: list[ConfigurationError] = []
    names: set[str] = set()
    owners: dict[bytes, str] = {}
    for account in accounts:
        if account.name in names:
            errors.append(ConfigurationError(account.name, "the account stands twice"))
        names.add(account.name)
        if not _is_header_value(account.name):
            detail = "the name can't stand in a header"
            errors.append(ConfigurationError(account.name, detail))
        for number, digest in enumerate(account.key_digests, 1):
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                detail = f"key number {number} is also one of account {owner}"
                errors.append(ConfigurationError(account.name, detail))
    return errors


def _is_header_value(name: str) -> bool:
    """Return whether a name reaches an upstream unchanged in a header."""
    return bool(name) and name.isprintable() and name == name.strip()


def _check_route(
    route: DirectRoute, services: dict[str, DirectService]
) -> list[ConfigurationError]:
    details: list[str] = []
    details += [
        f"unknown service {part.service}"
        for part in route.services
        if part.service not in services
    ]
    if sum(part.weight for part in route.services) <= 0:
        details.append("the weights add up to 0")
    if any(part.weight < 0 for part in route.services):
        details.append("a weight is negative")
    if not route.path_prefix.startswith("/"):
        details.append("the path prefix does not begin with a slash")
    if not 0 < route.timeout_ms <= TIMEOUT_MAX_MS:
        details.append(f"the timeout is not within {TIMEOUT_MAX_MS} ms")
    excess_ms = route.latency_objective_ms - route.timeout_ms
    if excess_ms >= OBJECTIVE_OVER_TIMEOUT_MAX_MS:
        details.append("the latency objective is far above the timeout")
    return [ConfigurationError(route.name, text) for text in details]
