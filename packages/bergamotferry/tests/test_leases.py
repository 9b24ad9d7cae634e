"""Tests leases, and the commands that the end of a lease allows."""

import pytest

from bergamotferry.commands import (
    AssignDispatcher,
    CloseSession,
    DrainSession,
    GrantShards,
    OpenSession,
    RetireDispatcher,
)
from bergamotferry.data_centre_tables import (
    N_INCARNATIONS_MAX,
    DataCentreTables,
    apply_data_centre_command,
)
from bergamotferry.global_tables import GlobalTables
from bergamotferry.leases import (
    HOST_LEASE_MS,
    NS_PER_MS,
    SESSION_LEASE_MS,
    LeaseTable,
    assume_all_granted,
    follow_sessions,
    forget_reports,
    grantor_lease_ns,
    record_reports,
    renew_host,
    renew_session,
    session_ages,
)
from bergamotferry.outcomes import Accepted, Refused
from bergamotferry.ownership import (
    assign_dispatchers,
    close_sessions,
    confirm_releases,
    release_homes,
)
from bergamotferry.records import ShardId
from bergamotferry.result_codes import ResultCode

SHARD = ShardId("s", "", 0)


def _apply(tables: DataCentreTables, *commands: object) -> Accepted | Refused:
    outcome: Accepted | Refused = Accepted(0)
    for command in commands:
        outcome = apply_data_centre_command(tables, command)  # type: ignore[arg-type]
    return outcome


def _open(incarnation: int = 1) -> OpenSession:
    return OpenSession("u", "s", "127.0.0.1:1", incarnation, 2, 9, False)


def _tables_with_owner() -> DataCentreTables:
    """Return tables in which h1 is the dispatcher of u, and u owns the shard."""
    tables = DataCentreTables()
    _apply(tables, _open(), AssignDispatcher("u", "h1", 0))
    _apply(tables, GrantShards("u", 1, (SHARD,), (1,)))
    return tables


def _lease_table(tables: DataCentreTables) -> LeaseTable:
    leases = LeaseTable()
    for host in ("h1", "h2"):
        renew_host(leases, host, "1", False, 0, 0)
    follow_sessions(leases, tables.sessions, 0)
    return leases


def test_expired_session_lease_is_not_renewed_and_the_session_is_drained() -> None:
    tables = _tables_with_owner()
    leases = _lease_table(tables)
    session = tables.sessions["u"]
    just_in_time_ns = grantor_lease_ns(SESSION_LEASE_MS) - 1
    assert renew_session(leases, session, just_in_time_ns)
    late_ns = just_in_time_ns + grantor_lease_ns(SESSION_LEASE_MS)
    assert not renew_session(leases, session, late_ns)
    assert close_sessions(tables, leases, late_ns) == [DrainSession("u", 1, True, 1)]


def test_late_commands_for_a_closed_session_do_not_change_the_reopened_one() -> None:
    tables = _tables_with_owner()
    late_commands = (
        DrainSession("u", 1, True, 1),
        CloseSession("u", 1, "lease expired", 1),
    )
    _apply(tables, *late_commands, _open())
    reopened = tables.sessions["u"]
    assert reopened.opened_epoch > 1
    _apply(tables, *late_commands)
    assert tables.sessions["u"] == reopened


def test_expired_session_does_not_go_back_to_draining() -> None:
    tables = _tables_with_owner()
    _apply(tables, DrainSession("u", 1, True, 1), DrainSession("u", 1, False))
    assert tables.sessions["u"].state == "expired"


@pytest.mark.parametrize(
    ("incarnation", "now_ms", "expected_index"),
    [
        ("1", HOST_LEASE_MS // 2, 5),
        ("1", 2 * HOST_LEASE_MS, 9),
        ("2", HOST_LEASE_MS // 2, 9),
    ],
    ids=["renewed in time", "expired", "new incarnation"],
)
def test_host_lease_that_begins_anew_carries_the_last_log_index(
    incarnation: str, now_ms: int, expected_index: int
) -> None:
    leases = LeaseTable()
    renew_host(leases, "h1", "1", False, 5, 0)
    lease = renew_host(leases, "h1", incarnation, False, 9, now_ms * NS_PER_MS)
    assert lease.since_index == expected_index


def test_old_incarnations_shard_is_freed_only_after_its_dispatcher_stopped() -> None:
    tables = _tables_with_owner()
    old_dispatcher = tables.dispatchers["u"]
    _apply(tables, _open(2))
    assert tables.grants[SHARD].state == "revoking"
    assert tables.dispatchers["u"].state == "retiring"
    leases = _lease_table(tables)
    assert assign_dispatchers(tables, leases, 1) == []
    record_reports(leases, [("u", old_dispatcher.epoch)], [])
    (command,) = assign_dispatchers(tables, leases, 1)
    assert isinstance(command, AssignDispatcher)
    _apply(tables, command)
    # Requests of the old dispatcher may run in the new process. So the shard is freed
    # only after the new process has released it.
    old_epoch = tables.grants[SHARD].epoch
    assert confirm_releases(tables, leases, 1) == []
    record_reports(leases, [], [(SHARD, old_epoch)])
    (release,) = confirm_releases(tables, leases, 1)
    _apply(tables, release)
    assert SHARD not in tables.grants


@pytest.mark.parametrize("withdrawn", ["", "services s", "home_regions bound"])
def test_grants_of_withdrawn_services_and_home_regions_are_revoked(
    withdrawn: str,
) -> None:
    tables = DataCentreTables()
    shard = ShardId("s", "bound", 0)
    _apply(tables, _open(), AssignDispatcher("u", "h1", 0))
    _apply(tables, GrantShards("u", 1, (shard,), (1,)))
    # A missing home does not prove a withdrawal, because tables that lag miss it too.
    global_tables = GlobalTables(retired_names={withdrawn: 2} if withdrawn else {})
    leases = _lease_table(tables)
    commands = release_homes(tables, global_tables, leases, "a", 1)
    _apply(tables, *commands)
    assert (tables.grants[shard].state == "revoking") == bool(withdrawn)
    assert release_homes(tables, global_tables, leases, "a", 1) == []


def test_leaving_upstream_keeps_its_dispatcher_until_its_last_shard_is_freed() -> None:
    tables = _tables_with_owner()
    leases = _lease_table(tables)
    _apply(tables, DrainSession("u", 1, False))
    assert close_sessions(tables, leases, 1) == []
    del tables.grants[SHARD]
    epoch = tables.dispatchers["u"].epoch
    assert close_sessions(tables, leases, 1) == [RetireDispatcher("u", epoch)]


def test_incarnation_that_left_cannot_open_a_session_again() -> None:
    tables = _tables_with_owner()
    _apply(tables, DrainSession("u", 1, False))
    # A draining upstream may resend an announcement whose answer was lost.
    assert isinstance(_apply(tables, _open()), Accepted)
    _apply(tables, CloseSession("u", 1, "left", tables.sessions["u"].opened_epoch))
    refusal = _apply(tables, _open())
    assert isinstance(refusal, Refused)
    assert refusal.code is ResultCode.SESSION_STALE_INCARNATION
    assert isinstance(_apply(tables, _open(2)), Accepted)


def test_session_age_counts_from_when_the_leader_first_knew_the_session() -> None:
    tables = _tables_with_owner()
    leases = _lease_table(tables)
    ms = NS_PER_MS
    renew_session(leases, tables.sessions["u"], 50 * ms)
    assert session_ages(leases, tables.sessions, 60 * ms) == (("u", 1, 60),)
    _apply(tables, _open(2))
    # The leader reports no age before it has begun the new session's lease.
    assert session_ages(leases, tables.sessions, 70 * ms) == ()
    follow_sessions(leases, tables.sessions, 80 * ms)
    assert session_ages(leases, tables.sessions, 90 * ms) == (("u", 2, 10),)
    assume_all_granted(leases, ["h1"], tables.sessions, 100 * ms)
    assert session_ages(leases, tables.sessions, 101 * ms) == (("u", 2, 1),)


def test_new_leader_keeps_dispatchers_of_hosts_until_their_assumed_lease_ends() -> None:
    tables = _tables_with_owner()
    leases = _lease_table(tables)
    leases.hosts["h1"] = leases.hosts["h1"]._replace(incarnation="")
    assert assign_dispatchers(tables, leases, 1) == []
    renew_host(leases, "h2", "1", False, 0, grantor_lease_ns(HOST_LEASE_MS))
    (command,) = assign_dispatchers(tables, leases, grantor_lease_ns(HOST_LEASE_MS))
    assert command == AssignDispatcher("u", "h2", tables.dispatchers["u"].epoch)


def test_dispatcher_of_a_stopping_host_is_retired_and_then_replaced() -> None:
    tables = _tables_with_owner()
    leases = _lease_table(tables)
    renew_host(leases, "h1", "1", True, 0, 0)
    epoch = tables.dispatchers["u"].epoch
    retire = RetireDispatcher("u", epoch)
    assert assign_dispatchers(tables, leases, 1) == [retire]
    _apply(tables, retire)
    assert assign_dispatchers(tables, leases, 1) == []
    record_reports(leases, [("u", epoch)], [])
    expected = [AssignDispatcher("u", "h2", epoch)]
    assert assign_dispatchers(tables, leases, 1) == expected


def test_reports_about_replaced_dispatchers_and_grants_are_removed() -> None:
    tables = _tables_with_owner()
    leases = _lease_table(tables)
    dispatcher, grant = tables.dispatchers["u"], tables.grants[SHARD]
    record_reports(
        leases,
        [("u", dispatcher.epoch), ("u", dispatcher.epoch - 1), ("gone", 7)],
        [(SHARD, grant.epoch), (SHARD, grant.epoch - 1)],
    )
    forget_reports(leases, tables.dispatchers, tables.grants)
    assert leases.drained == {"u": dispatcher.epoch}
    assert leases.released == {(SHARD, grant.epoch)}


def test_number_of_remembered_incarnations_is_bounded() -> None:
    tables = DataCentreTables()
    for number in range(N_INCARNATIONS_MAX + 5):
        tables.oldest_incarnations[f"gone-{number}"] = 1
    _apply(tables, _open())
    assert len(tables.oldest_incarnations) == N_INCARNATIONS_MAX
    assert "u" in tables.oldest_incarnations
