"""Decoding of the platform's manifest to a configuration."""

import json

import pytest

from bergamotferry.configuration import (
    CallerLimits,
    Configuration,
    DirectRoute,
    DirectService,
    WeightedService,
)
from bergamotferry_platform.manifest import decode_manifest


def manifest():
    return {
        "version": "0000001f",
        "resources": [
            {
                "resource-kind": "routes",
                "metadata": {"name": "filing"},
                "spec": {
                    "hostname": "one.example",
                    "path-prefix": "/f/",
                    "route-type": "unsafe",
                    "timeout-ms": 1200,
                    "slo-latency-ms": 600,
                    "priority": 1,
                    "service": "log",
                    "max-attempts": 2,
                    "allowed-regions": ["north"],
                },
            },
            {
                "resource-kind": "routes",
                "metadata": {"name": "lookup"},
                "spec": {
                    "hostname": "one.example",
                    "path-prefix": "/l/",
                    "route-type": "safe",
                    "timeout-ms": 1000,
                    "slo-latency-ms": 500,
                    "priority": 2,
                    "traffic-split": [
                        {"service": "log", "weight": 90},
                        {"service": "archive", "weight": 10},
                    ],
                    "max-attempts": 3,
                    "allowed-regions": [],
                },
            },
            {
                "resource-kind": "services",
                "metadata": {"name": "log"},
                "spec": {
                    "health-path": "/up",
                    "max-connections": 130,
                    "warmup-s": 3.0,
                    "warmup-per-s": 3.6,
                },
            },
            {
                "resource-kind": "services",
                "metadata": {"name": "archive"},
                "spec": {"health-path": "/up", "sharded": True, "warm-s": 2.0},
            },
            {
                "resource-kind": "limits",
                "metadata": {},
                "spec": {
                    "max-header-bytes": 100,
                    "max-body-bytes": 200,
                    "header-timeout-ms": 300,
                    "idle-timeout-ms": 400,
                },
            },
            {"resource-kind": "future-kind", "metadata": {"name": "x"}, "spec": {}},
        ],
    }


def manifest_with_change(path, value):
    """Return a manifest in which the item at a path is changed, or deleted for None."""
    content = manifest()
    target = content
    for key in path[:-1]:
        target = target[key]
    if value is None:
        del target[path[-1]]
    else:
        target[path[-1]] = value
    return json.dumps(content).encode()


def test_manifest_is_decoded_to_a_configuration():
    assert decode_manifest(json.dumps(manifest()).encode()) == Configuration.from_rows(
        31,
        [
            DirectRoute(
                "filing",
                "one.example",
                "/f/",
                "unsafe",
                1200,
                600,
                1,
                2,
                (WeightedService("log", 1.0),),
                ("north",),
            ),
            DirectRoute(
                "lookup",
                "one.example",
                "/l/",
                "safe",
                1000,
                500,
                2,
                3,
                (WeightedService("log", 90.0), WeightedService("archive", 10.0)),
                (),
            ),
        ],
        [
            DirectService("log", "/up", 130, 3.0, 3.6, False, 0.0),
            DirectService("archive", "/up", 0, 0.0, 0.0, True, 2.0),
        ],
        CallerLimits(100, 200, 300, 400),
    )


ROUTE = ("resources", 0, "spec")
SPLIT = ("resources", 1, "spec", "traffic-split")


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), "1f"),
        (("version",), 31),
        (("version",), None),
        (("resources",), {}),
        (("resources", 0, "metadata"), {}),
        (("resources", 0, "spec"), []),
        ((*ROUTE, "service"), "unknown"),
        ((*ROUTE, "service"), None),
        ((*ROUTE, "path-prefix"), "f/"),
        ((*ROUTE, "route-type"), "other"),
        ((*ROUTE, "timeout-ms"), 600_001),
        ((*ROUTE, "timeout-ms"), True),
        ((*ROUTE, "timeout-ms"), "1200"),
        ((*ROUTE, "slo-latency-ms"), 61_200),
        ((*ROUTE, "max-attempts"), 0),
        ((*ROUTE, "allowed-regions"), "north"),
        ((*ROUTE, "path-prefix"), "/l/"),
        ((*SPLIT, 0, "weight"), -1),
        (SPLIT, []),
        (SPLIT, [{"service": "log", "weight": 0}]),
        ((*SPLIT, 0, "weight"), 10**400),
        ((*ROUTE, "max-attempts"), 10**400),
        ((*ROUTE, "service"), "\ud800"),
        ((*ROUTE, "allowed-regions"), ["\ud800"]),
        (("resources", 2, "metadata", "name"), "\udc00"),
        (("resources", 2, "spec", "warmup-s"), 10**400),
    ],
)
def test_invalid_manifest_is_rejected_with_reasons(path, value):
    errors = decode_manifest(manifest_with_change(path, value))
    assert isinstance(errors, list)
    assert all(error.place and error.detail for error in errors)
    assert errors


@pytest.mark.parametrize("end", [0, 1, 40, -1])
def test_truncated_manifest_is_rejected(end):
    assert isinstance(decode_manifest(json.dumps(manifest()).encode()[:end]), list)


def test_deep_nesting_is_rejected():
    assert isinstance(decode_manifest(b"[" * 100_000), list)
