"""Client accounts in direct mode: their rows, and the account of a request."""

from .identity import (
    allows_region,
    bearer_key,
    carries_key,
    has_common_region,
    identify_caller,
    request_priority,
)
from .rows import Account, index_keys, key_digest

__all__ = [
    "Account",
    "allows_region",
    "bearer_key",
    "carries_key",
    "has_common_region",
    "identify_caller",
    "index_keys",
    "key_digest",
    "request_priority",
]
