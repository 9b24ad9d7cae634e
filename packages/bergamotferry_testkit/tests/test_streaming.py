"""A large download is streamed whole, and no host buffers more than a small part."""

import asyncio
import signal
from pathlib import Path

import aiohttp

from bergamotferry_testkit.answers import BLOCK_BYTES, archive_block
from bergamotferry_testkit.deployment_start import start_ready
from bergamotferry_testkit.deployments import CALLER_TOKENS, EZO_LUMEN
from bergamotferry_testkit.local_deployment import LocalDeployment

ARCHIVE_BYTES = 64 << 20
MEMORY_GROWTH_MAX_BYTES = 32 << 20
N_SLOW_BLOCKS = 60
SLOW_PAUSE_S = 0.05
# Longer than an upstream's lease, so that the key's owner is lost and replaced.
UPSTREAM_PAUSE_S = 2.5


def peak_memory_bytes(process_id):
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) * 1024
    raise AssertionError("the status of the process has no VmHWM line")


async def download(address, key):
    """Download and check an archive, slowly at first so that the sender must wait."""
    headers = {"Authorization": f"Bearer {CALLER_TOKENS['inspectors']}"}
    n_blocks = 0
    async with aiohttp.ClientSession(headers=headers) as http:
        async with http.get(f"http://{address}/v1/archive/bundle/{key}") as response:
            assert response.headers["Bergamotferry-Code"] == "0"
            while not response.content.at_eof():
                block = await response.content.readexactly(BLOCK_BYTES)
                assert block == archive_block(key, n_blocks)
                n_blocks += 1
                if n_blocks < N_SLOW_BLOCKS:
                    await asyncio.sleep(SLOW_PAUSE_S)
    return n_blocks * BLOCK_BYTES


def test_large_archive_is_streamed_whole_with_bounded_memory(tmp_path):
    deployment = LocalDeployment.from_config(EZO_LUMEN, tmp_path, ARCHIVE_BYTES)

    async def scenario():
        await start_ready(deployment)
        peaks_before = [
            peak_memory_bytes(host.process.pid) for host in deployment.hosts
        ]
        # One host per data centre: those outside the data centre that owns the key
        # forward the request.
        addresses = [host.caller_address for host in deployment.hosts[::2]]
        sizes = await asyncio.gather(
            *(download(address, "bundle-1") for address in addresses)
        )
        peaks_after = [peak_memory_bytes(host.process.pid) for host in deployment.hosts]
        return sizes, [
            peak_after - peak_before
            for peak_before, peak_after in zip(peaks_before, peaks_after, strict=True)
        ]

    try:
        sizes, growths = asyncio.run(scenario())
    finally:
        deployment.stop()
    assert sizes == [ARCHIVE_BYTES] * 4
    assert max(growths) < MEMORY_GROWTH_MAX_BYTES, growths


def test_download_resumes_after_its_upstream_is_lost(tmp_path):
    deployment = LocalDeployment.from_config(EZO_LUMEN, tmp_path, ARCHIVE_BYTES)

    async def pause_upstreams():
        await asyncio.sleep(1.0)
        # Pauses all upstreams, since any may own the key; those of a data centre share
        # a process.
        for process in deployment.stand_ins.values():
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(UPSTREAM_PAUSE_S)
        for process in deployment.stand_ins.values():
            process.send_signal(signal.SIGCONT)

    async def scenario():
        await start_ready(deployment)
        address = deployment.hosts[0].caller_address
        async with asyncio.TaskGroup() as tasks:
            download_task = tasks.create_task(download(address, "bundle-1"))
            tasks.create_task(pause_upstreams())
        return download_task.result()

    try:
        assert asyncio.run(scenario()) == ARCHIVE_BYTES
    finally:
        deployment.stop()
