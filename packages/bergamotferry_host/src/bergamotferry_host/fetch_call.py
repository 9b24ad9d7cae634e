"""Asks a control host to fetch a large answer and relay it at the rate of this link.

The nearest control host is chosen, since an answer that it relays crosses no more data
centres than a direct one. A control host in another region refuses. After a refusal, or
if the control host can't be reached, this host sends the request itself, and asks the
next nearest control host for a while. If the link breaks after the control host
received the request, it is uncertain whether the upstream runs the request, as with a
broken connection to the upstream.
"""

import asyncio
from typing import cast, get_args

from multidict import CIMultiDict

from bergamotferry.fleet_messages import (
    FetchAnswer,
    FetchedHead,
    FetchLate,
    FetchRefused,
)

from .answer_framing import is_final_status
from .answer_streaming import (
    AnswerHead,
    CallerAnswer,
    hold_or_stream,
    stream_answer,
)
from .bounded_answer import AnswerTooLargeError
from .clock import now_ns
from .codec import encodable_text
from .direct_call import (
    ANSWER_SLACK_S,
    ANSWER_TOO_LARGE,
    DirectSend,
    SendOutcome,
    SendResult,
    is_streamed,
    notice_in,
)
from .direct_host import DirectHost
from .following.nearness import nearest_first
from .logs import log_warning
from .peer_link import PeerStream, PeerUnreachable, StreamBroken

# A control host that lost an answer or could not be reached is not asked to fetch for
# this long.
FAILURE_PAUSE_S = 2.0
# Waiting longer for the link to open costs more time than the fetch saves.
OPEN_TIMEOUT_S = 0.3
# Control hosts beyond the nearest two may be farther away than the upstreams.
N_CANDIDATES = 2
# A larger request body costs a narrow link as much outbound as the fetch saves inbound.
FETCH_REQUEST_BODY_MAX_BYTES = 16_384
NO_STATUS = "the status of the answer is none"
_SEND_RESULTS: tuple[str, ...] = get_args(SendResult)


def fetching_host_for(host: DirectHost) -> str:
    """Return the name of the control host that may fetch for this host.

    Returns an empty string if there is none, or if this host's link is not limited.
    """
    if host.link.bytes_per_ms == 0:
        return ""
    now = now_ns()
    nearest = nearest_first(host, host.control_hosts)[:N_CANDIDATES]
    for name in nearest:
        if now >= host.fetch_pauses_ns.get(name, 0):
            return name
    return ""


async def fetch_answer(
    host: DirectHost, control_host: str, send: DirectSend, wait_ms: float
) -> SendOutcome | None:
    """Have a control host send a request and relay the answer.

    Returns None if this host should send the request itself.

    Parameters
    ----------
    host : DirectHost
        This host.
    control_host : str
        The name of the control host to ask.
    send : DirectSend
        The request and its upstream.
    wait_ms : float
        How long, in ms, the fetch may queue for a busy cross-region link.

    Raises
    ------
    CallerLeftError
        If the caller left while its answer was streamed.
    """
    began_ns = now_ns()
    stream: PeerStream | None = None
    try:
        async with asyncio.timeout(send.time_left_ms / 1000 + ANSWER_SLACK_S):
            stream = await _open_stream(host, control_host, send, wait_ms)
            if stream is None:
                return None
            head = await stream.receive_head()
            if isinstance(head, FetchLate):
                return SendOutcome("too_late", head.why, through=control_host)
            if not isinstance(head, FetchedHead) or head.result not in _SEND_RESULTS:
                _handle_refusal(host, control_host, head)
                return None
            if head.result == "answered" and not is_final_status(head.status):
                return SendOutcome("broken", NO_STATUS, through=control_host)
            outcome = _to_outcome(head, began_ns, control_host)
            outcome.notice = notice_in(
                head.status, CIMultiDict(head.headers), host.settings.headers
            )
            await _receive_body(stream, send, outcome)
            return outcome
    except TimeoutError:
        return SendOutcome(
            "broken", "TimeoutError", is_timeout=True, through=control_host
        )
    except AnswerTooLargeError:
        return SendOutcome("broken", ANSWER_TOO_LARGE, through=control_host)
    except (StreamBroken, PeerUnreachable) as error:
        _pause_fetching(host, control_host, str(error), FAILURE_PAUSE_S)
        return SendOutcome("broken", type(error).__name__, through=control_host)
    finally:
        if stream is not None:
            await stream.cancel()


async def _open_stream(
    host: DirectHost, control_host: str, send: DirectSend, wait_ms: float
) -> PeerStream | None:
    """Send the request to a control host; return None if it can't be reached."""
    message = FetchAnswer(
        send.method,
        send.target,
        send.address,
        send.upstream,
        send.request_id,
        tuple(
            (str(name), encodable_text(value)) for name, value in send.headers.items()
        ),
        send.body,
        send.time_left_ms,
        wait_ms,
        send.distance,
        host.settings.data_centre,
        host.settings.link_mbps,
    )
    try:
        async with asyncio.timeout(OPEN_TIMEOUT_S):
            return await host.network.open_stream(
                control_host, message, is_ended=True, traffic_class="bulk"
            )
    except (PeerUnreachable, StreamBroken, TimeoutError) as error:
        reason = str(error) or "no link in time"
        _pause_fetching(host, control_host, reason, FAILURE_PAUSE_S)
        return None


def _to_outcome(head: FetchedHead, began_ns: int, control_host: str) -> SendOutcome:
    return SendOutcome(
        cast(SendResult, head.result),
        head.detail,
        head.status,
        CIMultiDict(head.headers),
        n_bytes=head.n_bytes,
        report=head.report,
        cold_left_ms=head.cold_left_ms,
        is_timeout=head.is_timeout,
        head_ns=began_ns + int(head.took_ms * 1e6),
        through=control_host,
    )


async def _receive_body(
    stream: PeerStream, send: DirectSend, outcome: SendOutcome
) -> None:
    """Stream the body to the caller, or keep it whole if it may not be streamed."""
    if outcome.result != "answered":
        return
    n_bytes = outcome.n_bytes
    if await is_streamed(send, outcome.status, n_bytes):
        caller = cast(CallerAnswer, send.caller)
        await stream_answer(caller, outcome.status, outcome.headers, n_bytes, stream)
    elif send.caller is None:
        outcome.body = b"".join([part async for part in stream])
    else:
        head = AnswerHead(outcome.status, outcome.headers, n_bytes)
        outcome.body = await hold_or_stream(send.caller, head, stream) or b""


def _handle_refusal(host: DirectHost, control_host: str, head: object) -> None:
    if not isinstance(head, FetchRefused):
        _pause_fetching(host, control_host, "unknown reply", FAILURE_PAUSE_S)
    elif head.pause_s > 0:
        _pause_fetching(host, control_host, head.why, head.pause_s)


def _pause_fetching(
    host: DirectHost, control_host: str, reason: str, pause_s: float
) -> None:
    host.fetch_pauses_ns[control_host] = now_ns() + int(pause_s * 1e9)
    log_warning("answers not fetched", peer=control_host, why=reason, pause_s=pause_s)
