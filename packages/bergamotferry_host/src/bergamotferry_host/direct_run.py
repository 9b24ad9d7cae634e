"""Assembles and runs a host that accepts requests, and stops it gracefully.

To stop, the host first reports that it is not ready and keeps serving until the load
balancer sends it no more callers. It then closes idle connections and waits for the
requests in flight. A request that may not be answered before the host ends is refused
before it is sent (`stop_admission`).
"""

import asyncio
import contextlib

from aiohttp import web

from bergamotferry.answer_link import AnswerLink
from bergamotferry.fleet_metrics import Histogram

from .accounts.key_watch import run_key_watch
from .background import start_task
from .clock import now_ns
from .direct_call import open_direct_session
from .direct_crashes import run_crash_exchange
from .direct_host import DirectHost
from .direct_metrics import direct_metric_families
from .direct_request import answer_request
from .explanation.page import add_placement_page
from .fleet_changes import add_control_hosts
from .fleet_follower import run_follower
from .fleet_settings import FleetSettings
from .fleet_start import (
    STOP_RESERVE_S,
    DecodeConfiguration,
    ReadSettings,
    fleet_network,
    listen,
    reject_call,
    reload_on_hangup,
    stop_event,
)
from .http_edge import close_when_idle, wait_for_flush
from .key_reports import run_key_reports
from .logs import log
from .memory.allocator import return_large_objects
from .memory.unread_watch import run_unread_watch
from .metrics_page import measure_loop_delays, process_metric_families, serve_metrics
from .peer_link import PeerHandlers
from .quota.share_renewal import run_share_renewal
from .service_load.work_reports import run_work_reports
from .spill.updates import run_spill_updates
from .upstream_connections import connection_families

# The load balancer probes once a second and acts on the second failed probe.
BALANCER_REACTION_S = 2.8


async def run_direct_host(
    settings: FleetSettings,
    decode_configuration: DecodeConfiguration,
    ready_path: str,
    read_settings: ReadSettings,
) -> None:
    """Run a host that accepts requests until SIGTERM or SIGINT, then stop gracefully.

    On SIGHUP the host reads its seeds again.
    """
    stopping = stop_event()
    return_large_objects()
    network = fleet_network(
        settings, PeerHandlers(reject_call, reject_call, reject_call)
    )
    host = DirectHost(settings, network, decode_configuration)
    host.link = AnswerLink.from_config(settings.link_mbps)
    reload_on_hangup(read_settings, lambda seeds: add_control_hosts(host, seeds))
    async with open_direct_session(settings.headers) as http:

        async def on_request(request: web.Request) -> web.StreamResponse:
            return await answer_request(host, http, request)

        async def on_ready(request: web.Request) -> web.Response:
            return web.Response(status=200 if host.is_ready else 503)

        caller_app = web.Application(client_max_size=0)
        caller_app.router.add_route("*", "/{path:.*}", on_request)
        ready = web.Application()
        ready.router.add_get(ready_path, on_ready)
        caller_runner = await listen(
            caller_app,
            settings.caller_address,
            settings,
            lambda: host.is_stopping,
            host.memory,
        )
        ready_runner = await listen(ready, settings.ready_address, settings)
        runners = [ready_runner, caller_runner]
        delays = Histogram()
        metrics = await serve_metrics(
            settings,
            lambda: (
                direct_metric_families(host)
                + connection_families(http)
                + process_metric_families(delays)
            ),
            lambda app: add_placement_page(app, host),
        )
        if metrics is not None:
            runners.append(metrics)
        log("started", label=settings.label)
        tasks: set[asyncio.Task[None]] = set()
        start_task(run_follower(host), tasks)
        start_task(run_unread_watch(caller_runner, host.memory), tasks)
        start_task(run_crash_exchange(host), tasks)
        start_task(run_work_reports(host), tasks)
        start_task(run_spill_updates(host), tasks)
        start_task(run_share_renewal(host), tasks)
        if settings.bounds.is_fail_closed:
            start_task(run_key_watch(host), tasks)
        if settings.splits_busy_ranges:
            start_task(run_key_reports(host), tasks)
        start_task(measure_loop_delays(delays), tasks)
        await stopping.wait()
        await drain(host, caller_runner)
        for runner in runners:
            await runner.cleanup()
        for task in tasks:
            task.cancel()
    await network.stop()
    log("stopped", label=settings.label)


async def drain(host: DirectHost, caller_runner: web.AppRunner) -> None:
    """Wait until callers use other hosts and all answers in flight are sent.

    The wait ends `STOP_RESERVE_S` before the end of the grace period at the latest.
    Once the load balancer has reacted, idle connections are closed, so that the next
    requests of their callers go to other hosts.
    """
    left_s = host.settings.bounds.grace_s - STOP_RESERVE_S
    began_ns = now_ns()
    stop_end_ns = host.stop_end_ns = began_ns + int(left_s * 1e9)
    host.rotation_end_ns = began_ns + int(BALANCER_REACTION_S * 1e9)
    log("stopping", n_in_flight=host.n_in_flight)
    await asyncio.sleep(BALANCER_REACTION_S)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout((stop_end_ns - now_ns()) / 1e9):
            await close_when_idle(caller_runner)
            await wait_for_flush(caller_runner)
    log("drained", n_in_flight=host.n_in_flight)
