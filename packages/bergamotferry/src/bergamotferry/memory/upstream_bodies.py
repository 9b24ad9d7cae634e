"""Bounds the bytes of bodies that a host has under way to one upstream.

It answers many large bodies at once: an upstream ends if the requests that it holds
exceed its memory, which no host knows. Large bodies to one upstream therefore follow
each other. Small ones are not counted, and one body is always sent, whatever its size.
"""

UNCOUNTED_MAX_BYTES = 64 * 1024
UNDER_WAY_MAX_BYTES = 64 * 1024 * 1024


def counted_bytes(n_body_bytes: int) -> int:
    """Return the bytes of a body that count toward those under way."""
    return n_body_bytes if n_body_bytes > UNCOUNTED_MAX_BYTES else 0


def may_take_body(n_under_way: int, n_body_bytes: int) -> bool:
    """Return whether an upstream may take a body beside those that are under way."""
    n_bytes = counted_bytes(n_body_bytes)
    return not (n_under_way and n_bytes) or n_under_way + n_bytes <= UNDER_WAY_MAX_BYTES
