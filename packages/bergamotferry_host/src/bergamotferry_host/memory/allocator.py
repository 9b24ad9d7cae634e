"""Makes the C library return the memory of large objects as soon as they are freed.

By default the size from which it does so grows with use, up to 32 MiB. Bodies of some
MiB then come from a heap in which they leave gaps, and the process keeps more memory
than it holds.
"""

import ctypes

_M_MMAP_THRESHOLD = -3
MAPPED_MIN_BYTES = 256 * 1024


def return_large_objects() -> None:
    """Fix the size from which objects have memory of their own, where that works."""
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_option is not None:
        set_option(_M_MMAP_THRESHOLD, MAPPED_MIN_BYTES)
