"""Parses and validates the head of a caller's request.

The key is the path after ``/v1/<service>/<route>/``, percent-decoded once. A path that
an HTTP library between caller and upstream might rewrite, such as one with ``..``, is
refused, because the upstream could receive a different key.
"""

from typing import NamedTuple
from urllib.parse import unquote

from aiohttp import web

from bergamotferry.outcomes import Refused
from bergamotferry.result_codes import ResultCode

KEY_MAX_LENGTH = 512
IDEMPOTENCY_KEY_MAX_LENGTH = 128
HEADER_VALUE_MAX_LENGTH = 1024
PATH_PREFIX = "/v1/"
DEADLINE_HEADER = "Bergamotferry-Deadline-Ms"
_SINGLE_HEADERS = (
    "Authorization",
    "Idempotency-Key",
    "Content-Type",
    "Range",
    "If-Match",
    DEADLINE_HEADER,
)
_DEADLINE_DIGITS_MAX = 9


class Target(NamedTuple):
    """Service, route and key of a request, percent-decoded."""

    service: str
    route: str
    key: str


class CallerRequest(NamedTuple):
    """The validated head of a caller's request.

    Headers that were not sent are empty strings. ``deadline_ms`` is 0 if the caller
    sent no deadline.
    """

    target: Target
    method: str
    deadline_ms: int
    idempotency_key: str
    content_type: str
    range_header: str
    if_match: str


def read_caller_request(request: web.Request) -> CallerRequest | Refused:
    """Parse and validate a head; no refusal reveals any part of the key."""
    duplicates = [
        name for name in _SINGLE_HEADERS if len(request.headers.getall(name, ())) > 1
    ]
    if duplicates:
        return _bad_request(f"sent twice: {', '.join(duplicates)}")
    for name in _SINGLE_HEADERS:
        value = request.headers.get(name, "")
        if len(value) > HEADER_VALUE_MAX_LENGTH or not _is_printable_ascii(value):
            return _bad_request(
                f"{name} must be up to {HEADER_VALUE_MAX_LENGTH} of ASCII"
            )
    if "Content-Encoding" in request.headers:
        return _bad_request("encoded bodies are not taken")
    target = read_target(request.raw_path)
    if isinstance(target, Refused):
        return target
    deadline_ms = _read_deadline_ms(request.headers.get(DEADLINE_HEADER))
    if isinstance(deadline_ms, Refused):
        return deadline_ms
    idempotency_key = request.headers.get("Idempotency-Key", "")
    if len(idempotency_key) > IDEMPOTENCY_KEY_MAX_LENGTH:
        return _bad_request(f"Idempotency-Key is over {IDEMPOTENCY_KEY_MAX_LENGTH}")
    return CallerRequest(
        target,
        request.method,
        deadline_ms,
        idempotency_key,
        request.headers.get("Content-Type", ""),
        request.headers.get("Range", ""),
        request.headers.get("If-Match", ""),
    )


def read_target(raw_path: str) -> Target | Refused:
    """Parse the target of a request line.

    Parameters
    ----------
    raw_path : str
        The target as received, still percent-encoded.

    Returns
    -------
    Target or Refused
        The decoded target, or why it is invalid.
    """
    if "?" in raw_path or "#" in raw_path:
        return _bad_request("a query is not passed on; put everything into the key")
    parts = raw_path.removeprefix(PATH_PREFIX).split("/", 2)
    if not raw_path.startswith(PATH_PREFIX) or len(parts) != 3:
        return Refused(ResultCode.UNKNOWN_ROUTE, "ask for /v1/SERVICE/ROUTE/KEY")
    try:
        service, route, key = (unquote(part, errors="strict") for part in parts)
        key.encode()
    except UnicodeError:
        return _bad_request("the path is not UTF-8")
    if not 0 < len(key) <= KEY_MAX_LENGTH:
        return _bad_request(f"the key must have 1 to {KEY_MAX_LENGTH} characters")
    if any(segment in (".", "..") for segment in key.split("/")):
        return _bad_request("the key has a segment . or ..")
    if any(character < " " or character == "\x7f" for character in key):
        return _bad_request("the key has a control character")
    return Target(service, route, key)


def _read_deadline_ms(text: str | None) -> int | Refused:
    if text is None:
        return 0
    is_number = text.isascii() and text.isdigit() and len(text) <= _DEADLINE_DIGITS_MAX
    if not is_number or int(text) == 0:
        return _bad_request(f"{DEADLINE_HEADER} is not a number of ms")
    return int(text)


def _is_printable_ascii(text: str) -> bool:
    return text.isascii() and text.isprintable()


def _bad_request(detail: str) -> Refused:
    return Refused(ResultCode.BAD_REQUEST, detail)
