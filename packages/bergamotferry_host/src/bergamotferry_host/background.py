"""Failures that nobody waits for: of tasks, of the loop, and of libraries.

Each is one line of log. It tells the failure's type and its place in the code, never
its text: that may hold what a caller sent.
"""

import asyncio
import logging
import traceback
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from .logs import log_error, log_warning


def start_task(work: Coroutine[Any, Any, Any], tasks: set[Any]) -> asyncio.Task[Any]:
    """Start work that nobody waits for; it is kept in ``tasks`` until it ends."""
    task = asyncio.get_running_loop().create_task(work)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    task.add_done_callback(report_failure)
    return task


def report_failure(task: "asyncio.Task[Any]") -> None:
    """Read how a task ended, and log a failure; for use as a done callback."""
    if not task.cancelled() and (error := task.exception()) is not None:
        log_failure(error)


def log_failure(error: BaseException) -> None:
    """Write the line about a failure that nobody is left to handle."""
    log_error("task_failed", error=type(error).__name__, place=_place(error))


def log_loop_failures(loop: asyncio.AbstractEventLoop) -> None:
    """Have the loop log the failures that reach it, instead of printing tracebacks."""

    def on_failure(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None:
            log_failure(error)
        else:
            # The text of asyncio's own; what follows a bracket is of ours or a caller.
            why = context.get("message", "").partition("<")[0]
            log_error("task_failed", error="", place=why)

    loop.set_exception_handler(on_failure)


def log_library_failures() -> None:
    """Have libraries' own loggers write our lines, instead of tracebacks on stderr."""
    logging.getLogger().addHandler(_LibraryHandler(logging.WARNING))


class _LibraryHandler(logging.Handler):
    """Tells which library met a failure, and where."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        name = type(error).__name__ if error is not None else ""
        place = _place(error) if error is not None else ""
        log_warning("library_failed", library=record.name, error=name, place=place)


def _place(error: BaseException) -> str:
    places = [
        f"{Path(frame.f_code.co_filename).stem}:{frame.f_code.co_name}:{line}"
        for frame, line in traceback.walk_tb(error.__traceback__)
    ]
    return " ".join(places)
