"""Client accounts in direct mode: their rows, and the account of a request."""

from .freshness import (
    NOT_CONFIRMED_MS,
    confirmed_age_ms,
    confirmed_at_ns,
    trusts_keys,
)
from .identity import (
    allows_region,
    bearer_key,
    carries_key,
    common_regions,
    has_common_region,
    identify_caller,
    request_priority,
)
from .rows import Account, index_keys, key_digest

__all__ = [
    "NOT_CONFIRMED_MS",
    "Account",
    "allows_region",
    "common_regions",
    "bearer_key",
    "carries_key",
    "confirmed_age_ms",
    "confirmed_at_ns",
    "has_common_region",
    "identify_caller",
    "index_keys",
    "key_digest",
    "request_priority",
    "trusts_keys",
]
