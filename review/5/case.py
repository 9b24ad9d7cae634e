"""Two of a zone's three entry hosts stop; a slow filing comes late in the grace."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from standins import Target, Trial, http_call, main, route, service

GAP_S = 1.0
GRACE_S = 6.0
SLOW_WORK_S = 1.05
# When the slow filings are sent, counted from the SIGTERM of their entry host.
SLOW_AT_S = (4.4, 4.5, 4.6)
N_CLIENTS = 18


class Balancer:
    """The platform's choice of entry hosts in one zone, as PROTOCOL.md tells it."""

    def __init__(self, trial):
        self.trial = trial
        self.n_misses = dict.fromkeys(trial.edges, 0)

    async def poll(self):
        while True:
            await asyncio.gather(*(self._ask(edge) for edge in self.trial.edges))
            await asyncio.sleep(1.0)

    async def _ask(self, edge):
        address = f"{edge}:{self.trial.ready_port}"
        status = (await http_call(address, "GET", "/api/ready"))[0]
        self.n_misses[edge] = 0 if status == 200 else self.n_misses[edge] + 1

    def choose(self, client):
        """Return the entry host that a new connection of a client goes to."""
        edges = self.trial.edges
        in_rotation = [edge for edge in edges if self.n_misses[edge] < 2]
        # With fewer than half in rotation, all of the zone's nodes are used.
        usable = in_rotation if 2 * len(in_rotation) >= len(edges) else edges
        return usable[client % len(usable)]


async def case(trial):
    await trial.start_hosts()
    targets = [
        Target(trial, "testlog", zone, slots=8)
        for zone in ("ishikari-a", "ishikari-b", "ishikari-a", "ishikari-b")
    ]
    for target in targets:
        target.work_s = lambda method, path: (
            SLOW_WORK_S if "slow" in path else random.uniform(0.1, 0.3)
        )
        await target.start()
    filing = route("/filing/", "testlog", "unsafe", 1200, homes=["ishikari"])
    await trial.put_manifest(1, {"r1": filing}, {"testlog": service()})
    await trial.wait_ready()
    balancer = Balancer(trial)
    trial.start_task(balancer.poll())
    await asyncio.sleep(3.0)

    async def client(number):
        await asyncio.sleep(random.uniform(0.0, 0.3))
        while True:
            edge = balancer.choose(number)
            await trial.request(edge, "/filing/a", "POST", 2500, body=b"x" * 300)
            await asyncio.sleep(random.uniform(0.0, 0.05))

    for number in range(N_CLIENTS):
        trial.start_task(client(number))
    await asyncio.sleep(8.0)
    stopping = trial.edges[0]
    if trial.has_trouble:
        trial.signal(trial.edges[1], signal.SIGTERM)
        await asyncio.sleep(GAP_S)
        trial.signal(stopping, signal.SIGTERM)
    term_s = trial.now_s()
    results = []

    async def slow(after_s):
        await asyncio.sleep(term_s + after_s - trial.now_s())
        # The first client's number leads to the first of the nodes in use.
        edge = balancer.choose(0)
        sent_s = trial.now_s()
        answer = await trial.request(
            edge, f"/filing/slow-{after_s}", "POST", 2500, body=b"x" * 300
        )
        results.append((edge, sent_s, trial.now_s(), answer))

    await asyncio.gather(*(slow(after_s) for after_s in SLOW_AT_S))
    await asyncio.sleep(2.0)
    lost = 0
    for edge, sent_s, ended_s, (request_id, status, _, answer) in results:
        has_run = any(run[1] == request_id for t in targets for run in t.runs)
        is_at_work = ended_s < sent_s + SLOW_WORK_S
        is_lost = has_run and status != 200 and is_at_work
        lost += is_lost
        trial.note(
            f"slow filing {request_id} at {edge}, {sent_s - term_s:.2f} s after SIGTERM: "
            f"{status or 'no answer'} after {ended_s - sent_s:.2f} s, "
            f"{'run' if has_run else 'not run'}{', LOST' if is_lost else ''}"
        )
    print(f"{lost} of {len(results)} slow filings were broken off at work")
    return lost > 0


main(
    Trial,
    Path(__file__).parent,
    case,
    edge_zones=("ishikari-a", "ishikari-a", "ishikari-a"),
)
