"""Finds the connections whose answers are not read.

It answers callers that read slowly or not at all: what they have not read stays in the
memory of the host. A connection is ended once none of it was read for some time; the
caller sees an incomplete answer.
"""

from collections.abc import Mapping
from typing import NamedTuple

UNREAD_TIMEOUT_NS = 10_000_000_000


class Unread(NamedTuple):
    """The bytes of a connection that its caller has not read, and since when."""

    n_bytes: int
    since_ns: int


def update_unread(
    known: Mapping[int, Unread], n_bytes_by_connection: Mapping[int, int], now_ns: int
) -> tuple[dict[int, Unread], list[int]]:
    """Return what is unread by connection, and the connections to end.

    Parameters
    ----------
    known : mapping
        What this function returned last.
    n_bytes_by_connection : mapping
        The bytes that now are unread; connections without any are left out.
    now_ns : int
        The time, on the clock of the former calls.
    """
    unread = {}
    for connection, n_bytes in n_bytes_by_connection.items():
        before = known.get(connection)
        is_same = before is not None and before.n_bytes == n_bytes
        unread[connection] = before if before and is_same else Unread(n_bytes, now_ns)
    ended = [
        connection
        for connection, (_, since_ns) in unread.items()
        if now_ns - since_ns >= UNREAD_TIMEOUT_NS
    ]
    return unread, ended
