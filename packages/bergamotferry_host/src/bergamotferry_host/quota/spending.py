"""Lets a request be sent only with a permit, if its account has a cap.

A request takes its permit once its body is read, and may wait for it. The permit is
used when the request is written to an upstream for the first time; if that never
happens, it goes to the next request.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from bergamotferry.accounts import Account
from bergamotferry.outcomes import Refused
from bergamotferry.quota.caps import has_cap
from bergamotferry.quota.leases import LEASE_NS
from bergamotferry.quota.questions import share_of
from bergamotferry.quota.shares import (
    AccountShare,
    begin_use,
    cancel_use,
    end_use,
    is_permit_valid,
    record_demand,
    return_permit,
    take_permit,
    use_permit,
)
from bergamotferry.result_codes import ResultCode

from ..clock import now_ns
from ..direct_host import DirectHost
from ..logs import log_routine
from .state import Permit, QuotaState

NS_PER_MS = 1_000_000
# Longest wait of a request for the leader's reply, and the same as a share of the time
# that its caller has left. The rest is left for the request, or for a caller retry.
WAIT_MAX_S = 0.4
WAIT_SHARE_MAX = 0.4
# A retry later than this takes another permit. Its request counted when it was written
# first, so all that are refused by full upstreams and run later together would exceed
# the cap in the window of the retries. Of an account with 167 requests a second and a
# tolerance of 120, 42 move by this time, and 60 are left free.
RETRY_NS = 250 * NS_PER_MS
# The same for a retry or a hedge when it is written: only a host that was frozen takes
# this long to write it.
RETRY_WRITE_NS = LEASE_NS


async def allow_by_cap(
    host: DirectHost,
    permit: Permit,
    account: Account | None,
    time_left_ms: float,
    request_id: str,
) -> Refused | None:
    """Take a permit for a request whose account has a cap, or return its refusal."""
    if account is None or not has_cap(account):
        return None
    state = host.quota
    share = share_of(state.shares, account.name)
    now = now_ns()
    record_demand(share, now)
    generation = take_permit(share, now)
    if generation is None and now < share.refused_until_ns:
        return _over_cap(state, account.name, share)
    if generation is None:
        wait_s = max(0.0, min(WAIT_MAX_S, WAIT_SHARE_MAX * time_left_ms / 1000))
        outcome = await _wait_for_permit(state, account.name, wait_s)
        if isinstance(outcome, Refused):
            return outcome
        generation = outcome
        log_routine(
            "waited for a share",
            request_id=request_id,
            account=account.name,
            waited_ms=round((now_ns() - now) / NS_PER_MS, 1),
        )
    permit.share, permit.account = share, account.name
    permit.generation, permit.status = generation, "taken"
    return None


async def allow_retry(
    host: DirectHost,
    permit: Permit,
    account: Account | None,
    time_left_ms: float,
    request_id: str,
) -> Refused | None:
    """Take another permit if that of a request was used long ago, or refuse it."""
    if permit.status != "used" or now_ns() - permit.used_ns <= RETRY_NS:
        return None
    return await allow_by_cap(host, permit, account, time_left_ms, request_id)


def void_permit_refusal(permit: Permit) -> Refused | None:
    """Return the refusal of a request whose permit is void, or None if it is not."""
    if permit.share is None or permit.status != "taken":
        return None
    if is_permit_valid(permit.share, permit.generation, now_ns()):
        return None
    detail = f"the share of account {permit.account} expired while the request waited"
    return Refused(ResultCode.STATE_TOO_OLD, detail)


def may_write(permit: Permit) -> bool:
    """Use the permit of a request that is written now; return whether it may be."""
    share, now = permit.share, now_ns()
    if share is None:
        return True
    if permit.status == "under way":
        permit.used_ns = now
        return True
    if permit.status == "used":
        return now - permit.used_ns <= RETRY_WRITE_NS
    if permit.status != "taken" or not use_permit(share, permit.generation, now):
        return False
    permit.status, permit.used_ns = "used", now
    return True


@dataclass(slots=True)
class FetchUse:
    """The use of a permit for a fetch; ``was_sent`` is false if surely nothing was."""

    is_allowed: bool
    was_sent: bool = True


@contextlib.contextmanager
def use_for_fetch(permit: Permit) -> Iterator[FetchUse]:
    """Use a permit while a control host fetches the answer of a request.

    When the control host sends the request is not known, so it counts as sent when the
    fetch has ended.
    """
    share = permit.share
    if share is None or permit.status != "taken":
        yield FetchUse(is_allowed=may_write(permit))
        return
    began_ns = now_ns()
    use = FetchUse(begin_use(share, permit.generation, began_ns))
    if not use.is_allowed:
        yield use
        return
    permit.status = "under way"
    try:
        yield use
    finally:
        if use.was_sent or permit.used_ns >= began_ns:
            end_use(share, permit.generation, now_ns())
            permit.status, permit.used_ns = "used", now_ns()
        else:
            cancel_use(share, permit.generation, now_ns())
            permit.status = "taken"


def release_permit(state: QuotaState, permit: Permit) -> None:
    """Return the permit of a request that has ended without a send."""
    if permit.share is not None and permit.status == "taken":
        return_permit(permit.share, permit.generation)
        permit.status = "none"
        serve_waiting(state, permit.account)


def serve_waiting(state: QuotaState, account: str) -> None:
    """Give the permits of an account to the requests that wait, in order."""
    share, now = share_of(state.shares, account), now_ns()
    waiting = state.waiting.get(account)
    while waiting:
        generation = take_permit(share, now)
        if generation is None:
            return
        waiting.popleft().set_result(generation)


def refuse_waiting(state: QuotaState, account: str) -> None:
    """Refuse the requests that wait, since nothing is left of their account's cap."""
    waiting = state.waiting.get(account)
    while waiting:
        waiting.popleft().set_result(None)


def n_waiting(state: QuotaState) -> dict[str, int]:
    """Return how many requests wait, by account."""
    return {name: len(waiting) for name, waiting in state.waiting.items() if waiting}


async def _wait_for_permit(
    state: QuotaState, account: str, wait_s: float
) -> int | Refused:
    """Wait for a permit; return its generation, or the refusal of the request."""
    share = share_of(state.shares, account)
    future: asyncio.Future[int | None] = asyncio.get_running_loop().create_future()
    waiting = state.waiting.setdefault(account, deque())
    waiting.append(future)
    state.work_event.set()
    try:
        await asyncio.wait((future,), timeout=wait_s)
    except asyncio.CancelledError:
        if future.done() and (generation := future.result()) is not None:
            return_permit(share, generation)
            serve_waiting(state, account)
        raise
    finally:
        if not future.done():
            waiting.remove(future)
    if not future.done():
        detail = f"no reply on the cap of account {account} within {wait_s:.2f} s"
        return Refused(ResultCode.STATE_TOO_OLD, f"{detail}, {_age_text(share)}")
    generation = future.result()
    return generation if generation is not None else _over_cap(state, account, share)


def _over_cap(state: QuotaState, account: str, share: AccountShare) -> Refused:
    state.refusals[account,] += 1
    detail = f"account {account} has used up its cap, {_age_text(share)}"
    return Refused(ResultCode.ACCOUNT_OVER_LIMIT, detail)


def _age_text(share: AccountShare) -> str:
    """Return how old the state is on which a decision was based, for a refusal."""
    if not share.replied_ns:
        return "nothing was granted yet"
    return f"as of {(now_ns() - share.replied_ns) // NS_PER_MS} ms ago"
