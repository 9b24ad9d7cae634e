"""Rules of HTTP framing for relayed answers: status, hop-by-hop headers and length."""

import re
from collections.abc import Mapping

import aiohttp

# Statuses below are interim ones, and those outside the range are none.
FINAL_STATUS_MIN, FINAL_STATUS_MAX = 200, 599
STATUSES_WITHOUT_BODY = frozenset((204, 304))
# Headers that apply to one connection only, or are set anew on the next connection.
HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    )
)
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


def is_final_status(status: int) -> bool:
    """Return whether a status may be that of an answer."""
    return FINAL_STATUS_MIN <= status <= FINAL_STATUS_MAX


def has_control_character(headers: Mapping[str, str]) -> bool:
    """Return whether a value of a header has a character that no header may have.

    A tab is allowed. No HTTP library writes the others, so they can't be relayed.
    """
    return any(_CONTROL_CHARACTER.search(value) for value in headers.values())


def has_length(response: aiohttp.ClientResponse) -> bool:
    """Return whether a truncated answer can be distinguished from a complete one.

    Without a length, aiohttp reports an orderly close and a reset alike, as the end of
    the body.
    """
    if response.status in STATUSES_WITHOUT_BODY or response.method == "HEAD":
        return True
    is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return is_chunked or response.content_length is not None
