"""The command that asks an entry host where it would send a request now."""

import argparse
import json
from typing import Any

import aiohttp

from .exits import Exit
from .parser import CtlSettings
from .reports import Report
from .tables import format_table

REQUEST_TIMEOUT_S = 5.0


async def where(parsed: argparse.Namespace, settings: CtlSettings) -> Report:
    """Show where a request would go now, and why; nothing is sent to an upstream."""
    query = {
        "host": parsed.host_name,
        "target": parsed.target,
        "method": parsed.method,
        "account": parsed.account,
    }
    if parsed.shard_key is not None:
        query["shard-key"] = str(parsed.shard_key)
    if parsed.time_left_ms is not None:
        query["time-left-ms"] = str(parsed.time_left_ms)
    url = f"http://{parsed.entry_host}/placement"
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as http,
            http.get(url, params=query) as response,
        ):
            body: dict[str, Any] = json.loads(await response.text())
            status = response.status
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        text = f"{parsed.entry_host}: {type(error).__name__}"
        return Report(text, {"detail": text}, Exit.NOT_REACHED)
    if status != 200:
        return Report(str(body.get("detail", status)), body, Exit.REFUSED)
    return Report(describe_placement(body), body, Exit.DONE)


def describe_placement(body: dict[str, Any]) -> str:
    """Return the text of an explanation: the decision first, then what it rests on."""
    lines = [_decision_text(body["decision"])]
    lines += [f"{name:<15}{_text(body[name])}" for name in _FACTS if name in body]
    rows = [
        [
            row["upstream"],
            row["data_centre"],
            row["n_ahead"],
            row["n_slots"],
            row["relative_work_time"],
            row["report_age_ms"],
            "compared" if row["is_compared"] else row["excluded"],
        ]
        for row in body.get("upstreams", [])
    ]
    if not rows:
        return "\n".join(lines)
    return "\n".join([*lines, "", format_table(_HEADINGS, rows)])


_FACTS = (
    "host",
    "data_centre",
    "version",
    "control_age_ms",
    "evacuated",
    "route",
    "service",
    "services",
    "priority",
    "home_regions",
    "account",
    "sends_held",
    "holder",
    "token",
    "place",
    "shares",
    "loads_age_ms",
)
_HEADINGS = (
    "upstream",
    "data centre",
    "requests",
    "slots",
    "work time",
    "report ms ago",
    "",
)


def _decision_text(decision: dict[str, Any]) -> str:
    if decision["kind"] == "send":
        text = f"to {decision['upstream']}, answer in {decision['expected_ms']} ms"
        probed = decision["probed_first"]
        return text + (f"; first asks {', '.join(probed)} for load" if probed else "")
    if decision["kind"] == "wait":
        return f"waits: {decision['detail']}"
    return f"refused: {decision['code']} {decision['name']}: {decision['detail']}"


def _text(value: Any) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{name} {share}" for name, share in value.items()) or "-"
    if isinstance(value, list):
        return ", ".join(str(entry) for entry in value) or "-"
    return "-" if value in ("", None) else str(value)
