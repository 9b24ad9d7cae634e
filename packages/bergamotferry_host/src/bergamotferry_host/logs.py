"""JSON-lines logs, one line per routing or placement decision.

Logs are written by a thread of their own behind a bounded queue, so that a slow
terminal can't hold up the event loop; lines that do not fit are counted and dropped.
Content of requests never comes here: keys are left out by the callers of `log`.
"""

import logging
import logging.handlers
import queue
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter

N_LINES_WAITING_MAX = 10_000

_LOGGER = logging.getLogger("bergamotferry")


class _DroppingHandler(logging.handlers.QueueHandler):
    """Drops lines when the queue is full, and counts them."""

    n_dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record itself; nothing changes it, so that it needs no copy."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
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


def n_lines_dropped() -> int:
    """Return how many lines were dropped since the start."""
    return sum(
        handler.n_dropped
        for handler in _LOGGER.handlers
        if isinstance(handler, _DroppingHandler)
    )


def log(event: str, **fields: Any) -> None:
    """Write one line at level info."""
    _write(logging.INFO, event, fields)


def log_warning(event: str, **fields: Any) -> None:
    """Write one line at level warning."""
    _write(logging.WARNING, event, fields)


def log_error(event: str, **fields: Any) -> None:
    """Write one line at level error."""
    _write(logging.ERROR, event, fields)


def _write(level: int, event: str, fields: dict[str, Any]) -> None:
    if _LOGGER.isEnabledFor(level):
        # Made here, since the logger's own way looks up the line that called it.
        record = _LOGGER.makeRecord(
            _LOGGER.name, level, "", 0, event, (), None, extra=fields
        )
        _LOGGER.handle(record)
