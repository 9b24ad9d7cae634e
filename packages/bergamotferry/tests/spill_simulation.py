"""Placement with shares between data centres, in the simulation of placement."""

import random
from collections import Counter

from placement_simulation import REGIONS, Choice, Placed, Policy, Request, Wait

from bergamotferry.service_load.rows import ServiceLoad
from bergamotferry.spill.plan import ServiceTraffic, distance_between
from bergamotferry.spill.search import (
    PlaceSearch,
    begin_search,
    look_further,
    reason_of,
    restart_search,
)
from bergamotferry.spill.service import ServiceSpill, update_service
from bergamotferry.spill.shares import draw_place
from bergamotferry.spill.value import leaving_price, response_value


class SpillPolicy(Policy):
    """Places requests by the shares of their data centre and what their host finds.

    The hosts of a data centre share one state, and those of each data centre get the
    rows at another time.
    """

    def begin(self, simulation) -> None:
        super().begin(simulation)
        self.rng = random.Random(1)
        self.spills = {name: ServiceSpill() for name in self.load.data_centres}
        self.searches: dict[int, PlaceSearch] = {}
        self.reasons: Counter = Counter()

    def on_rows(self, rows: list[ServiceLoad], now_ms: float) -> None:
        load = self.load
        traffic = ServiceTraffic(load.work_ms, load.objective_ms, load.n_bytes)
        for delay_ms, (own, spill) in enumerate(self.spills.items()):
            update_service(
                spill,
                rows,
                100.0 * delay_ms,
                own,
                REGIONS,
                traffic,
                {1: ("north",)},
                lambda name: 1.2 * self.simulation.n_slots(name),
                1e9,
            )

    def place(self, host, request: Request, now_ms: float) -> Choice:
        if request.home_regions:
            return super().place(host, request, now_ms)
        search = self.search_of(host.data_centre, request)
        objective_ms = request.at_ms + self.load.objective_ms - now_ms
        left_ms = request.at_ms + self.load.deadline_ms - now_ms
        n_probes, delay_ms = 0, 0.0
        while True:
            candidates = host.by_data_centre[search.place]
            placed, n, probed_ms = self.place_among(host, candidates, request, now_ms)
            n_probes, delay_ms = n_probes + n, delay_ms + probed_ms
            # No upstream there takes a request now.
            value = 0.0
            if not isinstance(placed, Wait):
                value = response_value(placed.expected_ms, objective_ms, left_ms)
            if not look_further(search, value):
                break
        if isinstance(placed, Placed):
            self.reasons[reason_of(search)] += 1
        return self.to_choice(placed, n_probes, delay_ms)

    def search_of(self, own: str, request: Request) -> PlaceSearch:
        search = self.searches.get(request.number)
        if search is not None:
            search = restart_search(search)
        else:
            shares = self.spills[own].shares
            distances = {
                name: distance_between(REGIONS, own, name)
                for name in self.load.data_centres
            }
            near = [
                name
                for name, distance in distances.items()
                if distance == "near"
                and (not shares.is_current or shares.room.get(name, 0.0) > 0)
            ]
            prices = {
                name: leaving_price(distance, self.load.n_bytes)
                for name, distance in distances.items()
            }
            draw = draw_place(shares, self.rng.random())
            search = begin_search(own, draw, near, prices)
        self.searches[request.number] = search
        return search
