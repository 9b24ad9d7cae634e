"""Serves explanations of placements beside the metrics, for operators only."""

from aiohttp import web

from ..direct_host import DirectHost
from .placement import Question, explain_placement

PLACEMENT_PATH = "/placement"


def add_placement_page(app: web.Application, host: DirectHost) -> None:
    """Add the page to the application that serves the metrics."""

    async def on_placement(request: web.Request) -> web.Response:
        question = read_question(dict(request.query))
        if question is None:
            detail = "give host and target; shard-key and time-left-ms are numbers"
            return web.json_response({"detail": detail}, status=400)
        return web.json_response(explain_placement(host, question))

    app.router.add_get(PLACEMENT_PATH, on_placement)


def read_question(query: dict[str, str]) -> Question | None:
    """Return the question of a query, or None if it is malformed."""
    numbers = [query.get(name, "") for name in ("shard-key", "time-left-ms")]
    is_malformed = any(text and not _is_number(text) for text in numbers)
    target = query.get("target", "")
    if is_malformed or not query.get("host") or not target.startswith("/"):
        return None
    shard_key, time_left_ms = numbers
    return Question(
        query["host"],
        target,
        query.get("method", "GET"),
        int(shard_key) if shard_key else None,
        query.get("account", ""),
        float(time_left_ms) if time_left_ms else None,
    )


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 9
