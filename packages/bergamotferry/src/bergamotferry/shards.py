"""Mapping of keys to shards.

The hash covers the service, the domain and the key, so that equal keys of two services
map to unrelated shards. The mapping keeps no state per key; keys with a shard of their
own are in ``key_exceptions``.
"""

from collections.abc import Iterable

import xxhash

from .records import HomeRegion, ShardId

_SEPARATOR = b"\x00"


def shard_of_key(
    service: str, n_shards: int, home_regions: Iterable[HomeRegion], key: str
) -> ShardId:
    """Return the shard of a key.

    Parameters
    ----------
    service : str
        Name of the service.
    n_shards : int
        Number of shards in each domain of the service.
    home_regions : iterable of HomeRegion
        All home regions; those of other services are ignored.
    key : str
        The caller's key.

    Returns
    -------
    ShardId
        The same shard for the same key on every host.
    """
    home = home_region_of_key(service, home_regions, key)
    domain = home.name if home else ""
    return ShardId(service, domain, hash_key(service, domain, key) % n_shards)


def hash_key(service: str, domain: str, key: str) -> int:
    """Return the 64-bit hash of a key, which determines its shard."""
    text = _SEPARATOR.join((service.encode(), domain.encode(), key.encode()))
    return xxhash.xxh3_64_intdigest(text)


def home_region_of_key(
    service: str, home_regions: Iterable[HomeRegion], key: str
) -> HomeRegion | None:
    """Return the home region with the longest prefix that matches a key, if any."""
    matching = [
        home
        for home in home_regions
        if home.service == service
        and home.key_prefix
        and key.startswith(home.key_prefix)
    ]
    return max(matching, key=lambda home: len(home.key_prefix), default=None)
