"""Tests that dispatchers move back to hosts that return, one at a time."""

from collections import Counter

import pytest

from bergamotferry.commands import AssignDispatcher, OpenSession, RetireDispatcher
from bergamotferry.data_centre_tables import DataCentreTables, apply_data_centre_command
from bergamotferry.dispatcher_spread import (
    SPREAD_INTERVAL_MS,
    SPREAD_MIN_LIVE_MS,
    record_bulk_upstreams,
)
from bergamotferry.global_tables import GlobalTables
from bergamotferry.leases import (
    HOST_LEASE_MS,
    NS_PER_MS,
    LeaseTable,
    record_reports,
    renew_host,
    renew_session,
)
from bergamotferry.ownership import run_ownership

TICK_MS = 100
N_LIVE_TICKS = SPREAD_MIN_LIVE_MS // TICK_MS


class SimulatedDataCentre:
    """Upstreams whose only dispatcher is h1 at first, run tick by tick.

    A retired dispatcher reports that it has drained after ``drain_ticks`` ticks.
    """

    def __init__(self, n_upstreams, drain_ticks=0):
        self.tables = DataCentreTables()
        self.leases = LeaseTable()
        self.now_ns = 0
        self.n_retired = 0
        self.drain_ticks = drain_ticks
        self.n_ticks_drained = 0
        for number in range(n_upstreams):
            name = f"u{number}"
            opened = OpenSession(name, "s", f"127.0.0.1:{number}", 1, 2, 9, False)
            apply_data_centre_command(self.tables, opened)
            assigned = AssignDispatcher(name, "h1", 0)
            apply_data_centre_command(self.tables, assigned)

    def tick(self, incarnations, bulk=()):
        self.now_ns += TICK_MS * NS_PER_MS
        for host, incarnation in incarnations.items():
            renew_host(self.leases, host, incarnation, False, 0, self.now_ns)
            record_bulk_upstreams(self.leases, host, bulk)
        for session in self.tables.sessions.values():
            renew_session(self.leases, session, self.now_ns)
        for name, dispatcher in self.tables.dispatchers.items():
            if dispatcher.state == "retiring":
                self.n_ticks_drained += 1
                if self.n_ticks_drained > self.drain_ticks:
                    record_reports(self.leases, [(name, dispatcher.epoch)], ())
                    self.n_ticks_drained = 0
        commands = run_ownership(
            self.tables, GlobalTables(), self.leases, "a", self.now_ns
        )
        retired = [
            command for command in commands if isinstance(command, RetireDispatcher)
        ]
        for command in commands:
            apply_data_centre_command(self.tables, command)
        states = [dispatcher.state for dispatcher in self.tables.dispatchers.values()]
        assert states.count("retiring") <= 1
        self.n_retired += len(retired)

    def counts_by_host(self):
        return Counter(
            dispatcher.host for dispatcher in self.tables.dispatchers.values()
        )


@pytest.mark.parametrize(("n_upstreams", "n_hosts"), [(8, 2), (9, 2), (11, 3), (1, 3)])
def test_dispatcher_counts_differ_by_one_at_most_after_the_fewest_moves(
    n_upstreams, n_hosts
):
    simulated = SimulatedDataCentre(n_upstreams)
    hosts = {f"h{number + 1}": "1" for number in range(n_hosts)}
    for _ in range(N_LIVE_TICKS):
        simulated.tick(hosts)
        assert simulated.n_retired == 0
    n_ticks = n_upstreams * (SPREAD_INTERVAL_MS // TICK_MS + 1)
    for number in range(n_ticks):
        simulated.tick(hosts)
        assert simulated.n_retired <= number * TICK_MS // SPREAD_INTERVAL_MS + 1
    counts = [simulated.counts_by_host()[host] for host in hosts]
    assert max(counts) - min(counts) <= 1
    assert simulated.n_retired == n_upstreams - max(counts)
    for _ in range(2 * N_LIVE_TICKS):
        simulated.tick(hosts)
    assert [simulated.counts_by_host()[host] for host in hosts] == counts


def test_host_that_keeps_restarting_gets_no_dispatcher():
    simulated = SimulatedDataCentre(8)
    for number in range(5 * N_LIVE_TICKS):
        simulated.tick({"h1": "1", "h2": str(number // (N_LIVE_TICKS - 1))})
    assert simulated.counts_by_host() == {"h1": 8}


def test_host_that_keeps_losing_its_lease_gets_no_dispatcher():
    simulated = SimulatedDataCentre(8)
    for number in range(5 * N_LIVE_TICKS):
        is_h2_lost = number % N_LIVE_TICKS > N_LIVE_TICKS - 2 * HOST_LEASE_MS // TICK_MS
        simulated.tick({"h1": "1"} if is_h2_lost else {"h1": "1", "h2": "1"})
    assert simulated.n_retired == 0


def test_next_move_waits_for_the_end_of_a_slow_handover():
    simulated = SimulatedDataCentre(8, drain_ticks=3 * SPREAD_INTERVAL_MS // TICK_MS)
    for _ in range(N_LIVE_TICKS + 80):
        simulated.tick({"h1": "1", "h2": "1"})
    assert simulated.counts_by_host() == {"h1": 4, "h2": 4}
    assert simulated.n_retired == 4


def test_upstreams_with_bulk_in_flight_keep_their_dispatcher():
    simulated = SimulatedDataCentre(4)
    hosts = {"h1": "1", "h2": "1"}
    for _ in range(3 * N_LIVE_TICKS):
        simulated.tick(hosts, ("u0", "u1", "u2"))
    moved = [
        name
        for name, dispatcher in simulated.tables.dispatchers.items()
        if dispatcher.host == "h2"
    ]
    assert moved == ["u3"]


def test_replacing_a_lost_host_takes_precedence_over_spreading():
    simulated = SimulatedDataCentre(4)
    for _ in range(N_LIVE_TICKS - HOST_LEASE_MS // TICK_MS):
        simulated.tick({"h1": "1", "h2": "1"})
    for _ in range(2 * HOST_LEASE_MS // TICK_MS):
        simulated.tick({"h2": "1"})
    assert (simulated.counts_by_host(), simulated.n_retired) == ({"h2": 4}, 0)
