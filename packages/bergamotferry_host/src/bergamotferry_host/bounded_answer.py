"""Reads the bodies of upstreams' answers within a limit in bytes.

A faulty upstream may send a body without end. Without a limit, one such answer would
take all memory of the host before its deadline. The connection is closed once the limit
is exceeded, since what would follow on it belongs to no answer.
"""

import aiohttp

# Longest answer that is held in memory as a whole; a longer one must be streamed.
ANSWER_MAX_BYTES = 16 * 1024 * 1024
# Longest body of an answer whose head says all that matters.
SHORT_BODY_MAX_BYTES = 64 * 1024


class AnswerTooLargeError(aiohttp.ClientError):
    """The body of an answer exceeds the limit, and its connection was closed."""


async def read_whole(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Read the whole body of an answer.

    Raises
    ------
    AnswerTooLargeError
        If the body is longer than ``max_bytes``.
    """
    check_length(response, max_bytes)
    received: list[bytes] = []
    n_bytes = 0
    async for part in response.content.iter_any():
        received.append(part)
        n_bytes += len(part)
        if n_bytes > max_bytes:
            raise _close_too_large(response, max_bytes)
    return b"".join(received)


def check_length(response: aiohttp.ClientResponse, max_bytes: int) -> None:
    """Check the length that the head of an answer states.

    Raises
    ------
    AnswerTooLargeError
        If it exceeds the limit.
    """
    if response.method != "HEAD" and (response.content_length or 0) > max_bytes:
        raise _close_too_large(response, max_bytes)


def _close_too_large(
    response: aiohttp.ClientResponse, max_bytes: int
) -> AnswerTooLargeError:
    response.close()
    return AnswerTooLargeError(f"the answer exceeds {max_bytes} bytes")
