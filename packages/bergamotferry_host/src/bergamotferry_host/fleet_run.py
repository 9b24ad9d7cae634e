"""Puts together and runs a control host, or a host that takes requests; stops both.

A host that takes requests first says that it is not ready, goes on serving until nobody
is sent to it any more, then ends idle connections and waits for what is under way.
"""

import asyncio
import contextlib
import secrets
import signal
from collections.abc import Callable
from typing import Any

from aiohttp import web

from bergamotferry.configuration import Configuration, ConfigurationError
from bergamotferry.fleet_messages import (
    AskSessions,
    FollowFleet,
    ReadIndex,
    SessionNews,
)
from bergamotferry.messages import FetchLog, FetchSnapshot, JoinGroup, Propose

from .background import log_loop_failures, start_task
from .clock import now_ns
from .data_folder import DataFolder
from .direct_call import open_direct_session
from .direct_host import DirectHost, add_control_hosts, run_follower
from .direct_request import answer_request
from .fleet_control import (
    ControlHost,
    answer_read_index,
    fleet_address,
    run_tables_watch,
    start_fleet_group,
)
from .fleet_feed import (
    answer_follow,
    answer_sessions,
    run_session_news,
    take_session_news,
)
from .fleet_settings import FleetSettings
from .group import answer_propose, hand_over_leadership, post
from .group_members import answer_join, run_group
from .group_reader import answer_fetch, answer_fetch_snapshot
from .http_address import split_address
from .http_edge import EdgeLimits, edge_runner
from .logs import log, log_warning
from .peer_link import PeerHandlers, PeerStream
from .peer_network import PeerNetwork
from .range_calls import RangeCallPaths, open_range_session
from .range_duty import run_range_duty

DecodeConfiguration = Callable[[bytes], Configuration | list[ConfigurationError]]
AddControlRoutes = Callable[[web.Application, ControlHost], None]
# Settings as they stand now, or all that is wrong with them.
ReadSettings = Callable[[], FleetSettings | list[str]]

LISTEN_BACKLOG = 1024
# The balancer asks once a second and believes the second miss.
NOTICED_AFTER_S = 2.8
# What is left of the grace period when the last connections are ended.
STOP_RESERVE_S = 0.8
DESCRIPTORS_KEPT = 400


async def run_control_host(
    settings: FleetSettings,
    decode_configuration: DecodeConfiguration,
    add_routes: AddControlRoutes,
    paths: RangeCallPaths,
    read_settings: ReadSettings,
) -> None:
    """Run a control host until SIGTERM; SIGHUP has its seeds read again."""
    stopping = _stop_event()
    if settings.data_dir is None:
        raise ValueError("a control host needs a data folder")
    folder = DataFolder.from_config(
        settings.data_dir, settings.name, settings.is_bootstrap
    )
    handlers = PeerHandlers(_unset, _unset, _unset)
    network = _network(settings, handlers)
    group = start_fleet_group(settings, network, folder)
    host = ControlHost(
        settings, network, group, decode_configuration, secrets.token_hex(8)
    )
    tasks_of_news: set[asyncio.Task[None]] = set()
    _reload_on_hangup(read_settings, lambda seeds: group.sources.extend(seeds))
    _set_control_handlers(host, handlers, tasks_of_news)
    await network.start()
    async with open_range_session() as http:
        app = web.Application(client_max_size=0)
        add_routes(app, host)
        runner = await _listen(app, settings.control_address, settings)
        log("started", label=settings.label, incarnation=folder.incarnation)
        await _run_until(
            stopping,
            run_group(group),
            run_tables_watch(host),
            run_session_news(host),
            run_range_duty(host, http, paths),
        )
        host.is_stopping = True
        await hand_over_leadership(group)
        await runner.cleanup()
    await network.stop()
    folder.close()
    log("stopped", label=settings.label)


async def run_direct_host(
    settings: FleetSettings,
    decode_configuration: DecodeConfiguration,
    ready_path: str,
    read_settings: ReadSettings,
) -> None:
    """Run a host that takes requests until SIGTERM, then stop it gracefully.

    SIGHUP has its seeds read again.
    """
    stopping = _stop_event()
    network = _network(settings, PeerHandlers(_unset, _unset, _unset))
    host = DirectHost(settings, network, decode_configuration)
    _reload_on_hangup(read_settings, lambda seeds: add_control_hosts(host, seeds))
    async with open_direct_session() as http:

        async def on_request(request: web.Request) -> web.Response:
            return await answer_request(host, http, request)

        async def on_ready(request: web.Request) -> web.Response:
            return web.Response(status=200 if host.is_ready else 503)

        callers = web.Application(client_max_size=0)
        callers.router.add_route("*", "/{path:.*}", on_request)
        ready = web.Application()
        ready.router.add_get(ready_path, on_ready)
        runners = [
            await _listen(ready, settings.ready_address, settings),
            await _listen(callers, settings.caller_address, settings),
        ]
        log("started", label=settings.label)
        tasks: set[asyncio.Task[None]] = set()
        follower = start_task(run_follower(host), tasks)
        await stopping.wait()
        await _drain(host)
        for runner in runners:
            await runner.cleanup()
        follower.cancel()
    await network.stop()
    log("stopped", label=settings.label)


async def _drain(host: DirectHost) -> None:
    """Wait until callers go elsewhere and what is under way has ended."""
    host.is_stopping = True
    began_ns = now_ns()
    log("stopping", n_in_flight=host.n_in_flight)
    await asyncio.sleep(NOTICED_AFTER_S)
    end_s = host.settings.bounds.grace_s - STOP_RESERVE_S
    left_s = end_s - (now_ns() - began_ns) / 1e9
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(left_s):
            await host.idle.wait()
    log("drained", n_in_flight=host.n_in_flight)


def _set_control_handlers(
    host: ControlHost, handlers: PeerHandlers, tasks: set[asyncio.Task[None]]
) -> None:
    group = host.group

    async def on_call(message: Any, peer: str) -> Any:
        match message:
            case FollowFleet():
                return await answer_follow(host, message)
            case Propose():
                return await answer_propose(group, message)
            case ReadIndex():
                return answer_read_index(host)
            case AskSessions():
                return answer_sessions(host)
            case FetchLog():
                return await answer_fetch(group, message)
            case FetchSnapshot():
                return answer_fetch_snapshot(group, message)
            case JoinGroup():
                return answer_join(group, message)
        return None

    def on_notice(message: Any, peer: str) -> None:
        if isinstance(message, SessionNews):
            take_session_news(host, message, tasks)
        elif getattr(message, "group", "") == group.name:
            post(group, message)

    async def on_stream(stream: PeerStream, head: Any, peer: str) -> None:
        await stream.cancel()

    handlers.on_call = on_call
    handlers.on_notice = on_notice
    handlers.on_stream = on_stream


def _network(settings: FleetSettings, handlers: PeerHandlers) -> PeerNetwork:
    network = PeerNetwork.from_config(
        fleet_address(settings), (fleet_address(settings),), settings.token, handlers
    )
    network.learned_port = settings.peer_port
    for seed in settings.seeds:
        network.address_of(seed)
    return network


async def _listen(
    app: web.Application, address: str, settings: FleetSettings
) -> web.AppRunner:
    n_connections_max = max(64, settings.n_descriptors_max - DESCRIPTORS_KEPT)
    runner = edge_runner(app, EdgeLimits(n_connections_max), STOP_RESERVE_S)
    await runner.setup()
    ip, port = split_address(address)
    site = web.TCPSite(runner, ip, port, reuse_address=True, backlog=LISTEN_BACKLOG)
    await site.start()
    return runner


async def _run_until(stopping: asyncio.Event, *works: Any) -> None:
    """Run duties until the stop, or until one of them fails."""
    tasks = [asyncio.create_task(work) for work in works]
    stop_task = asyncio.create_task(stopping.wait())
    done, _ = await asyncio.wait(
        [stop_task, *tasks], return_when=asyncio.FIRST_COMPLETED
    )
    for task in done - {stop_task}:
        task.result()
    # The duties end with the process: leadership is still to be handed over.


def _stop_event() -> asyncio.Event:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    log_loop_failures(loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    return stopping


def _reload_on_hangup(
    read_settings: ReadSettings, take_seeds: Callable[[tuple[str, ...]], None]
) -> None:
    """Read the settings again when SIGHUP comes.

    Only the seeds may change while a host runs; whatever is wrong changes nothing.
    """

    def reload() -> None:
        settings = read_settings()
        if isinstance(settings, list):
            log_warning("settings not taken", errors=settings)
            return
        take_seeds(settings.seeds)
        log("settings read again", seeds=settings.seeds)

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)


def _unset(*arguments: Any) -> Any:
    raise RuntimeError("the host takes no calls")
