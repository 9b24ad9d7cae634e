"""Selects the log events that explain a host's decision on a request.

A decision line carries the inputs of the decision, and other lines show where these
came from: when the host learned that an upstream is leaving, when a control host
committed the leave, and whether the host was connected to control at all. The nearest
such events before and after a send are enough. An engineer would search the logs for
these events by the upstream's name.
"""

import json
from collections.abc import Iterable, Mapping
from datetime import datetime
from typing import Any, NamedTuple

Row = Mapping[str, Any]

UPSTREAM_EVENTS = frozenset(
    ("upstream known", "upstream changed", "upstream not at its address")
)
LEAVING_EVENTS = frozenset(("upstream drains", "upstream leaves"))
RANGE_EVENTS = frozenset(
    ("range assigned", "range granted", "range not renewed", "range not released")
)
CONTROL_EVENTS = frozenset(("control host followed", "control host lost"))
HOST_EVENTS = frozenset(
    ("started", "stopping", "drained", "stopped", "configuration in force")
)
KEY_EVENTS = frozenset(("keys refused", "keys served again"))
SHARE_EVENTS = frozenset(("shares not renewed", "shares renewed again"))
CONTEXT_EVENTS = (
    UPSTREAM_EVENTS
    | LEAVING_EVENTS
    | RANGE_EVENTS
    | CONTROL_EVENTS
    | HOST_EVENTS
    | KEY_EVENTS
    | SHARE_EVENTS
)
# Time window around a decision for events of any host. It is longer than the bounds of
# drains, holds and configuration changes. The window's start does not limit the
# deciding host's own events about the upstream and about control, since these still
# apply.
WINDOW_BEFORE_S = 12.0
WINDOW_AFTER_S = 5.0
# A refusal for a key without an owner names no upstream, so the key's range can't be
# found among the unreleased ranges; only the last of these are shown.
N_UNRELEASED_RANGES_MAX = 3
CODE_NO_OWNER = 1104
CODE_STATE_TOO_OLD = 1110


class RelatedEvent(NamedTuple):
    """A context event and its delay after the decision, negative if it came before."""

    row: Row
    after_s: float


def decode_line(line: str) -> dict[str, Any] | None:
    """Decode a log line; return None if it holds no JSON object.

    Text before the object is skipped, since log collectors may add some.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        row = json.loads(line[start:])
    except ValueError:
        return None
    return row if isinstance(row, dict) else None


def is_relevant(line: str, request_id: str) -> bool:
    """Return whether a line may belong to a request or be a context event."""
    return request_id in line or any(f'"{name}"' in line for name in CONTEXT_EVENTS)


def context_events(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the events that can explain a decision, sorted by time."""
    rows = (decode_line(line) for line in lines)
    found = [row for row in rows if row and row.get("event") in CONTEXT_EVENTS]
    return sorted(found, key=lambda row: str(row.get("time", "")))


def related_events(decision: Row, context: Iterable[Row]) -> list[RelatedEvent]:
    """Return the events near a decision that concern its host or its upstream.

    Delays count from the time of the decision, which for a send is its start.
    """
    decision_s = _decision_time_s(decision)
    if decision_s is None:
        return []
    timed = [
        RelatedEvent(row, time_s - decision_s)
        for row in context
        if (time_s := _row_time_s(row)) is not None
    ]
    host, upstream = decision.get("host"), decision.get("upstream")
    own_events = [event for event in timed if event.row.get("host") == host]
    found = _nearest(
        event for event in own_events if _concerns(event, UPSTREAM_EVENTS, upstream)
    )
    found += _last_control_loss(
        event for event in own_events if _concerns(event, CONTROL_EVENTS)
    )
    found += _nearest(
        event
        for event in own_events
        if _concerns(event, HOST_EVENTS) and _is_in_window(event)
    )
    if decision.get("code") == CODE_STATE_TOO_OLD:
        for events in (KEY_EVENTS, SHARE_EVENTS):
            found += _nearest(event for event in own_events if _concerns(event, events))
    in_window = [event for event in timed if _is_in_window(event)]
    if upstream:
        found += _nearest(
            event for event in in_window if _concerns(event, LEAVING_EVENTS, upstream)
        )
        found += _nearest(
            event for event in in_window if _concerns(event, RANGE_EVENTS, upstream)
        )
    elif decision.get("code") == CODE_NO_OWNER:
        unreleased = [
            event
            for event in in_window
            if event.row.get("event") == "range not released" and event.after_s <= 0
        ]
        found += unreleased[-N_UNRELEASED_RANGES_MAX:]
    return sorted(found, key=lambda event: event.after_s)


def _concerns(
    related: RelatedEvent, events: frozenset[str], upstream: object | None = None
) -> bool:
    row = related.row
    return row.get("event") in events and row.get("upstream") == upstream


def _is_in_window(related: RelatedEvent) -> bool:
    return -WINDOW_BEFORE_S <= related.after_s <= WINDOW_AFTER_S


def _nearest(related: Iterable[RelatedEvent]) -> list[RelatedEvent]:
    """Return the last event before the decision and the first one soon after it."""
    events = list(related)
    before = [event for event in events if event.after_s <= 0][-1:]
    after = [event for event in events if 0 < event.after_s <= WINDOW_AFTER_S][:1]
    return before + after


def _last_control_loss(related: Iterable[RelatedEvent]) -> list[RelatedEvent]:
    """Return the host's last loss of a control host, if it followed none since."""
    before = [event for event in related if event.after_s <= 0][-1:]
    return [event for event in before if event.row.get("event") == "control host lost"]


def _decision_time_s(decision: Row) -> float | None:
    time_s = _row_time_s(decision)
    took_ms = decision.get("took_ms")
    if time_s is None or decision.get("event") != "sent":
        return time_s
    return time_s - took_ms / 1000 if isinstance(took_ms, int | float) else time_s


def _row_time_s(row: Row) -> float | None:
    try:
        return datetime.fromisoformat(str(row.get("time", ""))).timestamp()
    except ValueError:
        return None
