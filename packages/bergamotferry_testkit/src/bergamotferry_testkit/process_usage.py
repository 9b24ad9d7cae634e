"""Reads the usage of processes and of loopback so far, as counted by Linux."""

import os
from pathlib import Path

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_BYTES_PER_KB = 1024
# Indexes of the fields of /proc/<pid>/stat after the closing bracket of the command.
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12
# Index in the row of an interface in /proc/net/dev, after the colon.
_SENT_BYTES_FIELD = 8


def cpu_time_s(pid: int) -> float:
    """Return the processor time of a process in seconds, user and system mode."""
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    n_ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    return n_ticks / _TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process; 0 if Linux reports none."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * _BYTES_PER_KB
    return 0


def loopback_bytes() -> int:
    """Return the bytes sent on loopback, including the headers of TCP and IP."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, fields = line.partition(":")
        if name.strip() == "lo":
            return int(fields.split()[_SENT_BYTES_FIELD])
    return 0
