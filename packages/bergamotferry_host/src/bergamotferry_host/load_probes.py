"""Probes the load of upstreams just before one of them is chosen.

An upstream's health path answers immediately and reports the load. Concurrent requests
share a probe. A service whose upstreams report no load is not probed again.
"""

import asyncio
import errno

import aiohttp
from multidict import MultiMapping
from yarl import URL

from bergamotferry.cold_rate import (
    is_cold,
    is_uncertain,
    record_probe_answer,
    record_uncertain,
)
from bergamotferry.configuration import DirectService
from bergamotferry.direct_placement import Distance
from bergamotferry.upstream_load import (
    add_overdue_time,
    record_failure,
    record_report,
    record_unreachable,
    remove_overdue_time,
)
from bergamotferry.upstream_notice import record_own_answer

from .background import report_failure
from .bounded_answer import SHORT_BODY_MAX_BYTES, read_whole
from .clock import now_ns
from .direct_call import notice_in, parse_cold_left_ms, parse_load_report
from .direct_host import DirectHost, Upstream, distance_of
from .fleet_changes import mark_replaced, record_end_proof
from .fleet_settings import DirectHeaders
from .upstream_connections import close_connection
from .upstream_ends import record_life
from .upstream_notices import record_upstream_notice

# A longer wait would cost the request more time than the load report saves.
PROBE_WAIT_S: dict[Distance, float] = {"here": 0.04, "near": 0.04, "far": 0.12}
PROBE_DUE_SHARE = 0.9
# Longer than the wait: a late answer still updates the load, and its connection can be
# reused.
PROBE_TIMEOUT_S = 0.5


async def probe_loads(
    host: DirectHost,
    http: aiohttp.ClientSession,
    service: DirectService,
    upstreams: list[Upstream],
) -> None:
    """Probe some upstreams, and wait until all have answered or the wait times out.

    Upstreams that are known to be cold are not probed.
    """
    if service.name in host.services_without_load:
        return
    probes = []
    wait_s = 0.0
    for upstream in upstreams:
        now = now_ns()
        if is_cold(upstream.cold, now) and not is_uncertain(upstream.cold, now):
            continue
        if upstream.probe_task is None:
            upstream.probe_task = asyncio.create_task(
                _probe(host, http, service, upstream)
            )
            upstream.probe_task.add_done_callback(report_failure)
        probes.append(upstream.probe_task)
        distance = distance_of(host.settings, upstream.row.data_centre)
        wait_s = max(wait_s, PROBE_WAIT_S[distance])
    if probes:
        await asyncio.wait(probes, timeout=wait_s)


async def _probe(
    host: DirectHost,
    http: aiohttp.ClientSession,
    service: DirectService,
    upstream: Upstream,
) -> None:
    header_names = host.settings.headers
    url = URL(f"http://{upstream.row.address}{service.health_path}", encoded=True)
    timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
    sent_ns = now_ns()
    due_ns = sent_ns + _probe_due_after_ns(host, upstream)
    add_overdue_time(upstream.load, due_ns)
    distance = distance_of(host.settings, upstream.row.data_centre)
    host.metrics.probes[distance,] += 1
    try:
        async with http.get(url, timeout=timeout, allow_redirects=False) as response:
            answered_by = _name_of_answerer(response.headers, header_names)
            if not answered_by:
                # What follows on the connection may belong to other requests too.
                close_connection(response)
                record_failure(upstream.load, now_ns())
                return
            await read_whole(response, SHORT_BODY_MAX_BYTES)
            if answered_by != upstream.row.name:
                # Another service may be running at the address by now.
                mark_replaced(host, upstream)
                return
            notice = notice_in(response.status, response.headers, header_names)
            record_upstream_notice(host, upstream, notice)
            report = parse_load_report(response.headers.get(header_names.load, ""))
            left_ms = parse_cold_left_ms(
                response.headers.get(header_names.cold_left_ms, "")
            )
        record_life(host.end_watch, upstream.row.name, sent_ns)
        record_own_answer(upstream.availability, sent_ns)
        record_probe_answer(upstream.cold, left_ms, now_ns())
        if report is not None:
            record_report(upstream.load, report, upstream.load.n_in_flight, now_ns())
        elif response.status == 200:
            host.services_without_load.add(service.name)
    except aiohttp.ClientConnectorError as error:
        if error.os_error.errno == errno.ECONNREFUSED:
            record_end_proof(host, upstream, "connection refused")
        record_unreachable(upstream.load, now_ns())
        record_uncertain(upstream.cold, now_ns())
    except (aiohttp.ClientError, OSError):
        # The upstream is full or hangs, or the link is busy. A request sent to the
        # upstream would be late as well.
        record_failure(upstream.load, now_ns())
    finally:
        remove_overdue_time(upstream.load, due_ns)
        upstream.probe_task = None


def _name_of_answerer(headers: MultiMapping[str], header_names: DirectHeaders) -> str:
    """Return which upstream answered a probe; empty if the answer does not prove it.

    A full upstream may refuse a probe without its name. An answer with a request id
    belongs to a request that the connection carried before.
    """
    names = headers.getall(header_names.upstream, [])
    is_to_request = header_names.request_id in headers
    return names[0] if len(names) == 1 and not is_to_request else ""


def _probe_due_after_ns(host: DirectHost, upstream: Upstream) -> int:
    """Return the time in ns after which a probe is overdue.

    It ends just before the wait for the probe does.
    """
    distance = distance_of(host.settings, upstream.row.data_centre)
    return int(PROBE_DUE_SHARE * PROBE_WAIT_S[distance] * 1e9)
