"""Caps of accounts over all hosts, against the platform's programs with hosts lost.

Callers send three times what an account may run, at entry hosts that are frozen, cut
off, ended and started again, while the leader is frozen and ended.
"""

import asyncio
import signal
import time
from bisect import bisect_right
from random import Random

from account_fleet import running_accounts, tenant

WINDOW_S = 5.0
RATE, BURST = 20, 10
ALLOWED = (RATE * WINDOW_S + BURST) * 1.1 + 20
LOWERED_ALLOWED = (RATE / 4 * WINDOW_S + BURST) * 1.1 + 20
LOAD = 3.0
APPLY_S = 2.5
GREEDY, RARE, FREE = "key-of-greedy", "key-of-rare", "key-of-free"
TENANTS = (
    tenant("rare", RARE, **{"rate-per-s": 1, "burst-size": 1}),
    tenant("free", FREE, **{"rate-per-s": 0}),
)


def greedy(rate):
    return tenant("greedy", GREEDY, **{"rate-per-s": rate, "burst-size": BURST})


class Callers:
    """Sends requests of all accounts, mostly to one edge, which changes."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.rng = Random(7)
        self.tasks = set()
        self.unused = set()

    def send(self, key, edge):
        task = asyncio.create_task(self.deployment.send(edge, key, timeout_s=4.0))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, load=LOAD):
        began_s = time.monotonic()
        n_sent = 0
        while True:
            passed_s = time.monotonic() - began_s
            while n_sent < passed_s * RATE * load:
                favoured = self.deployment.edges[int(passed_s / 2) % 4]
                edges = [favoured, self.rng.choice(self.deployment.edges)]
                self.send(GREEDY, edges[n_sent % 2])
                n_sent += 1
                if n_sent % int(RATE * load / 2) == 0:
                    usable = [e for e in self.deployment.edges if e not in self.unused]
                    self.send(RARE, self.rng.choice(usable))
                    self.send(FREE, self.rng.choice(usable))
            await asyncio.sleep(0.01)

    async def stop(self, task):
        task.cancel()
        await asyncio.gather(task, *self.tasks, return_exceptions=True)


def most_in_window(runs, account, since_s=0.0):
    """Return the largest number of requests of an account that ran in a window."""
    times_s = sorted(r.ran_s for r in runs if r.account == account)
    times_s = [ran_s for ran_s in times_s if ran_s >= since_s]
    return max(
        (
            bisect_right(times_s, began_s + WINDOW_S) - first
            for first, began_s in enumerate(times_s)
        ),
        default=0,
    )


def statuses(deployment, key, since_s=0.0, until_s=float("inf")):
    return [
        answer.status
        for answer in deployment.answers
        if deployment.keys[answer.request_id] == key
        and since_s <= answer.sent_s < until_s
    ]


async def lose_hosts(deployment, callers):
    """Freeze, cut off and restart entry hosts, one after the other, and overlapping."""
    fleet = deployment.fleet
    frozen, restarted, _, cut = deployment.edges
    callers.unused |= {frozen}
    fleet.send_signal(frozen, signal.SIGSTOP)
    await asyncio.sleep(1.0)
    callers.unused |= {cut, restarted}
    deployment.set_cut(True)
    await fleet.end(restarted)
    await fleet.start(restarted)
    await asyncio.sleep(2.5)
    fleet.send_signal(frozen, signal.SIGCONT)
    await asyncio.sleep(1.5)
    deployment.set_cut(False)
    await asyncio.sleep(2.0)
    callers.unused.clear()


def leader_of(deployment):
    """Return the control host that last became the leader, by the logs."""
    lines = {
        core: [
            line
            for line in deployment.fleet.log_path(core).read_text().splitlines()
            if '"role changed"' in line
        ]
        for core in deployment.cores
    }
    return next(
        core for core, found in lines.items() if found and '"leader"' in found[-1]
    )


def test_no_window_has_more_requests_than_the_cap_whoever_is_lost(tmp_path):
    """Guards against hosts that each spend, or spend once more, the same share."""

    async def scenario():
        async with running_accounts(tmp_path, 4, "quota-window-s=5") as deployment:
            await deployment.configure(1, greedy(RATE), *TENANTS)
            for edge in deployment.edges:
                await deployment.wait_for(200, edge, FREE)
            callers = Callers(deployment)
            began_s = time.monotonic()
            sending = asyncio.create_task(callers.run())
            await asyncio.sleep(6.0)
            calm_s = time.monotonic()
            await lose_hosts(deployment, callers)
            leader = leader_of(deployment)
            deployment.fleet.send_signal(leader, signal.SIGSTOP)
            await asyncio.sleep(2.0)
            deployment.fleet.send_signal(leader, signal.SIGCONT)
            await asyncio.sleep(1.0)
            await deployment.fleet.end(leader_of(deployment))
            await asyncio.sleep(2.0)
            await callers.stop(sending)

            # Whoever was lost, no window has more than the cap.
            assert most_in_window(deployment.runs, "greedy") <= ALLOWED
            of_greedy = statuses(deployment, GREEDY, began_s, calm_s)
            assert 429 in of_greedy
            # Without faults the account gets what it may run.
            assert of_greedy.count(200) >= RATE * WINDOW_S
            assert set(of_greedy) <= {200, 429, 503}
            # A rare request is served at any host, an account without a rate always.
            assert set(statuses(deployment, RARE, began_s, calm_s)) == {200}
            assert set(statuses(deployment, FREE, began_s)) == {200}
            assert "key-" not in deployment.logs()

    asyncio.run(scenario())


def test_lowered_cap_holds_one_window_after_it_is_known(tmp_path):
    async def scenario():
        async with running_accounts(tmp_path, 4, "quota-window-s=5") as deployment:
            await deployment.configure(1, greedy(RATE), *TENANTS)
            for edge in deployment.edges:
                await deployment.wait_for(200, edge, FREE)
            callers = Callers(deployment)
            sending = asyncio.create_task(callers.run())
            await asyncio.sleep(4.0)
            lowered_s = await deployment.configure(2, greedy(RATE // 4), *TENANTS)
            await asyncio.sleep(APPLY_S + 2 * WINDOW_S)
            await callers.stop(sending)
            assert most_in_window(deployment.runs, "greedy") <= ALLOWED
            since_s = lowered_s + APPLY_S
            n_most = most_in_window(deployment.runs, "greedy", since_s)
            assert RATE / 4 * WINDOW_S / 2 < n_most <= LOWERED_ALLOWED
            assert set(statuses(deployment, RARE, lowered_s)) == {200}

    asyncio.run(scenario())
