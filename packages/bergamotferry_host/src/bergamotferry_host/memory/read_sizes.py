"""Chooses how much is read of a connection at one time while a body arrives.

Small reads bound what the HTTP library holds on many connections. Each read costs a
turn of the event loop, so a body of 64 MiB in reads of 16 KiB takes over 4,000 turns
and most of the host's processor time. A large body of stated length is read in larger
parts, as long as so much of it is left that the room which it holds already covers what
the library has of it. Nothing behind the body is then read in a larger part.
"""

from asyncio import BaseTransport

from .waiting_bodies import READ_BUFFER_BYTES

LARGE_READ_BYTES = 128 * 1024
# The part that is read, the one that the library keeps, and one of each behind them.
N_READS_HELD = 4


def read_bytes(n_left_bytes: int) -> int:
    """Return how many bytes to read at one time.

    Parameters
    ----------
    n_left_bytes : int
        Bytes of the body that have not arrived yet; 0 if the length isn't known.

    Returns
    -------
    int
        Bytes, ``READ_BUFFER_BYTES`` or ``LARGE_READ_BYTES``.
    """
    is_large = n_left_bytes >= N_READS_HELD * LARGE_READ_BYTES
    return LARGE_READ_BYTES if is_large else READ_BUFFER_BYTES


def limit_reads(transport: BaseTransport | None, n_left_bytes: int = 0) -> None:
    """Bound what is read of a connection at one time, all of which is parsed at once.

    Parameters
    ----------
    transport : asyncio.BaseTransport or None
        The connection. One that has no such bound, or is closed, is left as it is.
    n_left_bytes : int
        Bytes that are left of the body that arrives; 0 if the length isn't known.
    """
    if transport is not None and hasattr(transport, "max_size"):
        transport.max_size = read_bytes(n_left_bytes)
