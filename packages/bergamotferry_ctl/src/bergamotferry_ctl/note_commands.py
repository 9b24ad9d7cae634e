"""Commands on release notes: ``check``, ``diff``, ``apply`` and ``data-centre``."""

import argparse
import asyncio
import json
import time
from typing import Any

from bergamotferry.note_check import Configuration
from bergamotferry.records import DataCentre
from bergamotferry.release_note import NoteError, ReleaseNote, parse_note_text

from .client import send_request
from .configuration import compare, read_configuration
from .data_centre import (
    CapacityRow,
    capacity_rows,
    key_spaces_without_capacity,
    note_for_state,
)
from .exits import Exit
from .parser import CtlSettings
from .reports import Report, errors_report, get, refusal_report
from .tables import format_table

RETRY_DELAY_S = 0.2


def check(parsed: argparse.Namespace) -> Report:
    """Validate a note offline."""
    note, errors = _read_note(parsed)
    if note is None or errors:
        return errors_report(str(parsed.note), errors)
    text = f"{parsed.note}: note {note.number} is well formed"
    return Report(text, {"number": note.number, "errors": []}, Exit.DONE)


async def diff(parsed: argparse.Namespace, settings: CtlSettings) -> Report:
    """Compare a note with the configuration in force."""
    note, errors = _read_note(parsed)
    if note is None or errors:
        return errors_report(str(parsed.note), errors)
    answer = await get(settings, "configuration")
    if answer.status != 200:
        return refusal_report(answer)
    revision = answer.body["revision"]
    changes, errors = compare(read_configuration(answer.body), revision, note)
    lines = [f"in force is {revision}, the note is {note.number}"]
    lines += [
        f"{change.sign} {change.kind} {change.name}  {change.text}".rstrip()
        for change in changes
    ]
    lines += [f"error: {error.place}: {error.message}" for error in errors]
    body = {
        "revision": revision,
        "changes": [change._asdict() for change in changes],
        "errors": [error._asdict() for error in errors],
    }
    return Report("\n".join(lines), body, Exit.USAGE if errors else Exit.DONE)


async def apply(parsed: argparse.Namespace, settings: CtlSettings) -> Report:
    """Apply a note and wait until it is in force on every host."""
    note, errors = _read_note(parsed)
    if note is None or errors:
        return errors_report(str(parsed.note), errors)
    return await _submit_note(settings, parsed.note.read_text())


async def data_centre(parsed: argparse.Namespace, settings: CtlSettings) -> Report:
    """Set a data centre's state to out or in, after a check of the capacity left.

    The change is applied only with ``--yes``. If a key space would lose its last
    upstream, it also needs ``--force``.
    """
    answer = await get(settings, "configuration")
    if answer.status != 200:
        return refusal_report(answer)
    revision = answer.body["revision"]
    configuration = read_configuration(answer.body)
    current = configuration.data_centres.get(parsed.name)
    if current is None:
        names = ", ".join(sorted(configuration.data_centres))
        text = f"no data centre {parsed.name}; there are: {names}"
        return Report(text, {"detail": text}, Exit.REFUSED)
    changed = current._replace(state=parsed.direction)
    if changed == current:
        text = f"{parsed.name} is {parsed.direction} already, revision {revision}"
        return Report(text, {"revision": revision, "detail": text}, Exit.DONE)
    plan = await _plan_change(settings, configuration, changed, revision)
    if plan.status not in (Exit.DONE, Exit.NO_CAPACITY):
        return plan
    if not parsed.yes:
        return plan._replace(text=f"{plan.text}\nnothing was changed; --yes applies it")
    if plan.status is Exit.NO_CAPACITY and not parsed.force:
        text = f"{plan.text}\nnothing was changed; --force applies it all the same"
        return plan._replace(text=text)
    applied = await _submit_note(settings, json.dumps(plan.body["note"]))
    text = f"{plan.text}\n{applied.text}"
    return Report(text, {**plan.body, **applied.body}, applied.status)


async def _plan_change(
    settings: CtlSettings,
    configuration: Configuration,
    changed: DataCentre,
    revision: int,
) -> Report:
    answer = await get(settings, "upstreams?data_centre=all")
    if answer.status != 200:
        return refusal_report(answer)
    rows = capacity_rows(configuration, answer.body["upstreams"], changed)
    without_capacity = key_spaces_without_capacity(rows)
    not_reached = answer.body["not_reached"]
    body: dict[str, Any] = {
        "note": note_for_state(changed, revision),
        "capacity": [row._asdict() for row in rows],
        "not_counted": not_reached,
    }
    lines = [
        f"{changed.name} goes {changed.state} by note {revision + 1}",
        _capacity_text(rows),
    ]
    if not_reached:
        lines.append(f"not reached, not counted: {', '.join(not_reached)}")
    for row in without_capacity:
        key_space = (
            f"{row.service}, home region {row.domain}" if row.domain else row.service
        )
        lines.append(f"{key_space}: no upstream would be left")
    status = Exit.NO_CAPACITY if without_capacity else Exit.DONE
    return Report("\n".join(lines), body, status)


def _capacity_text(rows: list[CapacityRow]) -> str:
    headings = ("service", "home region", "regions", "slots now", "slots then")
    return format_table(headings, rows)


def _read_note(
    parsed: argparse.Namespace,
) -> tuple[ReleaseNote | None, list[NoteError]]:
    try:
        return parse_note_text(parsed.note.read_text())
    except OSError as error:
        return None, [NoteError("note", f"can't be read: {error.strerror}")]
    except UnicodeDecodeError:
        return None, [NoteError("note", "is not UTF-8")]


async def _submit_note(settings: CtlSettings, text: str) -> Report:
    """Send a note, and retry until it is in force on every host.

    A retry is harmless: a note that was accepted before gets its first answer again.
    Retries end after ``settings.wait_s`` seconds, or with an answer whose status is
    neither 200 nor 503.
    """
    deadline_s = time.monotonic() + settings.wait_s
    while True:
        answer = await send_request(
            settings.addresses, settings.token, "POST", "notes", text
        )
        is_done = answer.status == 200 and not answer.body["not_reached"]
        is_final = answer.status not in (0, 200, 503)
        if is_done or is_final or time.monotonic() >= deadline_s:
            break
        await asyncio.sleep(RETRY_DELAY_S)
    if answer.status != 200:
        return refusal_report(answer)
    revision, not_reached = answer.body["revision"], answer.body["not_reached"]
    text = f"revision {revision} is in force on {len(answer.body['in_force'])} hosts"
    if not not_reached:
        return Report(text, answer.body, Exit.DONE)
    text += f"\nnot reached: {', '.join(not_reached)}"
    return Report(text, answer.body, Exit.NOT_EVERYWHERE)
