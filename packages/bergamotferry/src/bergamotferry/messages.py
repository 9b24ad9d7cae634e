"""Messages between hosts.

Each message is an immutable named tuple, which the host's codec encodes as CBOR with
the name of its type. Hosts do not share a clock: a time in ns is a value that only its
sender interprets when the reply returns it. Other times are durations, apart from the
times of day in reports and records, such as ``held_since_s`` and ``recorded_at_s``.
"""

from typing import NamedTuple

from .commands import Command
from .hot_key_messages import KeyRate, ListHotKeys
from .records import HostAddress, QuarantineRecord, ShardId, UpstreamSession


class Member(NamedTuple):
    """A member of a group: a host and the incarnation of its memory or data folder.

    ``is_durable`` is true if the member keeps its log on disk.
    """

    host: str
    incarnation: str
    is_durable: bool


class Membership(NamedTuple):
    """The members of a group; learners receive the log but have no vote."""

    voters: tuple[Member, ...]
    learners: tuple[Member, ...]


class LogEntry(NamedTuple):
    """An entry of a group's replicated log: a command or a membership change."""

    log_index: int
    term: int
    payload: Command | Membership


class RequestVote(NamedTuple):
    """A candidate's request for a vote or a pre-vote.

    With ``is_transfer`` the previous leader has given up its lease, so voters need not
    wait for the election timeout.
    """

    group: str
    term: int
    candidate: Member
    last_index: int
    last_term: int
    is_pre_vote: bool
    is_transfer: bool


class VoteReply(NamedTuple):
    """The reply to a `RequestVote`."""

    group: str
    term: int
    voter: Member
    is_granted: bool
    is_pre_vote: bool


class AppendEntries(NamedTuple):
    """Log entries for a follower, or a heartbeat if there are none.

    ``sent_ns`` is the leader's time of sending, which the reply returns.
    """

    group: str
    term: int
    leader: Member
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    sent_ns: int


class AppendReply(NamedTuple):
    """The reply to `AppendEntries`: up to which index the logs match."""

    group: str
    term: int
    follower: Member
    is_accepted: bool
    match_index: int
    sent_ns: int


class InstallSnapshot(NamedTuple):
    """A part of a snapshot, for a follower that needs compacted entries."""

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
    """The reply to `InstallSnapshot`: how many bytes of the snapshot have arrived."""

    group: str
    term: int
    follower: Member
    last_index: int
    received_bytes: int
    is_installed: bool
    sent_ns: int


class TimeoutNow(NamedTuple):
    """The leader's request to its successor to start an election at once."""

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


class OrderOrigin(NamedTuple):
    """Which host took an order, when, and what it had read of the log by then.

    ``read_revision`` is the revision of its tables. ``taken_at_ms`` is a time of day by
    that host's clock, which serves logs only.
    """

    order_id: str
    host: str
    read_revision: int
    taken_at_ms: int


class Propose(NamedTuple):
    """A request to the leader of a group to commit a command.

    ``origin`` is that of an operator's order, and None for other commands. Hosts of
    protocol version 1 know no origins.
    """

    group: str
    command: Command
    origin: OrderOrigin | None = None


class ProposeReply(NamedTuple):
    """The reply to a proposal: a result code, and the revision or epoch.

    ``leader`` names the host that probably leads the group.
    """

    code: int
    detail: str
    revision: int
    leader: str


class FetchLog(NamedTuple):
    """A request for the committed entries after an index.

    A host that receives no entries from a leader sends this request. The host that
    answers waits up to ``wait_ms`` for new entries.
    """

    group: str
    after_index: int
    wait_ms: int


class FetchLogReply(NamedTuple):
    """Committed entries, or the index of a snapshot if the entries were compacted."""

    group: str
    entries: tuple[LogEntry, ...]
    snapshot_index: int
    snapshot: bytes
    commit_index: int
    leader: str


class FetchSnapshot(NamedTuple):
    """A request for a part of a snapshot, sent if the entries were compacted."""

    group: str
    last_index: int
    offset_bytes: int


class FetchSnapshotReply(NamedTuple):
    """A part of the newest snapshot, which may be newer than the one requested."""

    group: str
    last_index: int
    last_term: int
    membership: Membership
    size_bytes: int
    offset_bytes: int
    data: bytes


class JoinGroup(NamedTuple):
    """A host's request to the leader to become a member of the group.

    A host that is not a voter, or receives no messages from a leader, sends this.
    """

    group: str
    member: Member


class JoinReply(NamedTuple):
    """The reply to `JoinGroup`.

    The join request was recorded if ``is_leader``; otherwise ``leader`` names the host
    that probably leads the group. The next join request is due after ``retry_ms``.
    """

    is_leader: bool
    leader: str
    retry_ms: int


class LeaveGroup(NamedTuple):
    """A request to the leader, of a host that is about to stop, to be no voter."""

    group: str
    member: Member


class LeaveReply(NamedTuple):
    """The reply to `LeaveGroup`.

    The request was recorded if ``is_leader``; otherwise ``leader`` names the host that
    probably leads the group. The member is no voter any more, by a committed
    membership, if ``has_left``. Too few hosts are alive to replace it unless
    ``is_possible``.
    """

    is_leader: bool
    leader: str
    has_left: bool
    is_possible: bool


class RenewLeases(NamedTuple):
    """A host's renewal of its own lease, and of sessions on behalf of upstreams.

    ``sessions`` are the upstreams, with their incarnation, that renewed through the
    host since its last message. ``drained`` are upstreams, with the dispatcher's epoch,
    and ``released`` are shards, with the grant's epoch, to which the host sends no more
    requests. ``latencies`` are service, upstream and observed latency in ms.
    ``bulk_upstreams`` are the upstreams with bulk requests of this host in flight.
    ``hot_keys`` and ``upstream_rates`` report the load of the upstreams that the host
    dispatches for.
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
    """Durations of the renewed leases, counted from the sending of the renewal.

    The host uses its lease only once it has applied its data centre's log up to
    ``since_index``. ``session_ages`` report to a host that has just started how long
    its upstreams have been running.
    """

    is_leader: bool
    leader: str
    host_lease_ms: int
    session_lease_ms: int
    lost_sessions: tuple[str, ...]
    since_index: int
    session_ages: tuple[tuple[str, int, int], ...] = ()


class CapacityReport(NamedTuple):
    """A report of a data centre's capacity, from its leader to the global leader.

    ``n_slots`` are the slots of each service. ``released`` are shards, with the epoch
    of their home, that the data centre has released to another one.
    """

    data_centre: str
    n_slots: tuple[tuple[str, int], ...]
    released: tuple[tuple[ShardId, int], ...]


class CapacityQuestion(NamedTuple):
    """A query for the capacity that would remain without a data centre."""

    data_centre: str


class CapacityAfterOut(NamedTuple):
    """Capacity of a service now, and if a data centre were taken out."""

    service: str
    domain: str
    n_slots_now: int
    n_slots_after: int
    n_shards_without_place: int


class CapacityAnswer(NamedTuple):
    """The reply to `CapacityQuestion`; ``leader`` names the probable leader."""

    is_leader: bool
    leader: str
    rows: tuple[CapacityAfterOut, ...]


class HostStatusRequest(NamedTuple):
    """A request for a host's status.

    The host replies once it has applied ``wait_revision``, or after ``wait_ms``.
    """

    wait_revision: int
    wait_ms: int


class GroupStatus(NamedTuple):
    """State of a group, as known to one host."""

    group: str
    role: str
    term: int
    leader: str
    commit_index: int
    applied_index: int
    voters: tuple[str, ...]


class HostStatus(NamedTuple):
    """State of a host, as reported by the host itself.

    ``settled_groups`` are the groups whose replica on this host has applied an entry of
    its own term, and therefore every entry that earlier leaders committed.
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
    """Head of a request forwarded to the dispatcher; the body follows in parts."""

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
    """Head of an answer or a refusal; the body follows in parts."""

    code: int
    detail: str
    status: int
    headers: tuple[tuple[str, str], ...]
    dispatcher: str
    epoch: int
    is_replayed: bool


class ListUpstreams(NamedTuple):
    """An operator's query, relayed by a host, for the upstreams of a data centre."""


class UpstreamRow(NamedTuple):
    """An upstream's session, its dispatcher and the number of shards it owns."""

    session: UpstreamSession
    dispatcher: str
    n_shards: int


class UpstreamList(NamedTuple):
    """The upstreams of one data centre."""

    data_centre: str
    rows: tuple[UpstreamRow, ...]


class FindGrant(NamedTuple):
    """An operator's query for the owner of a shard; the key itself is never sent."""

    shard: ShardId


class GrantReport(NamedTuple):
    """The owner of a shard, as known to a host of its data centre.

    ``held_since_s`` is the time of day at which that host applied the grant, or 0 if
    the host started later. ``n_exceptions`` counts the keys of the shard that have an
    exception.
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
    """An operator's query for the suspected and quarantined requests."""


class QuarantineList(NamedTuple):
    """The suspected and quarantined requests of one data centre."""

    data_centre: str
    rows: tuple[QuarantineRecord, ...]


class LiftQuarantine(NamedTuple):
    """An operator's order to let a request run again; the reply is a result code."""

    fingerprint: str


OperatorQuery = (
    ListUpstreams | FindGrant | ListQuarantine | LiftQuarantine | ListHotKeys
)
