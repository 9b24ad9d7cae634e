"""State of the usage caps at a host that accepts requests."""

import asyncio
import secrets
from collections import Counter, deque
from dataclasses import dataclass, field

from bergamotferry.fleet_metrics import LabelValues
from bergamotferry.quota.caps import QuotaRules
from bergamotferry.quota.leases import counted_window_ns
from bergamotferry.quota.questions import HostShares
from bergamotferry.quota.shares import AccountShare

from ..fleet_settings import FleetBounds, FleetSettings


@dataclass(slots=True)
class QuotaState:
    """The shares of a host, and the requests that wait for one.

    ``waiting`` has, by account, a future for each request that waits: its result is the
    generation of a permit, or None if nothing is left of the cap. ``work_event`` is set
    when a request begins to wait. ``replied_ns`` is when the last question was sent
    whose reply has arrived. ``unanswered_ns`` is since when none has been answered,
    and ``is_overdue_logged`` whether that was logged. ``counts`` counts questions by
    result, and ``refusals`` the requests refused over the cap by account.
    """

    shares: HostShares
    waiting: dict[str, "deque[asyncio.Future[int | None]]"] = field(
        default_factory=dict
    )
    work_event: asyncio.Event = field(default_factory=asyncio.Event)
    replied_ns: int = 0
    unanswered_ns: int = 0
    is_overdue_logged: bool = False
    counts: Counter[LabelValues] = field(default_factory=Counter)
    refusals: Counter[LabelValues] = field(default_factory=Counter)

    @classmethod
    def from_settings(cls, settings: FleetSettings) -> "QuotaState":
        """Return the state of a process that has just started and holds no share."""
        window_ns = counted_window_ns(quota_rules(settings.bounds))
        return cls(HostShares(settings.name, secrets.token_hex(8), window_ns))


@dataclass(slots=True)
class Permit:
    """The right of one request to be sent, if its account has a cap.

    Without a ``share`` there is none. A permit is "taken" until the request is written
    to an upstream, and "under way" while another host sends it. ``used_ns`` is when it
    was used.
    """

    share: AccountShare | None = None
    account: str = ""
    generation: int = 0
    status: str = "none"
    used_ns: int = 0


def quota_rules(bounds: FleetBounds) -> QuotaRules:
    """Return the operators' requirements on caps."""
    return QuotaRules(bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack)
