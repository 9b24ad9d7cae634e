"""Description of a request's course from the lines of several hosts."""

import json

from bergamotferry_ctl.explain import describe_request, lines_of_request


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


def test_lines_are_described_in_time_order():
    assert describe_request(lines_of_request(LINES, "0a")) == [
        "2026-01-01T00:00:00.1  b-1: dispatched queue_ms=2",
        "2026-01-01T00:00:00.2  a-1: account ann asked for log/read; keys of no "
        "domain, shard 7 belong to b; dispatched by b-1 under epoch 9; ended with "
        "1201 QUEUE_FULL after 3.5 ms: The upstream's queue is full. "
        "(256 requests wait already)",
    ]


def test_unknown_request_has_no_lines():
    assert lines_of_request(LINES, "0b") == []


def test_send_through_a_control_host_names_that_host():
    rows = lines_of_request(
        [
            line("00:00:00.1", "e-1", "sent", request_id="0c", upstream="u1",
                 upstream_data_centre="a", n_sends=1, result="answered", status=200,
                 through="10.1.0.3", took_ms=9.0, revision=4, n_queued=0.0,
                 report_age_ms=2),
        ],
        "0c",
    )  # fmt: skip
    assert describe_request(rows) == [
        "00:00:00.1  e-1: send 1 to u1 in a through 10.1.0.3 by revision 4 (0.0 "
        "expected to wait there, its report 2 ms old): answered (200) after 9.0 ms",
    ]
