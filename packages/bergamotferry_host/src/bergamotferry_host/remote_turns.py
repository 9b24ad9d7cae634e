"""Turns of fetches of large answers from other regions, limited by `remote_window`."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from bergamotferry.remote_window import RemoteWindow, may_fetch_remote, remote_wait_ms


@dataclass(slots=True)
class RemoteTurns:
    """Turns of cross-region fetches: some are held, the others wait in order."""

    window: RemoteWindow = field(default_factory=RemoteWindow)
    n_in_progress: int = 0
    waiting: "deque[asyncio.Future[None]]" = field(default_factory=deque)


async def take_remote_turn(turns: RemoteTurns, wait_max_ms: float) -> bool:
    """Wait up to ``wait_max_ms`` for a turn; return whether one was granted.

    Returns False at once if the expected wait is longer.
    """
    wait_ms = remote_wait_ms(turns.window, turns.n_in_progress, len(turns.waiting))
    if wait_ms > wait_max_ms:
        return False
    turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    turns.waiting.append(turn)
    _grant_turns(turns)
    try:
        async with asyncio.timeout(wait_max_ms / 1000):
            await turn
    except TimeoutError:
        # The turn may have been granted at the moment of the timeout.
        return _withdraw_unless_granted(turns, turn)
    except asyncio.CancelledError:
        if _withdraw_unless_granted(turns, turn):
            end_remote_turn(turns)
        raise
    return True


def end_remote_turn(turns: RemoteTurns) -> None:
    """End a turn, and grant the waiting turns that the window then allows."""
    turns.n_in_progress -= 1
    _grant_turns(turns)


def _withdraw_unless_granted(turns: RemoteTurns, turn: "asyncio.Future[None]") -> bool:
    """Remove an abandoned turn from the queue; return whether it was granted before."""
    if turn.done() and not turn.cancelled():
        return True
    if turn in turns.waiting:
        turns.waiting.remove(turn)
    return False


def _grant_turns(turns: RemoteTurns) -> None:
    while turns.waiting and may_fetch_remote(turns.window, turns.n_in_progress):
        turn = turns.waiting.popleft()
        # A turn that was abandoned just now may still be in the queue.
        if not turn.done():
            turns.n_in_progress += 1
            turn.set_result(None)
