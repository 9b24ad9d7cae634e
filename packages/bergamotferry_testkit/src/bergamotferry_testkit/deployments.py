"""Shapes of the first two users' deployments, and the first release note of each."""

import hashlib
from typing import Any, NamedTuple


class ServiceShape(NamedTuple):
    """A service of a deployment and its upstreams; ``n_slots`` is per upstream."""

    name: str
    n_upstreams: int
    n_slots: int
    n_shards: int
    service_time_ms: float


class RouteShape(NamedTuple):
    """A route and its share of the load, from 0 to 1."""

    service: str
    name: str
    method: str
    traffic_class: str
    deadline_ms: int
    share: float


class DeploymentShape(NamedTuple):
    """A deployment: data centres by region, hosts, services, routes, home region."""

    name: str
    regions: dict[str, tuple[str, ...]]
    n_hosts_per_data_centre: int
    services: tuple[ServiceShape, ...]
    routes: tuple[RouteShape, ...]
    home_prefix: str
    home_region: str


EZO_LUMEN = DeploymentShape(
    "ezo-lumen",
    {
        "ishikari": ("ishikari-a", "ishikari-b"),
        "kamikawa": ("kamikawa-a", "kamikawa-b"),
    },
    2,
    (
        ServiceShape("testlog", 33, 2, 256, 5.0),
        ServiceShape("archive", 8, 2, 64, 10.0),
    ),
    (
        RouteShape("testlog", "lookup", "GET", "lookup", 3000, 0.85),
        RouteShape("testlog", "filing", "POST", "filing", 10_000, 0.12),
        RouteShape("archive", "bundle", "GET", "bulk", 30_000, 0.03),
    ),
    "asahikawa-",
    "kamikawa",
)

CONSORZIO = DeploymentShape(
    "consorzio",
    {"lombardia": ("milano", "bergamo"), "veneto": ("padova", "treviso")},
    2,
    (
        ServiceShape("registro", 22, 3, 256, 5.0),
        ServiceShape("bozze", 8, 3, 64, 10.0),
    ),
    (
        RouteShape("registro", "ephemeris", "GET", "lookup", 3000, 0.85),
        RouteShape("registro", "imprint", "POST", "filing", 10_000, 0.12),
        RouteShape("bozze", "proof", "GET", "bulk", 30_000, 0.03),
    ),
    "verona-",
    "veneto",
)

SHAPES = {shape.name: shape for shape in (EZO_LUMEN, CONSORZIO)}

# Tokens by account of the simulated callers. Account "home" is limited to the home
# region.
CALLER_TOKENS = {"inspectors": "caller-token-inspectors", "home": "caller-token-home"}


def first_note(shape: DeploymentShape) -> dict[str, Any]:
    """Return the first release note of a deployment, which adds all its entities."""
    services = [service.name for service in shape.services]
    return {
        "number": 1,
        "based_on": 0,
        "added": {
            "data_centres": [
                {"name": name, "region": region}
                for region, names in shape.regions.items()
                for name in names
            ],
            "services": [
                {"name": service.name, "n_shards": service.n_shards}
                for service in shape.services
            ],
            "routes": [_route(route) for route in shape.routes],
            "accounts": [
                {
                    "name": name,
                    "token_sha256": hashlib.sha256(token.encode()).hexdigest(),
                    "services": services,
                    "max_in_flight": 1000,
                }
                for name, token in CALLER_TOKENS.items()
            ],
            "home_regions": [
                {
                    "name": "home",
                    "service": shape.services[0].name,
                    "key_prefix": shape.home_prefix,
                    "accounts": ["home"],
                    "regions": [shape.home_region],
                }
            ],
        },
    }


def _route(route: RouteShape) -> dict[str, Any]:
    return {
        "service": route.service,
        "name": route.name,
        "method": route.method,
        "is_idempotent": route.method == "GET",
        "traffic_class": route.traffic_class,
        "deadline_ms": route.deadline_ms,
        "max_body_bytes": 65536 if route.method == "POST" else 0,
    }
