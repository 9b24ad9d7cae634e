"""Start and stop functions shared by all hosts of a deployment in direct mode."""

import asyncio
import signal
from collections.abc import Callable
from typing import Any

from aiohttp import web

from bergamotferry.configuration import Configuration, ConfigurationError
from bergamotferry.memory.ledger import MemoryLedger
from bergamotferry.records import HostAddress

from .background import log_loop_failures
from .edge_connection import EdgeLimits
from .fleet_settings import FleetSettings
from .http_address import split_address
from .http_edge import edge_runner
from .logs import log, log_warning
from .peer_link import PeerHandlers
from .peer_network import PeerNetwork

DecodeConfiguration = Callable[[bytes], Configuration | list[ConfigurationError]]
# Reads the settings again; returns them, or all of their errors.
ReadSettings = Callable[[], FleetSettings | list[str]]

LISTEN_BACKLOG = 1024
# Largest head that a host in direct mode reads, whatever the configuration allows.
HEAD_MAX_BYTES = 256 * 1024
N_HEAD_LINES_MAX = 1024
# The last connections are closed this long before the end of the grace period.
STOP_RESERVE_S = 0.8
# File descriptors reserved for peers, upstreams and files; the others are available
# to callers' connections.
N_DESCRIPTORS_RESERVED = 400


def fleet_address(settings: FleetSettings) -> HostAddress:
    """Return the address of a host in the peer network."""
    peer_address = f"{settings.name}:{settings.peer_port}"
    return HostAddress(
        settings.name,
        settings.data_centre,
        settings.region,
        peer_address,
        settings.data_dir is not None,
    )


def fleet_network(settings: FleetSettings, handlers: PeerHandlers) -> PeerNetwork:
    """Return the peer network of a host, which knows only the seeds at first.

    The network learns the addresses of other hosts later, and assumes that they use the
    same peer port.
    """
    network = PeerNetwork.from_config(
        fleet_address(settings), (fleet_address(settings),), settings.token, handlers
    )
    network.learned_port = settings.peer_port
    for seed in settings.seeds:
        network.address_of(seed)
    return network


def direct_limits(n_connections_max: int) -> EdgeLimits:
    """Return the limits of an edge of a host in direct mode.

    The configuration limits the heads of callers further, see `direct_request`.
    """
    return EdgeLimits(
        n_connections_max,
        head_line_max_bytes=HEAD_MAX_BYTES,
        n_head_lines_max=N_HEAD_LINES_MAX,
        head_max_bytes=HEAD_MAX_BYTES,
    )


async def listen(
    app: web.Application,
    address: str,
    settings: FleetSettings,
    is_stopping: Callable[[], bool] | None = None,
    memory: MemoryLedger | None = None,
) -> web.AppRunner:
    """Serve an application at an address, within the host's file descriptor limit.

    ``is_stopping`` and ``memory`` are those of `http_edge.edge_runner`.
    """
    n_connections_max = max(64, settings.n_descriptors_max - N_DESCRIPTORS_RESERVED)
    limits = direct_limits(n_connections_max)
    runner = edge_runner(app, limits, STOP_RESERVE_S, is_stopping, memory)
    await runner.setup()
    ip, port = split_address(address)
    site = web.TCPSite(runner, ip, port, reuse_address=True, backlog=LISTEN_BACKLOG)
    await site.start()
    return runner


def stop_event() -> asyncio.Event:
    """Return an event that is set on SIGTERM and SIGINT."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    log_loop_failures(loop)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    return stopping


def reload_on_hangup(
    read_settings: ReadSettings, add_seeds: Callable[[tuple[str, ...]], None]
) -> None:
    """Install a SIGHUP handler that reads the settings again.

    Only a change of the seeds takes effect while a host runs. Settings with errors are
    logged and ignored.
    """

    def reload() -> None:
        settings = read_settings()
        if isinstance(settings, list):
            log_warning("settings not taken", errors=settings)
            return
        add_seeds(settings.seeds)
        log("settings read again", seeds=settings.seeds)

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)


def reject_call(*arguments: Any) -> Any:
    """Raise; used as the handler of calls that this host never receives."""
    raise RuntimeError("this host has no handler for calls of this kind")
