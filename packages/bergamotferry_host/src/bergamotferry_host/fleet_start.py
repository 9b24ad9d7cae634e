"""What every host of a deployment that sends directly needs to start and to stop."""

import asyncio
import signal
from collections.abc import Callable
from typing import Any

from aiohttp import web

from bergamotferry.configuration import Configuration, ConfigurationError
from bergamotferry.records import HostAddress

from .background import log_loop_failures
from .fleet_settings import FleetSettings
from .http_address import split_address
from .http_edge import EdgeLimits, edge_runner
from .logs import log, log_warning
from .peer_link import PeerHandlers
from .peer_network import PeerNetwork

DecodeConfiguration = Callable[[bytes], Configuration | list[ConfigurationError]]
# Settings as they stand now, or all that is wrong with them.
ReadSettings = Callable[[], FleetSettings | list[str]]

LISTEN_BACKLOG = 1024
# What is left of the grace period when the last connections are ended.
STOP_RESERVE_S = 0.8
# Descriptors for peers, upstreams and files, beside callers' connections.
DESCRIPTORS_KEPT = 400


def fleet_address(settings: FleetSettings) -> HostAddress:
    """Return a host's own address for the peer network."""
    peer_address = f"{settings.name}:{settings.peer_port}"
    return HostAddress(
        settings.name,
        settings.data_centre,
        settings.region,
        peer_address,
        settings.data_dir is not None,
    )


def fleet_network(settings: FleetSettings, handlers: PeerHandlers) -> PeerNetwork:
    """Return the links of a host; it begins with the seeds and learns of others."""
    network = PeerNetwork.from_config(
        fleet_address(settings), (fleet_address(settings),), settings.token, handlers
    )
    network.learned_port = settings.peer_port
    for seed in settings.seeds:
        network.address_of(seed)
    return network


async def listen(
    app: web.Application, address: str, settings: FleetSettings
) -> web.AppRunner:
    """Serve an application at an address, within the host's descriptors."""
    n_connections_max = max(64, settings.n_descriptors_max - DESCRIPTORS_KEPT)
    runner = edge_runner(app, EdgeLimits(n_connections_max), STOP_RESERVE_S)
    await runner.setup()
    ip, port = split_address(address)
    site = web.TCPSite(runner, ip, port, reuse_address=True, backlog=LISTEN_BACKLOG)
    await site.start()
    return runner


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    log_loop_failures(loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    return stopping


def reload_on_hangup(
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


def takes_no_calls(*arguments: Any) -> Any:
    """Stand in for handlers of calls that never come."""
    raise RuntimeError("the host takes no calls")
