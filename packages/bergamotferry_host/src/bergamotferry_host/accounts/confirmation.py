"""A control host confirms that its tables hold every acknowledged change.

It asks the leader for its read index at intervals, and reports the age of its last
confirmation to its followers. That age counts from before the leader was asked, since
later changes may be missing from the index.
"""

import asyncio

from bergamotferry.accounts import NOT_CONFIRMED_MS, confirmed_age_ms

from ..clock import now_ns
from ..fleet_control import ControlHost, read_index
from ..group import wait_applied
from ..logs import log, log_warning
from ..peer_link import PeerUnreachable

# The age adds to that of the followers' last poll, and both together stay well below
# the bounds on revocation and on configurations, which are seconds.
CONFIRM_INTERVAL_S = 0.2
# A leader that takes longer is asked again.
CONFIRM_TIMEOUT_S = 0.4
# Longer than the questions that are under way when a leader changes.
UNCONFIRMED_LOGGED_NS = 1_000_000_000


async def run_confirmations(host: ControlHost) -> None:
    """Confirm the state at intervals, until cancelled."""
    while True:
        if needs_confirmation(host):
            await confirm_state(host)
        await asyncio.sleep(CONFIRM_INTERVAL_S)


def needs_confirmation(host: ControlHost) -> bool:
    """Return whether settings or configuration call for confirmations."""
    return host.settings.bounds.is_fail_closed or bool(host.configuration.accounts)


def reported_age_ms(host: ControlHost) -> int:
    """Return the age of the last confirmation, as followers get it.

    Without a need it is not reported, so that hosts of the version before, which can't
    read it, may follow this host.
    """
    if not needs_confirmation(host):
        return NOT_CONFIRMED_MS
    return confirmed_age_ms(host.confirmed_ns, now_ns())


async def confirm_state(host: ControlHost) -> None:
    """Ask the leader once for its read index, and wait until it is applied here."""
    asked_ns = now_ns()
    reason = "this host has not caught up"
    try:
        index = await read_index(host, CONFIRM_TIMEOUT_S)
    except PeerUnreachable as error:
        index, reason = -1, str(error)
    if index < 0:
        _log_unconfirmed(host, reason if reason else "no leader")
    elif await wait_applied(host.group, index, CONFIRM_TIMEOUT_S) < index:
        _log_unconfirmed(host, reason)
    else:
        _record(host, asked_ns)


def _record(host: ControlHost, asked_ns: int) -> None:
    if host.is_unconfirmed_logged:
        host.is_unconfirmed_logged = False
        age_ms = confirmed_age_ms(host.confirmed_ns, now_ns())
        log("state confirmed again", age_ms=age_ms, revision=host.tables.revision)
    host.confirmed_ns = max(host.confirmed_ns, asked_ns)


def _log_unconfirmed(host: ControlHost, reason: str) -> None:
    is_recent = now_ns() - host.confirmed_ns <= UNCONFIRMED_LOGGED_NS
    if host.is_unconfirmed_logged or is_recent:
        return
    host.is_unconfirmed_logged = True
    log_warning(
        "state not confirmed",
        why=reason,
        age_ms=confirmed_age_ms(host.confirmed_ns, now_ns()),
        leader=host.group.leader,
        revision=host.tables.revision,
    )
