"""Decoding of the platform's pings to heartbeats."""

import json

import pytest

from bergamotferry.upstream_load import UpstreamLoad, expected_ms
from bergamotferry.upstream_sessions import Heartbeat
from bergamotferry_host.codec import decode as decode_message
from bergamotferry_host.codec import encode
from bergamotferry_platform.heartbeat import (
    COLD_MAX_MS,
    N_SLOTS_MAX,
    decode_heartbeat,
)

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
        {"service": "\ud800"},
        {"service": "x" * 2_000},
        {"version": "\udfff"},
        {"zone": "\ud800"},
        {"address": "10.0.0.9:" + "9" * 5_000},
        {"slots": 10**400},
        {"warmup-left-ms": 10**400},
        {"sequence": 10**400},
        {"born": 10**400},
        {"born": 10**14},
    ],
)
def test_ping_with_an_invalid_field_is_rejected(changes):
    errors = decode(**changes)
    assert isinstance(errors, list)
    assert errors


@pytest.mark.parametrize(
    "source",
    [
        b"",
        b"{",
        b"[]",
        b"\xff\xfe",
        b"null",
        b"[" * 9999,
        b'{"slots": ' + b"9" * 9_999 + b"}",
        b'{"x": ' * 9_999,
    ],
)
def test_undecodable_ping_is_rejected(source):
    assert isinstance(decode_heartbeat("i-1", source, {"a"}), list)


@pytest.mark.parametrize("name", ["\ud800", "\udcff", "x" * 2_000])
def test_ping_whose_path_is_no_text_is_rejected(name):
    source = json.dumps(BODY).encode()
    assert isinstance(decode_heartbeat(name, source, {"a"}), list)


def test_every_accepted_ping_can_be_sent_to_other_hosts():
    """Guards against an odd ping that ends the hosts that pass it on or weigh it."""
    odd_texts = ["", "\x00", "é" * 100, "\U0001f600", "\ud83d\ude00"]
    odd_numbers = [0, 1, 2**31, 2**53 - 1, N_SLOTS_MAX, COLD_MAX_MS]
    texts = [{name: text} for name in ("service", "version") for text in odd_texts]
    numbers = [
        {name: number}
        for name in ("slots", "sequence", "born", "warmup-left-ms")
        for number in odd_numbers
    ]
    n_accepted = 0
    for changes in texts + numbers:
        heartbeat = decode(**changes)
        if isinstance(heartbeat, list):
            continue
        n_accepted += 1
        assert decode_message(encode(heartbeat)) == heartbeat
        load = UpstreamLoad(heartbeat.n_slots)
        assert expected_ms(load, 100.0, 1_000_000_000) > 0
    assert n_accepted >= 20
