"""The vocabulary: immutable rows of the tables that the groups replicate.

Everything else in the package is functions over these. A row never changes; a table
changes by replacing a row. Names of fields carry their unit.
"""

from typing import Literal, NamedTuple

DataCentreState = Literal["in", "out", "fenced"]
TrafficClass = Literal["lookup", "filing", "bulk"]
SessionState = Literal["serving", "draining", "expired"]
DispatcherState = Literal["serving", "retiring"]
GrantState = Literal["held", "revoking"]
OutcomeState = Literal["intent", "done", "unknown"]
# A grant's epoch has its home's epoch above this many bits of the group's counter.
HOME_EPOCH_SHIFT = 40


class DataCentre(NamedTuple):
    """A data centre, its region, and whether operators have taken it out."""

    name: str
    region: str
    state: DataCentreState


class Service(NamedTuple):
    """A service whose keys hash to ``n_shards`` shards per home domain."""

    name: str
    n_shards: int


class Route(NamedTuple):
    """A route within a service, reached as ``/v1/<service>/<name>/<key>``."""

    service: str
    name: str
    method: str
    is_idempotent: bool
    traffic_class: TrafficClass
    deadline_ms: int
    max_body_bytes: int


class Account(NamedTuple):
    """A caller account; the token is kept as its SHA-256 in hex."""

    name: str
    token_sha256: str
    services: tuple[str, ...]
    max_in_flight: int


class HomeRegion(NamedTuple):
    """Binds keys with a prefix, and accounts, of a service to regions.

    Keys with the prefix hash to shards of a domain of their own, which are placed in
    these regions only, so that a key has one owner whoever asks for it.
    """

    name: str
    service: str
    key_prefix: str
    accounts: tuple[str, ...]
    regions: tuple[str, ...]


class ShardId(NamedTuple):
    """A shard of a service; ``domain`` names a home region or is empty."""

    service: str
    domain: str
    number: int


class ShardHome(NamedTuple):
    """The data centre that a shard belongs to, and the one it is handed to, if any."""

    data_centre: str
    epoch: int
    next_data_centre: str


class NoteRecord(NamedTuple):
    """A release note that was accepted, by number and digest of its content."""

    number: int
    content_sha256: str
    revision: int


class HostAddress(NamedTuple):
    """A host as settings name it: where peers reach it and whether it has a disk."""

    name: str
    data_centre: str
    region: str
    peer_address: str
    is_durable: bool


class UpstreamSession(NamedTuple):
    """The session of one incarnation of an upstream with its data centre's group.

    ``opened_epoch`` tells a session that was closed and opened again from its
    predecessor; every epoch given under a session is above it.
    """

    name: str
    service: str
    address: str
    incarnation: int
    n_slots: int
    max_connections: int
    checks_epochs: bool
    state: SessionState
    opened_epoch: int = 0


class Grant(NamedTuple):
    """A shard granted to an upstream under an epoch that never returns.

    The epoch's upper bits are the epoch of the shard's home, so that it also rises
    when the shard goes from one data centre to another.
    """

    shard: ShardId
    upstream: str
    incarnation: int
    epoch: int
    state: GrantState


class KeyException(NamedTuple):
    """A key, by its hash, that has a shard of its own beside its home shard.

    Work of the key that began before runs under the home shard's epochs up to
    ``fence_epoch``. The first grant of the exception's shard, under ``first_epoch``, is
    given back only when that work has ended as well.
    """

    shard: ShardId
    home: ShardId
    key_hash: int
    first_epoch: int
    fence_epoch: int
    is_ending: bool


class Dispatcher(NamedTuple):
    """The host that alone sends work to an upstream, under an epoch."""

    upstream: str
    host: str
    epoch: int
    state: DispatcherState


class OutcomeRecord(NamedTuple):
    """What became of a non-idempotent request; bodies over the limit are not kept."""

    account: str
    idempotency_key: str
    shard: ShardId
    request_sha256: str
    state: OutcomeState
    status: int
    content_type: str
    body: bytes
    recorded_at_s: int
    attempt_id: str
    grant_epoch: int
    dispatcher_epoch: int
    size_bytes: int
    body_sha256: str


class QuarantineRecord(NamedTuple):
    """A request, by fingerprint, that was running when upstreams ended.

    It is suspected until it is quarantined, or is cleared by running well alone.
    """

    fingerprint: str
    service: str
    n_crashes: int
    is_quarantined: bool
    recorded_at_s: int
    upstream: str
    incarnation: int
