"""Fetches large answers for hosts with narrow links and relays them at the link's rate.

An upstream sends a large answer as fast as it can. On a narrow link, everything that
arrives later queues behind all of it. A control host has a wide link, so it downloads
the whole answer at once and relays it to the requesting host in small parts, with room
for other answers between them. Answers for one host are relayed one after the other:
each is then complete sooner than if they shared the link.

The number of concurrent fetches from other regions is limited to what the cross-region
link appears to carry (`remote_window`). Further fetches queue here for a turn. A fetch
whose turn would come too late is not started, and the requesting host is notified.

The requesting host has chosen the upstream and is responsible for that choice. The
control host makes no decision, no retry and no record of the request. It only
remembers which upstreams told it that they leave or want a pause, and fetches nothing
from them. A host that is refused sends the request itself.
"""

import asyncio
import contextlib
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import NamedTuple, cast, get_args

import aiohttp
from multidict import CIMultiDict

from bergamotferry.answer_link import (
    PART_BYTES,
    RATE_LIMIT_SHARE,
    AnswerLink,
    take_part,
)
from bergamotferry.direct_placement import Distance
from bergamotferry.fleet_messages import (
    FetchAnswer,
    FetchedHead,
    FetchLate,
    FetchRefused,
)
from bergamotferry.remote_window import record_remote_answer
from bergamotferry.upstream_notice import NO_NOTICE, UpstreamNotice

from .clock import now_ns
from .codec import encodable_text
from .direct_call import ANSWER_TOO_LARGE, DirectSend, SendOutcome, send_direct
from .fleet_settings import DirectHeaders, FleetSettings
from .logs import log_routine
from .peer_stream import PeerStream
from .remote_turns import RemoteTurns, end_remote_turn, take_remote_turn

# Maximum number of answers fetched or held at once; at 90 KB each they take 9 MB.
N_HELD_MAX = 96
# The host that asks for a larger answer fetches it itself.
FETCHED_MAX_BYTES = 1024 * 1024
# How long a refused host should not ask this host again, by the reason of the refusal.
FULL_PAUSE_S = 1.0
STOPPING_PAUSE_S = 10.0
UNSUPPORTED_PAUSE_S = 600.0
# A leaving upstream has ended by then. One that starts again under its name sooner is
# reached by the requesting hosts themselves.
LEAVING_RETENTION_S = 120.0
N_UNAVAILABLE_MAX = 1_024
_DISTANCES: tuple[str, ...] = get_args(Distance)


@dataclass(slots=True)
class HostLink:
    """The link to one requesting host; ``turn`` is held while an answer is relayed.

    ``link`` is limited to the share of the host's rate that large answers may take.
    ``n_users`` counts the answers in progress for the host.
    """

    link: AnswerLink
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)
    n_users: int = 0


@dataclass(slots=True)
class AnswerFetching:
    """Fetches of a control host; ``idle`` is set when the last fetch ends.

    ``remote_turns`` holds the turns of cross-region fetches. ``counts`` counts the
    requested fetches by result. ``unavailable_until_ns`` is, by upstream, until when
    nothing is fetched from it.
    """

    host_links: dict[str, HostLink] = field(default_factory=dict)
    n_held: int = 0
    is_stopping: bool = False
    idle: asyncio.Event = field(default_factory=asyncio.Event)
    remote_turns: RemoteTurns = field(default_factory=RemoteTurns)
    counts: Counter[tuple[str, ...]] = field(default_factory=Counter)
    unavailable_until_ns: dict[str, int] = field(default_factory=dict)


class _FetchedAnswer(NamedTuple):
    """A downloaded answer, its time in the queue and the time of its fetch."""

    head: FetchedHead
    body: bytes
    waited_ms: float
    took_ms: float
    notice: UpstreamNotice


async def fetch_for_host(
    settings: FleetSettings,
    fetching: AnswerFetching,
    http: aiohttp.ClientSession,
    stream: PeerStream,
    message: FetchAnswer,
    peer: str,
) -> None:
    """Fetch an answer for a host and relay it on the stream of its request.

    Raises
    ------
    StreamBroken, PeerUnreachable
        If the host cancelled the stream or can't be reached.
    """
    refused = _refusal(settings, fetching, message)
    if refused is not None:
        fetching.counts["refused",] += 1
        await stream.send_head(refused, is_ended=True)
        return
    fetching.n_held += 1
    host_link = _use_host_link(fetching, peer, message.link_mbps)
    host_link.n_users += 1
    began_ns = now_ns()
    fetched: _FetchedAnswer | None = None
    try:
        fetched = await _fetch_in_turn(fetching, http, settings.headers, message)
        if fetched is not None:
            _record_notice(fetching, message.upstream, fetched.notice)
        if fetched is None:
            late = FetchLate("the way between regions is busy")
            await stream.send_head(late, is_ended=True)
        elif fetched.head.detail == ANSWER_TOO_LARGE:
            too_large = FetchRefused(ANSWER_TOO_LARGE, 0.0)
            await stream.send_head(too_large, is_ended=True)
        else:
            await _relay(host_link, stream, fetched.head, fetched.body)
    finally:
        head = fetched.head if fetched is not None else None
        result = head.result if head is not None else "not_fetched"
        fetching.counts[result,] += 1
        _release_host_link(fetching, peer, host_link)
        log_routine(
            "answer fetched",
            request_id=message.request_id,
            asker=peer,
            upstream=message.upstream,
            result=result,
            detail=head.detail if head is not None else "",
            size_bytes=head.n_bytes if head is not None else 0,
            waited_ms=round(fetched.waited_ms, 1) if fetched is not None else -1,
            fetched_ms=round(fetched.took_ms, 1) if fetched is not None else -1,
            took_ms=round((now_ns() - began_ns) / 1e6, 1),
            n_held=fetching.n_held,
        )


async def finish_fetching(fetching: AnswerFetching, timeout_s: float) -> None:
    """Wait up to ``timeout_s`` for the fetches in progress."""
    if fetching.n_held == 0:
        return
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await fetching.idle.wait()


async def _fetch_in_turn(
    fetching: AnswerFetching,
    http: aiohttp.ClientSession,
    header_names: DirectHeaders,
    message: FetchAnswer,
) -> _FetchedAnswer | None:
    """Fetch an answer, in its turn if cross-region; return None if there is no turn."""
    if message.distance != "far":
        return await _fetch_now(http, header_names, message, 0.0)
    queued_ns = now_ns()
    if not await take_remote_turn(fetching.remote_turns, message.wait_ms):
        return None
    try:
        waited_ms = (now_ns() - queued_ns) / 1e6
        fetched = await _fetch_now(http, header_names, message, waited_ms)
        head = fetched.head
        if head.result == "answered":
            download_ms = fetched.took_ms - head.took_ms
            record_remote_answer(
                fetching.remote_turns.window, head.n_bytes, download_ms, fetched.took_ms
            )
        return fetched
    finally:
        end_remote_turn(fetching.remote_turns)


async def _fetch_now(
    http: aiohttp.ClientSession,
    header_names: DirectHeaders,
    message: FetchAnswer,
    waited_ms: float,
) -> _FetchedAnswer:
    began_ns = now_ns()
    send = DirectSend(
        message.method,
        message.target,
        message.address,
        message.upstream,
        message.request_id,
        CIMultiDict(message.headers),
        message.body,
        message.time_left_ms - waited_ms,
        cast(Distance, message.distance),
        answer_max_bytes=FETCHED_MAX_BYTES,
    )
    outcome = await send_direct(http, header_names, send)
    head = _to_head(outcome, began_ns)
    took_ms = (now_ns() - began_ns) / 1e6
    return _FetchedAnswer(head, outcome.body, waited_ms, took_ms, outcome.notice)


def _record_notice(
    fetching: AnswerFetching, upstream: str, notice: UpstreamNotice
) -> None:
    """Remember until when nothing is fetched from an upstream."""
    if notice == NO_NOTICE:
        return
    now = now_ns()
    until_ns = {
        name: name_until_ns
        for name, name_until_ns in fetching.unavailable_until_ns.items()
        if name_until_ns > now
    }
    wanted_s = LEAVING_RETENTION_S if notice.is_leaving else notice.pause_s
    until_ns[upstream] = max(until_ns.get(upstream, 0), now + int(wanted_s * 1e9))
    if len(until_ns) > N_UNAVAILABLE_MAX:
        del until_ns[next(iter(until_ns))]
    fetching.unavailable_until_ns = until_ns


def _refusal(
    settings: FleetSettings, fetching: AnswerFetching, message: FetchAnswer
) -> FetchRefused | None:
    """Return a refusal if the answer may not be fetched, else None."""
    if fetching.is_stopping:
        return FetchRefused("the host is stopping", STOPPING_PAUSE_S)
    if settings.regions.get(message.data_centre, "") != settings.region:
        return FetchRefused("the asker is in another region", UNSUPPORTED_PAUSE_S)
    if message.link_mbps <= 0 or message.distance not in _DISTANCES:
        return FetchRefused("the request is not understood", UNSUPPORTED_PAUSE_S)
    if fetching.n_held >= N_HELD_MAX:
        return FetchRefused("too many answers are held", FULL_PAUSE_S)
    if now_ns() < fetching.unavailable_until_ns.get(message.upstream, 0):
        return FetchRefused("the upstream leaves or wants a pause", 0.0)
    return None


def _use_host_link(fetching: AnswerFetching, peer: str, link_mbps: float) -> HostLink:
    host_link = fetching.host_links.get(peer)
    if host_link is None:
        link = AnswerLink.from_config(RATE_LIMIT_SHARE * link_mbps)
        host_link = fetching.host_links[peer] = HostLink(link)
    fetching.idle.clear()
    return host_link


def _release_host_link(
    fetching: AnswerFetching, peer: str, host_link: HostLink
) -> None:
    fetching.n_held -= 1
    host_link.n_users -= 1
    if host_link.n_users == 0:
        del fetching.host_links[peer]
    if fetching.n_held == 0:
        fetching.idle.set()


async def _relay(
    host_link: HostLink, stream: PeerStream, head: FetchedHead, body: bytes
) -> None:
    """Send the head, and then the body in parts, in the answer's turn."""
    if not body:
        await stream.send_head(head, is_ended=True)
        return
    parts = deque(
        body[start : start + PART_BYTES] for start in range(0, len(body), PART_BYTES)
    )
    async with host_link.turn:
        await stream.send_head(head)
        await _relay_parts(host_link.link, stream, parts)
    while parts:
        # The stream has no credit left, since the caller does not read. Until there is
        # credit again, other answers may take the turn.
        await stream.send(parts.popleft())
        async with host_link.turn:
            await _relay_parts(host_link.link, stream, parts)
    await stream.end()


async def _relay_parts(
    link: AnswerLink, stream: PeerStream, parts: "deque[bytes]"
) -> None:
    """Send parts at the link's rate until all are sent or the credit is used up."""
    while parts and stream.credit_bytes > 0:
        part = parts.popleft()
        await stream.send(part)
        pause_ms = take_part(link, len(part), now_ns() / 1e6)
        if parts:
            await asyncio.sleep(pause_ms / 1000)


def _to_head(outcome: SendOutcome, began_ns: int) -> FetchedHead:
    headers = outcome.headers or CIMultiDict[str]()
    head_ns = outcome.head_ns or now_ns()
    return FetchedHead(
        outcome.result,
        outcome.detail,
        outcome.status,
        tuple((str(name), encodable_text(value)) for name, value in headers.items()),
        outcome.n_bytes,
        outcome.report,
        outcome.cold_left_ms,
        outcome.is_timeout,
        (head_ns - began_ns) / 1e6,
    )
