"""The URL under which an upstream gets a request: the key reaches it exactly."""

from urllib.parse import quote

from yarl import URL


def upstream_url(address: str, route: str, key: str) -> URL:
    """Return the URL of a request.

    Every character of the key that means something in a URL is percent-encoded, so
    slashes, dots, percent signs and question marks arrive as part of the key.
    """
    return URL(f"http://{address}/{route}/{quote(key, safe='')}", encoded=True)
