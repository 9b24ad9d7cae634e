"""Values keep their types through the codec, and invalid bytes are rejected."""

import cbor2
import pytest

from bergamotferry.commands import ReleaseQuarantine
from bergamotferry.fleet_messages import FleetChanges
from bergamotferry.fleet_tables import Retired
from bergamotferry.messages import AppendEntries, LogEntry, Member, RequestHead
from bergamotferry.records import ShardId
from bergamotferry_host.codec import DecodeError, decode, encode

TAG = 40100
SHARD = ShardId("testlog", "", 17)
HEAD = RequestHead(
    "id", "a", "testlog", "lookup", "k", SHARD, "GET", 9, "", "", "", "", 1, 1
)
APPEND = AppendEntries(
    "dc:a",
    2,
    Member("h", "1", True),
    1,
    1,
    (LogEntry(2, 2, ReleaseQuarantine("f")),),
    1,
    5,
)


@pytest.mark.parametrize(
    "value",
    [
        (7, 1, b"data"),
        (7, 0, HEAD),
        (0, 7, APPEND),
        (1, (), ("a", (None, True, 1.5, 1 << 63))),
        {"rows": (SHARD, SHARD)},
        # Untagged text and arrays that look like a message are not decoded as one.
        ("ShardId", "testlog", "", 17),
    ],
)
def test_decoded_value_has_the_encoded_types(value):
    decoded = decode(encode(value))
    assert decoded == value
    assert _types(decoded) == _types(value)


def test_hosts_of_the_version_before_can_read_changes_without_new_fields():
    fields = ["p", True, 1, [], 1, 1, b"", [], [], [], [], 1]
    before = cbor2.dumps(cbor2.CBORTag(TAG, ["FleetChanges", *fields]))
    changes = FleetChanges("p", True, 1, (), 1, 1, b"", (), (), (), (), 1)
    assert encode(changes) == before
    assert decode(before) == changes
    retired = changes._replace(retired=(Retired("u", 1, "gone"),))
    assert decode(encode(retired)) == retired
    confirmed = changes._replace(confirmed_age_ms=0)
    assert decode(encode(confirmed)) == confirmed
    assert decode(before).confirmed_age_ms == -1


def test_decoded_maps_are_mutable():
    decoded = decode(encode({"n": 1}))
    decoded["n"] = 2
    assert decoded == {"n": 2}


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"", "bad CBOR"),
        (b"\xff", "bad CBOR"),
        (cbor2.dumps(cbor2.CBORTag(TAG + 1, ["ShardId", "t", "", 1])), "unknown tag"),
        (cbor2.dumps(cbor2.CBORTag(TAG, "ShardId")), "unknown tag"),
        (cbor2.dumps(cbor2.CBORTag(TAG, ["Popen", "sh"])), "unknown type"),
        (cbor2.dumps(cbor2.CBORTag(TAG, [["ShardId"], 1])), "unknown type"),
        (cbor2.dumps([1, cbor2.CBORTag(TAG, ["ShardId", "t"])]), "wrong number"),
        (cbor2.dumps(cbor2.CBORTag(TAG, [])), "bad CBOR"),
        (cbor2.dumps(cbor2.CBORTag(TAG, ["ReadIndex", "g", 1])), "wrong number"),
        (b"\x81" * 5000 + b"\x00", "bad CBOR"),
    ],
)
def test_invalid_bytes_raise_a_decode_error(data, message):
    with pytest.raises(DecodeError, match=message):
        decode(data)


def _types(value):
    if isinstance(value, tuple):
        return (type(value), [_types(item) for item in value])
    if isinstance(value, dict):
        return (type(value), [_types(item) for item in value.values()])
    return type(value)
