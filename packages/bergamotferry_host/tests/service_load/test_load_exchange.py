"""Service load on its way from a host that counts it to all other hosts."""

import asyncio

import pytest
from test_fleet_feed import control_host, follow

from bergamotferry.configuration import CallerLimits, Configuration, DirectService
from bergamotferry.fleet_messages import FleetChanges
from bergamotferry.service_load.rows import (
    LoadSums,
    ServiceLoad,
    SummedLoad,
    WorkReport,
    WorkRow,
)
from bergamotferry.service_load.sums import N_ROUNDS_CALM
from bergamotferry.upstream_sessions import SessionRow, record_row
from bergamotferry_host.clock import now_ns
from bergamotferry_host.codec import decode, encode
from bergamotferry_host.direct_host import DirectHost
from bergamotferry_host.fleet_settings import FleetSettings
from bergamotferry_host.service_load import work_reports
from bergamotferry_host.service_load.load_exchange import (
    begin_round,
    record_load_notice,
)
from bergamotferry_host.service_load.work_reports import (
    apply_service_loads,
    run_work_reports,
)
from bergamotferry_host.suspension import SuspensionWatch

REPORT = WorkReport(500, (WorkRow("lamps", "a", 0, 5, 500, 500, 0),))


class Network:
    """Delivers notices between control hosts at once, and keeps the others."""

    def __init__(self):
        self.hosts, self.sent = {}, []

    def notify(self, name, message):
        self.sent.append((name, message))
        if name in self.hosts:
            record_load_notice(self.hosts[name], decode(encode(message)), self.sender)


def entry_settings():
    return FleetSettings("h", "h", "a", "n", {"a": "n"}, 1, ("c1",))


def control_hosts(*names):
    """Return control hosts that know each other and one upstream of a service."""
    network = Network()
    service = DirectService("lamps", "/health", 9, 3.0, 3.0, False, 0.0)
    for name in names:
        host = network.hosts[name] = control_host()
        host.settings = host.settings._replace(name=name)
        host.network, host.control_hosts = network, set(names)
        host.configuration = Configuration.from_rows(1, (), [service], CallerLimits())
        row = SessionRow("u", 1, 1, "lamps", "1.1.2.1:1", "a", 100, "ready", 0)
        record_row(host.sessions, host.tables, row, now_ns())
    return network


def run_round(network):
    for name, host in network.hosts.items():
        network.sender = name
        begin_round(host)


def test_report_to_one_control_host_reaches_the_followers_of_all():
    network = control_hosts("c1", "c2")
    run_round(network)
    first, second = network.hosts.values()
    for host, follower in ((first, "h1"), (second, "h2")):
        follow(host, follower)
        record_load_notice(host, REPORT, follower)
    run_round(network)
    run_round(network)
    for host, follower in ((first, "h1"), (second, "h2")):
        changes = decode(encode(follow(host, follower)))
        (row,) = changes.service_loads
        assert row[:4] == ("lamps", "a", 100.0, ((0, 2.0),))
        assert 0 <= row.age_ms < 1_000
        # The same figures are not sent again.
        assert follow(host, follower).service_loads == ()


def test_hosts_of_the_version_before_get_neither_rows_nor_sums():
    """Guards against messages that hosts of the version before can't read."""
    network = control_hosts("c1", "c2")
    run_round(network)
    first = network.hosts["c1"]
    changes = follow(first, "old")
    assert not network.sent and not changes.service_loads
    record_load_notice(first, REPORT, "h1")
    run_round(network)
    assert not follow(first, "old").service_loads


def test_reports_that_waited_while_a_control_host_was_suspended_do_not_count():
    network = control_hosts("c1")
    run_round(network)
    host = network.hosts["c1"]
    host.suspension = SuspensionWatch(now_ns(), resumed_ns=now_ns())
    record_load_notice(host, REPORT, "h1")
    record_load_notice(host, LoadSums((), ("a",)), "c2")
    assert not host.load_table.reports and not host.load_table.sums


def test_evacuated_data_centre_has_no_slots():
    network = control_hosts("c1")
    host = network.hosts["c1"]
    run_round(network)
    record_load_notice(host, REPORT, "h1")
    host.tables.evacuated.add("a")
    run_round(network)
    (row,) = host.load_table.rows
    assert row.n_slots == 0.0 and row.offered_slots == ((0, 1.0),)


def test_host_reports_while_it_has_requests_and_once_after(monkeypatch):
    monkeypatch.setattr(work_reports, "REPORT_INTERVAL_S", 0.01)
    host = DirectHost(entry_settings(), Network(), lambda source: [])

    async def run():
        task = asyncio.create_task(run_work_reports(host))
        await asyncio.sleep(0.05)
        assert not host.network.sent
        host.followed = "c1"
        await asyncio.sleep(0.05)
        host.followed = "c2"
        await asyncio.sleep(0.05)
        # One empty report shows each control host that this host reads rows.
        assert [name for name, _ in host.network.sent] == ["c1", "c2"]
        work_reports.record_arrived(host.work_counts, ("lamps", "a", 0), 100.0)
        await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(run())
    numbers = [len(message.rows) for _, message in host.network.sent]
    assert numbers == [0, 0, 1, 0]


def changes_with(*rows: ServiceLoad) -> FleetChanges:
    return FleetChanges("p", True, 0, (), 0, 0, b"", (), (), (), (), 1, (), rows)


def test_rows_of_a_slow_reply_are_older_and_missing_ones_change_nothing():
    host = DirectHost(entry_settings(), Network(), lambda source: [])
    row = ServiceLoad("lamps", "a", 4.0, ((0, 2.0),), 300)
    began_ns = now_ns()
    apply_service_loads(host, changes_with(row), took_ms=900.0, wait_ms=250)
    assert host.service_loads == {("lamps", "a"): row._replace(age_ms=950)}
    received_ns = host.service_loads_ns
    assert received_ns >= began_ns
    apply_service_loads(host, changes_with(), 10.0, 250)
    assert host.service_loads_ns == received_ns and host.service_loads
    apply_service_loads(host, changes_with(row), took_ms=200.0, wait_ms=250)
    assert host.service_loads == {("lamps", "a"): row}


@pytest.mark.parametrize("n_hosts", [84, 300])
def test_bytes_of_the_exchange(n_hosts):
    """Four services of three priorities, four data centres and control hosts.

    At most 4 KB a second for the reports of a host and the rows that it gets together,
    2 KB in calm, and between regions less than a hundredth of a link of 30 Mbit/s.
    """
    services = [f"service-{n}" for n in range(4)]
    places = [(name, f"centre-{n}") for name in services for n in range(4)]
    rows = tuple(
        WorkRow(name, "centre-1", n, 9, 1_500, 1_400, 2)
        for name in services
        for n in range(3)
    )
    offered = ((0, 11.37), (1, 7.21), (2, 3.14))
    sums = LoadSums(
        tuple(SummedLoad(*place, offered, 480) for place in places[:4]), ("centre-1",)
    )
    loads = tuple(ServiceLoad(*place, 28.5, offered, 912) for place in places)
    per_s = 2
    report_bytes = per_s * len(encode(WorkReport(503, rows)))
    n_without = len(encode(changes_with()))
    rows_bytes = per_s * (len(encode(changes_with(*loads))) - n_without)
    sums_bytes = per_s * len(encode(sums))
    print(f"{n_hosts} hosts: report {report_bytes} B/s, rows {rows_bytes} B/s a host;")
    print(f"control host: in {n_hosts / 4 * report_bytes:.0f} B/s, out")
    print(f"{n_hosts / 4 * rows_bytes + 3 * sums_bytes:.0f} B/s, sums {sums_bytes} B/s")
    assert report_bytes + rows_bytes < 4_000
    assert report_bytes + rows_bytes / N_ROUNDS_CALM < 2_000
    # Each control host sends its sums to the two of the other region.
    assert 4 * 2 * sums_bytes < 30e6 / 8 / 100
