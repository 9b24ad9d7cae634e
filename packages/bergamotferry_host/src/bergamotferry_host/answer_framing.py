"""Rules of HTTP framing for relayed answers: hop-by-hop headers and body length."""

import aiohttp

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


def has_length(response: aiohttp.ClientResponse) -> bool:
    """Return whether a truncated answer can be distinguished from a complete one.

    Without a length, aiohttp reports an orderly close and a reset alike, as the end of
    the body.
    """
    if response.status in STATUSES_WITHOUT_BODY or response.method == "HEAD":
        return True
    is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return is_chunked or response.content_length is not None
