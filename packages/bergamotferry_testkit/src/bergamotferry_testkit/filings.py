"""Sends filings as a caller does, and counts how often the stand-ins ran each."""

from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import aiohttp

from .answers import filing_answer
from .deployments import CALLER_TOKENS
from .local_deployment import HostProcess
from .records_check import read_records

BROKEN = -1


class FilingAnswer(NamedTuple):
    """The result code, or `BROKEN` if no whole answer came, and "not run"."""

    code: int
    is_not_run: bool


async def send_filing(
    http: aiohttp.ClientSession, host: HostProcess, key: str, idempotency_key: str
) -> FilingAnswer:
    """Send a filing of the service ``testlog`` once.

    Raises
    ------
    ValueError
        If it was served with the answer of another request.
    """
    headers = {
        "Authorization": f"Bearer {CALLER_TOKENS['inspectors']}",
        "Idempotency-Key": idempotency_key,
    }
    url = f"http://{host.caller_address}/v1/testlog/filing/{key}"
    body = b"filing " + idempotency_key.encode()
    try:
        async with http.post(url, headers=headers, data=body) as response:
            got = await response.read()
            code = int(response.headers["Bergamotferry-Code"])
            is_not_run = response.headers["Bergamotferry-Not-Run"] == "true"
    except (aiohttp.ClientError, TimeoutError, OSError):
        return FilingAnswer(BROKEN, False)
    if code == 0 and got != filing_answer("testlog", "filing", key, body):
        raise ValueError(f"{idempotency_key}: the answer is of another request")
    return FilingAnswer(code, is_not_run)


def count_filing_runs(paths: Iterable[Path]) -> Counter[str]:
    """Return how often each filing ran, by its idempotency key."""
    return Counter(
        record["idempotency_key"]
        for record in read_records(paths)
        if record["event"] == "run" and record["idempotency_key"]
    )
