"""Runs a host under cProfile, to attribute the processor time of its requests.

Takes the flags of ``bergamotferryd``. When the host stops, the profile is written to
``<process id>.profile`` in the folder that ``BERGAMOTFERRY_PROFILE`` names.
"""

import cProfile
import os
from pathlib import Path

from bergamotferry_host.main import main as run_host

PROFILE_VARIABLE = "BERGAMOTFERRY_PROFILE"


def main() -> None:
    """Run the daemon and write the profile."""
    profile = cProfile.Profile()
    try:
        profile.runcall(run_host)
    finally:
        folder = Path(os.environ[PROFILE_VARIABLE])
        profile.dump_stats(folder / f"{os.getpid()}.profile")


if __name__ == "__main__":
    main()
