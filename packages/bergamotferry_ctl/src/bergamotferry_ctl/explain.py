"""Tells what became of a request, from the decision lines of all hosts.

The lines of a request carry its id, whichever host wrote them. They are put in the
order of their times, which is exact within a host; between hosts it is as good as the
hosts' clocks agree.
"""

import json
from collections.abc import Iterable, Mapping
from typing import Any

from bergamotferry.result_codes import RESULT_CODE_TABLE, ResultCode

_COMMON_FIELDS = ("time", "level", "event", "host", "data_centre", "request_id")


def lines_of_request(lines: Iterable[str], request_id: str) -> list[dict[str, Any]]:
    """Return the decision lines of a request in the order of their times."""
    found: list[dict[str, Any]] = []
    for line in lines:
        # Most lines are of other requests; they need not be decoded.
        if request_id not in line:
            continue
        try:
            row = json.loads(line)
        except ValueError:
            continue
        if isinstance(row, dict) and row.get("request_id") == request_id:
            found.append(row)
    return sorted(found, key=lambda row: str(row.get("time", "")))


def tell(rows: Iterable[Mapping[str, Any]]) -> list[str]:
    """Return one sentence for each decision line."""
    return [
        f"{row.get('time', '?')}  {row.get('host', '?')}: {_sentence(row)}"
        for row in rows
    ]


def _sentence(row: Mapping[str, Any]) -> str:
    if row.get("event") == "routed":
        return _routed_sentence(row)
    fields = " ".join(
        f"{name}={value}" for name, value in row.items() if name not in _COMMON_FIELDS
    )
    return f"{row.get('event', '?')} {fields}".rstrip()


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
    if row.get("why"):
        return f"{text}: {meaning} ({row['why']})"
    return f"{text}: {meaning}"
