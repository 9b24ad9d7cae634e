"""Tests that log lines are written as JSON, with the fields that they need."""

import json
import logging

from bergamotferry.commands import MakeException
from bergamotferry.outcomes import Accepted
from bergamotferry.records import ShardId
from bergamotferry_host import decision_log, logs


def test_line_contains_its_event_level_host_and_fields(capsys, monkeypatch):
    monkeypatch.setattr(logs, "_LOGGER", logging.getLogger("bergamotferry.test"))
    listener = logs.start_logs("h1", "a", "warning")
    logs.log("below the level", n=1)
    logs.log_warning("slow", n=2, inputs={"shards": ["s//1"]})
    logs.log_error("task_failed", error="KeyError")
    listener.stop()
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    for line in lines:
        assert line.pop("time")
    host_fields = {"host": "h1", "data_centre": "a"}
    assert lines == [
        {"level": "WARNING", "event": "slow", "n": 2, "inputs": {"shards": ["s//1"]}}
        | host_fields,
        {"level": "ERROR", "event": "task_failed", "error": "KeyError"} | host_fields,
    ]


def test_line_of_an_exception_contains_shards_and_rate_but_no_hash(monkeypatch):
    lines = []
    monkeypatch.setattr(
        decision_log, "log", lambda event, **fields: lines.append(fields)
    )
    home = ShardId("log", "home", 1)
    command = MakeException(home, 5, 77, home._replace(number=9), 31)
    decision_log.log_placement("dc:a", command, "why", Accepted(1))
    inputs = {"home": "log/home/1", "shard": "log/home/9"}
    assert lines[0]["inputs"] == inputs | {"grant_epoch": 5, "rate_per_s": 31}
