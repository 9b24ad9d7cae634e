"""Commands that query hosts or logs; ``quarantine`` can also release a request."""

import argparse
import json
import sys
from typing import Any

from bergamotferry.shards import hash_key, shard_of_key

from .client import send_request
from .configuration import read_configuration
from .exits import Exit
from .explain import describe_request, lines_of_request
from .parser import CtlSettings
from .reports import Report, get, refusal_report, report_with_unreached, time_text
from .request_context import context_events, is_relevant, related_events
from .tables import format_table


async def status(parsed: argparse.Namespace, settings: CtlSettings) -> Report:
    """Show hosts, groups, leaders and revisions."""
    answer = await get(settings, "status")
    if answer.status != 200:
        return refusal_report(answer)
    hosts = answer.body["hosts"]
    rows = [
        (
            host["host"],
            host.get("data_centre"),
            host.get("region"),
            _host_state(host),
            host.get("revision"),
        )
        for host in hosts
    ]
    text = format_table(("host", "data centre", "region", "state", "revision"), rows)
    text += "\n\n" + _groups_text(hosts)
    unreached = [host["host"] for host in hosts if not host["is_reachable"]]
    return Report(text, answer.body, Exit.NOT_EVERYWHERE if unreached else Exit.DONE)


async def upstreams(parsed: argparse.Namespace, settings: CtlSettings) -> Report:
    """Show the upstreams of all data centres."""
    answer = await get(settings, "upstreams?data_centre=all")
    if answer.status != 200:
        return refusal_report(answer)
    columns = (
        ("upstream", "name"),
        ("service", "service"),
        ("data centre", "data_centre"),
        ("address", "address"),
        ("state", "state"),
        ("slots", "n_slots"),
        ("shards", "n_shards"),
        ("dispatcher", "dispatcher"),
        ("checks epochs", "checks_epochs"),
    )
    rows = [
        [row.get(field) for _, field in columns] for row in answer.body["upstreams"]
    ]
    text = format_table([heading for heading, _ in columns], rows)
    return report_with_unreached(text, answer.body)


async def owner(parsed: argparse.Namespace, settings: CtlSettings) -> Report:
    """Show who owns a key.

    Requests carry the service, domain and number of the key's shard, never the key.
    """
    answer = await get(settings, "configuration")
    if answer.status != 200:
        return refusal_report(answer)
    configuration = read_configuration(answer.body)
    service = configuration.services.get(parsed.service)
    if service is None:
        text = f"no service {parsed.service}; there are: "
        text += ", ".join(sorted(configuration.services))
        return Report(text, {"detail": text}, Exit.REFUSED)
    homes = configuration.home_regions.values()
    shard = shard_of_key(service.name, service.n_shards, homes, parsed.key)
    query = f"service={shard.service}&domain={shard.domain}&number={shard.number}"
    answer = await get(settings, f"owner?{query}")
    if answer.status != 200:
        return refusal_report(answer)
    own_number = await _own_shard_number(parsed.key, answer.body, settings)
    if own_number is not None:
        query = f"service={shard.service}&domain={shard.domain}&number={own_number}"
        answer = await get(settings, f"owner?{query}")
        if answer.status != 200:
            return refusal_report(answer)
    text = _owner_text(answer.body)
    if own_number is not None:
        text += "\nhot key      it has this shard of its own"
    elif answer.body["grant"] and answer.body["grant"].get("n_exceptions"):
        text += (
            "\nhot keys     some of the shard have shards of their own: ask hot-keys"
        )
        text += f" of a host in {answer.body['home']['data_centre']}"
    exit_status = Exit.DONE if answer.body["grant"] else Exit.NOT_EVERYWHERE
    return Report(text, answer.body, exit_status)


async def hot_keys(parsed: argparse.Namespace, settings: CtlSettings) -> Report:
    """Show the hot keys in the data centre of the host that answers."""
    answer = await get(settings, "hot-keys")
    if answer.status != 200:
        return refusal_report(answer)
    rows = [
        (
            row["key_hash"],
            row["service"],
            row["domain"],
            row["number"],
            row["rate_per_s"],
            row["own_number"],
            row["upstream"],
            row["state"],
        )
        for row in answer.body["hot_keys"]
    ]
    headings = ("key's hash", "service", "domain", "shard", "per s", "own shard")
    text = f"data centre {answer.body['data_centre']}\n"
    text += format_table((*headings, "upstream", "state"), rows)
    return report_with_unreached(text, answer.body)


async def _own_shard_number(
    key: str, body: dict[str, Any], settings: CtlSettings
) -> int | None:
    """Return the number of a hot key's own shard, its exception; None if it has none.

    Exceptions are known only if a host of the shard's home data centre answers; else
    the result is None too. The key's hash is compared here instead of on a host,
    because the hash of a home-bound key must not be sent.
    """
    grant, shard = body["grant"], body["shard"]
    if not grant or not grant.get("n_exceptions"):
        return None
    answer = await get(settings, "hot-keys")
    if answer.status != 200:
        return None
    if answer.body["data_centre"] != body["home"]["data_centre"]:
        return None
    digest = f"{hash_key(shard['service'], shard['domain'], key):016x}"
    for row in answer.body["hot_keys"]:
        is_same_shard = all(row[name] == value for name, value in shard.items())
        if (
            is_same_shard
            and row["key_hash"] == digest
            and row["own_number"] is not None
        ):
            return int(row["own_number"])
    return None


def explain(parsed: argparse.Namespace) -> Report:
    """Describe the course of a request, from log files or standard input."""
    lines: list[str] = []
    for path in parsed.log:
        with path.open(errors="replace") as log_file:
            lines += [line for line in log_file if is_relevant(line, parsed.request_id)]
    if not parsed.log:
        lines = [line for line in sys.stdin if is_relevant(line, parsed.request_id)]
    rows = lines_of_request(lines, parsed.request_id)
    if not rows:
        text = f"no line of request {parsed.request_id} in these logs"
        return Report(text, {"lines": []}, Exit.REFUSED)
    context = context_events(lines)
    related = [[event.row for event in related_events(row, context)] for row in rows]
    body = {"lines": rows, "related": related}
    return Report("\n".join(describe_request(rows, context)), body, Exit.DONE)


async def quarantine(parsed: argparse.Namespace, settings: CtlSettings) -> Report:
    """List quarantined requests, or release one so that it may run again."""
    if parsed.action == "release":
        text = json.dumps({"fingerprint": parsed.fingerprint})
        answer = await send_request(
            settings.addresses, settings.token, "POST", "quarantine/release", text
        )
        if answer.status != 200:
            return refusal_report(answer)
        released = ", ".join(answer.body["released"]) or "no data centre"
        return report_with_unreached(f"released in {released}", answer.body)
    answer = await get(settings, "quarantine")
    if answer.status != 200:
        return refusal_report(answer)
    rows = [
        (
            row["fingerprint"],
            row["service"],
            row["data_centre"],
            row["n_crashes"],
            row["is_quarantined"],
            time_text(row["recorded_at_s"]),
        )
        for row in answer.body["quarantine"]
    ]
    headings = ("fingerprint", "service", "data centre", "crashes", "refused", "last")
    return report_with_unreached(format_table(headings, rows), answer.body)


def _host_state(host: dict[str, Any]) -> str:
    if not host["is_reachable"]:
        return "unreachable"
    if host["is_stopping"]:
        return "stopping"
    return "ready" if host["is_ready"] else "not ready"


def _groups_text(hosts: list[dict[str, Any]]) -> str:
    views = [
        (group["group"], host["host"], group)
        for host in hosts
        for group in host.get("groups", [])
    ]
    rows = []
    for name in sorted({name for name, _, _ in views}):
        group_views = [
            (host, group) for group_name, host, group in views if group_name == name
        ]
        leaders = [host for host, group in group_views if group["role"] == "leader"]
        latest = max(
            (group for _, group in group_views), key=lambda row: row["commit_index"]
        )
        voters: list[str] = next(
            (group["voters"] for _, group in group_views if group["voters"]), []
        )
        n_behind = sum(
            group["applied_index"] < latest["commit_index"] for _, group in group_views
        )
        rows.append((name, leaders, latest["commit_index"], voters, n_behind))
    headings = ("group", "leader", "committed", "voters", "hosts behind")
    return format_table(headings, rows)


def _owner_text(body: dict[str, Any]) -> str:
    shard, home, grant = body["shard"], body["home"], body["grant"]
    domain = shard["domain"]
    name = f"{shard['service']} {domain} {shard['number']}".replace("  ", " ")
    lines = [f"shard        {name}", f"data centre  {home['data_centre']}"]
    if domain:
        lines.append(f"bound by     home region {domain}")
    if home["next_data_centre"]:
        lines.append(f"moving to    {home['next_data_centre']}")
    if grant is None:
        lines.append("upstream     not known: no host of the data centre answered")
        return "\n".join(lines)
    since = time_text(grant["held_since_s"]) if grant["held_since_s"] else "before"
    if since == "before":
        since = f"before {grant['host']} started"
    lines += [
        f"upstream     {grant['upstream'] or '-'}  {grant['state']}",
        f"epoch        {grant['epoch']}",
        f"since        {since if grant['upstream'] else '-'}",
        f"why          {grant['reason']}",
        f"through      {grant['dispatcher'] or '-'}",
    ]
    return "\n".join(lines)
