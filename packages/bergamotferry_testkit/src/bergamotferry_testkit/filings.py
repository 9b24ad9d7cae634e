"""Sends filings as a caller does, and counts how often the stand-ins ran each one."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

import aiohttp

from bergamotferry.result_codes import ResultCode

from .answers import filing_answer
from .deployments import CALLER_TOKENS
from .local_deployment import HostProcess
from .records_check import read_records

BROKEN = -1
OUTCOME_UNKNOWN = 2001
N_ATTEMPTS_MAX = 12
PAUSE_MAX_S = 0.2
# How many filings a second the upstreams can run depends on the speed of the machine,
# so refusals for want of capacity use up no attempt until this time is over.
CAPACITY_TIMEOUT_S = 60.0
CAPACITY_PAUSE_MAX_S = 2.0
_CAPACITY_CODES = frozenset(
    {
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_TOO_SHORT,
        ResultCode.DEADLINE_EXPIRED_IN_QUEUE,
    }
)


class FilingAnswer(NamedTuple):
    """Result code of a filing, and whether it was reported as not run.

    ``code`` is `BROKEN` if no complete answer came.
    """

    code: int
    is_not_run: bool


async def send_filing(
    http: aiohttp.ClientSession, host: HostProcess, key: str, idempotency_key: str
) -> FilingAnswer:
    """Send a filing of the service ``testlog`` once.

    Raises
    ------
    ValueError
        If the answer belongs to another request.
    """
    headers = {
        "Authorization": f"Bearer {CALLER_TOKENS['inspectors']}",
        "Idempotency-Key": idempotency_key,
    }
    url = f"http://{host.caller_address}/v1/testlog/filing/{key}"
    body = b"filing " + idempotency_key.encode()
    try:
        async with http.post(url, headers=headers, data=body) as response:
            answer_body = await response.read()
            code = int(response.headers["Bergamotferry-Code"])
            is_not_run = response.headers["Bergamotferry-Not-Run"] == "true"
    except (aiohttp.ClientError, TimeoutError, OSError):
        return FilingAnswer(BROKEN, False)
    if code == 0 and answer_body != filing_answer("testlog", "filing", key, body):
        raise ValueError(f"{idempotency_key}: the answer belongs to another request")
    return FilingAnswer(code, is_not_run)


async def file_until_known(
    http: aiohttp.ClientSession,
    hosts: Sequence[HostProcess],
    number: int,
    all_answers: list[FilingAnswer],
) -> None:
    """Send a filing through random hosts until it is served, or its outcome is unknown.

    Every answer is appended to ``all_answers``. Each fifth filing is first sent through
    two hosts at once. After `N_ATTEMPTS_MAX` further attempts the caller stops.
    Refusals for want of capacity don't count for `CAPACITY_TIMEOUT_S`; after them the
    caller pauses twice as long each time, up to `CAPACITY_PAUSE_MAX_S`.
    """
    rng = random.Random(number)
    is_sent_twice = number % 5 == 0
    n_attempts_left = N_ATTEMPTS_MAX + is_sent_twice
    capacity_pause_s = PAUSE_MAX_S
    capacity_deadline_s = time.monotonic() + CAPACITY_TIMEOUT_S
    chosen = rng.sample(hosts, 2) if is_sent_twice else [rng.choice(hosts)]
    while n_attempts_left > 0:
        sends = [
            send_filing(http, host, f"key-{number % 97}", f"f{number}")
            for host in chosen
        ]
        answers = await asyncio.gather(*sends)
        all_answers += answers
        if any(answer.code in (0, OUTCOME_UNKNOWN) for answer in answers):
            return
        pause_max_s = PAUSE_MAX_S
        is_refused_for_capacity = all(a.code in _CAPACITY_CODES for a in answers)
        if is_refused_for_capacity and time.monotonic() < capacity_deadline_s:
            pause_max_s = capacity_pause_s
            capacity_pause_s = min(2 * capacity_pause_s, CAPACITY_PAUSE_MAX_S)
        else:
            n_attempts_left -= 1
        await asyncio.sleep(rng.uniform(0.0, pause_max_s))
        chosen = [rng.choice(hosts)]


def count_filing_runs(paths: Iterable[Path]) -> Counter[str]:
    """Return how often each filing ran, by its idempotency key."""
    return Counter(
        record["idempotency_key"]
        for record in read_records(paths)
        if record["event"] == "run" and record["idempotency_key"]
    )
