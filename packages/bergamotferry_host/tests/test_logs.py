"""Lines come out as JSON, as they were when they were written."""

import json
import logging

from bergamotferry_host import logs


def test_a_line_holds_its_event_level_host_and_fields(capsys, monkeypatch):
    monkeypatch.setattr(logs, "_LOGGER", logging.getLogger("bergamotferry.test"))
    listener = logs.start_logs("h1", "a", "warning")
    logs.log("below the level", n=1)
    logs.log_warning("slow", n=2, inputs={"shards": ["s//1"]})
    logs.log_error("task_failed", error="KeyError")
    listener.stop()
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    for line in lines:
        assert line.pop("time")
    own = {"host": "h1", "data_centre": "a"}
    assert lines == [
        {"level": "WARNING", "event": "slow", "n": 2, "inputs": {"shards": ["s//1"]}}
        | own,
        {"level": "ERROR", "event": "task_failed", "error": "KeyError"} | own,
    ]
