"""What may be passed on of an upstream's answer, and whether its end can be told."""

import aiohttp

STATUSES_WITHOUT_BODY = frozenset((204, 304))
# These concern one connection only, or are set anew for the next one.
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
    """Return whether an answer that breaks off can be told from a whole one.

    The library ends an answer without a length alike for an orderly end and a reset.
    """
    if response.status in STATUSES_WITHOUT_BODY or response.method == "HEAD":
        return True
    is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return is_chunked or response.content_length is not None
