"""Writes log events as JSON lines.

A separate thread writes the lines of a bounded queue, so that a slow terminal can't
block the event loop; lines that do not fit into the queue are counted and dropped.
Lines about single requests are rate-limited as well, and are dropped first: the last
part of the queue is reserved for errors and for changes in the host's view of the
deployment. Request content is never logged: callers of `log` leave out keys.
"""

import contextlib
import logging
import logging.handlers
import os
import queue
import sys
import threading
from typing import Any, NoReturn

from pythonjsonlogger.json import JsonFormatter

from bergamotferry.line_budget import LineBudget, take_line, take_n_left_out

from .clock import now_ns

N_QUEUED_LINES_MAX = 10_000
# Lines about single requests are dropped once the queue holds this many lines.
N_QUEUED_LINES_ROUTINE_MAX = 8_000
# Ids and details come from outside the process, and must not make a line long.
FIELD_MAX_CHARACTERS = 200
# Longest wait at the end of the process for an output that accepts no more lines.
STOP_TIMEOUT_S = 0.5

_LOGGER = logging.getLogger("bergamotferry")
_BUDGETS: dict[str, LineBudget] = {}


class _DroppingHandler(logging.handlers.QueueHandler):
    """Drops lines when the queue is full, and counts them."""

    n_dropped = 0

    def __init__(self, lines: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(lines)
        self.lines = lines

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record itself; nothing modifies it, so no copy is needed."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.lines.put_nowait(record)
        except queue.Full:
            self.n_dropped += 1


def start_logs(
    host: str, data_centre: str, level: str
) -> logging.handlers.QueueListener:
    """Start writing logs to standard output; stop the listener to flush them."""
    # No line contains thread or process details, and looking them up slows each line.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    formatter = JsonFormatter(
        "%(levelname)s %(message)s",
        rename_fields={"levelname": "level", "message": "event"},
        # Timestamps are in UTC, since the lines of several hosts are merged.
        timestamp="time",
        static_fields={"host": host, "data_centre": data_centre},
    )
    output = logging.StreamHandler(sys.stdout)
    output.setFormatter(formatter)
    lines: queue.Queue[logging.LogRecord] = queue.Queue(N_QUEUED_LINES_MAX)
    handler = _DroppingHandler(lines)
    _LOGGER.addHandler(handler)
    _LOGGER.setLevel(level.upper())
    _LOGGER.propagate = False
    listener = logging.handlers.QueueListener(lines, output)
    listener.start()
    return listener


def end_process(listener: logging.handlers.QueueListener, status: int) -> NoReturn:
    """Write the queued lines, and end the process with an exit status.

    If the output accepts no more lines, the process skips the interpreter's shutdown,
    which would wait for the thread that is blocked in its write.
    """
    with contextlib.suppress(queue.Full):
        listener.enqueue_sentinel()
    for thread in threading.enumerate():
        if thread.daemon:
            thread.join(STOP_TIMEOUT_S)
            if thread.is_alive():
                os._exit(status)
    raise SystemExit(status)


def n_lines_dropped() -> int:
    """Return the number of lines dropped since the process started."""
    return sum(handler.n_dropped for handler in _dropping_handlers())


def log(event: str, **fields: Any) -> None:
    """Write one line at level info."""
    _write(logging.INFO, event, fields)


def log_routine(event: str, **fields: Any) -> None:
    """Write one line about a single request, within the rate limit of its event.

    ``n_left_out`` is the number of lines of this event dropped since the last one.
    """
    budget = _BUDGETS.setdefault(event, LineBudget())
    handlers = _dropping_handlers()
    has_room = all(
        queue_handler.lines.qsize() < N_QUEUED_LINES_ROUTINE_MAX
        for queue_handler in handlers
    )
    if not has_room:
        budget.n_left_out += 1
    if not has_room or not take_line(budget, now_ns()):
        for handler in handlers:
            handler.n_dropped += 1
        return
    n_left_out = take_n_left_out(budget)
    if n_left_out:
        fields["n_left_out"] = n_left_out
    _write(
        logging.INFO, event, {name: _truncate(value) for name, value in fields.items()}
    )


def log_warning(event: str, **fields: Any) -> None:
    """Write one line at level warning."""
    _write(logging.WARNING, event, fields)


def log_error(event: str, **fields: Any) -> None:
    """Write one line at level error."""
    _write(logging.ERROR, event, fields)


def _truncate(value: Any) -> Any:
    return value[:FIELD_MAX_CHARACTERS] if isinstance(value, str) else value


def _dropping_handlers() -> list[_DroppingHandler]:
    return [
        handler for handler in _LOGGER.handlers if isinstance(handler, _DroppingHandler)
    ]


def _write(level: int, event: str, fields: dict[str, Any]) -> None:
    if _LOGGER.isEnabledFor(level):
        # The logger's own methods also look up the source line of the caller.
        record = _LOGGER.makeRecord(
            _LOGGER.name, level, "", 0, event, (), None, extra=fields
        )
        _LOGGER.handle(record)
