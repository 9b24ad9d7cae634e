"""Entry point of ``bergamotferryd``."""

import asyncio
import sys
import traceback

from .background import log_library_failures
from .daemon import run_daemon
from .data_folder import DataFolderError
from .disk_log import DiskLogDamaged
from .logs import end_process, start_logs
from .settings import settings_from_process


def main() -> None:
    """Run the daemon with settings from the command line and the environment."""
    settings = settings_from_process(sys.argv[1:])
    listener = start_logs(
        settings.host.name, settings.host.data_centre, settings.log_level
    )
    log_library_failures()
    status = 0
    try:
        asyncio.run(run_daemon(settings))
    except (DataFolderError, DiskLogDamaged) as error:
        print(f"bergamotferryd: {error}", file=sys.stderr)
        status = 1
    except Exception:
        # `end_process` still writes the log lines that preceded the failure.
        traceback.print_exc()
        status = 1
    end_process(listener, status)


if __name__ == "__main__":
    main()
