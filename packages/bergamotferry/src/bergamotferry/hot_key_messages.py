"""Messages about hot keys, exchanged only among the hosts of one data centre.

A message identifies a key by its home shard and its hash, never by its text.
"""

from typing import NamedTuple

from .records import ShardId


class KeyRate(NamedTuple):
    """The rate of requests for one key, as counted by its dispatcher."""

    home: ShardId
    key_hash: int
    rate_per_s: float


class ListHotKeys(NamedTuple):
    """Asks, for an operator, which keys are hot in this data centre."""


class ExceptionRow(NamedTuple):
    """A key that has a shard of its own, and the upstream and state of its grant."""

    home: ShardId
    key_hash: int
    shard: ShardId
    upstream: str
    state: str


class HotKeyList(NamedTuple):
    """The exceptions of a data centre, and the key rates that one host counts."""

    exceptions: tuple[ExceptionRow, ...]
    rates: tuple[KeyRate, ...]
