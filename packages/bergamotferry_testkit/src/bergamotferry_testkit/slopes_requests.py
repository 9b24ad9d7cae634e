"""Slopes of a request: real daemons on loopback, a stand-in and a load of fixed rate.

The lookups pass through two hosts, so that the entry host and the dispatcher are
separate processes, whose processor time and memory Linux reports.
"""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp

from .fixed_rate_load import run_at_fixed_rate
from .local_deployment import HostProcess
from .process_usage import cpu_time_s, loopback_bytes, resident_bytes
from .slope_fit import Slope, fit_slope
from .slopes_tables import US_PER_S
from .two_host_bench import Bench, daemon_pids, lookups_on_path, start_bench

RATES_PER_S = (50.0, 150.0, 300.0, 450.0)
LOAD_S = 6.0
WARM_UP_RATE_PER_S = 100.0
WARM_UP_S = 1.0
IN_FLIGHT_COUNTS = (100, 200, 400, 800)
IN_FLIGHT_SLOWNESS = 20_000.0
IN_FLIGHT_SETTLE_S = 1.5
CONNECTION_COUNTS = (500, 1000, 2000)


async def measure_request_slopes(folder: Path) -> list[Slope]:
    """Measure the processor time and the bytes per request."""
    return await _measure_on_bench(folder, _cpu_per_request)


async def measure_in_flight_slopes(folder: Path) -> list[Slope]:
    """Measure the memory per request in flight."""
    return await _measure_on_bench(folder, _memory_per_request_in_flight)


async def measure_connection_slopes(folder: Path) -> list[Slope]:
    """Measure the memory per idle connection of a caller."""
    return await _measure_on_bench(folder, _memory_per_connection)


async def _measure_on_bench(
    folder: Path, measure: Callable[[Bench], Awaitable[list[Slope]]]
) -> list[Slope]:
    # Each measurement starts new daemons: memory that an earlier measurement freed
    # would be used again and hide the growth.
    bench = await start_bench(folder)
    try:
        return await measure(bench)
    finally:
        bench.deployment.stop()


async def _cpu_per_request(bench: Bench) -> list[Slope]:
    make_lookup = lookups_on_path(bench, "two_hosts")
    pids = daemon_pids(bench)
    await run_at_fixed_rate(make_lookup, WARM_UP_RATE_PER_S, WARM_UP_S)
    cpu_points: list[list[tuple[float, float]]] = [[], []]
    byte_points: list[tuple[float, float]] = []
    for rate_per_s in RATES_PER_S:
        before_s = [cpu_time_s(pid) for pid in pids]
        before_bytes = loopback_bytes()
        result = await run_at_fixed_rate(make_lookup, rate_per_s, LOAD_S)
        if result.n_failed:
            raise RuntimeError(f"{result.n_failed} lookups failed at {rate_per_s}/s")
        answered_per_s = len(result.latencies_ms) / LOAD_S
        byte_points.append((answered_per_s, (loopback_bytes() - before_bytes) / LOAD_S))
        for points, pid, start_s in zip(cpu_points, pids, before_s, strict=True):
            cpu_us_per_s = (cpu_time_s(pid) - start_s) * US_PER_S / LOAD_S
            points.append((answered_per_s, cpu_us_per_s))
    method = "lookups through two daemons at four rates; the intercept is idle, per s"
    return [
        fit_slope("request_dispatcher_cpu", "µs", "request", method, cpu_points[0]),
        fit_slope("request_entry_cpu", "µs", "request", method, cpu_points[1]),
        fit_slope(
            "request_bytes",
            "B",
            "request",
            "loopback, headers included: caller, entry, dispatcher, upstream and back",
            byte_points,
        ),
    ]


async def _memory_per_connection(bench: Bench) -> list[Slope]:
    """Measure the resident memory of the entry host by its idle caller connections."""
    host = bench.entry
    pid = _pid(host)
    writers: list[asyncio.StreamWriter] = []
    points: list[tuple[float, float]] = [(0, resident_bytes(pid))]
    try:
        for count in CONNECTION_COUNTS:
            while len(writers) < count:
                writers.append(await _open_idle(host.caller_address))
            points.append((count, resident_bytes(pid)))
    finally:
        for writer in writers:
            writer.close()
    method = "resident memory of an entry host with kept-alive connections"
    return [fit_slope("idle_connection_memory", "B", "connection", method, points)]


async def _memory_per_request_in_flight(bench: Bench) -> list[Slope]:
    """Measure the resident memory of both hosts by the lookups in flight."""
    await _set_slowness(bench, IN_FLIGHT_SLOWNESS)
    make_lookup = lookups_on_path(bench, "two_hosts")
    pids = daemon_pids(bench)
    points: list[list[tuple[float, float]]] = [[], []]
    tasks: list[asyncio.Task[None]] = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
        try:
            for count in IN_FLIGHT_COUNTS:
                while len(tasks) < count:
                    lookup = make_lookup(len(tasks))
                    sending = _send_lookup(http, lookup.url, lookup.headers)
                    tasks.append(asyncio.create_task(sending))
                await asyncio.sleep(IN_FLIGHT_SETTLE_S)
                n_in_flight = sum(not task.done() for task in tasks)
                for host_points, pid in zip(points, pids, strict=True):
                    host_points.append((n_in_flight, resident_bytes(pid)))
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
    method = "resident memory while lookups through two daemons wait for an upstream"
    return [
        fit_slope("held_dispatcher_memory", "B", "request", method, points[0]),
        fit_slope("held_entry_memory", "B", "request", method, points[1]),
    ]


async def _send_lookup(
    http: aiohttp.ClientSession, url: str, headers: dict[str, str]
) -> None:
    async with http.get(url, headers=headers) as response:
        await response.read()


async def _set_slowness(bench: Bench, slowness: float) -> None:
    url = f"http://{bench.upstream_address}/stand-in/faults"
    async with aiohttp.ClientSession() as http:
        async with http.post(url, json={"slowness": slowness}) as response:
            await response.read()


async def _open_idle(address: str) -> asyncio.StreamWriter:
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(b"GET /ready HTTP/1.1\r\nHost: bench\r\n\r\n")
    await reader.readuntil(b"\r\n\r\n")
    return writer


def _pid(host: HostProcess) -> int:
    if host.process is None:
        raise RuntimeError(f"{host.name} is not running")
    return host.process.pid
