"""Messages between hosts of the system.

Each is an immutable row; the host's codec carries it as CBOR with the name of its type.
Times on the wire are durations or values that only their sender reads back.
"""

from typing import NamedTuple

from .commands import Command
from .hot_key_messages import KeyRate, ListHotKeys
from .records import HostAddress, QuarantineRecord, ShardId, UpstreamSession


class Member(NamedTuple):
    """A member of a group: a host and the incarnation of its memory or data folder."""

    host: str
    incarnation: str
    is_durable: bool


class Membership(NamedTuple):
    """The members of a group; learners get the log but have no vote."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...]


class LogEntry(NamedTuple):
    """An entry of a group's replicated log."""

    log_index: int
    term: int
    payload: Command | Membership


class RequestVote(NamedTuple):
    """A candidate asks for a vote, or, before that, whether it would get one."""

    group: str
    term: int
    candidate: Member
    last_index: int
    last_term: int
    is_pre_vote: bool
    is_transfer: bool


class VoteReply(NamedTuple):
    """The answer to a `RequestVote`."""

    group: str
    term: int
    voter: Member
    is_granted: bool
    is_pre_vote: bool


class AppendEntries(NamedTuple):
    """Entries for a follower, or a heartbeat without any; the reply echoes sent_ns."""

    group: str
    term: int
    leader: Member
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_ns: int


class AppendReply(NamedTuple):
    """How far a follower's log agrees with the leader's."""

    group: str
    term: int
    follower: Member
    is_accepted: bool
    match_index: int
    sent_ns: int


class InstallSnapshot(NamedTuple):
    """A part of a snapshot, for a follower whose entries are no longer in the log."""

    group: str
    term: int
    leader: Member
    last_index: int
    last_term: int
    membership: Membership
    offset_bytes: int
    data: bytes
    is_last: bool
    sent_ns: int


class SnapshotReply(NamedTuple):
    """How many bytes of a snapshot a follower holds."""

    group: str
    term: int
    follower: Member
    last_index: int
    received_bytes: int
    is_installed: bool
    sent_ns: int


class TimeoutNow(NamedTuple):
    """The leader hands leadership over: stand for election at once."""

    group: str
    term: int
    leader: Member


ReplicationMessage = (
    RequestVote
    | VoteReply
    | AppendEntries
    | AppendReply
    | InstallSnapshot
    | SnapshotReply
    | TimeoutNow
)


class Propose(NamedTuple):
    """Ask the leader of a group to commit a command."""

    group: str
    command: Command


class ProposeReply(NamedTuple):
    """The outcome of a proposal; ``leader`` is a hint where to ask instead."""

    code: int
    detail: str
    revision: int
    leader: str


class FetchLog(NamedTuple):
    """A host that is no member asks for committed entries after an index."""

    group: str
    after_index: int
    wait_ms: int


class FetchLogReply(NamedTuple):
    """Committed entries, or the index of a snapshot when the entries are gone."""

    group: str
    entries: tuple[LogEntry, ...]
    snapshot_index: int
    snapshot: bytes
    commit_index: int
    leader: str


class FetchSnapshot(NamedTuple):
    """A host whose entries are gone asks for a part of a group's snapshot."""

    group: str
    last_index: int
    offset_bytes: int


class FetchSnapshotReply(NamedTuple):
    """A part of the newest snapshot, which may be another than was asked for."""

    group: str
    last_index: int
    last_term: int
    membership: Membership
    size_bytes: int
    offset_bytes: int
    data: bytes


class JoinGroup(NamedTuple):
    """A host that is no voter, or hears no leader, names itself to the leader."""

    group: str
    member: Member


class JoinReply(NamedTuple):
    """Whether the leader noted it, else who leads, and when to ask again."""

    is_leader: bool
    leader: str
    retry_ms: int


class RenewLeases(NamedTuple):
    """A host renews its own lease and those of the sessions it heard from.

    ``drained`` names upstreams (with the dispatcher's epoch) and ``released`` shards on
    which it sends nothing more; ``latencies`` are service, upstream and observed ms;
    on ``bulk_upstreams`` it has bulk in flight; ``hot_keys`` and ``upstream_rates``
    tell the load of its own upstreams.
    """

    host: HostAddress
    incarnation: str
    data_centre: str
    is_stopping: bool
    sessions: tuple[tuple[str, int], ...]
    drained: tuple[tuple[str, int], ...]
    released: tuple[tuple[ShardId, int], ...]
    latencies: tuple[tuple[str, str, float], ...] = ()
    bulk_upstreams: tuple[str, ...] = ()
    hot_keys: tuple[KeyRate, ...] = ()
    upstream_rates: tuple[tuple[str, float], ...] = ()


class RenewLeasesReply(NamedTuple):
    """Remaining lease times, counted by the holder from sending the renewal.

    The holder acts only once it has applied its data centre's log to ``since_index``.
    ``session_ages`` tell a host that has just started how long upstreams have run.
    """

    is_leader: bool
    leader: str
    host_lease_ms: int
    session_lease_ms: int
    lost_sessions: tuple[str, ...]
    since_index: int
    session_ages: tuple[tuple[str, int, int], ...] = ()


class CapacityReport(NamedTuple):
    """A data centre's leader tells the global leader what it can serve."""

    data_centre: str
    n_slots: tuple[tuple[str, int], ...]
    released: tuple[tuple[ShardId, int], ...]


class CapacityQuestion(NamedTuple):
    """Ask the global leader what would be left without a data centre."""

    data_centre: str


class CapacityAfterOut(NamedTuple):
    """What a service would have left if a data centre were taken out."""

    service: str
    domain: str
    n_slots_now: int
    n_slots_after: int
    n_shards_without_place: int


class CapacityAnswer(NamedTuple):
    """The answer to a question; ``leader`` is a hint where to ask instead."""

    is_leader: bool
    leader: str
    rows: tuple[CapacityAfterOut, ...]


class HostStatusRequest(NamedTuple):
    """Ask a host for its state."""

    wait_revision: int
    wait_ms: int


class GroupStatus(NamedTuple):
    """A group as one host sees it."""

    group: str
    role: str
    term: int
    leader: str
    commit_index: int
    applied_index: int
    voters: tuple[str, ...]


class HostStatus(NamedTuple):
    """A host's own account of its state.

    ``settled_groups`` are those whose replica here has applied an entry of its own
    term, and so knows all that earlier leaders committed.
    """

    host: str
    data_centre: str
    region: str
    incarnation: str
    revision: int
    is_stopping: bool
    groups: tuple[GroupStatus, ...]
    settled_groups: tuple[str, ...]
    is_ready: bool


class RequestHead(NamedTuple):
    """The head of a request on its way to the dispatcher; the body follows in parts."""

    request_id: str
    account: str
    service: str
    route: str
    key: str
    shard: ShardId
    method: str
    deadline_ms: int
    idempotency_key: str
    content_type: str
    range_header: str
    if_match: str
    n_hops: int
    revision: int


class ResponseHead(NamedTuple):
    """The head of an answer or a refusal; the body follows in parts."""

    code: int
    detail: str
    status: int
    headers: tuple[tuple[str, str], ...]
    dispatcher: str
    epoch: int
    is_replayed: bool


class ListUpstreams(NamedTuple):
    """An operator asks, through a host, for the upstreams of a data centre."""


class UpstreamRow(NamedTuple):
    """An upstream's session, its dispatcher and how many shards it owns."""

    session: UpstreamSession
    dispatcher: str
    n_shards: int


class UpstreamList(NamedTuple):
    """The upstreams of one data centre."""

    data_centre: str
    rows: tuple[UpstreamRow, ...]


class FindGrant(NamedTuple):
    """An operator asks who owns a shard; the key itself is never sent."""

    shard: ShardId


class GrantReport(NamedTuple):
    """Who owns a shard, as a host of its data centre knows it.

    ``held_since_s`` is the time of day at which that host saw the grant committed, or 0
    if it started later. ``n_exceptions`` counts the keys with a shard of their own.
    """

    data_centre: str
    host: str
    upstream: str
    epoch: int
    state: str
    dispatcher: str
    dispatcher_epoch: int
    held_since_s: int
    reason: str
    n_exceptions: int = 0


class ListQuarantine(NamedTuple):
    """An operator asks which requests a data centre suspects or refuses."""


class QuarantineList(NamedTuple):
    """The suspected and quarantined requests of one data centre."""

    data_centre: str
    rows: tuple[QuarantineRecord, ...]


class LiftQuarantine(NamedTuple):
    """An operator lets a request run again; the reply is a result code."""

    fingerprint: str


OperatorQuery = (
    ListUpstreams | FindGrant | ListQuarantine | LiftQuarantine | ListHotKeys
)
