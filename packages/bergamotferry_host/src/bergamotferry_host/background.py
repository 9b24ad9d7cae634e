"""Logs failures that no code awaits: in tasks, in the event loop and in libraries.

Each failure is logged as one line with the type of the exception and its place in the
code. Its message is never logged, since the message may contain data from a caller.
"""

import asyncio
import logging
import traceback
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from .logs import log_error, log_warning


def start_task(
    coroutine: Coroutine[Any, Any, Any], tasks: set[Any]
) -> asyncio.Task[Any]:
    """Start a task that no code awaits; ``tasks`` references the task until it ends."""
    task = asyncio.get_running_loop().create_task(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    task.add_done_callback(report_failure)
    return task


def report_failure(task: "asyncio.Task[Any]") -> None:
    """Log the failure of a task, if it failed; for use as a done callback."""
    if not task.cancelled() and (error := task.exception()) is not None:
        log_failure(error)


def log_failure(error: BaseException) -> None:
    """Log an exception that no other code handles."""
    log_error("task_failed", error=type(error).__name__, place=_place(error))


def log_loop_failures(loop: asyncio.AbstractEventLoop) -> None:
    """Make the event loop log unhandled failures instead of printing tracebacks."""

    def on_failure(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None:
            log_failure(error)
        else:
            # asyncio writes the text before the first bracket. The text after it may
            # describe an object of this program, with data from a caller.
            description = context.get("message", "").partition("<")[0]
            log_error("task_failed", error="", place=description)

    loop.set_exception_handler(on_failure)


def log_library_failures() -> None:
    """Log warnings and errors of libraries as lines, without tracebacks on stderr."""
    logging.getLogger().addHandler(_LibraryHandler(logging.WARNING))


class _LibraryHandler(logging.Handler):
    """Logs the library, the type and the place of a failure."""

    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        name = type(error).__name__ if error is not None else ""
        place = _place(error) if error is not None else ""
        log_warning("library_failed", library=record.name, error=name, place=place)


def _place(error: BaseException) -> str:
    locations = [
        f"{Path(frame.f_code.co_filename).stem}:{frame.f_code.co_name}:{line}"
        for frame, line in traceback.walk_tb(error.__traceback__)
    ]
    return " ".join(locations)
