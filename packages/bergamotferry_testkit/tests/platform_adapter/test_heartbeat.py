"""Decoding of the platform's pings to heartbeats."""

import json

import pytest

from bergamotferry.upstream_sessions import Heartbeat
from bergamotferry_platform.heartbeat import decode_heartbeat

BODY = {
    "service": "log",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "warmup-left-ms": 0,
    "sequence": 4,
    "born": 1700000000000,
}


def decode(**changes):
    content = {
        name: value for name, value in {**BODY, **changes}.items() if value is not None
    }
    return decode_heartbeat("i-1", json.dumps(content).encode(), {"a", "b"})


def test_ping_is_decoded_to_a_heartbeat():
    assert decode() == Heartbeat(
        "i-1",
        1700000000000,
        4,
        "log",
        "10.0.0.9:8080",
        "a",
        "v1",
        3,
        "ready",
        0,
    )
    assert decode(born=None).born_ms == 0
    assert decode(state="draining").phase == "draining"


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"service": ""},
        {"service": 7},
        {"address": "10.0.0.9"},
        {"address": "host:80"},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:99999"},
        {"zone": "elsewhere"},
        {"slots": True},
        {"slots": 0},
        {"slots": "3"},
        {"state": "resting"},
        {"state": None},
        {"sequence": None},
        {"sequence": 1.5},
        {"sequence": -1},
        {"born": "yesterday"},
        {"born": True},
        {"warmup-left-ms": -1},
    ],
)
def test_ping_with_an_invalid_field_is_rejected(changes):
    errors = decode(**changes)
    assert isinstance(errors, list)
    assert errors


@pytest.mark.parametrize(
    "source", [b"", b"{", b"[]", b"\xff\xfe", b"null", b"[" * 9999]
)
def test_undecodable_ping_is_rejected(source):
    assert isinstance(decode_heartbeat("i-1", source, {"a"}), list)
