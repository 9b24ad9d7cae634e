"""Detects that an upstream's process ended, and which requests it was running.

A connection that breaks proves little: links reset connections, and so do upstreams
that are full or that break off one answer. The loss of a connection therefore counts as
the end of the process only with a proof: soon after the loss the address refuses a
connection, another process answers there, or the upstream's next incarnation reports.
An upstream that is silent, or that had said that it leaves, has not ended this way.

The losses of one upstream wait here for such a proof. The first loss starts a check of
the address; every later send, load probe and heartbeat may prove the end as well. An
answer of the upstream disproves it. A process ends only once, so requests that are sent
after the first loss were not running as it ended.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal, NamedTuple

from bergamotferry.protection.crash_records import KnownEnds, logged_fingerprint

from .address_check import refuses_connections
from .clock import now_ns
from .logs import log, log_routine

# A proof that arrives later than this after the loss may have another cause.
PROOF_WINDOW_NS = 5_000_000_000
# A process that ends closes its listening socket together with its connections.
CHECK_TIMEOUT_S = 0.25
# Longest wait of a request for this check before it is sent elsewhere.
CHECK_WAIT_S = 0.1
# Losses kept for one upstream; it can't run more requests of one host at once.
N_LOSSES_MAX = 64
# How the client library and the peer links report that a connection broke.
_CONNECTION_LOSSES = frozenset(
    {
        "ServerDisconnectedError",
        "ClientOSError",
        "ClientConnectionResetError",
        "ClientPayloadError",
        "ConnectionResetError",
        "BrokenPipeError",
        # A kept connection broke, and the library tried to send a second time.
        "SentTwiceError",
        # The control host that fetched the answer lost its connection.
        "StreamBroken",
    }
)

EndProof = Literal["connection refused", "other process", "next incarnation"]


class InterruptedRun(NamedTuple):
    """A request that an upstream was running when their connection broke.

    ``known`` are the earlier ends that were known when the run began, at ``sent_ns``.
    """

    request_id: str
    fingerprint: str
    known: KnownEnds
    sent_ns: int


@dataclass(slots=True)
class _Losses:
    """Runs that were lost with an upstream at ``address``, from ``first_ns`` on."""

    address: str
    first_ns: int
    runs: list[InterruptedRun] = field(default_factory=list)
    check: "asyncio.Task[None] | None" = None


@dataclass(slots=True)
class EndWatch:
    """Connection losses that wait for a proof, by upstream, and the ends proved.

    ``on_end`` is called for each request that an upstream was running as it ended.
    """

    on_end: Callable[[InterruptedRun], None]
    losses: dict[str, _Losses] = field(default_factory=dict)
    n_ends: int = 0


def is_connection_loss(result: str, detail: str) -> bool:
    """Return whether the result of a send says that its connection broke."""
    return result == "broken" and detail in _CONNECTION_LOSSES


def record_connection_loss(
    watch: EndWatch, upstream: str, address: str, run: InterruptedRun
) -> None:
    """Record that the connection of a running request broke, and check the address."""
    now = now_ns()
    losses = watch.losses.get(upstream)
    if losses is None:
        losses = watch.losses[upstream] = _Losses(address, now)
    elif now - losses.first_ns > PROOF_WINDOW_NS:
        losses.runs.clear()
        losses.first_ns = now
    if run.sent_ns > losses.first_ns or len(losses.runs) >= N_LOSSES_MAX:
        return
    losses.runs.append(run)
    if losses.check is None:
        losses.check = asyncio.create_task(_check_address(watch, upstream, losses))


async def wait_for_check(watch: EndWatch, upstream: str) -> None:
    """Wait for the check that a connection loss started, if it is still running."""
    losses = watch.losses.get(upstream)
    if losses is not None and losses.check is not None:
        await asyncio.wait({losses.check}, timeout=CHECK_WAIT_S)


def record_proof(watch: EndWatch, upstream: str, proof: EndProof) -> None:
    """Record that an upstream's process has ended; does nothing without a loss."""
    losses = watch.losses.get(upstream)
    if losses is None or not losses.runs:
        return
    runs, losses.runs = losses.runs, []
    if now_ns() - losses.first_ns > PROOF_WINDOW_NS:
        return
    watch.n_ends += 1
    log("upstream ended", upstream=upstream, proof=proof, n_running=len(runs))
    for run in runs:
        log_routine(
            "upstream ended under request",
            request_id=run.request_id,
            fingerprint=logged_fingerprint(run.fingerprint),
            upstream=upstream,
        )
        watch.on_end(run)


def record_address_in_use(watch: EndWatch, address: str, upstream: str) -> None:
    """Record that an upstream reports from an address, perhaps that of an ended one."""
    for name, losses in list(watch.losses.items()):
        if losses.address == address and name != upstream:
            record_proof(watch, name, "other process")


def record_life(watch: EndWatch, upstream: str, sent_ns: int) -> None:
    """Record that an upstream has answered what was sent at ``sent_ns``.

    If that was after its first loss, the loss was not the end of its process.
    """
    losses = watch.losses.get(upstream)
    if losses is not None and sent_ns > losses.first_ns:
        del watch.losses[upstream]


def drop_old_losses(watch: EndWatch) -> None:
    """Forget the losses for which no proof has come in time."""
    now = now_ns()
    for upstream, losses in list(watch.losses.items()):
        if now - losses.first_ns > PROOF_WINDOW_NS:
            del watch.losses[upstream]


async def _check_address(watch: EndWatch, upstream: str, losses: _Losses) -> None:
    try:
        if await refuses_connections(losses.address, CHECK_TIMEOUT_S):
            record_proof(watch, upstream, "connection refused")
    finally:
        losses.check = None
