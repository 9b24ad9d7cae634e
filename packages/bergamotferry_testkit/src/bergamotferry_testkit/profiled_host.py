"""A host run under cProfile, to see where a request's processor time goes.

Takes the flags of ``bergamotferryd``. The profile is written at the planned stop, into
the folder that ``BERGAMOTFERRY_PROFILE`` names, in a file named after the process.
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
