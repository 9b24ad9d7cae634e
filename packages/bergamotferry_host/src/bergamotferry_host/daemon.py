"""Builds a host from its settings, runs it, and stops it gracefully."""

import asyncio
import secrets
import signal
from typing import Any

import aiohttp
from aiohttp import web

from bergamotferry.hot_key_messages import ListHotKeys
from bergamotferry.messages import (
    CapacityQuestion,
    CapacityReport,
    FetchLog,
    FetchSnapshot,
    FindGrant,
    HostStatusRequest,
    JoinGroup,
    LiftQuarantine,
    ListQuarantine,
    ListUpstreams,
    Propose,
    RenewLeases,
    RequestHead,
)

from .background import log_loop_failures
from .bootstrap import DATA_CENTRE_PREFIX, groups_of_host
from .caller_edge import build_caller_app
from .data_folder import DataFolder
from .dispatch import run_dispatcher
from .dispatcher_table import DispatcherTable
from .edge_connection import EdgeLimits
from .gauges import run_gauges
from .grant_history import GrantHistory, observe_grants
from .group import deliver_message
from .group_commit import answer_propose
from .group_members import answer_join, run_group
from .group_reader import answer_fetch, answer_fetch_snapshot
from .group_start import start_group
from .group_state import Group
from .host_state import HostState
from .http_address import split_address
from .http_edge import edge_runner
from .leader_duties import (
    answer_capacity_question,
    answer_renewal,
    run_capacity_reports,
    run_ownership_loop,
    run_placement_loop,
    store_capacity_report,
)
from .lease_renewal import run_lease_renewal
from .logs import log
from .metrics import metrics_from_config
from .operator_edge import add_operator_routes, answer_status
from .operator_queries import answer_query
from .peer_link import PeerHandlers, PeerStream
from .peer_network import PeerNetwork
from .planned_stop import drain
from .readiness import run_readiness
from .request_path import serve_peer
from .settings import Settings
from .upstream_edge import add_upstream_routes
from .write_guard import guarded_client

EDGE_STOP_TIMEOUT_S = 1.0
LISTEN_BACKLOG = 1024


async def run_daemon(settings: Settings) -> None:
    """Run a host until SIGTERM or SIGINT, then stop it gracefully."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    log_loop_failures(loop)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    async with guarded_client() as http:
        state = build_host(settings, http)
        await state.network.start()
        runners = await _start_edges(state)
        tasks = [
            asyncio.create_task(coroutine)
            for coroutine in _background_coroutines(state, http)
        ]
        log("started", incarnation=state.incarnation)
        stop_task = asyncio.create_task(stopping.wait())
        done, _ = await asyncio.wait(
            [stop_task, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        failed = [task for task in done if task is not stop_task]
        if not failed:
            await drain(state)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for runner in runners:
            await runner.cleanup()
        await state.network.stop()
        log("stopped")
        for task in failed:
            task.result()


def build_host(settings: Settings, http: aiohttp.ClientSession) -> HostState:
    """Return the state of a host, recovered from its data folder if it has one."""
    folder = None
    incarnation = secrets.token_hex(8)
    if settings.data_dir is not None:
        folder = DataFolder.from_config(
            settings.data_dir, settings.host.name, settings.is_bootstrap
        )
        incarnation = folder.incarnation
    handlers = PeerHandlers(_handler_not_set, _handler_not_set, _handler_not_set)
    network = PeerNetwork.from_config(
        settings.host, settings.seeds, settings.peer_token, handlers
    )
    groups: dict[str, Group] = {}
    history = GrantHistory()
    for name in groups_of_host(settings.host, settings.seeds):
        group = start_group(
            name, settings.host, settings.seeds, network, folder, incarnation
        )
        if name.startswith(DATA_CENTRE_PREFIX):
            group.apply_command = observe_grants(group.apply_command, history)
        groups[name] = group
    state = HostState(
        settings,
        # Leases belong to a process, not to a data folder. A new process starts without
        # the leases and the dispatcher state of the previous process.
        secrets.token_hex(8),
        network,
        groups,
        metrics_from_config(settings.statsd_address, settings.host.name),
        DispatcherTable(),
        grant_history=history,
    )
    _set_handlers(state, http, handlers)
    return state


def _set_handlers(
    state: HostState, http: aiohttp.ClientSession, handlers: PeerHandlers
) -> None:
    async def on_call(message: Any, peer: str) -> Any:
        match message:
            case RenewLeases():
                return answer_renewal(state, message)
            case Propose() if message.group in state.groups:
                return await answer_propose(state.groups[message.group], message)
            case FetchLog() if message.group in state.groups:
                return await answer_fetch(state.groups[message.group], message)
            case FetchSnapshot() if message.group in state.groups:
                return answer_fetch_snapshot(state.groups[message.group], message)
            case JoinGroup() if message.group in state.groups:
                return answer_join(state.groups[message.group], message)
            case CapacityReport():
                return store_capacity_report(state, message)
            case CapacityQuestion():
                return answer_capacity_question(state, message)
            case HostStatusRequest():
                return await answer_status(state, message)
            case ListUpstreams() | FindGrant() | ListQuarantine() | LiftQuarantine():
                return await answer_query(state, message)
            case ListHotKeys():
                return await answer_query(state, message)
        return None

    def on_notice(message: Any, peer: str) -> None:
        group = state.groups.get(getattr(message, "group", ""))
        if group is not None:
            deliver_message(group, message)

    async def on_stream(stream: PeerStream, head: Any, peer: str) -> None:
        if isinstance(head, RequestHead):
            await serve_peer(state, stream, head)
        else:
            await stream.cancel()

    handlers.on_call = on_call
    handlers.on_notice = on_notice
    handlers.on_stream = on_stream


def _handler_not_set(*arguments: Any) -> Any:
    raise RuntimeError("a peer message arrived before the host was built")


def _background_coroutines(state: HostState, http: aiohttp.ClientSession) -> list[Any]:
    coroutines: list[Any] = [run_group(group) for group in state.groups.values()]
    coroutines += [
        run_lease_renewal(state),
        run_dispatcher(state, http),
        run_placement_loop(state),
        run_readiness(state),
        run_gauges(state),
    ]
    for name, group in state.groups.items():
        if name.startswith(DATA_CENTRE_PREFIX):
            coroutines += [
                run_ownership_loop(state, group),
                run_capacity_reports(state, group),
            ]
    return coroutines


async def _start_edges(state: HostState) -> list[web.AppRunner]:
    control = web.Application()
    add_upstream_routes(control, state)
    add_operator_routes(control, state)
    callers = build_caller_app(state)
    settings = state.settings
    servers = (
        (callers, settings.caller_address, settings.n_caller_connections_max),
        (control, settings.control_address, settings.n_control_connections_max),
    )
    runners = []
    for app, address, n_connections_max in servers:
        limits = EdgeLimits(n_connections_max)
        runner = edge_runner(app, limits, EDGE_STOP_TIMEOUT_S)
        await runner.setup()
        ip, port = split_address(address)
        await web.TCPSite(
            runner, ip, port, reuse_address=True, backlog=LISTEN_BACKLOG
        ).start()
        runners.append(runner)
    return runners
