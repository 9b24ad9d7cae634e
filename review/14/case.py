"""A request that crashes its targets comes again, from a client that repeats at once."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(os.environ.get("CASE_FOLDER", Path(__file__).resolve().parent))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib3"))

from fleet import BROKEN, HELD, CannotRunError, Fleet, Operator, http  # noqa: E402
from fleet import manifest, route, run_case, service  # noqa: E402
from targets import Target  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
N_EDGES, N_TARGETS = 4, 16
# `retry_abuse` of the site: a client repeats 3 times more, at once.
N_SENT = 4 if TROUBLE else 1
# The request comes until shortly before the end of the 120 s that a script may take.
BETWEEN_ROUNDS_S, LENGTH_S = 4.5, 100.0
DOWN_S = 3.0
CONTACT_S = 3.0
N_RETRIES_MAX = 3
POISON = "/lookup/poison"


class CrashingTarget(Target):
    """A target that ends as soon as it begins to run the one request."""

    def __init__(self, *args, crashes, arrivals_of_poison):
        super().__init__(*args, lambda method, path: (0.05, b"answer"), slots=4)
        self.writers = set()
        self.crashes = crashes
        self.arrivals_of_poison = arrivals_of_poison
        self.life = 0
        self.base_name = self.name

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def _answer(self, writer, method, path, headers):
        is_own = headers.get("x-expected-instance", self.name) == self.name
        if path == POISON and is_own:
            now = time.monotonic()
            self.arrivals_of_poison.append(now)
            self.crashes.append(now)
            self.record(f"{self.name} crashes under {headers.get('x-request-id')}")
            self.crash()
            raise ConnectionError
        await super()._answer(writer, method, path, headers)

    def crash(self):
        self.stop()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.get_running_loop().create_task(self._come_back())

    async def _come_back(self):
        await asyncio.sleep(DOWN_S)
        self.life += 1
        self.name = f"{self.base_name}-{self.life}"
        self.born, self.sequence = int(time.time() * 1000), 0
        self.n_running = 0
        await self.start()
        self.record(f"{self.name} is back at its address")


async def main(record):
    fleet = Fleet(record, n_cores=3, n_edges=N_EDGES)
    operator = Operator(fleet, record)
    crashes, arrivals = [], []
    targets = [
        CrashingTarget(
            fleet,
            record,
            f"i-{n}",
            f"{fleet.block}.{100 + n}",
            "testlog",
            crashes=crashes,
            arrivals_of_poison=arrivals,
        )
        for n in range(N_TARGETS)
    ]
    try:
        for target in targets:
            await target.start()
        fleet.start_all()
        routes = [route("/lookup/", "safe", "testlog")]
        if not await operator.put(
            1, manifest(1, routes, {"testlog": service()}), within_s=25.0
        ):
            raise CannotRunError("the first manifest was not taken")
        await asyncio.sleep(6.0)
        edges = [ip for ip, _ in fleet.edges]

        async def ask(edge, path, request_id):
            status, _, _ = await http(
                edge,
                fleet.front,
                "GET",
                path,
                host="one.example",
                headers=[("X-Request-Id", request_id), ("X-Deadline-Ms", "2000")],
                timeout=3.0,
            )
            record(f"{request_id} at {edge}: {status}")
            return status

        statuses = [
            await ask(edges[n % N_EDGES], "/lookup/well", f"well-{n}") for n in range(8)
        ]
        if statuses.count(200) < 6:
            raise CannotRunError(f"lookups are not served: {statuses}")
        number, until = 0, time.monotonic() + LENGTH_S
        while time.monotonic() < until:
            first = number % N_EDGES
            # The client retries at once after a failure, on a new connection.
            for n in range(N_SENT):
                status = await ask(
                    edges[(first + n) % N_EDGES], POISON, f"poison-{number}-{n}"
                )
                if status == 200:
                    break
            number += 1
            await asyncio.sleep(BETWEEN_ROUNDS_S)
        late = []
        if len(crashes) >= 3:
            late = [at for at in arrivals if at > sorted(crashes)[2] + CONTACT_S]
        record(
            f"crashes {len(crashes)}; retries later than contact-ms after the third: {len(late)}"
        )
        print("crashes", len(crashes), "late", len(late))
        return BROKEN if len(late) > N_RETRIES_MAX else HELD
    finally:
        for target in targets:
            target.stop()
        fleet.end()


run_case(FOLDER, main)
