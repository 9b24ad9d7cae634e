"""Streams a stand-in's archives, by range; their content derives from the key.

A download that breaks off half way is what the resumption of an answer is tested with.
"""

from collections.abc import Callable

from aiohttp import web

from .answers import BLOCK_BYTES, archive_block, archive_size_bytes


async def stream_archive(
    request: web.Request, key: str, archive_bytes: int, takes_break: Callable[[], bool]
) -> web.StreamResponse:
    """Answer with an archive, or the part of it that the request's range asks for.

    Parameters
    ----------
    request : web.Request
        The request, with its Range and If-Match.
    key : str
        Key of the archive, from which its content derives.
    archive_bytes : int
        Size that archives have about.
    takes_break : callable
        Asked half way through; the connection is then cut if it returns True.
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
        if number == (first + n_blocks) // 2 and takes_break():
            if request.transport is not None:
                request.transport.abort()
            return response
        block = archive_block(key, number)
        await response.write(block[skipped:] if number == first else block)
    await response.write_eof()
    return response
