"""Operators' orders that wait in a link of a control host, with real processes."""

import asyncio
import contextlib
import re

import aiohttp
import pytest
from claimed_network import claim_network
from host_mesh import HostMesh
from platform_fleet import (
    CONTROL_PORT,
    METRICS_PORT,
    Fleet,
    manifest,
    resend_until_200,
    route,
    send_http_request,
)

from bergamotferry_testkit.fault_proxy import FaultProxy, Pair

NETWORK = claim_network()
CORES = [f"{NETWORK}.{number}.1" for number in (1, 2, 3)]
PROXY_IP = f"{NETWORK}.4.1"
PATH = "/api/evacuations/b"
# An operator moves on to another host after this time without an answer.
GIVE_UP_S = 1.0
# The users' bound on the acknowledgement of an order.
ACK_S = 4.0
CUT_S = 1.8
SLOW_DELAY_MS = 1_300
METHODS = {True: "POST", False: "DELETE"}


class Operator:
    """An operator that gives up, moves on, and changes its mind."""

    def __init__(self, http):
        self.http = http

    async def order(self, core, is_evacuated):
        """Send an order once; return its status, or 0 if it was given up on."""
        url = f"http://{core}:{CONTROL_PORT}{PATH}"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GIVE_UP_S):
                status, _ = await send_http_request(
                    self.http, METHODS[is_evacuated], url
                )
                return status
        return 0

    async def order_until_acknowledged(self, core, is_evacuated):
        """Send an order again and again; only a 503 or no answer may come before."""
        async with asyncio.timeout(ACK_S):
            while (status := await self.order(core, is_evacuated)) != 200:
                assert status in (0, 503)
                await asyncio.sleep(0.1)

    async def metric(self, core, name):
        url = f"http://{core}:{METRICS_PORT}/metrics"
        _, page = await send_http_request(self.http, "GET", url)
        line = rf"^bergamotferry_{name}(?:_total)? (\S+)$"
        found = re.search(line, page.decode(), re.MULTILINE)
        return float(found[1]) if found else None

    async def wait_refused(self, leader):
        """Wait until the leader has refused an order that came late."""
        async with asyncio.timeout(ACK_S):
            n_refused = 0.0
            while not n_refused:
                await asyncio.sleep(0.1)
                n_refused = await self.metric(leader, "orders_ordered_since")

    async def metrics(self, name):
        return [await self.metric(core, name) for core in CORES]


@contextlib.asynccontextmanager
async def running_cores(tmp_path):
    """Start three control hosts; yield fleet, mesh, operator, leader and followers."""
    mesh = HostMesh(CORES)
    fleet = Fleet(tmp_path, CORES, [], peer_ports=mesh.peer_ports)
    try:
        await mesh.start()
        await fleet.start_hosts()
        async with aiohttp.ClientSession() as http:
            url = f"http://{CORES[0]}:{CONTROL_PORT}/api/config"
            await resend_until_200(http, "PUT", url, json=manifest(1, route("/x/")))
            operator = Operator(http)
            is_leader = await operator.metrics("is_leader")
            leader = CORES[is_leader.index(1.0)]
            yield mesh, fleet, operator, leader, [c for c in CORES if c != leader]
    finally:
        await fleet.end_hosts()
        await mesh.stop()


DISTURBANCES = {
    "cut": {"is_silent": True},
    "cut one way": {"is_silent": True, "is_both_ways": False},
    "slow": {"delay_ms": SLOW_DELAY_MS},
}


@pytest.mark.parametrize("is_evacuated", [True, False])
@pytest.mark.parametrize("how", DISTURBANCES)
def test_order_that_waits_in_a_link_undoes_no_later_one(how, is_evacuated, tmp_path):
    """Guards against an order that is proposed after it was given up (review/9)."""

    async def run():
        async with running_cores(tmp_path) as (mesh, _, operator, leader, followers):
            cut_off, other = followers
            await operator.order_until_acknowledged(other, is_evacuated)
            await asyncio.sleep(0.5)
            mesh.disturb(cut_off, **DISTURBANCES[how])
            assert await operator.order(cut_off, not is_evacuated) != 200
            await operator.order_until_acknowledged(other, not is_evacuated)
            await operator.order_until_acknowledged(other, is_evacuated)
            await asyncio.sleep(CUT_S - GIVE_UP_S)
            mesh.heal(cut_off)
            # The late order has arrived, else this test proves nothing.
            await operator.wait_refused(leader)
            await asyncio.sleep(0.5)
            assert await operator.metrics("evacuated") == [float(is_evacuated)] * 3
            # A fresh order through the same host is taken.
            await operator.order_until_acknowledged(cut_off, not is_evacuated)

    asyncio.run(run())


@pytest.mark.parametrize("is_evacuated", [True, False])
def test_order_that_waits_in_its_own_connection_undoes_no_later_one(
    is_evacuated, tmp_path
):
    """Guards against an order that reaches its host after it was given up (review/9).

    The operator closes the connection, and both the order and the end of the connection
    are held on their way.
    """

    async def run():
        async with running_cores(tmp_path) as (_, _, operator, leader, followers):
            proxy = FaultProxy(listen_ip=PROXY_IP)
            pair = Pair("operator", leader, CONTROL_PORT, f"{leader}:{CONTROL_PORT}")
            server = await proxy.listen(pair)
            link = {"sources": ["operator"], "targets": [leader]}
            try:
                await operator.order_until_acknowledged(PROXY_IP, is_evacuated)
                proxy.apply({**link, "is_silent": True})
                assert await operator.order(PROXY_IP, not is_evacuated) == 0
                for order in (not is_evacuated, is_evacuated):
                    await operator.order_until_acknowledged(followers[0], order)
                proxy.apply({**link, "is_silent": False})
                await asyncio.sleep(0.5)
                evacuated = await operator.metrics("evacuated")
                assert evacuated == [float(is_evacuated)] * 3
                await operator.order_until_acknowledged(PROXY_IP, not is_evacuated)
            finally:
                server.close()

    asyncio.run(run())


def test_order_is_acknowledged_through_a_host_that_lags_or_has_just_begun(tmp_path):
    """Guards against proper orders that are refused until their sender gives up."""

    async def run():
        async with running_cores(tmp_path) as (mesh, fleet, operator, _, followers):
            lagging, other = followers
            for is_evacuated in (True, False, True):
                await operator.order_until_acknowledged(other, is_evacuated)
            # The host has heard of none of these orders.
            mesh.disturb(lagging, is_silent=True)
            for is_evacuated in (False, True):
                await operator.order_until_acknowledged(other, is_evacuated)
            mesh.heal(lagging)
            await operator.order_until_acknowledged(lagging, False)
            # It has no data any more.
            await fleet.end(lagging)
            for path in sorted((fleet.tmp_path / lagging).rglob("*"), reverse=True):
                path.rmdir() if path.is_dir() else path.unlink()
            await fleet.start(lagging)
            await fleet.wait_started(lagging)
            await operator.order_until_acknowledged(lagging, True)
            assert await operator.metric(lagging, "evacuated") == 1.0

    asyncio.run(run())


def test_two_operators_and_a_change_of_leader_leave_no_order_behind(tmp_path):
    """Guards against orders that are refused while the leader changes."""

    async def run():
        async with running_cores(tmp_path) as (_, fleet, operator, leader, followers):
            await fleet.end(leader)
            await asyncio.gather(
                operator.order_until_acknowledged(followers[0], True),
                operator.order_until_acknowledged(followers[1], False),
            )
            await operator.order_until_acknowledged(followers[0], True)
            await asyncio.sleep(0.5)
            evacuated = [await operator.metric(c, "evacuated") for c in followers]
            assert evacuated == [1.0, 1.0]

    asyncio.run(run())
