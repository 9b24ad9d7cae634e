"""Accounts of the soak: callers with API keys, and a check of what they got.

Each configuration has one key of its own and that of the version before, so that each
further one takes a key away. One account has a cap, and its callers want more than it.
Callers also send keys that no configuration ever had, and name an account themselves.
"""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass
from typing import NamedTuple

from account_fleet import tenant
from aiohttp import web
from platform_fleet import FRONT_PORT, send_http_request
from platform_soak_state import EDGES, Soak

PATH_PREFIX, CAPPED_PREFIX = "/account/", "/capped/"
ACCOUNT, ROTATED_ACCOUNT, CAPPED_ACCOUNT = "steady", "rotated", "capped"
STEADY_KEY, CAPPED_KEY, UNKNOWN_KEY = "key-steady", "key-capped", "key-of-nobody"
RATE_PER_S, BURST = 10, 10
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20
REVOKE_S = 3.0
BOUNDS = (
    f"fail-closed=true,revoke-ms={int(REVOKE_S * 1_000)},"
    f"quota-window-s={WINDOW_S:.0f},quota-overshoot={OVERSHOOT},quota-slack={SLACK}"
)
N_ACCOUNT_CALLERS, N_CAPPED_CALLERS = 2, 2
CAPPED_PAUSE_S = 0.02


class AccountRun(NamedTuple):
    """A request with a key that an upstream ran, as the upstream received it."""

    request_id: str
    accounts: tuple[str, ...]
    has_key: bool
    at_s: float


@dataclass
class AccountCall:
    """A request with a key; ``expected`` is the account that holds the key, if any."""

    request_id: str
    expected: str
    key: str
    began_s: float
    version: int = 0
    status: int = 0


def tenants(version: int) -> list[dict[str, object]]:
    """Return the accounts of a version of the configuration."""
    rotated = [rotated_key(number) for number in (version - 1, version)]
    cap = {"rate-per-s": RATE_PER_S, "burst-size": BURST}
    return [
        tenant(ACCOUNT, STEADY_KEY),
        tenant(ROTATED_ACCOUNT, *rotated),
        tenant(CAPPED_ACCOUNT, CAPPED_KEY, **cap),
    ]


def rotated_key(version: int) -> str:
    """Return the key that a version adds, and the second next one lacks."""
    return f"key-{version}"


def is_with_account(path: str) -> bool:
    return path.startswith((PATH_PREFIX, CAPPED_PREFIX))


def record_account_run(runs: list[AccountRun], request: web.Request) -> None:
    """Record what an upstream gets of a request with a key."""
    accounts = tuple(request.headers.getall("X-Tenant-Id", ()))
    has_key = any("key-" in value for value in request.headers.values())
    request_id = request.headers["X-Request-Id"]
    runs.append(AccountRun(request_id, accounts, has_key, time.monotonic()))


async def send_with_keys(soak: Soak, number: int) -> None:
    """Send requests with keys of several versions, and with one of nobody."""
    rng = random.Random(f"accounts {number} {soak.rng.random()}")
    for count in itertools.count():
        if soak.is_finished:
            return
        newest = max((version for _, version in soak.acknowledged), default=1)
        version = max(1, newest - rng.randrange(4))
        keys = {STEADY_KEY: ACCOUNT, rotated_key(version): ROTATED_ACCOUNT}
        key = rng.choice([*keys, UNKNOWN_KEY])
        call = AccountCall(
            f"account-{number}-{count}", keys.get(key, ""), key, time.monotonic()
        )
        call.version = version if key == rotated_key(version) else 0
        await _send(soak, call, f"{PATH_PREFIX}1", rng)
        await asyncio.sleep(rng.uniform(0.005, 0.05))


async def send_above_cap(soak: Soak, number: int) -> None:
    """Send more requests of one account than its cap allows."""
    rng = random.Random(f"capped {number} {soak.rng.random()}")
    for count in itertools.count():
        if soak.is_finished:
            return
        request_id = f"capped-{number}-{count}"
        call = AccountCall(request_id, CAPPED_ACCOUNT, CAPPED_KEY, time.monotonic())
        await _send(soak, call, f"{CAPPED_PREFIX}1", rng)
        await asyncio.sleep(CAPPED_PAUSE_S)


async def _send(soak: Soak, call: AccountCall, path: str, rng: random.Random) -> None:
    headers = {
        "Host": "one.example",
        "X-Request-Id": call.request_id,
        "X-Deadline-Ms": "2000",
        "Authorization": f"Bearer {call.key}",
        "X-Tenant-Id": "made up",
    }
    url = f"http://{rng.choice(EDGES)}:{FRONT_PORT}{path}"
    call.status, _ = await send_http_request(soak.http, "GET", url, headers=headers)
    soak.account_calls.append(call)


def check_accounts(soak: Soak) -> list[str]:
    """Return one line for each guarantee of accounts that was broken."""
    calls = {call.request_id: call for call in soak.account_calls}
    broken = []
    for run in soak.account_runs:
        call = calls.get(run.request_id)
        if call is None:
            continue
        if run.has_key or run.accounts != (call.expected,):
            broken.append(f"{run.request_id} ran for {run.accounts}, key {run.has_key}")
        if call.version and call.began_s > _removed_s(soak, call.version) + REVOKE_S:
            broken.append(f"{run.request_id} ran with a key that was taken away")
    broken += [
        f"{call.request_id} got {call.status}"
        for call in calls.values()
        if call.status in (401, 403, 404) and call.key in (STEADY_KEY, CAPPED_KEY)
    ]
    return broken + _check_cap(soak)


def _removed_s(soak: Soak, version: int) -> float:
    """Return when a configuration without a version's key was acknowledged."""
    times_s = [at_s for at_s, number in soak.acknowledged if number >= version + 2]
    return min(times_s, default=float("inf"))


def _check_cap(soak: Soak) -> list[str]:
    allowed = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
    times_s = sorted(
        run.at_s for run in soak.account_runs if run.accounts == (CAPPED_ACCOUNT,)
    )
    most = first = 0
    for last, at_s in enumerate(times_s):
        while times_s[first] < at_s - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return [f"{most} requests of one account in 5 s"] if most > allowed else []
