"""Immutable rows of the tables that the global and the data centres' groups replicate.

A table is changed by replacing a row, never by changing one. Field names include the
unit.
"""

from typing import Literal, NamedTuple

DataCentreState = Literal["in", "out", "fenced"]
TrafficClass = Literal["lookup", "filing", "bulk"]
SessionState = Literal["serving", "draining", "expired"]
DispatcherState = Literal["serving", "retiring"]
GrantState = Literal["held", "revoking"]
OutcomeState = Literal["intent", "done", "unknown"]
# Number of low bits of a grant's epoch that hold the group's counter. The bits above
# hold the epoch of the shard's home.
HOME_EPOCH_SHIFT = 40


class DataCentre(NamedTuple):
    """A data centre, its region, and whether operators have taken it out."""

    name: str
    region: str
    state: DataCentreState


class Service(NamedTuple):
    """A service, with its number of shards in each domain.

    Keys with the prefix of a home region hash to ``n_shards`` shards in the domain of
    that region. All other keys hash to ``n_shards`` shards with an empty domain.
    """

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
    """A rule that binds keys with a prefix, and accounts, of a service to regions.

    Keys with the prefix hash to shards of a separate domain, which is placed only in
    these regions. A key therefore has one owner, whichever caller or host requests it.
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
    """The data centre that a shard belongs to.

    ``next_data_centre`` is the target of a handover in progress, or empty.
    """

    data_centre: str
    epoch: int
    next_data_centre: str


class NoteRecord(NamedTuple):
    """An accepted release note: its number, content digest and revision."""

    number: int
    content_sha256: str
    revision: int


class HostAddress(NamedTuple):
    """A host as listed in settings: its peer address, and whether it has a disk."""

    name: str
    data_centre: str
    region: str
    peer_address: str
    is_durable: bool


class UpstreamSession(NamedTuple):
    """The session of one incarnation of an upstream with its data centre's group.

    ``opened_epoch`` distinguishes a session that was closed and reopened from its
    predecessor. Every epoch assigned during a session is above it.
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
    """A shard granted to an upstream under an epoch that is never reused.

    The upper bits of the epoch are the epoch of the shard's home, so that the epoch
    also rises when the shard moves to another data centre.
    """

    shard: ShardId
    upstream: str
    incarnation: int
    epoch: int
    state: GrantState


class KeyException(NamedTuple):
    """A key, by its hash, that has a shard of its own instead of its home shard.

    Requests of the key that started before the exception run under epochs of the home
    shard up to ``fence_epoch``. The first grant of the exception's shard, under
    ``first_epoch``, is released only when those requests have ended too.
    """

    shard: ShardId
    home: ShardId
    key_hash: int
    first_epoch: int
    fence_epoch: int
    is_ending: bool


class Dispatcher(NamedTuple):
    """The only host that may send requests to an upstream, under an epoch."""

    upstream: str
    host: str
    epoch: int
    state: DispatcherState


class OutcomeRecord(NamedTuple):
    """The outcome of a non-idempotent request, or the intent to send it.

    A body over the limit is not kept; ``size_bytes`` and ``body_sha256`` describe it.
    """

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
    """A request, by fingerprint, that was running when upstreams crashed.

    The request is suspected until it is quarantined, or cleared because it ran alone
    and its upstream did not crash.
    """

    fingerprint: str
    service: str
    n_crashes: int
    is_quarantined: bool
    recorded_at_s: int
    upstream: str
    incarnation: int
