"""Assembles and runs a control host, and stops it gracefully."""

import asyncio
import secrets
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import web

from bergamotferry.fleet_messages import (
    AskCurrent,
    AskRunPermit,
    AskSessions,
    CurrentReply,
    ExchangeCrashes,
    FetchAnswer,
    FollowFleet,
    KeyWorkNews,
    ReadIndex,
    SessionNews,
)
from bergamotferry.fleet_metrics import Histogram
from bergamotferry.hot_holders.overload import HotHolders
from bergamotferry.messages import (
    FetchLog,
    FetchSnapshot,
    JoinGroup,
    LeaveGroup,
    Propose,
)
from bergamotferry.protection.run_permits import PermitTable
from bergamotferry.quota.messages import AskShares
from bergamotferry.service_load.rows import LoadSums, WorkReport

from .accounts.confirmation import run_confirmations
from .answer_fetching import AnswerFetching, fetch_for_host, finish_fetching
from .clock import now_ns
from .control_metrics import control_families
from .crash_exchange import answer_exchange
from .crash_store import load_crash_records, run_crash_store
from .data_folder import DataFolder
from .direct_call import open_direct_session
from .fleet_control import (
    ControlHost,
    answer_read_index,
    is_current,
    run_table_updates,
    start_fleet_group,
)
from .fleet_feed import (
    answer_follow,
    answer_sessions,
    apply_session_news,
    run_crash_exchanges,
    run_session_news,
)
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
from .group import deliver_message, transfer_leadership
from .group_commit import answer_propose
from .group_leave import answer_leave, leave_voters
from .group_members import answer_join, run_group
from .group_reader import answer_fetch, answer_fetch_snapshot
from .hot_holders.naming import record_hot_holders, run_hot_holders
from .key_reports import record_key_work_news
from .logs import log
from .metrics_page import measure_loop_delays, process_metric_families, serve_metrics
from .peer_link import PeerHandlers, PeerStream, StreamHandler
from .protection.permit_ledger import answer_run_permit
from .quota.share_ledger import LeaderQuota, answer_shares, run_share_ledger
from .range_assignment import run_range_assignment
from .range_balance import run_range_balance
from .range_calls import RangeCallNames, open_range_session
from .range_holds import RangeAssignments
from .service_load.load_exchange import record_load_notice, run_load_exchange
from .suspension import run_suspension_watch
from .upstream_connections import connection_families

AddControlRoutes = Callable[[web.Application, ControlHost], None]


async def run_control_host(
    settings: FleetSettings,
    decode_configuration: DecodeConfiguration,
    add_routes: AddControlRoutes,
    call_names: RangeCallNames,
    read_settings: ReadSettings,
) -> None:
    """Run a control host until SIGTERM or SIGINT; SIGHUP reads its seeds again.

    Raises
    ------
    ValueError
        If the settings name no data folder.
    """
    stopping = stop_event()
    if settings.data_dir is None:
        raise ValueError("a control host needs a data folder")
    folder = DataFolder.from_config(
        settings.data_dir, settings.name, settings.is_bootstrap
    )
    handlers = PeerHandlers(reject_call, reject_call, reject_call)
    network = fleet_network(settings, handlers)
    group = start_fleet_group(settings, network, folder)
    host = ControlHost(
        settings, network, group, decode_configuration, secrets.token_hex(8)
    )
    quota = LeaderQuota()
    load_crash_records(host.crashes.table, folder.path)
    session_fetches: set[asyncio.Task[None]] = set()
    reload_on_hangup(read_settings, lambda seeds: group.sources.extend(seeds))
    _set_control_handlers(host, handlers, session_fetches, quota)
    fetching = AnswerFetching()
    async with (
        open_range_session() as http,
        open_direct_session(settings.headers) as fetch_http,
    ):
        handlers.on_stream = _stream_handler(settings, fetching, fetch_http)
        await network.start()
        app = web.Application(client_max_size=0)
        add_routes(app, host)
        runner = await listen(app, settings.control_address, settings)
        assignments = RangeAssignments()
        delays = Histogram()
        metrics = await serve_metrics(
            settings,
            lambda: (
                control_families(host, fetching, quota)
                + connection_families(fetch_http)
                + process_metric_families(delays)
            ),
        )
        log("started", label=settings.label, incarnation=folder.incarnation)
        await _run_until(
            stopping,
            run_group(group),
            run_table_updates(host),
            run_session_news(host),
            run_confirmations(host),
            run_share_ledger(host, quota),
            run_crash_exchanges(host),
            run_load_exchange(host),
            run_hot_holders(host),
            run_crash_store(host.crashes, folder.path),
            run_suspension_watch(host.suspension),
            run_range_assignment(host, http, call_names, assignments),
            run_range_balance(host, http, call_names, assignments),
            measure_loop_delays(delays),
        )
        host.is_stopping = fetching.is_stopping = True
        stop_end_ns = now_ns() + int((settings.bounds.grace_s - STOP_RESERVE_S) * 1e9)
        await transfer_leadership(group)
        remaining_s = (stop_end_ns - now_ns()) / 1e9
        await asyncio.gather(
            leave_voters(group, remaining_s), finish_fetching(fetching, remaining_s)
        )
        await runner.cleanup()
        if metrics is not None:
            await metrics.cleanup()
    await network.stop()
    folder.close()
    log("stopped", label=settings.label)


def _set_control_handlers(
    host: ControlHost,
    handlers: PeerHandlers,
    tasks: set[asyncio.Task[None]],
    quota: LeaderQuota,
) -> None:
    group = host.group
    permits = PermitTable()

    async def on_call(message: Any, peer: str) -> Any:
        match message:
            case AskCurrent():
                return CurrentReply(is_current(host), host.tables.revision)
            case FollowFleet():
                return await answer_follow(host, message)
            case ExchangeCrashes():
                return await answer_exchange(host.crashes, message)
            case AskRunPermit():
                return await answer_run_permit(host, permits, message)
            case AskShares():
                return await answer_shares(host, quota, message)
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
            case LeaveGroup():
                return answer_leave(group, message)
        return None

    def on_notice(message: Any, peer: str) -> None:
        if isinstance(message, SessionNews):
            apply_session_news(host, message, tasks)
        elif isinstance(message, KeyWorkNews):
            record_key_work_news(host, message)
        elif isinstance(message, HotHolders):
            record_hot_holders(host, message)
        elif isinstance(message, WorkReport | LoadSums):
            record_load_notice(host, message, peer)
        elif getattr(message, "group", "") == group.name:
            deliver_message(group, message)

    handlers.on_call = on_call
    handlers.on_notice = on_notice


def _stream_handler(
    settings: FleetSettings, fetching: AnswerFetching, http: aiohttp.ClientSession
) -> StreamHandler:
    async def on_stream(stream: PeerStream, head: Any, peer: str) -> None:
        if isinstance(head, FetchAnswer):
            await fetch_for_host(settings, fetching, http, stream, head, peer)
        else:
            await stream.cancel()

    return on_stream


async def _run_until(stopping: asyncio.Event, *coroutines: Any) -> None:
    """Run coroutines until the stop event, or until one of them fails.

    A failure is raised again.
    """
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    stop_task = asyncio.create_task(stopping.wait())
    done, _ = await asyncio.wait(
        [stop_task, *tasks], return_when=asyncio.FIRST_COMPLETED
    )
    for task in done - {stop_task}:
        task.result()
    # The tasks are not cancelled, since the transfer of leadership that follows needs
    # them. They run until the process ends.
