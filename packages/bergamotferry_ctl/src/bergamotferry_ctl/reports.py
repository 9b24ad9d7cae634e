"""Reports that commands print, and their construction from hosts' answers."""

from datetime import UTC, datetime
from typing import Any, NamedTuple

from bergamotferry.release_note import NoteError
from bergamotferry.result_codes import ResultCode

from .client import Answer, send_request
from .exits import Exit
from .parser import CtlSettings


class Report(NamedTuple):
    """Output of a command: text for people, a body for ``--json``, an exit status."""

    text: str
    body: dict[str, Any]
    status: Exit


async def get(settings: CtlSettings, path: str) -> Answer:
    """Send a GET for a path of the operator API."""
    return await send_request(settings.addresses, settings.token, "GET", path)


def errors_report(place: str, errors: list[NoteError]) -> Report:
    """Return the report of a note with errors; ``place`` begins each line."""
    lines = [f"{place}: {error.place}: {error.message}" for error in errors]
    body = {"errors": [error._asdict() for error in errors]}
    return Report("\n".join(lines), body, Exit.USAGE)


def refusal_report(answer: Answer) -> Report:
    """Return the report of an answer whose HTTP status is not 200."""
    body = answer.body
    if answer.status == 0:
        return Report(str(body["detail"]), body, Exit.NOT_REACHED)
    if body.get("errors"):
        errors = [NoteError(row["place"], row["message"]) for row in body["errors"]]
        return errors_report("note", errors)._replace(body=body)
    exits = {
        ResultCode.NOTE_CONFLICT: Exit.CONFLICT,
        ResultCode.NOTE_BASE_STALE: Exit.CONFLICT,
        ResultCode.NOTE_INVALID: Exit.USAGE,
        ResultCode.NO_LEADER: Exit.UNKNOWN,
    }
    code = body.get("code", 0)
    text = f"refused: {code} {body.get('name', '')}: {body.get('detail', '')}"
    return Report(text, body, exits.get(code, Exit.REFUSED))


def report_with_unreached(text: str, body: dict[str, Any]) -> Report:
    """Return a report, with the names of the data centres that were not reached."""
    if not body["not_reached"]:
        return Report(text, body, Exit.DONE)
    text += f"\n\nnot reached: {', '.join(body['not_reached'])}"
    return Report(text, body, Exit.NOT_EVERYWHERE)


def time_text(time_s: int) -> str:
    """Return a Unix time in seconds as ISO 8601 text, in UTC."""
    return datetime.fromtimestamp(time_s, UTC).isoformat()
