"""Rows of client accounts, and their keys as digests.

Rows may end up in log lines and errors, so they contain no key.
"""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple


class Account(NamedTuple):
    """A client account of a configuration in direct mode.

    ``key_digests`` are those of its API keys. Without a ``priority`` its requests have
    that of their route. Without ``home_regions`` they may be served in any region. A
    ``rate_per_s`` of 0 is no limit.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None
    home_regions: tuple[str, ...]
    rate_per_s: float
    burst: float


def key_digest(key: str) -> bytes:
    """Return the digest by which an API key is known."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


def index_keys(accounts: Iterable[Account]) -> dict[bytes, Account]:
    """Return the account of each key, by the key's digest."""
    return {digest: account for account in accounts for digest in account.key_digests}
