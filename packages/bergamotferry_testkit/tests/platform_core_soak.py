"""Runs a seeded series of losses of control hosts, with real processes.

In each round of a series hosts end for good after their successors were ready, as
planned or without a word, hosts freeze, and one host loses its disk, each at any
instant. All of this is within what the deployment tolerates: one lost disk at a time,
and an ended host counts no longer once its successor has run for `CATCHUP_S`. Between
two rounds there is that time and no more. An operator changes the configuration
throughout. After each round a change must be acknowledged, and every acknowledged one
must be read back, within `RECOVERY_S`. To run one seed by hand:

    python packages/bergamotferry_testkit/tests/platform_core_soak.py --seed 1
"""

import argparse
import asyncio
import contextlib
import random
import shutil
import signal
import tempfile
from pathlib import Path
from typing import NamedTuple

import aiohttp
from claimed_network import claim_network
from platform_fleet import (
    CONTROL_PORT,
    Fleet,
    manifest,
    manifest_version,
    route,
    send_http_request,
)

NETWORK = claim_network()
N_CORES = 4
N_ROUNDS = 6
# The users' bounds: how long a new host counts as lost, and how long service may be
# suspended after all hosts are back.
CATCHUP_S = 4.0
RECOVERY_S = 15.0
BOUNDS = "contact-ms=3000,ack-ms=4000,catchup-s=4,recovery-s=15"
CHANGE_INTERVAL_S = 0.3
KINDS = ("sudden end", "leave", "two leaves", "freeze")


class Round(NamedTuple):
    """One round of losses.

    ``kind`` is one of `KINDS`. ``gap_s`` lies between the two leaves, ``freeze_s`` is
    how long a host is frozen, or 0. ``loss_s`` after the first loss another host loses
    its disk and is down for ``down_s``. ``pick`` decides which hosts.
    """

    kind: str
    loss_s: float
    down_s: float
    freeze_s: float = 0.0
    gap_s: float = 0.0
    pick: int = 0


def draw_series(seed: int, n_rounds: int = N_ROUNDS) -> list[Round]:
    """Draw the rounds of a seed."""
    rng = random.Random(f"core losses {seed}")
    rounds = []
    for _ in range(n_rounds):
        kind = rng.choice(KINDS)
        is_frozen = kind == "freeze"
        freeze_s = rng.uniform(3.0, 9.0) if is_frozen else 0.0
        # A frozen host is removed some 5 s after it froze.
        late_s = rng.choice([rng.uniform(0.0, freeze_s), rng.uniform(5.0, 5.3)])
        loss_s = late_s if is_frozen else rng.uniform(0.0, 3.0)
        down_s, gap_s = rng.uniform(0.5, 3.0), rng.uniform(0.0, 1.0)
        pick = rng.randrange(10**6)
        rounds.append(Round(kind, loss_s, down_s, freeze_s, gap_s, pick))
    return rounds


class CoreSoak:
    """The control hosts of a series, and what their operator observed."""

    def __init__(self, tmp_path: Path, http: aiohttp.ClientSession) -> None:
        cores = [f"{NETWORK}.{number}.1" for number in range(1, N_CORES + 1)]
        self.fleet = Fleet(tmp_path, cores, [], more_bounds=BOUNDS)
        self.http = http
        self.n_started = N_CORES
        self.version = 0
        self.acknowledged = 0

    @property
    def cores(self) -> list[str]:
        """Addresses of the control hosts that have not ended for good."""
        return self.fleet.cores

    async def start(self) -> None:
        for core in self.cores:
            await self.fleet.start(core)
        self.fleet.is_bootstrapped = True
        if not await self.change(RECOVERY_S):
            raise RuntimeError("the first configuration was not acknowledged")

    async def start_successor(self) -> None:
        """Start one more control host at a new address."""
        self.n_started += 1
        core = f"{NETWORK}.{self.n_started}.1"
        self.cores.append(core)
        await self.fleet.start(core)
        await self.fleet.wait_started(core)

    async def end_for_good(self, core: str, is_planned: bool) -> None:
        """End a host that never comes back."""
        self.cores.remove(core)
        await self.fleet.end(core, signal.SIGTERM if is_planned else signal.SIGKILL)

    async def lose_disk(self, core: str, down_s: float) -> None:
        """Kill a host, remove its data folder and start it again."""
        await self.fleet.end(core)
        shutil.rmtree(self.fleet.tmp_path / core)
        await asyncio.sleep(down_s)
        await self.fleet.start(core)
        # On a busy machine the process may take seconds to run; the host is back then.
        await self.fleet.wait_started(core)

    async def freeze(self, core: str, freeze_s: float) -> None:
        self.fleet.send_signal(core, signal.SIGSTOP)
        await asyncio.sleep(freeze_s)
        self.fleet.send_signal(core, signal.SIGCONT)

    async def change(self, within_s: float) -> bool:
        """Send the next configuration, host by host, until it is acknowledged."""
        self.version += 1
        body = manifest(self.version, route("/a/"))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while True:
                    for core in list(self.cores):
                        url = f"http://{core}:{CONTROL_PORT}/api/config"
                        if await self._put(url, body):
                            self.acknowledged = self.version
                            return True
        return False

    async def _put(self, url: str, body: dict) -> bool:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                status, _ = await send_http_request(self.http, "PUT", url, json=body)
                return status == 200
        await asyncio.sleep(0.05)
        return False

    async def change_often(self) -> None:
        while True:
            await self.change(2.0)
            await asyncio.sleep(CHANGE_INTERVAL_S)

    async def read_newest(self) -> int:
        """Return the newest version that a host returns, or 0 if none returns any."""
        newest = 0
        for core in self.cores:
            url = f"http://{core}:{CONTROL_PORT}/api/config"
            status, body = await send_http_request(self.http, "GET", url)
            if status == 200:
                newest = max(newest, manifest_version(body))
        return newest


async def run_series(rounds: list[Round], tmp_path: Path) -> list[str]:
    """Run rounds of losses; return a line for each guarantee that was broken."""
    async with aiohttp.ClientSession() as http:
        soak = CoreSoak(tmp_path, http)
        try:
            await soak.start()
            for number, round_ in enumerate(rounds):
                await asyncio.sleep(CATCHUP_S)
                broken = await _run_round(soak, round_)
                if broken:
                    return [f"round {number}, {round_}: {line}" for line in broken]
        finally:
            await soak.fleet.end_hosts()
    return []


async def _run_round(soak: CoreSoak, round_: Round) -> list[str]:
    rng = random.Random(round_.pick)
    operator = asyncio.create_task(soak.change_often())
    n_ends = {"freeze": 0, "two leaves": 2}.get(round_.kind, 1)
    hosts = rng.sample(soak.cores, N_CORES)
    ending, (other, frozen, *_) = hosts[:n_ends], hosts[n_ends:]
    for _ in ending:
        await soak.start_successor()
    if ending:
        await asyncio.sleep(CATCHUP_S)
    async with asyncio.TaskGroup() as losses:
        for number, core in enumerate(ending):
            is_planned = round_.kind != "sudden end"
            pause_s = number * round_.gap_s
            losses.create_task(_after(pause_s, soak.end_for_good(core, is_planned)))
        if round_.freeze_s:
            losses.create_task(soak.freeze(frozen, round_.freeze_s))
        loss = soak.lose_disk(other, round_.down_s)
        losses.create_task(_after(round_.loss_s, loss))
    operator.cancel()
    await asyncio.gather(operator, return_exceptions=True)
    return await _check_recovery(soak)


async def _after(pause_s: float, coroutine) -> None:
    await asyncio.sleep(pause_s)
    await coroutine


async def _check_recovery(soak: CoreSoak) -> list[str]:
    """Check that a change is taken, and that every acknowledged one is read back."""
    acknowledged = soak.acknowledged
    broken = []
    if not await soak.change(RECOVERY_S):
        broken.append("no change is acknowledged")
    newest = await soak.read_newest()
    if newest < acknowledged:
        broken.append(f"version {newest} was read, {acknowledged} was acknowledged")
    return broken


def main() -> None:
    """Run one seed and print the guarantees that were broken."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=N_ROUNDS)
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="core-soak-"))
    series = draw_series(options.seed, options.rounds)
    broken = asyncio.run(run_series(series, folder))
    kinds = ", ".join(round_.kind for round_ in series)
    print(f"seed {options.seed}: {kinds}; logs in {folder}")
    for line in broken:
        print("BROKEN", line)
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    main()
