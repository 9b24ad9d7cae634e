"""Decoding of the platform's manifest to a configuration."""

import json

import pytest

from bergamotferry.accounts import Account, key_digest
from bergamotferry.configuration import (
    CallerLimits,
    Configuration,
    ConfigurationError,
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


TENANTS = [
    {
        "resource-kind": "tenants",
        "metadata": {"name": "office"},
        "spec": {
            "api-keys": ["k-1", "k-2"],
            "priority": 1,
            "rate-per-s": 167,
            "burst-size": 83.5,
            "allowed-regions": ["north"],
        },
    },
    {
        "resource-kind": "tenants",
        "metadata": {"name": "plain"},
        "spec": {"api-keys": ["k-3"]},
    },
]


def test_tenants_are_decoded_to_accounts():
    content = manifest()
    content["resources"] += TENANTS
    content["resources"][1]["spec"]["allow-anonymous"] = True
    configuration = decode_manifest(json.dumps(content).encode())
    office = Account(
        "office", (key_digest("k-1"), key_digest("k-2")), 1, ("north",), 167.0, 83.5
    )
    plain = Account("plain", (key_digest("k-3"),), None, (), 0.0, 0.0)
    assert configuration.accounts == (office, plain)
    assert configuration.account_by_key == {
        key_digest("k-1"): office,
        key_digest("k-2"): office,
        key_digest("k-3"): plain,
    }
    allows_anonymous = [route.allows_anonymous for route in configuration.routes]
    assert allows_anonymous == [False, True]


def with_faults(*faults):
    """Return a manifest with tenants and with faults, each a path and its value."""
    content = manifest()
    content["resources"] += json.loads(json.dumps(TENANTS))
    for path, value in faults:
        target = content
        for key in path[:-1]:
            target = target[key]
        target[path[-1]] = value
    return json.dumps(content).encode()


KEYS = ("resources", 7, "spec", "api-keys")
UNKNOWN = ((*ROUTE, "service"), "none")
SAME_PREFIX = ((*ROUTE, "path-prefix"), "/l/")
NO_WEIGHT = ((*SPLIT[:-1], "traffic-split"), [{"service": "log", "weight": 0}])
LONG_TIMEOUT = ((*ROUTE, "timeout-ms"), 600_001)
LATE_OBJECTIVE = ((*ROUTE, "slo-latency-ms"), 61_200)
NO_SLASH = ((*ROUTE, "path-prefix"), "f/")
SHARED_KEY = (KEYS, ["k-9", "k-2"])
NO_TEXT = (KEYS, [7])
SAME_NAME = (("resources", 7, "metadata", "name"), "office")
# Each case of the page that makes a configuration invalid, and its one error.
FAULTS = [
    (UNKNOWN, ("filing", "unknown service none")),
    (SAME_PREFIX, ("lookup", "host and prefix stand twice")),
    (NO_WEIGHT, ("lookup", "the weights add up to 0")),
    (LONG_TIMEOUT, ("filing", "the timeout is not within 600000 ms")),
    (LATE_OBJECTIVE, ("filing", "the latency objective is far above the timeout")),
    (NO_SLASH, ("filing", "the path prefix does not begin with a slash")),
    (SHARED_KEY, ("plain", "key number 2 is also one of account office")),
    (SAME_NAME, ("office", "the account stands twice")),
    (NO_TEXT, ("plain.api-keys", "is no list of texts")),
    (
        (("resources", 6, "spec", "rate-per-s"), "167"),
        ("office.rate-per-s", "is no number from 0 on"),
    ),
    (
        (("resources", 6, "spec", "priority"), None),
        ("office.priority", "is no whole number from 0 to 9223372036854775807"),
    ),
    (
        ((*ROUTE, "allow-anonymous"), 1),
        ("filing.allow-anonymous", "is neither true nor false"),
    ),
    ((("version",), 12345678), ("manifest.version", "is not eight hexadecimal digits")),
    ((("resources",), {}), ("manifest.resources", "is no list")),
    ((("resources", 5), "x"), ("resources.5", "is no object")),
    ((("resources", 7, "spec"), []), ("plain", "is no object")),
    ((("resources", 2, "spec"), []), ("log", "is no object")),
    ((("resources", 7, "metadata"), 1), ("resources.7.metadata.name", "is missing")),
    (
        (("resources", 7, "resource-kind"), 1),
        ("resources.7.resource-kind", "is no text"),
    ),
]


@pytest.mark.parametrize(("fault", "error"), FAULTS)
def test_each_fault_has_one_located_error(fault, error):
    """Guards against operators who must guess what is wrong, or see it repeated."""
    assert decode_manifest(with_faults(fault)) == [ConfigurationError(*error)]


def test_all_faults_are_reported_at_once():
    """Guards against one fault per attempt: those of types hid all others."""
    for keys in (SHARED_KEY, NO_TEXT):
        faults = (LONG_TIMEOUT, NO_WEIGHT, keys)
        expected = [error for fault, error in FAULTS if fault in faults]
        assert sorted(decode_manifest(with_faults(*faults))) == sorted(expected)


@pytest.mark.parametrize("n_bytes", [0, 1, 400, -1])
def test_configuration_that_ends_too_early_has_one_error(n_bytes):
    errors = decode_manifest(with_faults()[:n_bytes])
    assert errors == [ConfigurationError("manifest", "is no JSON")]


@pytest.mark.parametrize("source", [b"[]", b"1", b"null", b'"text"'])
def test_configuration_that_is_no_object_has_one_error(source):
    assert decode_manifest(source) == [ConfigurationError("manifest", "is no object")]


def test_errors_contain_no_key():
    """Guards against keys in replies to operators and in the logs of their tools."""
    errors = decode_manifest(with_faults(SHARED_KEY, NO_SLASH))
    assert len(errors) == 2
    assert "k-2" not in repr(errors)
