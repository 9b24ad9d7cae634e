"""Heartbeats of services that no configuration names prove nothing of an upstream."""

import asyncio
from types import SimpleNamespace

import pytest

from bergamotferry.configuration import CallerLimits, Configuration, DirectService
from bergamotferry.fleet_tables import FleetTables, apply_fleet_command, find_retired
from bergamotferry.outcomes import Accepted
from bergamotferry.upstream_sessions import Heartbeat
from bergamotferry_host import fleet_control
from bergamotferry_host.fleet_control import ControlHost, record_upstream_heartbeat
from bergamotferry_host.fleet_settings import FleetSettings

SETTINGS = FleetSettings("1.1.1.1", "c", "a", "n", {"a": "n"}, 1, ("1.1.1.1",))


def heartbeat(service, born_ms, phase="ready") -> Heartbeat:
    return Heartbeat("u1", born_ms, 1, service, "1.1.2.1:1", "a", "", 2, phase, 0)


def control_host(version=1) -> ControlHost:
    group = SimpleNamespace(tables=FleetTables(), applied=asyncio.Condition())
    host = ControlHost(SETTINGS, None, group, lambda source: [], "p")
    service = DirectService("s", "/health", 9, 0.0, 0.0, True, 0.0)
    host.configuration = Configuration.from_rows(version, [], [service], CallerLimits())
    return host


@pytest.mark.parametrize(
    ("service", "version", "born_ms"),
    [
        ("s", 1, 2),
        # Without a configuration any service may be the upstream's.
        ("other", 0, 2),
        # Another writer uses the name of a holder, with a later start.
        ("other", 1, 1),
    ],
)
def test_heartbeat_of_an_unnamed_service_is_no_new_life_of_an_upstream(
    service, version, born_ms
):
    """Guards against keys taken from a holder whose name another writer uses."""

    async def run():
        host = control_host(version)
        await record_upstream_heartbeat(host, heartbeat("s", 1))
        outcome = await record_upstream_heartbeat(host, heartbeat(service, 2))
        assert isinstance(outcome, Accepted)
        assert host.sessions.rows["u1"].row.born_ms == born_ms

    asyncio.run(run())


def test_leave_of_an_upstream_binds_also_if_its_service_is_not_named(monkeypatch):
    """Guards against requests to it once a later configuration names its service."""

    async def commit(group, command, timeout_s, origin):
        return apply_fleet_command(group.tables, command)

    monkeypatch.setattr(fleet_control, "commit", commit)

    async def run():
        host = control_host()
        await record_upstream_heartbeat(host, heartbeat("other", 1, "draining"))
        retired = find_retired(host.tables, "u1", 1)
        assert retired is not None and retired.state == "draining"

    asyncio.run(run())
