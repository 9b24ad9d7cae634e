"""Response bodies that derive from the request, so that a caller can verify them."""

import hashlib
import json

BLOCK_BYTES = 64 * 1024


def lookup_answer(service: str, route: str, key: str) -> bytes:
    """Return the response body of a lookup."""
    digest = hashlib.sha256(f"{service} {route} {key}".encode()).hexdigest()
    return json.dumps({"key": key, "digest": digest}).encode()


def filing_answer(service: str, route: str, key: str, body: bytes) -> bytes:
    """Return the response body of a filing."""
    digest = hashlib.sha256(f"{service} {route} {key} ".encode() + body).hexdigest()
    return json.dumps({"key": key, "filed": digest}).encode()


def archive_block(key: str, number: int) -> bytes:
    """Return block ``number`` of an archive, `BLOCK_BYTES` long."""
    seed = hashlib.sha256(f"{key} {number}".encode()).digest()
    return seed * (BLOCK_BYTES // len(seed))


def archive_size_bytes(key: str, size_bytes: int) -> int:
    """Return the size of an archive in bytes.

    This is ``size_bytes`` rounded down to whole blocks, but at least one block.
    """
    return max(1, size_bytes // BLOCK_BYTES) * BLOCK_BYTES
