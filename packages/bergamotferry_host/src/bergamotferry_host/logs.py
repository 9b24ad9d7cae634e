"""JSON-lines logs, one line per routing or placement decision.

Logs are written by a thread of their own behind a bounded queue, so that a slow
terminal can't hold up the event loop; lines that do not fit are counted and dropped.
Lines of single requests are bounded by a rate as well, and are dropped first: the last
part of the queue is kept for errors and for what the process believes.
Content of requests never comes here: keys are left out by the callers of `log`.
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

from bergamotferry.line_budget import LineBudget, take_left_out, take_line

from .clock import now_ns

N_LINES_WAITING_MAX = 10_000
# Lines of single requests may fill this much of the queue.
N_ROUTINE_WAITING_MAX = 8_000
# Ids and details come from outside, and a line must not grow with them.
FIELD_MAX_CHARACTERS = 200
# How long a stop waits for a reader that takes no more lines.
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
        """Return the record itself; nothing changes it, so that it needs no copy."""
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
    # No line shows these, and looking them up costs each line some time.
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    formatter = JsonFormatter(
        "%(levelname)s %(message)s",
        rename_fields={"levelname": "level", "message": "event"},
        # Lines of several hosts are joined, so their time is in UTC.
        timestamp="time",
        static_fields={"host": host, "data_centre": data_centre},
    )
    output = logging.StreamHandler(sys.stdout)
    output.setFormatter(formatter)
    lines: queue.Queue[logging.LogRecord] = queue.Queue(N_LINES_WAITING_MAX)
    handler = _DroppingHandler(lines)
    _LOGGER.addHandler(handler)
    _LOGGER.setLevel(level.upper())
    _LOGGER.propagate = False
    listener = logging.handlers.QueueListener(lines, output)
    listener.start()
    return listener


def end_process(listener: logging.handlers.QueueListener, status: int) -> NoReturn:
    """Write the lines that still wait, and end the process with an exit status.

    If nobody reads them any more, the process ends at once: the interpreter's own end
    would wait for the thread that is stuck in its write.
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
    """Return how many lines were not written since the start."""
    return sum(handler.n_dropped for handler in _dropping_handlers())


def log(event: str, **fields: Any) -> None:
    """Write one line at level info."""
    _write(logging.INFO, event, fields)


def log_routine(event: str, **fields: Any) -> None:
    """Write one line about a single request, if the rate of its event allows.

    The line says how many like it were left out since the last one.
    """
    budget = _BUDGETS.setdefault(event, LineBudget())
    handlers = _dropping_handlers()
    has_room = all(row.lines.qsize() < N_ROUTINE_WAITING_MAX for row in handlers)
    if not has_room:
        budget.n_left_out += 1
    if not has_room or not take_line(budget, now_ns()):
        for handler in handlers:
            handler.n_dropped += 1
        return
    n_left_out = take_left_out(budget)
    if n_left_out:
        fields["n_left_out"] = n_left_out
    _write(logging.INFO, event, {name: _cut(value) for name, value in fields.items()})


def log_warning(event: str, **fields: Any) -> None:
    """Write one line at level warning."""
    _write(logging.WARNING, event, fields)


def log_error(event: str, **fields: Any) -> None:
    """Write one line at level error."""
    _write(logging.ERROR, event, fields)


def _cut(value: Any) -> Any:
    return value[:FIELD_MAX_CHARACTERS] if isinstance(value, str) else value


def _dropping_handlers() -> list[_DroppingHandler]:
    return [row for row in _LOGGER.handlers if isinstance(row, _DroppingHandler)]


def _write(level: int, event: str, fields: dict[str, Any]) -> None:
    if _LOGGER.isEnabledFor(level):
        # Made here, since the logger's own way looks up the line that called it.
        record = _LOGGER.makeRecord(
            _LOGGER.name, level, "", 0, event, (), None, extra=fields
        )
        _LOGGER.handle(record)
