"""Describes the course of a request from the decision lines of all hosts.

Every decision line carries the id of its request, whichever host wrote the line. The
lines are sorted by time. This order is exact within a host; between hosts it is as
exact as the hosts' clocks agree. Each line is followed by the log events that explain
the decision; see `request_context`.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from bergamotferry.result_codes import RESULT_CODE_TABLE, ResultCode

from .request_context import RelatedEvent, decode_line, related_events

# Text for each result of a send; it says whether the request ran or may have run.
SEND_RESULT_TEXTS = {
    "answered": "answered",
    "not_run": "refused there, not run",
    "other_upstream": "not run: another process is there, or the upstream does not "
    "own the key",
    "no_process": "not run: no process is there",
    "no_connection": "not run: no connection",
    "too_late": "not sent, since its answer would have come too late",
    "broken": "no whole answer, it may have run",
    "cancelled": "abandoned, it may have run: the caller left, or another upstream "
    "answered first",
}
_COMMON_FIELDS = ("time", "level", "event", "host", "data_centre", "request_id")


def lines_of_request(lines: Iterable[str], request_id: str) -> list[dict[str, Any]]:
    """Return the decision lines of a request, sorted by time."""
    found: list[dict[str, Any]] = []
    for line in lines:
        # Most lines belong to other requests; this check avoids decoding their JSON.
        if request_id not in line:
            continue
        row = decode_line(line)
        if row is not None and row.get("request_id") == request_id:
            found.append(row)
    return sorted(found, key=lambda row: str(row.get("time", "")))


def describe_request(
    rows: Iterable[Mapping[str, Any]], context: Iterable[Mapping[str, Any]] = ()
) -> list[str]:
    """Return a sentence for each decision line, followed by its related events."""
    events = list(context)
    sentences: list[str] = []
    for row in rows:
        sentences.append(
            f"{row.get('time', '?')}  {row.get('host', '?')}: {_sentence(row)}"
        )
        sentences += [_related_line(related) for related in related_events(row, events)]
    return sentences


def _related_line(related: RelatedEvent) -> str:
    when = "before" if related.after_s <= 0 else "after"
    text = f"    {abs(related.after_s):.3f} s {when}  {related.row.get('host', '?')}: "
    return text + _plain_sentence(related.row)


def _sentence(row: Mapping[str, Any]) -> str:
    match row.get("event"):
        case "routed":
            return _routed_sentence(row)
        case "sent":
            return _sent_sentence(row)
        case "refused":
            return f"refused with status {row.get('status', '?')}, {_outcome_text(row)}"
    return _plain_sentence(row)


def _plain_sentence(row: Mapping[str, Any]) -> str:
    fields = " ".join(
        f"{name}={value}" for name, value in row.items() if name not in _COMMON_FIELDS
    )
    return f"{row.get('event', '?')} {fields}".rstrip()


def _sent_sentence(row: Mapping[str, Any]) -> str:
    age_ms = row.get("report_age_ms", -1)
    report = f"its report {age_ms} ms old" if age_ms != -1 else "without a report"
    inputs = f"{row.get('n_queued', '?')} expected to wait there, {report}"
    where = f"{row.get('upstream', '?')} in {row.get('upstream_data_centre', '?')}"
    if row.get("through"):
        where += f" through {row['through']}"
    text = f"send {row.get('n_sends', '?')} to {where} by revision "
    text += f"{row.get('revision', '?')} ({inputs}): "
    text += SEND_RESULT_TEXTS.get(str(row.get("result")), str(row.get("result")))
    details = [str(row[name]) for name in ("status", "detail") if row.get(name)]
    if details:
        text += f" ({', '.join(details)})"
    return f"{text} after {row.get('took_ms', '?')} ms"


def _routed_sentence(row: Mapping[str, Any]) -> str:
    parts = [f"account {row.get('account', '?')} asked for {row.get('route', '?')}"]
    if row.get("to_data_centre"):
        shard = f"{row.get('domain') or 'no domain'}, shard {row.get('shard')}"
        parts.append(f"keys of {shard} belong to {row['to_data_centre']}")
    if row.get("dispatcher"):
        owner = f"dispatched by {row['dispatcher']}"
        if row.get("epoch"):
            owner += f" under epoch {row['epoch']}"
        parts.append(owner)
    parts.append(_outcome_text(row))
    return "; ".join(parts)


def _outcome_text(row: Mapping[str, Any]) -> str:
    try:
        code = ResultCode(int(row.get("code", -1)))
    except ValueError:
        return f"ended with code {row.get('code')}"
    meaning = RESULT_CODE_TABLE[code].meaning
    text = f"ended with {int(code)} {code.name} after {row.get('took_ms', '?')} ms"
    why = row.get("why") or row.get("detail")
    if why:
        return f"{text}: {meaning} ({why})"
    return f"{text}: {meaning}"
