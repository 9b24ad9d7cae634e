"""The clock for all leases and deadlines.

``CLOCK_BOOTTIME``, where the platform has it, also advances while the machine is
suspended, so that a lease that expired meanwhile is not taken for valid afterwards.
"""

import time

_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now_ns() -> int:
    """Return the monotonic time in nanoseconds."""
    return time.clock_gettime_ns(_CLOCK_ID)


def time_of_day_ms() -> int:
    """Return the time of day in ms since 1970, for records that people read."""
    return time.time_ns() // 1_000_000
