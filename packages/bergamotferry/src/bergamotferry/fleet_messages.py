"""Messages between the hosts of a deployment in direct mode."""

from typing import NamedTuple

from .accounts import NOT_CONFIRMED_MS
from .fleet_tables import KeyRange, Retired
from .followers import Follower
from .key_load import KeyWork
from .protection.crash_records import CrashRecord
from .service_load.rows import ServiceLoad
from .upstream_load import LoadReport
from .upstream_sessions import Alive, SessionRow


class FollowFleet(NamedTuple):
    """A host that takes requests polls a control host for changes.

    ``source`` is the process that sent the last `FleetChanges`. The positions
    ``session_change``, ``revision`` and ``configuration_version`` refer to that process
    and mean nothing to another one. ``unlisted`` are the rows of upstreams in use here
    that the control host has not listed: it has started since it heard of them.
    """

    host: str
    data_centre: str
    source: str
    session_change: int
    revision: int
    configuration_version: int
    wait_ms: int
    unlisted: tuple[SessionRow, ...] = ()


class AskCurrent(NamedTuple):
    """A host asks whether a control host is current, before it follows that host."""

    host: str


class CurrentReply(NamedTuple):
    """Whether a control host is in contact with the leader, and its revision."""

    is_current: bool
    revision: int


class FleetChanges(NamedTuple):
    """Changes since the positions of a `FollowFleet`.

    ``is_current`` is true if the sender is in contact with the leader.
    ``configuration_source`` is empty if the follower has that version. ``ranges`` are
    the ranges that changed since the follower's revision; each replaces all ranges that
    it overlaps. ``local_hosts`` are the hosts of the follower's data centre that take
    requests. ``retired`` is what the log records since the follower's revision of
    upstreams that leave; the sender may know no row of them. ``service_loads`` are the
    loads of all services that the sender knows of. ``hot_holders`` are the upstreams
    that are asked for more than they can do for the keys that they hold.
    ``confirmed_age_ms`` is for how long at most the sender's tables may have lacked an
    acknowledged change, when it read them for this reply.
    """

    source: str
    is_current: bool
    session_change: int
    sessions: tuple[SessionRow, ...]
    revision: int
    configuration_version: int
    configuration_source: bytes
    evacuated: tuple[str, ...]
    ranges: tuple[KeyRange, ...]
    control_hosts: tuple[str, ...]
    local_hosts: tuple[str, ...]
    n_hosts_all: int
    retired: tuple[Retired, ...] = ()
    service_loads: tuple[ServiceLoad, ...] = ()
    hot_holders: tuple[str, ...] = ()
    confirmed_age_ms: int = NOT_CONFIRMED_MS


class SessionNews(NamedTuple):
    """Control hosts exchange changed session rows, live upstreams and followers.

    ``followers`` are all hosts that follow the sender; it is empty if the message does
    not report them.
    """

    host: str
    rows: tuple[SessionRow, ...]
    alive: tuple[Alive, ...]
    followers: tuple[Follower, ...]
    control_hosts: tuple[str, ...]


class KeyWorkNews(NamedTuple):
    """Work requested for keys of sharded services since the last such message."""

    rows: tuple[KeyWork, ...]


class ExchangeCrashes(NamedTuple):
    """A host sends its new crash records to a control host and asks for that one's.

    ``source`` is the process that sent the last `CrashChanges`, and ``change`` the
    position in its changes. The reply waits for ``wait_ms`` if there is no change.
    """

    host: str
    source: str
    change: int
    rows: tuple[CrashRecord, ...]
    wait_ms: int


class CrashChanges(NamedTuple):
    """The crash records that changed since the position of an `ExchangeCrashes`."""

    source: str
    change: int
    rows: tuple[CrashRecord, ...]


class AskRunPermit(NamedTuple):
    """A host asks the leader for the right to run a request under suspicion.

    ``row`` is what the host knows of the request. With ``is_end`` the run of an earlier
    permit is over, and ``has_lost_upstream`` is whether it lost the connection to its
    upstream. A control host that doesn't lead passes the message on once.
    """

    host: str
    row: CrashRecord
    is_end: bool = False
    has_lost_upstream: bool = False
    is_forwarded: bool = False


class RunPermitReply(NamedTuple):
    """Whether the host may run the request, and what the leader knows of it."""

    is_granted: bool
    row: CrashRecord


class AskSessions(NamedTuple):
    """Ask a control host for all its session rows."""

    host: str


class SessionsReply(NamedTuple):
    """All session rows of a control host."""

    rows: tuple[SessionRow, ...]


class ReadIndex(NamedTuple):
    """Ask the leader for a log index that covers all entries acknowledged so far."""

    group: str


class ReadIndexReply(NamedTuple):
    """The log index, or -1 if the host can't confirm one; ``leader`` is a hint."""

    log_index: int
    leader: str


class FetchAnswer(NamedTuple):
    """A host with a narrow link has a control host fetch a large answer for it.

    The requesting host chose the upstream and is responsible for that choice.
    ``headers`` are the request headers as sent to the upstream. ``time_left_ms`` is the
    time until the caller's deadline, and ``wait_ms`` the part of it that may pass
    before the request is sent. ``distance`` is that of the upstream; ``data_centre``
    and ``link_mbps``, the bandwidth of the link, are those of the requesting host.
    """

    method: str
    target: str
    address: str
    upstream: str
    request_id: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    time_left_ms: float
    wait_ms: float
    distance: str
    data_centre: str
    link_mbps: float


class FetchLate(NamedTuple):
    """Nothing was sent, and an answer would be too late by any path."""

    why: str


class FetchRefused(NamedTuple):
    """The requesting host should send the request itself.

    Nothing was sent, or the answer is too large to relay. The host should send no
    further fetch to this control host for ``pause_s``.
    """

    why: str
    pause_s: float


class FetchedHead(NamedTuple):
    """Result of the send to the upstream; if it answered, the body follows as data.

    ``took_ms`` is the time from the send to the head of the upstream's answer, and
    ``n_bytes`` the size of the body.
    """

    result: str
    detail: str
    status: int
    headers: tuple[tuple[str, str], ...]
    n_bytes: int
    report: LoadReport | None
    cold_left_ms: int
    is_timeout: bool
    took_ms: float
