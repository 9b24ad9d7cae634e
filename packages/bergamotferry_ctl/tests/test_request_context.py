"""Selection of the events that explain a decision, from lines of several hosts."""

import json

import pytest

from bergamotferry_ctl.explain import describe_request, lines_of_request
from bergamotferry_ctl.request_context import (
    context_events,
    decode_line,
    is_relevant,
    related_events,
)


def line(second, host, event, **fields):
    time = f"2026-01-01T00:00:{second:09.6f}+00:00"
    return json.dumps({"time": time, "host": host, "event": event, **fields})


def sent(second, **changes):
    fields = {
        "request_id": "0a",
        "upstream": "u1",
        "upstream_data_centre": "a",
        "n_sends": 1,
        "result": "answered",
        "status": 200,
        "took_ms": 500.0,
        "n_queued": 1.0,
        "report_age_ms": 20,
        "revision": 41,
    }
    return line(second, "edge-1", "sent", **{**fields, **changes})


# A line is written when its send ends, here at 30.5 s, so the send started at 30 s.
DECISION = json.loads(sent(30.5))


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        # The host's last event about the upstream before the send, and the first one
        # soon after.
        (
            [
                line(1.0, "edge-1", "upstream known", upstream="u1", phase="ready"),
                line(9.0, "edge-1", "upstream changed", upstream="u1", phase="lost"),
                line(30.2, "edge-1", "upstream changed", upstream="u1", phase="gone"),
                line(30.9, "edge-1", "upstream changed", upstream="u1", phase="ready"),
            ],
            [("upstream changed", -21.0), ("upstream changed", 0.2)],
        ),
        # Other hosts' events about the upstream and other upstreams are left out.
        (
            [
                line(29.0, "edge-2", "upstream changed", upstream="u1", phase="lost"),
                line(29.0, "edge-1", "upstream changed", upstream="u2", phase="lost"),
            ],
            [],
        ),
        # A control host committed that the upstream leaves; events outside the
        # time window are left out.
        (
            [
                line(28.0, "core-1", "upstream drains", upstream="u1"),
                line(31.0, "core-2", "upstream leaves", upstream="u1"),
            ],
            [("upstream drains", -2.0), ("upstream leaves", 1.0)],
        ),
        ([line(10.0, "core-1", "upstream drains", upstream="u1")], []),
        ([line(36.0, "core-1", "upstream drains", upstream="u1")], []),
        # Whether the host was connected to a control host.
        (
            [
                line(2.0, "edge-1", "control host followed", peer="c1"),
                line(28.5, "edge-1", "control host lost", peer="c1"),
            ],
            [("control host lost", -1.5)],
        ),
        (
            [
                line(28.5, "edge-1", "control host lost", peer="c1"),
                line(29.0, "edge-1", "control host followed", peer="c2"),
            ],
            [],
        ),
        ([line(28.5, "edge-2", "control host lost", peer="c1")], []),
        # A start of the deciding host, and a range of the upstream.
        ([line(29.0, "edge-1", "started")], [("started", -1.0)]),
        (
            [line(29.5, "core-1", "range not renewed", upstream="u1")],
            [("range not renewed", -0.5)],
        ),
        # An event without a time can't be placed before or after the send.
        (['{"event": "upstream drains", "upstream": "u1"}'], []),
    ],
)
def test_nearest_events_before_and_after_a_send_are_related(lines, expected):
    found = related_events(DECISION, context_events(lines))
    assert [
        (related.row["event"], pytest.approx(related.after_s)) for related in found
    ] == expected


def test_refusal_without_an_owner_lists_the_last_ranges_not_released():
    refused = json.loads(line(30.0, "edge-1", "refused", request_id="0a", code=1104))
    lines = [
        line(20.0 + n, "core-1", "range not released", upstream=f"u{n}")
        for n in range(5)
    ]
    lines += [line(29.0, "core-1", "range assigned", upstream="u9")]
    found = related_events(refused, context_events(lines))
    assert [related.row["upstream"] for related in found] == ["u2", "u3", "u4"]
    full = {**refused, "code": 1201}
    assert related_events(full, context_events(lines)) == []


def test_text_of_a_log_collector_before_a_line_is_skipped():
    text = "  30.5 edge-1 " + sent(30.5)
    assert decode_line(text) == DECISION
    assert lines_of_request([text], "0a") == [DECISION]
    for broken in ("no line", "x {", "x [1]", '{"a": 1} {', ""):
        assert decode_line(broken) is None
    assert is_relevant(text, "0a") and not is_relevant(text, "0b")
    assert is_relevant(line(1.0, "core-1", "upstream drains"), "0b")


def test_explanation_of_a_request_sent_to_a_leaving_upstream():
    lines = [
        line(28.0, "core-1", "upstream drains", upstream="u1", born_ms=5),
        line(28.5, "edge-1", "control host lost", peer="c1", why="no reply in time"),
        sent(30.5, result="broken", status=0, detail="ClientOSError"),
        line(
            30.6,
            "edge-1",
            "refused",
            request_id="0a",
            code=3001,
            detail="ClientOSError",
            status=502,
            took_ms=601.0,
        ),
    ]
    rows = lines_of_request(lines, "0a")
    assert describe_request(rows, context_events(lines)) == [
        "2026-01-01T00:00:30.500000+00:00  edge-1: send 1 to u1 in a by revision 41 "
        "(1.0 expected to wait there, its report 20 ms old): no whole answer, it may "
        "have run (ClientOSError) after 500.0 ms",
        "    2.000 s before  core-1: upstream drains upstream=u1 born_ms=5",
        "    1.500 s before  edge-1: control host lost peer=c1 why=no reply in time",
        "2026-01-01T00:00:30.600000+00:00  edge-1: refused with status 502, ended with "
        "3001 UPSTREAM_FAILED after 601.0 ms: The upstream failed while the request "
        "ran. (ClientOSError)",
        "    2.100 s before  edge-1: control host lost peer=c1 why=no reply in time",
    ]


def test_send_without_a_load_report_says_so():
    (sentence,) = describe_request(
        [json.loads(sent(30.5, report_age_ms=-1, result="no_process"))]
    )
    assert "without a report): not run: no process is there (200)" in sentence


def test_refusal_for_old_state_names_when_the_host_began_to_refuse_keys():
    """Guards against a refusal whose cause is found only by searching by host."""
    refused = {"request_id": "0b", "code": 1110, "cause": "stale", "took_ms": 0.0}
    lines = [
        line(9.0, "edge-1", "keys refused", state_age_ms=4_900),
        line(28.0, "edge-2", "keys refused", state_age_ms=4_900),
        line(31.0, "edge-1", "keys served again", for_ms=22_000),
    ]
    decision = json.loads(line(30.0, "edge-1", "refused", **refused))
    found = related_events(decision, context_events(lines))
    assert [(event.row["event"], event.after_s) for event in found] == [
        ("keys refused", -21.0),
        ("keys served again", 1.0),
    ]
    shares = [line(29.0, "edge-1", "shares not renewed", age_ms=1_600)]
    found = related_events(decision, context_events(shares))
    assert [event.row["event"] for event in found] == ["shares not renewed"]
    other = json.loads(line(30.0, "edge-1", "refused", **{**refused, "code": 1201}))
    assert related_events(other, context_events(lines)) == []
