"""State of a control host: heartbeats, operators' commands and the fleet group.

A control host acknowledges a command only after the command is committed. A heartbeat
in phase "ready" is soft state and needs no commit. A heartbeat in phase "draining" is
committed before it is acknowledged, so that the retirement survives the loss of the
control host.
"""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

from bergamotferry.commands import Command
from bergamotferry.configuration import Configuration, ConfigurationError
from bergamotferry.configuration_text import compress_text, decompress_text
from bergamotferry.fleet_commands import (
    RetireUpstream,
    SetConfiguration,
)
from bergamotferry.fleet_messages import ReadIndex, ReadIndexReply
from bergamotferry.fleet_metrics import LabelValues
from bergamotferry.fleet_tables import FleetTables, apply_fleet_command, find_retired
from bergamotferry.followers import Followers
from bergamotferry.hot_holders.overload import KnownHotHolders
from bergamotferry.key_load import KeyLoads
from bergamotferry.messages import Member, Membership, OrderOrigin
from bergamotferry.order_conflicts import find_order_conflict
from bergamotferry.outcomes import Accepted, Refused, result_code
from bergamotferry.replication import Replica
from bergamotferry.replication.voter_choice import GLOBAL_GROUP
from bergamotferry.result_codes import ResultCode
from bergamotferry.service_load.sums import LoadTable
from bergamotferry.upstream_sessions import (
    Heartbeat,
    SessionRow,
    Sessions,
    apply_retired,
    record_heartbeat,
)

from .clock import now_ns
from .crash_exchange import CrashExchange
from .data_folder import BOOTSTRAP_INCARNATION, DataFolder
from .fleet_settings import FleetSettings
from .fleet_start import DecodeConfiguration
from .following.host_lists import SentLists
from .group import wait_applied
from .group_commit import commit
from .group_start import recover_group
from .group_state import Group, has_applied_own_term
from .logs import log, log_warning
from .peer_link import PeerUnreachable
from .peer_network import PeerNetwork
from .suspension import SuspensionWatch, has_just_resumed

COMMIT_TIMEOUT_S = 0.8
READ_TIMEOUT_S = 0.8
APPLY_TIMEOUT_S = 0.5
# A replica with leader contact within this time has all but the newest commits.
LEADER_CONTACT_MAX_AGE_NS = 500_000_000


@dataclass(slots=True)
class ControlHost:
    """State of one control host.

    ``change_event`` is set, and replaced by a new event, whenever followers have
    changes to fetch. ``changed_rows`` are the session rows to be sent to the other
    control hosts. ``incarnations_since_digest`` are the incarnations, by upstream,
    whose heartbeats arrived since the last digest. ``command_counts`` counts the
    commands proposed here, by command and result code. ``key_work`` is the work in
    slot-milliseconds, by service and bucket of keys, that was reported to this host and
    that it has not yet forwarded to the leader. ``key_loads`` is the load that this
    host recorded as the leader. ``crashes`` are the records of requests that end
    upstreams. ``load_table`` is the load of services that hosts report. ``began_ns`` is
    when this process started, and ``suspension`` records when it was last suspended.
    ``sent_lists`` are the lists of hosts that each follower was sent last, and
    ``hot_holders`` the overloaded holders of keys. ``confirmed_ns`` is a time as of
    which the tables held every acknowledged command, 0 if none is known, and
    ``is_unconfirmed_logged`` is set while that is logged as too long ago.
    ``order_numbers`` yields the numbers of the orders that this host takes.
    """

    settings: FleetSettings
    network: PeerNetwork
    group: Group
    decode_configuration: DecodeConfiguration
    process_id: str
    sessions: Sessions = field(default_factory=Sessions)
    change_event: asyncio.Event = field(default_factory=asyncio.Event)
    changed_rows: dict[str, SessionRow] = field(default_factory=dict)
    incarnations_since_digest: dict[str, int] = field(default_factory=dict)
    followers: Followers = field(default_factory=Followers)
    control_hosts: set[str] = field(default_factory=set)
    configuration: Configuration = field(default_factory=lambda: Configuration(0))
    is_stopping: bool = False
    command_counts: Counter[LabelValues] = field(default_factory=Counter)
    n_heartbeats: int = 0
    key_work: dict[tuple[str, int], float] = field(default_factory=dict)
    key_loads: KeyLoads = field(default_factory=KeyLoads)
    crashes: CrashExchange = field(default_factory=CrashExchange)
    load_table: LoadTable = field(default_factory=LoadTable)
    began_ns: int = field(default_factory=now_ns)
    suspension: SuspensionWatch = field(default_factory=SuspensionWatch)
    sent_lists: dict[str, SentLists] = field(default_factory=dict)
    hot_holders: KnownHotHolders = field(default_factory=KnownHotHolders)
    confirmed_ns: int = 0
    is_unconfirmed_logged: bool = False
    order_numbers: "itertools.count[int]" = field(default_factory=itertools.count)

    @property
    def tables(self) -> FleetTables:
        """The fleet tables at this host's applied index."""
        tables: FleetTables = self.group.tables
        return tables


def start_fleet_group(
    settings: FleetSettings, network: PeerNetwork, folder: DataFolder
) -> Group:
    """Return the fleet group's replica on this host, recovered from its data folder.

    The seeds are the first voters. A host counts itself among them only at the first
    start of a deployment; at any other start the membership comes from the log.
    """
    seeds = sorted(settings.seeds)
    if len(seeds) % 2 == 0:
        # An even number of voters tolerates no more losses than one voter fewer.
        seeds = seeds[:-1]
    initial = Membership(
        tuple(Member(seed, BOOTSTRAP_INCARNATION, True) for seed in seeds), ()
    )
    own_member = Member(settings.name, folder.incarnation, True)
    membership = initial if own_member in initial.voters else Membership((), ())
    rng = random.Random(f"{own_member.host} {own_member.incarnation}")
    replica = Replica(GLOBAL_GROUP, own_member, membership, rng)
    group = Group(
        GLOBAL_GROUP,
        FleetTables(),
        apply_fleet_command,
        network,
        list(settings.seeds),
        replica,
        is_eligible_member=True,
        # A majority must survive the simultaneous loss of ``n_lost_disks_max`` disks.
        n_voters=2 * settings.bounds.n_lost_disks_max + 1,
        find_conflict=find_order_conflict,
    )
    recover_group(group, folder)
    return group


def is_current(host: ControlHost) -> bool:
    """Return whether this host leads and is caught up, or has recent leader contact."""
    group = host.group
    if group.replica.role == "leader":
        return is_caught_up_leader(host)
    is_recent = now_ns() - group.replica.leader_contact_ns < LEADER_CONTACT_MAX_AGE_NS
    return is_recent and group.replica.leader is not None


def wake_followers(host: ControlHost) -> None:
    """Wake every follower request that waits for changes."""
    host.change_event.set()
    host.change_event = asyncio.Event()


async def run_table_updates(host: ControlHost) -> None:
    """Apply each new revision to sessions and configuration, until cancelled."""
    group = host.group
    revision = -1
    evacuated: set[str] = set()
    while True:
        if host.tables.revision != revision:
            revision = host.tables.revision
            apply_retired(host.sessions, host.tables, now_ns())
            _apply_configuration(host)
            if host.tables.evacuated != evacuated:
                evacuated = set(host.tables.evacuated)
                _log_evacuated(evacuated, revision)
            wake_followers(host)
        async with group.applied:
            while host.tables.revision == revision:
                await group.applied.wait()


async def record_upstream_heartbeat(
    host: ControlHost, heartbeat: Heartbeat
) -> Accepted | Refused:
    """Record a heartbeat; commit the retirement first if the upstream drains.

    A heartbeat of a service that no configuration names is acknowledged and proves
    nothing: it may come from another writer under the name of an upstream.
    """
    host.n_heartbeats += 1
    known = find_retired(host.tables, heartbeat.name, heartbeat.born_ms)
    if heartbeat.phase == "draining" and known is None:
        outcome = await commit_and_count(
            host, RetireUpstream(heartbeat.name, heartbeat.born_ms, "draining")
        )
        if isinstance(outcome, Refused):
            return outcome
        log("upstream drains", upstream=heartbeat.name, born_ms=heartbeat.born_ms)
    if not _names_a_service(host, heartbeat.service):
        return Accepted(0)
    is_changed = record_heartbeat(host.sessions, host.tables, heartbeat, now_ns())
    session = host.sessions.rows.get(heartbeat.name)
    if session is not None and session.row.born_ms == heartbeat.born_ms:
        host.incarnations_since_digest[heartbeat.name] = heartbeat.born_ms
        if is_changed:
            host.changed_rows[heartbeat.name] = session.row
            wake_followers(host)
            log(
                "upstream changed",
                upstream=heartbeat.name,
                service=heartbeat.service,
                phase=session.row.phase,
                sequence=heartbeat.sequence,
                cold_left_ms=heartbeat.cold_left_ms,
            )
    return Accepted(0)


def _names_a_service(host: ControlHost, service: str) -> bool:
    """Return whether a service is configured, or no configuration is known yet."""
    return host.configuration.version == 0 or service in host.configuration.services


async def set_configuration(
    host: ControlHost, source: bytes
) -> Accepted | Refused | list[ConfigurationError]:
    """Commit a configuration, or return all of its errors without committing."""
    decoded = host.decode_configuration(source)
    if isinstance(decoded, list):
        return decoded
    outcome = await commit_and_count(
        host, SetConfiguration(decoded.version, compress_text(source))
    )
    log(
        "configuration ordered",
        version=decoded.version,
        n_routes=len(decoded.routes),
        n_accounts=len(decoded.accounts),
        code=result_code(outcome),
    )
    return outcome


async def read_configuration(host: ControlHost) -> bytes | Refused:
    """Return the newest committed configuration by a linearizable read.

    Refuses the read if no leader confirms its read index, if this host does not apply
    that index in time, or if there is no configuration yet.
    """
    try:
        index = await read_index(host, READ_TIMEOUT_S)
    except PeerUnreachable as error:
        log_warning("leader not reached for a read", why=str(error))
        index = -1
    if index < 0:
        return Refused(ResultCode.NO_LEADER, "no leader vouches for the newest state")
    if await wait_applied(host.group, index, READ_TIMEOUT_S) < index:
        return Refused(ResultCode.NO_LEADER, "this host has not caught up")
    compressed = host.tables.configuration_source
    if not compressed:
        return Refused(ResultCode.HOST_NOT_READY, "there is no configuration yet")
    return decompress_text(compressed)


def answer_read_index(host: ControlHost) -> ReadIndexReply:
    """Return a log index that covers every acknowledged command.

    The index is -1 if this host can't give one: it does not lead, or it has not yet
    applied an entry of its own term and may miss commits of earlier terms.
    """
    if is_caught_up_leader(host):
        return ReadIndexReply(host.group.replica.commit_index, host.settings.name)
    leader = host.group.leader
    return ReadIndexReply(-1, leader if leader != host.settings.name else "")


def is_caught_up_leader(host: ControlHost) -> bool:
    """Return whether this host leads and its tables hold every acknowledged command."""
    return host.group.is_leader and has_applied_own_term(host.group)


async def read_index(host: ControlHost, timeout_s: float) -> int:
    """Return a log index that covers every acknowledged command, or -1.

    Raises
    ------
    PeerUnreachable
        If the leader does not answer in time.
    """
    own = answer_read_index(host)
    if own.log_index >= 0 or not own.leader:
        return own.log_index
    reply = await host.network.call(own.leader, ReadIndex(GLOBAL_GROUP), timeout_s)
    return reply.log_index if isinstance(reply, ReadIndexReply) else -1


async def commit_and_count(
    host: ControlHost, command: Command, origin: OrderOrigin | None = None
) -> Accepted | Refused:
    """Commit a command, wait until it is applied here, and count its result code.

    ``origin`` is that of an operator's order. The command may be acknowledged only
    after this returns. It is refused if it may have waited while this host was
    suspended (see `suspension`).
    """
    outcome: Accepted | Refused | None = refuse_if_suspended(host)
    if outcome is None:
        outcome = await _commit_and_apply(host, command, origin)
    host.command_counts[type(command).__name__, str(result_code(outcome))] += 1
    return outcome


def refuse_if_suspended(host: ControlHost) -> Refused | None:
    """Return a refusal of what is read now, if this host has just been suspended."""
    if not has_just_resumed(host.suspension, now_ns()):
        return None
    detail = "this host was suspended and may have read an old order"
    return Refused(ResultCode.HOST_NOT_READY, detail)


async def _commit_and_apply(
    host: ControlHost, command: Command, origin: OrderOrigin | None
) -> Accepted | Refused:
    outcome = await commit(host.group, command, COMMIT_TIMEOUT_S, origin)
    if isinstance(outcome, Accepted):
        async with host.group.applied:
            try:
                async with asyncio.timeout(APPLY_TIMEOUT_S):
                    await host.group.applied.wait_for(
                        lambda: host.tables.revision >= outcome.revision
                    )
            except TimeoutError:
                return Refused(ResultCode.NO_LEADER, "this host has not caught up")
        apply_retired(host.sessions, host.tables, now_ns())
        wake_followers(host)
    return outcome


def _log_evacuated(evacuated: set[str], revision: int) -> None:
    log("evacuations in force", data_centres=sorted(evacuated), revision=revision)


def _apply_configuration(host: ControlHost) -> None:
    tables = host.tables
    if tables.configuration_version == host.configuration.version:
        return
    decoded = host.decode_configuration(decompress_text(tables.configuration_source))
    if isinstance(decoded, list):
        log_warning("committed configuration not understood", errors=len(decoded))
        return
    host.configuration = decoded
    log("configuration in force", version=decoded.version)
