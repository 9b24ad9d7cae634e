"""Configurations are compressed for many small hosts and restored without loss."""

import json
import random

import pytest

from bergamotferry.answer_link import BYTES_PER_MS_OF_ONE_MBPS
from bergamotferry.configuration_text import compress_text, decompress_text

N_ROUTES = 2_000
# Bandwidth of the smallest host links, and how long a new configuration may occupy one.
LINK_MBPS = 2.6
LINK_TIME_MAX_MS = 400.0


def random_name(rng: random.Random) -> str:
    return "".join(rng.choice("abcdefghij0123456789") for _ in range(8))


def large_configuration() -> bytes:
    rng = random.Random(1)
    routes = [
        {
            "name": random_name(rng),
            "hostname": f"{random_name(rng)}.example",
            "prefix": f"/{random_name(rng)}/",
            "kind": rng.choice(["safe", "unsafe"]),
            "timeout": rng.randrange(800, 2_000),
            "objective": 500,
            "services": [{"service": "archive", "weight": 90}],
            "regions": ["north"],
        }
        for _ in range(N_ROUTES)
    ]
    return json.dumps({"version": "0000001f", "routes": routes}).encode()


def test_compressed_large_configuration_occupies_a_small_link_briefly():
    text = large_configuration()
    compressed = compress_text(text)
    assert decompress_text(compressed) == text
    assert len(text) / (LINK_MBPS * BYTES_PER_MS_OF_ONE_MBPS) > 2 * LINK_TIME_MAX_MS
    assert len(compressed) / (LINK_MBPS * BYTES_PER_MS_OF_ONE_MBPS) < LINK_TIME_MAX_MS


@pytest.mark.parametrize("text", [b"", b"{}", b'{"version": "1"}', bytes(range(256))])
def test_any_text_is_restored(text):
    assert decompress_text(compress_text(text)) == text


def test_uncompressed_text_of_an_earlier_log_is_read():
    assert decompress_text(b'{"version": "1"}') == b'{"version": "1"}'
    assert decompress_text(b"") == b""


def test_damaged_bytes_raise_value_error():
    compressed = compress_text(b'{"version": "1"}')
    with pytest.raises(ValueError, match="damaged"):
        decompress_text(compressed[:-1])
