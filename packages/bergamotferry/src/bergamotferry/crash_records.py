"""Identifies a request by its content, whoever sends it again at whichever host."""

import hashlib

# Longer bodies are told apart by their length and their first part.
DIGESTED_BODY_MAX_BYTES = 1_048_576
DIGEST_BYTES = 16


def request_fingerprint(
    method: str, host_name: str, target: str, credentials: str, body: bytes
) -> str:
    """Return a digest of what is the same whenever a caller sends a request again."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host_name, target, credentials, str(len(body))):
        digest.update(part.encode("utf-8", "surrogateescape") + b"\x00")
    digest.update(memoryview(body)[:DIGESTED_BODY_MAX_BYTES])
    return digest.hexdigest()
