"""Builds tables of a given size in a settled state, for measurements and tests."""

import hashlib

from bergamotferry.commands import Command, PlaceShards
from bergamotferry.data_centre_tables import (
    DataCentreTables,
    apply_data_centre_command,
)
from bergamotferry.global_tables import (
    GlobalTables,
    all_shards,
    apply_global_command,
)
from bergamotferry.leases import LeaseTable, renew_host, renew_session
from bergamotferry.messages import CapacityReport
from bergamotferry.ownership import run_ownership
from bergamotferry.records import (
    Account,
    DataCentre,
    HomeRegion,
    Route,
    Service,
    UpstreamSession,
)

SERVICE = "testlog"
N_ROUNDS_MAX = 50
NOW_NS = 1_000_000_000


def data_centre_names(n_data_centres: int) -> list[str]:
    """Return the names of ``n_data_centres`` data centres."""
    return [f"centre-{number:02d}" for number in range(n_data_centres)]


def make_account(number: int) -> Account:
    """Return account ``number``, whose token is ``token-<number>``."""
    digest = hashlib.sha256(f"token-{number}".encode()).hexdigest()
    return Account(f"account-{number}", digest, (SERVICE,), 1000)


def make_home_region(number: int) -> HomeRegion:
    """Return a home region that binds one account and no key prefix."""
    return HomeRegion(
        f"home-{number}", SERVICE, "", (f"account-{number}",), ("region-0",)
    )


def make_global_tables(
    n_shards: int, n_data_centres: int, n_accounts: int = 2, n_home_regions: int = 0
) -> GlobalTables:
    """Return the global tables at revision 1, with shards placed round-robin."""
    tables = GlobalTables(revision=1)
    for name in data_centre_names(n_data_centres):
        tables.data_centres[name] = DataCentre(name, "region-0", "in")
    tables.services[SERVICE] = Service(SERVICE, n_shards)
    tables.routes[f"{SERVICE}/lookup"] = Route(
        SERVICE, "lookup", "GET", True, "lookup", 3000, 0
    )
    for number in range(n_accounts):
        account = make_account(number)
        tables.accounts[account.name] = account
    for number in range(n_home_regions):
        home = make_home_region(number)
        tables.home_regions[home.name] = home
    shards = all_shards(tables)
    names = list(tables.data_centres)
    homes = tuple(names[number % len(names)] for number in range(len(shards)))
    apply_global_command(tables, PlaceShards(tuple(shards), homes))
    return tables


def make_sessions(n_upstreams: int, n_slots: int = 2) -> DataCentreTables:
    """Return a data centre's tables with serving sessions and no grants."""
    tables = DataCentreTables()
    for number in range(n_upstreams):
        name = f"{SERVICE}-{number:04d}"
        tables.sessions[name] = UpstreamSession(
            name, SERVICE, f"10.0.0.1:{number + 1}", 1, n_slots, 130, True, "serving"
        )
    return tables


def settle_ownership(
    tables: DataCentreTables,
    global_tables: GlobalTables,
    data_centre: str,
    n_hosts: int,
) -> LeaseTable:
    """Run `run_ownership` until it returns no more commands.

    Returns
    -------
    LeaseTable
        The renewed leases of all hosts and sessions.

    Raises
    ------
    RuntimeError
        If commands are still due after 50 rounds.
    """
    leases = LeaseTable()
    for number in range(n_hosts):
        renew_host(leases, f"host-{number}", "1", False, 1, NOW_NS)
    for session in tables.sessions.values():
        renew_session(leases, session, NOW_NS)
    for _ in range(N_ROUNDS_MAX):
        commands = run_ownership(tables, global_tables, leases, data_centre, NOW_NS)
        if not commands:
            return leases
        for command in commands:
            _apply_command(tables, command)
    raise RuntimeError("run_ownership still returned commands after the last round")


def make_reports(n_data_centres: int) -> dict[str, CapacityReport]:
    """Return equal capacity reports of ``n_data_centres`` data centres, by name."""
    slots = ((SERVICE, 200),)
    return {
        name: CapacityReport(name, slots, ())
        for name in data_centre_names(n_data_centres)
    }


def _apply_command(tables: DataCentreTables, command: Command) -> None:
    apply_data_centre_command(tables, command)
