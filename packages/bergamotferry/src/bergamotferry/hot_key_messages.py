"""Messages about hot keys, which stay among the hosts of one data centre.

A key is told by its hash, as its home shard is.
"""

from typing import NamedTuple

from .records import ShardId


class KeyRate(NamedTuple):
    """How many requests for a key a dispatcher gets; the key is told by its hash."""

    home: ShardId
    key_hash: int
    rate_per_s: float


class ListHotKeys(NamedTuple):
    """An operator asks, within a data centre, which keys are hot there."""


class ExceptionRow(NamedTuple):
    """A key, by its hash, that has a shard of its own, and who holds that."""

    home: ShardId
    key_hash: int
    shard: ShardId
    upstream: str
    state: str


class HotKeyList(NamedTuple):
    """The exceptions of a data centre, and the rates that one dispatcher counts."""

    exceptions: tuple[ExceptionRow, ...]
    rates: tuple[KeyRate, ...]
