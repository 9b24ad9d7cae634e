"""The clock of every lease and deadline.

``CLOCK_BOOTTIME`` goes on while the machine is suspended, so that a lease does not seem
fresh to a host that has slept through it.
"""

import time

_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now_ns() -> int:
    """Return the monotonic time in nanoseconds."""
    return time.clock_gettime_ns(_CLOCK_ID)
