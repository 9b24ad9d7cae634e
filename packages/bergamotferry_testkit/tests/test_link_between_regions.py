"""Bulk on the slow link between regions delays neither lookups nor control.

A fault proxy limits the link's rate. Guards against downloads that fill the link, so
that lookups and release notes wait behind them and leases expire.
"""

import asyncio
import json
import time
from collections import Counter

import aiohttp
import pytest

from bergamotferry.link_budget import BULK_BURST_BYTES
from bergamotferry_testkit.answers import lookup_answer
from bergamotferry_testkit.control import find_keys, post_control
from bergamotferry_testkit.deployment_start import start_ready
from bergamotferry_testkit.deployments import (
    CALLER_TOKENS,
    DeploymentShape,
    RouteShape,
    ServiceShape,
)
from bergamotferry_testkit.fixed_rate_load import Lookup, run_at_fixed_rate
from bergamotferry_testkit.local_deployment import LocalDeployment

# The users' link between regions: 30 Mbit/s per direction, one-way delay 12 ms.
LINK_MBIT_PER_S = 30
LINK_BYTES_PER_S = LINK_MBIT_PER_S * 1_000_000 / 8
ONE_WAY_MS = 12.0
N_HOSTS_PER_REGION = 2
SERVICE_TIME_MS = 5.0
# Allowance for the delay that processes sharing a busy machine add to a percentile.
SCHEDULING_ALLOWANCE_MS = 100.0
# A lookup crosses the link in both directions, and may wait behind the bulk burst
# of each sending host.
BULK_BURSTS_MS = 1000 * N_HOSTS_PER_REGION * BULK_BURST_BYTES / LINK_BYTES_PER_S
LOOKUP_P99_MAX_MS = (
    2 * ONE_WAY_MS + SERVICE_TIME_MS + BULK_BURSTS_MS + SCHEDULING_ALLOWANCE_MS
)
IN_FORCE_TARGET_S = 5.0
LOOKUPS_PER_S = 30.0
LOOKUPS_ALONE_S = 4.0
LOOKUPS_WITH_BULK_S = 8.0
N_DOWNLOADS = 16
N_KEYS = 20
HEADERS = {"Authorization": f"Bearer {CALLER_TOKENS['inspectors']}"}

SHAPE = DeploymentShape(
    "two-regions",
    {"north": ("a",), "south": ("b",)},
    N_HOSTS_PER_REGION,
    (
        ServiceShape("testlog", 4, 4, 32, SERVICE_TIME_MS),
        ServiceShape("archive", 4, N_DOWNLOADS, 16, 10.0),
    ),
    (
        RouteShape("testlog", "lookup", "GET", "lookup", 3000, 0.9),
        RouteShape("archive", "bundle", "GET", "bulk", 30_000, 0.1),
    ),
    "home-",
    "south",
)


class LinkByteCounters(asyncio.DatagramProtocol):
    """Sums the StatsD counters of bytes on links, by class and pair of data centres."""

    def __init__(self):
        self.n_bytes = Counter()

    def datagram_received(self, data, address):
        name, _, value = data.decode().partition(":")
        _, separator, link = name.partition(".link.bytes.")
        if separator:
            self.n_bytes[link] += int(value.partition("|")[0])


async def limit_link_rate(deployment):
    host_names = {
        region: [host.name for host in deployment.hosts if host.region == region]
        for region in deployment.shape.regions
    }
    rules = [
        {
            "sources": host_names[source],
            "targets": host_names[target],
            "delay_ms": ONE_WAY_MS,
            "bytes_per_s": LINK_BYTES_PER_S,
            "share": f"{source} to {target}",
        }
        for source, target in (("north", "south"), ("south", "north"))
    ]
    url = f"http://127.0.0.1:{deployment.proxy_control_port}/rules"
    async with aiohttp.ClientSession() as http:
        async with http.post(url, json=rules) as response:
            assert response.status == 200


async def download_until(address, keys, end_s, outcomes):
    timeout = aiohttp.ClientTimeout(total=40)
    async with aiohttp.ClientSession(headers=HEADERS, timeout=timeout) as http:
        while time.monotonic() < end_s:
            key = keys[sum(outcomes.values()) % len(keys)]
            url = f"http://{address}/v1/archive/bundle/{key}"
            try:
                async with http.get(url) as response:
                    size_bytes = len(await response.read())
                    code = response.headers["Bergamotferry-Code"]
            except (aiohttp.ClientError, TimeoutError):
                outcomes["broken"] += 1
                continue
            outcomes[code if size_bytes == 1 << 20 else f"{code} short"] += 1


def count_lease_and_leader_events(deployment):
    """Return the numbers of expired leases and of begun leaderships in all logs."""
    texts = [
        (deployment.folder / f"{host.name}.log").read_text()
        for host in deployment.hosts
    ]
    return {
        event: sum(text.count(event) for text in texts)
        for event in ("lease expired", "leadership began")
    }


async def measure(deployment, link_counters):
    await start_ready(deployment)
    await limit_link_rate(deployment)
    await asyncio.sleep(3.0)
    entry = deployment.hosts_of("a")[0]
    keys = {}
    for service in SHAPE.services:
        keys[service.name] = await find_keys(
            entry.control_address,
            service.name,
            service.n_shards,
            lambda grant: grant.get("data_centre") == "b",
            N_KEYS,
        )

    def lookup_of(number):
        key = keys["testlog"][number % N_KEYS]
        url = f"http://{entry.caller_address}/v1/testlog/lookup/{key}"
        return Lookup(url, HEADERS, lookup_answer("testlog", "lookup", key))

    lookups_alone = await run_at_fixed_rate(lookup_of, LOOKUPS_PER_S, LOOKUPS_ALONE_S)
    event_counts_before = count_lease_and_leader_events(deployment)
    outcomes = Counter()
    end_s = time.monotonic() + LOOKUPS_WITH_BULK_S
    download_tasks = [
        asyncio.create_task(
            download_until(entry.caller_address, keys["archive"], end_s, outcomes)
        )
        for _ in range(N_DOWNLOADS)
    ]
    lookups_task = asyncio.create_task(
        run_at_fixed_rate(lookup_of, LOOKUPS_PER_S, LOOKUPS_WITH_BULK_S)
    )
    await asyncio.sleep(LOOKUPS_WITH_BULK_S / 2)
    note = {"number": 2, "based_on": 1}
    note["added"] = {"services": [{"name": "late", "n_shards": 1}]}
    sent_s = time.monotonic()
    applied = await post_control(entry.control_address, "notes", json.dumps(note))
    in_force_s = time.monotonic() - sent_s
    lookups_with_bulk = await lookups_task
    event_counts_after = count_lease_and_leader_events(deployment)
    await asyncio.gather(*download_tasks)
    await asyncio.sleep(1.5)
    return {
        "p50_ms": [
            round(load.percentile_ms(50), 1)
            for load in (lookups_alone, lookups_with_bulk)
        ],
        "p99_ms": [
            round(load.percentile_ms(99), 1)
            for load in (lookups_alone, lookups_with_bulk)
        ],
        "n_failed": [lookups_alone.n_failed, lookups_with_bulk.n_failed],
        "n_lookups": len(lookups_alone.latencies_ms)
        + len(lookups_with_bulk.latencies_ms),
        "note_s": round(in_force_s, 2),
        "not_reached": applied.get("not_reached"),
        "losses": {
            key: event_counts_after[key] - event_counts_before[key]
            for key in event_counts_before
        },
        "downloads": dict(outcomes),
        "bytes": dict(link_counters.n_bytes),
    }


@pytest.fixture
def measured(tmp_path):
    deployment = LocalDeployment.from_config(SHAPE, tmp_path, has_proxy=True)
    deployment.environment["BERGAMOTFERRY_LINK_MBIT_PER_S"] = str(LINK_MBIT_PER_S)

    async def scenario():
        loop = asyncio.get_running_loop()
        transport, counts = await loop.create_datagram_endpoint(
            LinkByteCounters, local_addr=("127.0.0.1", 0)
        )
        port = transport.get_extra_info("sockname")[1]
        deployment.environment["BERGAMOTFERRY_STATSD_ADDRESS"] = f"127.0.0.1:{port}"
        return await measure(deployment, counts)

    try:
        return asyncio.run(scenario())
    finally:
        deployment.stop()


def test_bulk_on_a_limited_link_delays_neither_lookups_nor_control(measured):
    print(json.dumps(measured))
    # Bulk did load the link; `LinkBudget` limits it to a share of the rate.
    assert measured["bytes"]["bulk.b.a"] > 0.3 * LINK_BYTES_PER_S * LOOKUPS_WITH_BULK_S
    assert set(measured["downloads"]) == {"0"}
    assert measured["n_failed"] == [0, 0]
    assert measured["p99_ms"][1] <= LOOKUP_P99_MAX_MS
    assert measured["not_reached"] == []
    assert measured["note_s"] <= IN_FORCE_TARGET_S
    assert measured["losses"] == {"lease expired": 0, "leadership began": 0}
    # Limits the heads of a lookup's request and response together with its answer,
    # because the link is billed by volume.
    n_bytes = measured["bytes"]["lookup.a.b"] + measured["bytes"]["lookup.b.a"]
    assert n_bytes / measured["n_lookups"] <= 512
