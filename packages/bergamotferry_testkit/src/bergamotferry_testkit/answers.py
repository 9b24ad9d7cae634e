"""Bodies that derive from the request, so that a caller can check what it got."""

import hashlib
import json

BLOCK_BYTES = 64 * 1024


def lookup_answer(service: str, route: str, key: str) -> bytes:
    """Return the body of a lookup."""
    digest = hashlib.sha256(f"{service} {route} {key}".encode()).hexdigest()
    return json.dumps({"key": key, "digest": digest}).encode()


def filing_answer(service: str, route: str, key: str, body: bytes) -> bytes:
    """Return the body of a filing's answer."""
    digest = hashlib.sha256(f"{service} {route} {key} ".encode() + body).hexdigest()
    return json.dumps({"key": key, "filed": digest}).encode()


def archive_block(key: str, number: int) -> bytes:
    """Return one block of an archive bundle."""
    seed = hashlib.sha256(f"{key} {number}".encode()).digest()
    return seed * (BLOCK_BYTES // len(seed))


def archive_size_bytes(key: str, size_bytes: int) -> int:
    """Return the size of an archive, in whole blocks."""
    return max(1, size_bytes // BLOCK_BYTES) * BLOCK_BYTES
