"""Streams a stand-in's archives, with range requests; content derives from the key.

The connection can be cut halfway through a download, to test how an answer is resumed.
"""

from collections.abc import Callable

from aiohttp import web

from .answers import BLOCK_BYTES, archive_block, archive_size_bytes


async def stream_archive(
    request: web.Request, key: str, archive_bytes: int, should_abort: Callable[[], bool]
) -> web.StreamResponse:
    """Answer with an archive, from the start of the request's range if it has one.

    Parameters
    ----------
    request : web.Request
        The request, with its Range and If-Match.
    key : str
        Key of the archive, from which its content derives.
    archive_bytes : int
        Approximate size of archives; `archive_size_bytes` gives the exact one.
    should_abort : callable
        Called halfway through; the connection is cut if it returns True.
    """
    size_bytes = archive_size_bytes(key, archive_bytes)
    etag = f'"{key}-1"'
    if request.headers.get("If-Match", etag) != etag:
        return web.Response(status=412)
    start = request.http_range.start or 0
    headers = {"ETag": etag, "Accept-Ranges": "bytes"}
    if start:
        headers["Content-Range"] = f"bytes {start}-{size_bytes - 1}/{size_bytes}"
    response = web.StreamResponse(status=206 if start else 200, headers=headers)
    response.content_length = size_bytes - start
    await response.prepare(request)
    first, skipped = divmod(start, BLOCK_BYTES)
    n_blocks = size_bytes // BLOCK_BYTES
    for number in range(first, n_blocks):
        if number == (first + n_blocks) // 2 and should_abort():
            if request.transport is not None:
                request.transport.abort()
            return response
        block = archive_block(key, number)
        await response.write(block[skipped:] if number == first else block)
    await response.write_eof()
    return response
