"""A seeded simulation of many hosts that place requests on uneven upstreams.

Several data centres in two regions have hosts and upstreams of one service. Upstreams
differ in speed, and a fifth of them is slowed to a third at any moment, for 0.4 s.
"""

import heapq
import math
import random
import statistics
import zlib
from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from bergamotferry.direct_placement import (
    N_COMPARED,
    N_SCANNED_FIRST,
    N_SCANNED_FIRST_REMOTE,
    Candidate,
    Placed,
    Wait,
    has_idle,
    place_request,
    shortlist,
)
from bergamotferry.service_load.rows import ServiceLoad
from bergamotferry.spill.plan import distance_between
from bergamotferry.upstream_load import (
    LoadReport,
    UpstreamLoad,
    WorkTime,
    n_ahead,
    record_answer,
    record_ended,
    record_report,
    record_sent,
)

NS_PER_MS = 1_000_000
REGIONS = {"a": "north", "b": "north", "c": "south", "d": "south"}
ONE_WAY_MS = {"here": 0.2, "near": 2.0, "far": 12.0}
NEVER_OVERDUE_NS = 10**18
SLOWED_SHARE, SLOWED_MS, SLOWED_FACTOR = 0.2, 400.0, 3.0
# Share of its usual work that an upstream does on average.
WORK_DONE_SHARE = 1 - SLOWED_SHARE + SLOWED_SHARE / SLOWED_FACTOR
WARM_UP_MS = 3_000.0
ROW_INTERVAL_MS, ROW_DELAY_MS = 500.0, 600.0


class Load(NamedTuple):
    """What the requests of a simulation are like, and how many upstreams serve them."""

    work_ms: float = 76.0
    objective_ms: float = 300.0
    deadline_ms: float = 1_200.0
    n_bytes: int = 2_000
    n_upstreams: int = 13
    n_slots: int = 2
    n_hosts: int = 21
    data_centres: str = "abcd"


class Request(NamedTuple):
    number: int
    at_ms: float
    work_ms: float
    home_regions: tuple[str, ...] = ()


@dataclass
class Upstream:
    """An upstream whose speed changes at the times in ``toggles_ms``."""

    name: str
    data_centre: str
    n_slots: int
    relative_work_time: float
    is_first_slowed: bool
    toggles_ms: list[float]
    n_running: int = 0
    queue: deque = field(default_factory=deque)

    def slowness(self, at_ms: float) -> float:
        has_flipped = bisect_right(self.toggles_ms, at_ms) % 2 == 1
        return SLOWED_FACTOR if has_flipped != self.is_first_slowed else 1.0

    def end_ms(self, at_ms: float, work_ms: float) -> float:
        left_ms = work_ms * self.relative_work_time
        for toggle_ms in self.toggles_ms[bisect_right(self.toggles_ms, at_ms) :]:
            slowness = self.slowness(at_ms)
            if at_ms + left_ms * slowness <= toggle_ms:
                break
            left_ms -= (toggle_ms - at_ms) / slowness
            at_ms = toggle_ms
        return at_ms + left_ms * self.slowness(at_ms)

    def report(self, at_ms: float) -> LoadReport:
        n_waiting = len(self.queue)
        return LoadReport(self.n_running, n_waiting, self.n_slots, self.slowness(at_ms))


class Host:
    """What one host knows; ``candidates`` are in the order in which it scans them."""

    def __init__(self, name, data_centre, upstreams, work_ms, others):
        self.name, self.data_centre = name, data_centre
        self.loads = {up.name: UpstreamLoad(up.n_slots) for up in upstreams}
        self.work = WorkTime(work_ms, 2_000, 1)

        def weight(upstream, host):
            return zlib.crc32(f"{upstream} {host}".encode())

        def order_key(up):
            distance = distance_between(REGIONS, data_centre, up.data_centre)
            rank = 0
            if distance == "here":
                own = weight(up.name, name)
                rank = sum(weight(up.name, other) > own for other in others)
            distances = ("here", "near", "far")
            return distances.index(distance), rank, weight(up.name, name)

        self.candidates: list[Candidate] = []
        self.by_data_centre: dict[str, list[Candidate]] = {}
        for up in sorted(upstreams, key=order_key):
            distance = distance_between(REGIONS, data_centre, up.data_centre)
            is_preferred = distance == "here" and order_key(up)[1] == 0
            candidate = Candidate(up.name, self.loads[up.name], distance, is_preferred)
            self.candidates.append(candidate)
            self.by_data_centre.setdefault(up.data_centre, []).append(candidate)


class Choice(NamedTuple):
    """The upstream, or how long to wait if there is none; below 0 means refused."""

    name: str | None
    n_probes: int = 0
    delay_ms: float = 0.0


@dataclass
class Result:
    """What callers got after the warm-up, and what it cost.

    ``n_requests`` and ``values`` are by the data centre of the callers.
    """

    times_ms: list[float] = field(default_factory=list)
    n_requests: Counter = field(default_factory=Counter)
    values: Counter = field(default_factory=Counter)
    n_probes: int = 0
    sends: Counter = field(default_factory=Counter)

    def value(self, data_centres: str = "abcd") -> float:
        value = sum(self.values[name] for name in data_centres)
        return value / sum(self.n_requests[name] for name in data_centres)

    @property
    def mean_ms(self) -> float:
        return statistics.fmean(self.times_ms)

    @property
    def p99_ms(self) -> float:
        return sorted(self.times_ms)[int(0.99 * len(self.times_ms))]

    @property
    def probes_per_request(self) -> float:
        return self.n_probes / self.n_requests.total()

    def share_sent(self, distance: str) -> float:
        return self.sends[distance] / self.n_requests.total()


class Policy:
    """Places requests as hosts did before: by estimates, wherever they are best."""

    n_compared = N_COMPARED

    def begin(self, simulation: "Simulation") -> None:
        self.simulation = simulation
        self.load = simulation.load

    def on_rows(self, rows: list[ServiceLoad], now_ms: float) -> None:
        """Take the rows of service load that reach all hosts now."""

    def place(self, host: Host, request: Request, now_ms: float) -> Choice:
        placed, n_probes, delay_ms = self.place_among(
            host, self.allowed(host.candidates, request), request, now_ms
        )
        return self.to_choice(placed, n_probes, delay_ms)

    def to_choice(self, placed, n_probes, delay_ms) -> Choice:
        if isinstance(placed, Placed):
            return Choice(placed.name, n_probes, delay_ms)
        is_wait = isinstance(placed, Wait)
        return Choice(None, n_probes, max(1.0, placed.wait_ms) if is_wait else -1.0)

    def allowed(self, candidates, request: Request) -> list[Candidate]:
        upstreams = self.simulation.upstreams
        return [
            candidate
            for candidate in candidates
            if not request.home_regions
            or REGIONS[upstreams[candidate.name].data_centre] in request.home_regions
        ]

    def place_among(self, host, candidates, request, now_ms):
        """Return the placement, the number of load probes, and their time."""
        now_ns = int(now_ms * NS_PER_MS)
        left_ms = request.at_ms + self.load.deadline_ms - now_ms
        is_far = bool(candidates) and candidates[0].distance == "far"
        n_first = N_SCANNED_FIRST_REMOTE if is_far else N_SCANNED_FIRST
        if has_idle(candidates[:n_first], now_ns):
            candidates = candidates[:n_first]
        n_probes, delay_ms, n_compared = 0, 0.0, self.n_compared
        while True:
            chosen = shortlist(candidates, host.work, left_ms, now_ns, n_compared)
            n_probes += len(chosen.to_probe)
            for candidate in chosen.to_probe:
                upstream = self.simulation.upstreams[candidate.name]
                n_own = candidate.load.n_in_flight
                record_report(candidate.load, upstream.report(now_ms), n_own, now_ns)
                delay_ms = max(delay_ms, 2 * ONE_WAY_MS[candidate.distance])
            among = chosen.candidates or candidates
            placed = place_request(among, host.work, left_ms, now_ns)
            if isinstance(placed, Placed | Wait) or not chosen.to_probe:
                return placed, n_probes, delay_ms
            n_compared *= 2

    def on_answer(self, host, name, report, now_ms, took_ms, n_queued) -> None:
        load = host.loads[name]
        record_report(load, report, load.n_in_flight, int(now_ms * NS_PER_MS))
        record_answer(load, host.work, max(1.0, took_ms), n_queued, self.load.n_bytes)


class Simulation:
    """One run of a load.

    ``demand`` gives the work that arrives at a data centre at a time in ms, as a share
    of what its upstreams can do. ``change_rows`` may replace the rows of service load
    before hosts get them.
    """

    def __init__(
        self,
        load: Load,
        seed: int,
        demand: Callable[[str, float], float],
        until_ms: float = 14_000.0,
        bound_share: float = 0.0,
        change_rows: Callable[[list[ServiceLoad], float], list[ServiceLoad]] = (
            lambda rows, now_ms: rows
        ),
    ) -> None:
        self.load, self.demand, self.until_ms = load, demand, until_ms
        self.bound_share, self.change_rows = bound_share, change_rows
        self.rng = random.Random(seed)
        self.upstreams = {
            f"{data_centre}{number}": self._upstream(f"{data_centre}{number}")
            for data_centre in load.data_centres
            for number in range(load.n_upstreams)
        }
        self.hosts = {
            data_centre: [
                Host(name, data_centre, self.upstreams.values(), load.work_ms, names)
                for name in names
            ]
            for data_centre in load.data_centres
            for names in [[f"h{data_centre}{n}" for n in range(load.n_hosts)]]
        }
        self.offered: Counter = Counter()
        self.result = Result()
        self.events: list = []
        self.n_events = 0

    def n_slots(self, data_centre: str) -> float:
        """Return the slots of usual speed of a data centre."""
        return sum(
            up.n_slots / up.relative_work_time
            for up in self.upstreams.values()
            if up.data_centre == data_centre
        )

    def run(self, policy: Policy) -> Result:
        policy.begin(self)
        self.policy = policy
        self._schedule_arrivals()
        for number in range(1, int(self.until_ms / ROW_INTERVAL_MS) + 1):
            self._push(number * ROW_INTERVAL_MS, self._count_rows)
        while self.events:
            now_ms, _, action, arguments = heapq.heappop(self.events)
            action(now_ms, *arguments)
        return self.result

    def _push(self, at_ms, action, *arguments) -> None:
        self.n_events += 1
        heapq.heappush(self.events, (at_ms, self.n_events, action, arguments))

    def _upstream(self, name: str) -> Upstream:
        speed = self.rng.uniform(0.6, 1.6)
        is_slowed = is_first_slowed = self.rng.random() < SLOWED_SHARE
        toggles_ms, at_ms = [], 0.0
        usual_ms = SLOWED_MS * (1 - SLOWED_SHARE) / SLOWED_SHARE
        while at_ms < self.until_ms + 5_000:
            at_ms += SLOWED_MS if is_slowed else self.rng.expovariate(1 / usual_ms)
            toggles_ms.append(at_ms)
            is_slowed = not is_slowed
        n_slots = self.load.n_slots
        return Upstream(name, name[0], n_slots, speed, is_first_slowed, toggles_ms)

    def _schedule_arrivals(self) -> None:
        sigma = 0.3
        mu = math.log(self.load.work_ms) - sigma**2 / 2
        number = 0
        for data_centre in self.load.data_centres:
            n_usable = WORK_DONE_SHARE * self.n_slots(data_centre)
            at_ms = 0.0
            while at_ms < self.until_ms:
                n_busy = self.demand(data_centre, at_ms) * n_usable
                at_ms += self.rng.expovariate(n_busy / self.load.work_ms)
                homes = ("north",) if self.rng.random() < self.bound_share else ()
                work_ms = self.rng.lognormvariate(mu, sigma)
                host = self.rng.choice(self.hosts[data_centre])
                number += 1
                request = Request(number, at_ms, work_ms, homes)
                self._push(at_ms, self._arrive, host, request)

    def _count_rows(self, now_ms) -> None:
        rows = []
        for name in self.load.data_centres:
            offered = tuple(
                (priority, self.offered[name, priority] / ROW_INTERVAL_MS)
                for priority in (0, 1)
            )
            n_slots = self.n_slots(name)
            rows.append(ServiceLoad("s", name, n_slots, offered, int(ROW_DELAY_MS)))
        self.offered.clear()
        rows = self.change_rows(rows, now_ms)
        self._push(now_ms + ROW_DELAY_MS, self._deliver_rows, rows)

    def _deliver_rows(self, now_ms, rows) -> None:
        self.policy.on_rows(rows, now_ms)

    def _arrive(self, now_ms, host, request) -> None:
        priority = 1 if request.home_regions else 0
        self.offered[host.data_centre, priority] += self.load.work_ms
        if request.at_ms > WARM_UP_MS:
            self.result.n_requests[host.data_centre] += 1
        self._place(now_ms, host, request)

    def _place(self, now_ms, host, request) -> None:
        if now_ms > request.at_ms + self.load.deadline_ms - 20:
            return
        choice = self.policy.place(host, request, now_ms)
        if request.at_ms > WARM_UP_MS:
            self.result.n_probes += choice.n_probes
        if choice.name is not None:
            self._send(now_ms, host, request, choice)
        elif choice.delay_ms > 0:
            self._push(now_ms + choice.delay_ms, self._place, host, request)

    def _send(self, now_ms, host, request, choice) -> None:
        upstream = self.upstreams[choice.name]
        load = host.loads[choice.name]
        n_queued = max(0.0, n_ahead(load, int(now_ms * NS_PER_MS)) + 1 - load.n_slots)
        record_sent(load, NEVER_OVERDUE_NS)
        distance = distance_between(REGIONS, host.data_centre, upstream.data_centre)
        if request.at_ms > WARM_UP_MS:
            self.result.sends[distance] += 1
        sent_ms = now_ms + choice.delay_ms
        job = (host, request, sent_ms, ONE_WAY_MS[distance], n_queued)
        self._push(sent_ms + ONE_WAY_MS[distance], self._reach, upstream, job)

    def _reach(self, now_ms, upstream, job) -> None:
        if upstream.n_running < upstream.n_slots:
            self._start(now_ms, upstream, job)
        else:
            upstream.queue.append(job)

    def _start(self, now_ms, upstream, job) -> None:
        upstream.n_running += 1
        end_ms = upstream.end_ms(now_ms, job[1].work_ms)
        self._push(end_ms, self._end, upstream, job)

    def _end(self, now_ms, upstream, job) -> None:
        upstream.n_running -= 1
        if upstream.queue:
            self._start(now_ms, upstream, upstream.queue.popleft())
        report = upstream.report(now_ms)
        self._push(now_ms + job[3], self._answer, upstream, job, report)

    def _answer(self, now_ms, upstream, job, report) -> None:
        host, request, sent_ms, one_way_ms, n_queued = job
        record_ended(host.loads[upstream.name], NEVER_OVERDUE_NS)
        took_ms = now_ms - sent_ms - 2 * one_way_ms
        self.policy.on_answer(host, upstream.name, report, now_ms, took_ms, n_queued)
        if request.at_ms <= WARM_UP_MS:
            return
        response_ms = now_ms - request.at_ms
        self.result.times_ms.append(response_ms)
        if response_ms <= self.load.objective_ms:
            self.result.values[host.data_centre] += 1
        elif response_ms <= self.load.deadline_ms:
            self.result.values[host.data_centre] += 1 / 3
