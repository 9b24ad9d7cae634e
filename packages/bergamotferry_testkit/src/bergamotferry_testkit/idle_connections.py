"""Measures the memory and latency that idle caller connections cost a host.

``python -m bergamotferry_testkit.idle_connections`` starts one host and opens
connections that send nothing. It prints the host's memory and the time of a request,
each before and after the connections were opened.
"""

import argparse
import asyncio
import json
import tempfile
import time
from pathlib import Path

import aiohttp

from .deployments import EZO_LUMEN
from .local_deployment import HostProcess, LocalDeployment, stop_processes

DIAL_BATCH_SIZE = 200
N_PROBES = 50
START_TIMEOUT_S = 20.0


async def measure(host: HostProcess, n_connections: int) -> dict[str, float]:
    """Open idle connections to a running host; return its memory and request times."""
    await _wait_listening(host)
    before_bytes = resident_bytes(host)
    before_ms = await _probe_ms(host)
    ip, port = host.caller_address.split(":")
    writers: list[asyncio.StreamWriter] = []
    while len(writers) < n_connections:
        n_batch = min(DIAL_BATCH_SIZE, n_connections - len(writers))
        opened = await asyncio.gather(
            *(asyncio.open_connection(ip, int(port)) for _ in range(n_batch))
        )
        writers += [writer for _, writer in opened]
    after_bytes = resident_bytes(host)
    after_ms = await _probe_ms(host)
    n_open = sum(not writer.is_closing() for writer in writers)
    for writer in writers:
        writer.close()
    return {
        "n_connections": n_open,
        "before_mb": round(before_bytes / 1e6, 1),
        "after_mb": round(after_bytes / 1e6, 1),
        "kb_per_connection": round((after_bytes - before_bytes) / 1e3 / n_open, 2),
        "probe_before_ms": before_ms,
        "probe_after_ms": after_ms,
    }


def resident_bytes(host: HostProcess) -> int:
    """Return the resident memory of a host's process in bytes; 0 if it is unknown."""
    if host.process is None:
        return 0
    for line in Path(f"/proc/{host.process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def main() -> None:
    """Run the measurement from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", type=int, default=10_000)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        deployment = LocalDeployment.from_config(EZO_LUMEN, Path(folder))
        host = deployment.hosts[0]
        deployment.hosts = [host]
        deployment.start_host(host, is_bootstrap=True)
        try:
            result = asyncio.run(measure(host, arguments.connections))
        finally:
            if host.process is not None:
                stop_processes([host.process])
    print(json.dumps(result))


async def _wait_listening(host: HostProcess) -> None:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            await _probe_ms(host)
            return
        except aiohttp.ClientError:
            await asyncio.sleep(0.1)
    raise RuntimeError("the host did not start in time")


async def _probe_ms(host: HostProcess) -> float:
    took_ms: list[float] = []
    async with aiohttp.ClientSession() as http:
        for _ in range(N_PROBES):
            started_s = time.monotonic()
            async with http.get(f"http://{host.caller_address}/ready") as response:
                await response.read()
            took_ms.append((time.monotonic() - started_s) * 1000)
    return round(sorted(took_ms)[N_PROBES // 2], 2)


if __name__ == "__main__":
    main()
