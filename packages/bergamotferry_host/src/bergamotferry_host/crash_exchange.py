"""Spreads the records of requests that end upstreams to every host.

Each host keeps all records in memory and exchanges them with control hosts: it sends
what changed since the last exchange, and gets what changed there. The control hosts
exchange records with each other in the same way. No record goes through the replicated
log, so records spread while the group has no leader, and a storm of crashes costs no
commit.

A host exchanges with the control host that it follows, by long polling. While it
follows none, it exchanges with all control hosts, since these may be cut off from each
other. A control host that has restarted gets all records again from each host.
"""

import asyncio
import contextlib
import secrets
from collections.abc import Iterable
from dataclasses import dataclass, field

from bergamotferry.fleet_messages import CrashChanges, ExchangeCrashes
from bergamotferry.protection.crash_records import (
    CrashRecord,
    CrashTable,
    KnownEnds,
    expire_records,
    logged_fingerprint,
    record_end,
    record_row,
    record_success,
    rows_after,
)

from .background import start_task
from .clock import now_ns
from .logs import log
from .peer_link import PeerUnreachable
from .peer_network import PeerNetwork

# Short, so that a host whose control host freezes asks another one in time.
POLL_WAIT_MS = 1_000
REPLY_TIMEOUT_S = 0.9
# Pause between two rounds of a host that follows no control host, or one that doesn't
# answer, perhaps because it runs an older version.
ROUND_PAUSE_S = 0.5
# Changes within this time of the first one share a message.
BATCH_DELAY_S = 0.03
# Control hosts exchange at least this often, so that one that starts gets all records.
RESYNC_INTERVAL_S = 2.0


@dataclass(slots=True)
class PeerPosition:
    """How far an exchange with a peer has got, in its changes and in this host's."""

    source: str = ""
    n_received: int = 0
    n_sent: int = 0


@dataclass(slots=True)
class CrashExchange:
    """The crash records of this host, and its exchanges with other hosts.

    ``change_event`` is set, and replaced by a new event, whenever a record changes.
    ``in_flight`` are the peers with which an exchange is under way.
    """

    table: CrashTable = field(default_factory=CrashTable)
    process_id: str = field(default_factory=lambda: secrets.token_hex(8))
    change_event: asyncio.Event = field(default_factory=asyncio.Event)
    positions: dict[str, PeerPosition] = field(default_factory=dict)
    in_flight: set[str] = field(default_factory=set)


def count_end(exchange: CrashExchange, fingerprint: str, known: KnownEnds) -> None:
    """Count the end of an upstream under a request, if it is news."""
    if record_end(exchange.table, fingerprint, known, now_ns()):
        n_ends = exchange.table.entries[fingerprint].known.n_ends
        log(
            "request ends upstreams",
            fingerprint=logged_fingerprint(fingerprint),
            n_ends=n_ends,
        )
        _wake(exchange)


def count_success(exchange: CrashExchange, fingerprint: str) -> None:
    """Clear a request that an upstream has run to its end, if it was suspected."""
    if record_success(exchange.table, fingerprint, now_ns()):
        log("request cleared", fingerprint=logged_fingerprint(fingerprint))
        _wake(exchange)


async def answer_exchange(
    exchange: CrashExchange, message: ExchangeCrashes
) -> CrashChanges:
    """Record a peer's rows, and return what changed here since its position."""
    record_rows(exchange, message.rows)
    is_same_source = message.source == exchange.process_id
    if is_same_source and message.change >= exchange.table.change:
        change_event = exchange.change_event
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(message.wait_ms / 1000):
                await change_event.wait()
                await asyncio.sleep(BATCH_DELAY_S)
    change = message.change if is_same_source else 0
    rows = rows_after(exchange.table, change, now_ns())
    return CrashChanges(exchange.process_id, exchange.table.change, rows)


async def exchange_with(
    exchange: CrashExchange, network: PeerNetwork, peer: str, wait_ms: int
) -> None:
    """Exchange records with one control host.

    Raises
    ------
    PeerUnreachable
        If the control host did not answer.
    """
    position = exchange.positions.setdefault(peer, PeerPosition())
    n_sent = exchange.table.change
    rows = rows_after(exchange.table, position.n_sent, now_ns())
    message = ExchangeCrashes(
        network.own_name, position.source, position.n_received, rows, wait_ms
    )
    timeout_s = wait_ms / 1000 + REPLY_TIMEOUT_S
    reply = await network.call(peer, message, timeout_s, "records")
    if not isinstance(reply, CrashChanges):
        raise PeerUnreachable(f"{peer}: no crash records")
    # A new process at the peer has only the rows of this exchange.
    has_all = reply.source == position.source or position.n_sent == 0
    position.n_sent = n_sent if has_all else 0
    position.source, position.n_received = reply.source, reply.change
    is_unchanged = exchange.table.change == position.n_sent
    record_rows(exchange, reply.rows)
    if is_unchanged:
        # What the peer has just sent is not sent back to it.
        position.n_sent = exchange.table.change


async def poll_until_changed(
    exchange: CrashExchange, network: PeerNetwork, peer: str
) -> None:
    """Wait for changes of a control host; end early if a record changes here.

    Raises
    ------
    PeerUnreachable
        If the control host did not answer.
    """
    changed = asyncio.create_task(exchange.change_event.wait())
    poll = asyncio.create_task(exchange_with(exchange, network, peer, POLL_WAIT_MS))
    tasks: set[asyncio.Task[object]] = {changed, poll}
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        if poll.done():
            poll.result()
        else:
            await asyncio.sleep(BATCH_DELAY_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def wait_for_change(exchange: CrashExchange, timeout_s: float) -> None:
    """Wait until a record changes, for at most ``timeout_s`` seconds."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await exchange.change_event.wait()
            await asyncio.sleep(BATCH_DELAY_S)


def start_exchanges(
    exchange: CrashExchange,
    network: PeerNetwork,
    peers: Iterable[str],
    tasks: set[asyncio.Task[None]],
) -> None:
    """Start an exchange with each peer that has none under way."""
    for peer in peers:
        if peer not in exchange.in_flight:
            exchange.in_flight.add(peer)
            start_task(_exchange_once(exchange, network, peer), tasks)


def forget_old_records(exchange: CrashExchange) -> None:
    """Forget the records that are too old to matter."""
    expire_records(exchange.table, now_ns())


async def _exchange_once(
    exchange: CrashExchange, network: PeerNetwork, peer: str
) -> None:
    try:
        await exchange_with(exchange, network, peer, 0)
    except PeerUnreachable:
        # The next round tries again; lost peers are logged by the group.
        return
    finally:
        exchange.in_flight.discard(peer)


def record_rows(exchange: CrashExchange, rows: Iterable[CrashRecord]) -> None:
    """Record rows of another host, and wake the exchanges if there is news."""
    now = now_ns()
    news = [record_row(exchange.table, row, now) for row in rows]
    if any(news):
        _wake(exchange)


def _wake(exchange: CrashExchange) -> None:
    exchange.change_event.set()
    exchange.change_event = asyncio.Event()
