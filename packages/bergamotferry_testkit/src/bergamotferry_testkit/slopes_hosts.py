"""Slopes of idle hosts and upstreams: real daemons, and fake peers of a real leader.

Bytes are all bytes sent on loopback, including TCP and IP headers. Those of other
programs count too, so at least one window of each measurement must be free of them.
"""

import asyncio
import statistics
import time
from pathlib import Path

from bergamotferry.leases import RENEW_INTERVAL_MS
from bergamotferry.messages import FetchLog, RenewLeases
from bergamotferry.records import HostAddress
from bergamotferry_host.bootstrap import GLOBAL_GROUP, data_centre_group
from bergamotferry_host.group_reader import FETCH_WAIT_MS
from bergamotferry_host.peer_link import PeerHandlers, PeerStream, PeerUnreachable
from bergamotferry_host.peer_network import PeerNetwork

from .deployments import EZO_LUMEN, DeploymentShape, ServiceShape
from .free_ports import free_ports
from .local_deployment import (
    PEER_TOKEN,
    HostProcess,
    LocalDeployment,
)
from .process_usage import cpu_time_s, loopback_bytes, resident_bytes
from .slope_fit import Slope, fit_slope
from .slopes_tables import US_PER_S
from .two_host_bench import SETTLE_S, start_settled

HOSTS_PER_DATA_CENTRE = (2, 3, 4)
UPSTREAM_COUNTS = (8, 24, 48)
FAKE_HOST_COUNTS = (20, 50, 80)

Points = list[tuple[float, float]]
N_SERVICE_SHARDS = 64
WINDOW_S = 2.0
N_WINDOWS = 3
CANCEL_PAUSE_S = 0.2
CALL_TIMEOUT_S = 2 * FETCH_WAIT_MS / 1000


async def measure_idle_slopes(folder: Path) -> list[Slope]:
    """Measure hosts without upstreams and requests, in deployments of three sizes."""
    bytes_per_s: Points = []
    reader_cpu: Points = []
    voter_cpu: Points = []
    memory: Points = []
    for n_hosts in HOSTS_PER_DATA_CENTRE:
        shape = _make_shape(EZO_LUMEN.regions, n_hosts, 0)
        deployment = await start_settled(shape, folder)
        try:
            cpu, loopback_bytes_per_s = await _measure_idle_usage(deployment.hosts)
            n_hosts_in_all = len(deployment.hosts)
            bytes_per_s.append((n_hosts_in_all, loopback_bytes_per_s))
            readers = [h.name for h in deployment.hosts if not h.is_durable]
            voters = [h.name for h in deployment.hosts if h.is_durable]
            reader_cpu.append(
                (n_hosts_in_all, statistics.mean(cpu[n] for n in readers))
            )
            voter_cpu.append((n_hosts_in_all, statistics.mean(cpu[n] for n in voters)))
            resident = [resident_bytes(_pid(host)) for host in deployment.hosts]
            memory.append((n_hosts_in_all, statistics.mean(resident)))
        finally:
            deployment.stop()
    method = "daemons at rest, 4 data centres, 8, 12 and 16 hosts, no upstreams"
    return [
        fit_slope("idle_host_bytes", "B/s", "host", method, bytes_per_s),
        fit_slope(
            "idle_reader_cpu", "µs/s", "host of the deployment", method, reader_cpu
        ),
        fit_slope(
            "idle_voter_cpu", "µs/s", "host of the deployment", method, voter_cpu
        ),
        fit_slope("idle_host_memory", "B", "host of the deployment", method, memory),
    ]


async def measure_upstream_slopes(folder: Path) -> list[Slope]:
    """Measure one host, the leader of its group, by the number of idle upstreams."""
    cpu_points: Points = []
    byte_points: Points = []
    for n_upstreams in UPSTREAM_COUNTS:
        shape = _make_shape({"ishikari": ("ishikari-a",)}, 1, n_upstreams)
        deployment = await start_settled(shape, folder)
        try:
            cpu, loopback_bytes_per_s = await _measure_idle_usage(deployment.hosts)
        finally:
            deployment.stop()
        cpu_points.append((n_upstreams, cpu[deployment.hosts[0].name]))
        byte_points.append((n_upstreams, loopback_bytes_per_s))
    method = "stand-ins that renew by HTTP at one daemon, which leads and dispatches"
    return [
        fit_slope("upstream_host_cpu", "µs/s", "upstream", method, cpu_points),
        fit_slope("upstream_bytes", "B/s", "upstream", method, byte_points),
    ]


async def measure_peer_slopes(folder: Path) -> list[Slope]:
    """Measure a real leader by the number of hosts that renew leases and read logs."""
    cpu_points, byte_points = await _measure_fake_host_counts(
        folder, renews_leases=True
    )
    method = "fake hosts renew leases and read two logs at one real leader"
    return [
        fit_slope("peer_leader_cpu", "µs/s", "host", method, cpu_points),
        fit_slope("peer_leader_bytes", "B/s", "host", method, byte_points),
    ]


async def measure_reader_slopes(folder: Path) -> list[Slope]:
    """Measure a real voter by the number of fake hosts that only read its logs."""
    cpu_points, byte_points = await _measure_fake_host_counts(
        folder, renews_leases=False
    )
    method = "fake hosts read two logs, in which nothing happens, at one real voter"
    return [
        fit_slope("reader_source_cpu", "µs/s", "reader", method, cpu_points),
        fit_slope("reader_source_bytes", "B/s", "reader", method, byte_points),
    ]


async def _measure_fake_host_counts(
    folder: Path, renews_leases: bool
) -> tuple[Points, Points]:
    cpu_points: Points = []
    byte_points: Points = []
    for n_fakes in FAKE_HOST_COUNTS:
        cpu_us_per_s, loopback_bytes_per_s = await _measure_with_fake_hosts(
            folder, n_fakes, renews_leases
        )
        cpu_points.append((n_fakes, cpu_us_per_s))
        byte_points.append((n_fakes, loopback_bytes_per_s))
    return cpu_points, byte_points


async def _measure_with_fake_hosts(
    folder: Path, n_fakes: int, renews_leases: bool
) -> tuple[float, float]:
    shape = _make_shape({"ishikari": ("ishikari-a",)}, 1, 0)
    deployment = LocalDeployment.from_config(shape, folder / str(time.time_ns()))
    leader = deployment.hosts[0]
    fakes = _fake_hosts(deployment, n_fakes)
    deployment.hosts += fakes
    deployment.start_host(leader, is_bootstrap=True)
    networks: list[PeerNetwork] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await asyncio.sleep(SETTLE_S)
        for fake in fakes:
            network, fake_tasks = _start_fake_host(
                deployment, fake, leader, renews_leases
            )
            networks.append(network)
            tasks += fake_tasks
        await asyncio.sleep(SETTLE_S)
        cpu, loopback_bytes_per_s = await _measure_idle_usage([leader])
    finally:
        await _cancel_all(tasks)
        await asyncio.gather(*(network.stop() for network in networks))
        deployment.hosts = [leader]
        deployment.stop()
    return cpu[leader.name], loopback_bytes_per_s


def _make_shape(
    regions: dict[str, tuple[str, ...]], n_hosts: int, n_upstreams: int
) -> DeploymentShape:
    service = ServiceShape("testlog", n_upstreams, 2, N_SERVICE_SHARDS, 5.0)
    region = next(iter(regions))
    return DeploymentShape(
        "rest", regions, n_hosts, (service,), (), EZO_LUMEN.home_prefix, region
    )


async def _measure_idle_usage(
    hosts: list[HostProcess],
) -> tuple[dict[str, float], float]:
    """Return processor time in µs per s by host, and loopback bytes per s.

    The bytes are those of the window with the fewest, since another program may use
    loopback in some of the windows.
    """
    before_s = {host.name: cpu_time_s(_pid(host)) for host in hosts}
    started_s = time.monotonic()
    loopback_bytes_per_s = [await _loopback_bytes_per_s() for _ in range(N_WINDOWS)]
    took_s = time.monotonic() - started_s
    cpu = {
        host.name: (cpu_time_s(_pid(host)) - before_s[host.name]) * US_PER_S / took_s
        for host in hosts
    }
    return cpu, min(loopback_bytes_per_s)


async def _loopback_bytes_per_s() -> float:
    before_bytes = loopback_bytes()
    started_s = time.monotonic()
    await asyncio.sleep(WINDOW_S)
    return (loopback_bytes() - before_bytes) / (time.monotonic() - started_s)


async def _cancel_all(tasks: list["asyncio.Task[None]"]) -> None:
    # `asyncio.wait_for` of Python 3.11 loses a cancellation that arrives together with
    # the awaited result, so tasks are cancelled again until all are done.
    while waiting := [task for task in tasks if not task.done()]:
        for task in waiting:
            task.cancel()
        await asyncio.wait(waiting, timeout=CANCEL_PAUSE_S)


def _fake_hosts(deployment: LocalDeployment, n_fakes: int) -> list[HostProcess]:
    real_host = deployment.hosts[0]
    ports = free_ports(n_fakes)
    return [
        HostProcess(
            f"fake-{number:03d}",
            real_host.data_centre,
            real_host.region,
            f"127.0.0.1:{port}",
            real_host.caller_address,
            real_host.control_address,
            False,
        )
        for number, port in enumerate(ports)
    ]


def _start_fake_host(
    deployment: LocalDeployment,
    fake: HostProcess,
    leader: HostProcess,
    renews_leases: bool,
) -> tuple[PeerNetwork, list["asyncio.Task[None]"]]:
    seeds = tuple(_host_address(host) for host in deployment.hosts)
    network = PeerNetwork.from_config(
        _host_address(fake),
        seeds,
        PEER_TOKEN,
        PeerHandlers(_reply_with_none, _ignore_notice, _ignore_stream),
    )
    group = data_centre_group(fake.data_centre)
    fake_tasks = [
        asyncio.create_task(_read_log(network, leader.name, GLOBAL_GROUP)),
        asyncio.create_task(_read_log(network, leader.name, group)),
    ]
    if renews_leases:
        renewal = _renew_leases(network, _host_address(fake), leader.name)
        fake_tasks.append(asyncio.create_task(renewal))
    return network, fake_tasks


async def _renew_leases(network: PeerNetwork, own: HostAddress, leader: str) -> None:
    message = RenewLeases(own, "1", own.data_centre, False, (), (), ())
    while True:
        try:
            await network.call(leader, message, CALL_TIMEOUT_S)
        except PeerUnreachable:
            pass
        await asyncio.sleep(RENEW_INTERVAL_MS / 1000)


async def _read_log(network: PeerNetwork, leader: str, group: str) -> None:
    after_index = 0
    while True:
        message = FetchLog(group, after_index, FETCH_WAIT_MS)
        try:
            reply = await network.call(leader, message, CALL_TIMEOUT_S)
        except PeerUnreachable:
            await asyncio.sleep(RENEW_INTERVAL_MS / 1000)
            continue
        if reply is not None:
            after_index += len(reply.entries)


def _host_address(host: HostProcess) -> HostAddress:
    return HostAddress(
        host.name, host.data_centre, host.region, host.peer_address, host.is_durable
    )


async def _reply_with_none(message: object, peer: str) -> None:
    return None


def _ignore_notice(message: object, peer: str) -> None:
    return None


async def _ignore_stream(stream: PeerStream, head: object, peer: str) -> None:
    return None


def _pid(host: HostProcess) -> int:
    if host.process is None:
        raise RuntimeError(f"{host.name} is not running")
    return host.process.pid
