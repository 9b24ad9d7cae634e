"""Tests which data centre holds which shard, and when shards are handed over."""

from collections import Counter

from bergamotferry.commands import BeginHandover, FinishHandover
from bergamotferry.global_placement import (
    RebalanceState,
    capacity_after_out,
    is_placement_due,
    record_placement_run,
    run_global_placement,
)
from bergamotferry.global_tables import GlobalTables, apply_global_command
from bergamotferry.messages import CapacityReport
from bergamotferry.outcomes import Refused
from bergamotferry.records import DataCentre, HomeRegion, Service, ShardId
from bergamotferry.result_codes import ResultCode
from bergamotferry.routing import home_of_shard

TICK_NS = 200_000_000
REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}


def _tables() -> GlobalTables:
    tables = GlobalTables(revision=1)
    tables.services["s"] = Service("s", 120)
    for name, region in REGIONS.items():
        tables.data_centres[name] = DataCentre(name, region, "in")
    tables.home_regions["bound"] = HomeRegion("bound", "s", "b-", (), ("b",))
    return tables


def _report(name: str, n_slots: int, released: tuple = ()) -> CapacityReport:
    return CapacityReport(name, (("s", n_slots),), released)


class PlacementSimulation:
    """Runs the placement systems tick by tick; data centres release shards when asked.

    Data centres in ``not_reporting`` send no reports, as when partitioned away.
    """

    def __init__(self) -> None:
        self.tables = _tables()
        self.slots = dict.fromkeys(REGIONS, 8)
        self.not_reporting: set[str] = set()
        self.rebalance = RebalanceState()
        self.now_ns = 0
        self.n_moved = 0

    def reports(self) -> dict[str, CapacityReport]:
        released = {
            name: tuple(
                (shard, home.epoch)
                for shard, home in self.tables.shard_homes.items()
                if home.data_centre == name and home.next_data_centre
            )
            for name in self.slots
        }
        return {
            name: _report(name, n_slots, released[name])
            for name, n_slots in self.slots.items()
            if name not in self.not_reporting
        }

    def tick(self, n_ticks: int) -> None:
        for _ in range(n_ticks):
            commands = run_global_placement(
                self.tables, self.reports(), self.rebalance, self.now_ns
            )
            for command in commands:
                apply_global_command(self.tables, command)
                self.n_moved += isinstance(command, FinishHandover)
            self.now_ns += TICK_NS

    def counts(self, domain: str = "") -> Counter[str]:
        return Counter(
            home.data_centre
            for shard, home in self.tables.shard_homes.items()
            if shard.domain == domain
        )

    def set_state(self, name: str, state: str) -> None:
        data_centre = self.tables.data_centres[name]
        self.tables.data_centres[name] = data_centre._replace(state=state)


def test_joining_data_centre_gets_its_share_and_then_nothing_moves() -> None:
    simulation = PlacementSimulation()
    del simulation.slots["a2"]
    simulation.tick(5)
    assert simulation.counts()["a2"] == 0
    simulation.slots["a2"] = 8
    simulation.tick(100)
    assert 24 <= simulation.counts()["a2"] <= 33
    assert simulation.n_moved <= 33
    simulation.n_moved = 0
    simulation.tick(100)
    assert simulation.n_moved == 0


def test_short_drop_in_slots_moves_no_shard() -> None:
    simulation = PlacementSimulation()
    simulation.tick(5)
    homes_before = dict(simulation.tables.shard_homes)
    simulation.slots["a1"] = 4
    simulation.tick(9)
    simulation.slots["a1"] = 8
    simulation.tick(50)
    assert simulation.tables.shard_homes == homes_before


def test_home_bound_shards_stay_in_their_regions_even_if_requests_are_refused() -> None:
    simulation = PlacementSimulation()
    simulation.tick(5)
    assert set(simulation.counts("bound")) == {"b1", "b2"}
    simulation.set_state("b1", "out")
    simulation.tick(20)
    assert set(simulation.counts("bound")) == {"b2"}
    assert set(simulation.counts()) == {"a1", "a2", "b2"}
    simulation.set_state("b2", "out")
    simulation.tick(20)
    assert set(simulation.counts()) == {"a1", "a2"}
    refusal = home_of_shard(simulation.tables, ShardId("s", "bound", 0), "any")
    assert isinstance(refusal, Refused)
    assert refusal.code is ResultCode.DATA_CENTRE_OUT
    simulation.set_state("b1", "in")
    simulation.tick(100)
    assert set(simulation.counts("bound")) == {"b1"}


def test_home_bound_shards_follow_a_home_region_that_is_changed() -> None:
    simulation = PlacementSimulation()
    simulation.tick(5)
    unbound_counts = simulation.counts()
    for regions in [("a",), ("b",)]:
        home = simulation.tables.home_regions["bound"]
        simulation.tables.home_regions["bound"] = home._replace(regions=regions)
        simulation.tick(1)
        # A handover that began before the region changed back ends in the wrong region,
        # and the shard must return from there.
        simulation.tables.home_regions["bound"] = home
        simulation.tick(2)
        simulation.tables.home_regions["bound"] = home._replace(regions=regions)
        simulation.tick(20)
        assert {REGIONS[name] for name in simulation.counts("bound")} == set(regions)
    assert simulation.counts() == unbound_counts
    simulation.tables.home_regions["bound"] = home._replace(regions=("c",))
    counts_before = simulation.counts("bound")
    simulation.tick(20)
    # If no data centre may hold the shards, they stay and their requests are refused.
    assert simulation.counts("bound") == counts_before
    refusal = home_of_shard(simulation.tables, ShardId("s", "bound", 0), "any")
    assert isinstance(refusal, Refused)
    assert refusal.code is ResultCode.OUTSIDE_HOME_REGION


def test_partitioned_data_centre_keeps_its_shards_until_fenced() -> None:
    simulation = PlacementSimulation()
    simulation.tick(5)
    n_before = simulation.counts()["a1"]
    simulation.not_reporting = {"a1"}
    simulation.tick(100)
    assert simulation.counts()["a1"] == n_before
    homes = simulation.tables.shard_homes.values()
    assert not any(home.next_data_centre for home in homes)
    simulation.set_state("a1", "out")
    commands = run_global_placement(
        simulation.tables, simulation.reports(), simulation.rebalance, simulation.now_ns
    )
    assert any(isinstance(command, BeginHandover) for command in commands)
    simulation.tick(100)
    assert simulation.counts()["a1"] == n_before
    simulation.set_state("a1", "fenced")
    simulation.tick(20)
    assert simulation.counts()["a1"] == 0


class PlacementSimulationWhenDue(PlacementSimulation):
    """Runs the placement systems only at ticks at which `is_placement_due` is true."""

    n_runs = 0

    def tick(self, n_ticks: int) -> None:
        for _ in range(n_ticks):
            inputs = (repr(self.tables), self.reports())
            if is_placement_due(self.rebalance, inputs):
                super().tick(1)
                record_placement_run(
                    self.rebalance, inputs, repr(self.tables) != inputs[0]
                )
                self.n_runs += 1
            else:
                self.now_ns += TICK_NS


def test_running_only_when_due_decides_the_same_as_running_every_tick() -> None:
    simulations = PlacementSimulation(), PlacementSimulationWhenDue()
    for simulation in simulations:
        del simulation.slots["a2"]
        simulation.tick(5)
        simulation.slots["a2"] = 8
        simulation.tick(60)
        simulation.slots["b1"] = 2
        simulation.tick(60)
        simulation.set_state("b2", "out")
        simulation.tick(60)
    assert simulations[0].tables == simulations[1].tables
    assert simulations[0].n_moved == simulations[1].n_moved
    assert simulations[1].n_runs < 60
    # Commands are not certain to be committed, so a run that returned any is repeated.
    record_placement_run(simulations[1].rebalance, "tables", True)
    assert is_placement_due(simulations[1].rebalance, "tables")


def test_capacity_after_out_counts_the_shards_without_a_place() -> None:
    simulation = PlacementSimulation()
    simulation.tick(5)
    simulation.set_state("b2", "out")
    simulation.tick(20)
    capacities = {
        capacity.domain: capacity
        for capacity in capacity_after_out(
            simulation.tables, simulation.reports(), "b1"
        )
    }
    assert capacities[""]._replace(n_slots_now=0) == ("s", "", 0, 16, 0)
    assert capacities["bound"] == ("s", "bound", 8, 0, 120)
