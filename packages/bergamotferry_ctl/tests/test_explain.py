"""The story of a request, from the lines of several hosts."""

import json

from bergamotferry_ctl.explain import lines_of_request, tell


def line(time, host, event, **fields):
    return json.dumps({"time": time, "host": host, "event": event, **fields})


LINES = [
    line("2026-01-01T00:00:00.3", "b-1", "other", request_id="ff"),
    line("2026-01-01T00:00:00.2", "a-1", "routed", request_id="0a", account="ann",
         route="log/read", to_data_centre="b", shard=7, domain="", dispatcher="b-1",
         epoch=9, code=1201, took_ms=3.5, why="256 requests wait already"),
    "no JSON, though it names 0a",
    line("2026-01-01T00:00:00.1", "b-1", "dispatched", request_id="0a", queue_ms=2),
]  # fmt: skip


def test_lines_come_in_the_order_of_time_with_their_story():
    assert tell(lines_of_request(LINES, "0a")) == [
        "2026-01-01T00:00:00.1  b-1: dispatched queue_ms=2",
        "2026-01-01T00:00:00.2  a-1: account ann asked for log/read; keys of no "
        "domain, shard 7 belong to b; dispatched by b-1 under epoch 9; ended with "
        "1201 QUEUE_FULL after 3.5 ms: The upstream's queue is full. "
        "(256 requests wait already)",
    ]


def test_unknown_request_has_no_lines():
    assert lines_of_request(LINES, "0b") == []
