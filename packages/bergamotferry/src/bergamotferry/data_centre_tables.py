"""Tables of a data centre's group: sessions, grants, dispatchers and outcomes.

`apply_data_centre_command` is the only writer and is deterministic. Epochs come from
one counter of the group, so they only rise. State that depends on time, such as leases,
is kept by the leader alone (see ``leases``); the log holds only decisions.
"""

from dataclasses import dataclass, field
from itertools import islice

from .commands import (
    AssignDispatcher,
    CloseSession,
    Command,
    ConfirmRelease,
    DrainSession,
    DropExceptions,
    EndExceptions,
    ForgetIntent,
    GrantShards,
    ImportOutcomes,
    MakeException,
    OpenSession,
    RecordCrash,
    RecordIntent,
    RecordOutcome,
    ReleaseHomes,
    ReleaseQuarantine,
    RetireDispatcher,
    RevokeShards,
)
from .key_exceptions import (
    drop_exceptions,
    end_exceptions,
    homes_with_exceptions,
    make_exception,
    may_be_granted,
)
from .outcome_tables import (
    forget_intent,
    import_outcomes,
    record_intent,
    record_outcome,
)
from .outcomes import Accepted, Refused
from .protection.quarantine import record_crash
from .records import (
    HOME_EPOCH_SHIFT,
    Dispatcher,
    Grant,
    KeyException,
    OutcomeRecord,
    QuarantineRecord,
    ShardId,
    UpstreamSession,
)
from .result_codes import ResultCode

N_INCARNATIONS_MAX = 10_000


@dataclass(slots=True)
class DataCentreTables:
    """State of one data centre's group.

    ``oldest_incarnations`` holds, by upstream, the oldest incarnation that may open a
    session. ``released_homes`` and ``imported_homes`` hold, by shard, the highest epoch
    of a shard home that was released here, and of one whose outcomes were imported
    here. ``exception_shards`` holds the shard of each exception by home shard and key
    hash.
    """

    last_epoch: int = 0
    sessions: dict[str, UpstreamSession] = field(default_factory=dict)
    oldest_incarnations: dict[str, int] = field(default_factory=dict)
    grants: dict[ShardId, Grant] = field(default_factory=dict)
    dispatchers: dict[str, Dispatcher] = field(default_factory=dict)
    outcomes: dict[tuple[str, str], OutcomeRecord] = field(default_factory=dict)
    released_homes: dict[ShardId, int] = field(default_factory=dict)
    quarantine: dict[str, QuarantineRecord] = field(default_factory=dict)
    outcome_body_bytes: int = 0
    imported_homes: dict[ShardId, int] = field(default_factory=dict)
    key_exceptions: dict[ShardId, KeyException] = field(default_factory=dict)
    exception_shards: dict[tuple[ShardId, int], ShardId] = field(default_factory=dict)


def apply_data_centre_command(
    tables: DataCentreTables, command: Command
) -> Accepted | Refused:
    """Apply a committed command to the tables.

    Returns
    -------
    Accepted or Refused
        Refused if the command's condition does not hold. The tables are unchanged then,
        except that a refused `RecordIntent` may remove expired outcomes, or change the
        state of a known intent to "unknown".
    """
    match command:
        case OpenSession():
            return _open_session(tables, command)
        case DrainSession():
            return _drain_session(tables, command)
        case CloseSession():
            return _close_session(tables, command)
        case GrantShards():
            return _grant_shards(tables, command)
        case RevokeShards():
            return _revoke_shards(tables, command)
        case ConfirmRelease():
            return _confirm_release(tables, command)
        case ReleaseHomes():
            return _release_homes(tables, command)
        case MakeException():
            return make_exception(tables, command)
        case EndExceptions():
            return end_exceptions(tables, command)
        case DropExceptions():
            return drop_exceptions(tables, command)
        case RetireDispatcher():
            return _retire_dispatcher(tables, command)
        case AssignDispatcher():
            return _assign_dispatcher(tables, command)
        case RecordIntent():
            return record_intent(tables, command)
        case RecordOutcome():
            return record_outcome(tables, command)
        case ForgetIntent():
            return forget_intent(tables, command)
        case ImportOutcomes():
            return import_outcomes(tables, command)
        case RecordCrash():
            return record_crash(tables, command)
        case ReleaseQuarantine():
            tables.quarantine.pop(command.fingerprint, None)
    return Accepted(tables.last_epoch)


def _open_session(tables: DataCentreTables, command: OpenSession) -> Accepted | Refused:
    known = tables.sessions.get(command.name)
    is_known = known is not None and known.incarnation == command.incarnation
    oldest = tables.oldest_incarnations.get(command.name, 0)
    if command.incarnation < oldest and not is_known:
        return Refused(
            ResultCode.SESSION_STALE_INCARNATION, f"{oldest} is the oldest taken"
        )
    if known is not None and known.service != command.service:
        return Refused(
            ResultCode.SESSION_WRONG_SERVICE,
            f"the name belongs to an upstream of {known.service}",
        )
    if known is not None and known.address != command.address:
        return Refused(
            ResultCode.SESSION_NAME_TAKEN, f"the name is held at {known.address}"
        )
    if known is not None and is_known:
        return Accepted(known.opened_epoch)
    _supersede_session(tables, command.name)
    tables.last_epoch += 1
    _record_oldest_incarnation(tables, command.name, command.incarnation)
    tables.sessions[command.name] = UpstreamSession(
        *command, "serving", tables.last_epoch
    )
    return Accepted(tables.last_epoch)


def _supersede_session(tables: DataCentreTables, name: str) -> None:
    # A new incarnation at the same address proves that the old process has ended, but
    # not that its dispatcher knows. Until the old dispatcher has stopped, it may send
    # requests under the old grants to the new process. The next dispatcher therefore
    # asks the new process to release the old grants.
    dispatcher = tables.dispatchers.get(name)
    if dispatcher is None:
        _drop_session(tables, name)
        return
    tables.dispatchers[name] = dispatcher._replace(state="retiring")
    for shard, grant in tables.grants.items():
        if grant.upstream == name:
            tables.grants[shard] = grant._replace(state="revoking")


def _record_oldest_incarnation(
    tables: DataCentreTables, name: str, oldest: int
) -> None:
    incarnations = tables.oldest_incarnations
    incarnations.pop(name, None)
    incarnations[name] = oldest
    n_excess = len(incarnations) - N_INCARNATIONS_MAX
    if n_excess > 0:
        closed_names = (
            closed_name
            for closed_name in incarnations
            if closed_name not in tables.sessions
        )
        for closed_name in list(islice(closed_names, n_excess)):
            if closed_name != name:
                del incarnations[closed_name]


def _drain_session(
    tables: DataCentreTables, command: DrainSession
) -> Accepted | Refused:
    known = tables.sessions.get(command.name)
    if known is None or known.incarnation != command.incarnation:
        return Refused(ResultCode.SESSION_UNKNOWN, "no such session")
    if command.is_expired:
        if known.opened_epoch != command.opened_epoch:
            return Refused(ResultCode.SESSION_UNKNOWN, "the session was opened again")
        tables.sessions[command.name] = known._replace(state="expired")
    elif known.state == "serving":
        tables.sessions[command.name] = known._replace(state="draining")
        # A late or resent announcement must not reopen the session of a process that
        # has left.
        _record_oldest_incarnation(tables, command.name, command.incarnation + 1)
    return Accepted(known.incarnation)


def _close_session(tables: DataCentreTables, command: CloseSession) -> Accepted:
    known = tables.sessions.get(command.name)
    if known is not None and known.opened_epoch == command.opened_epoch:
        _drop_session(tables, command.name)
    return Accepted(command.incarnation)


def _drop_session(tables: DataCentreTables, name: str) -> None:
    tables.sessions.pop(name, None)
    tables.dispatchers.pop(name, None)
    for shard in [s for s, grant in tables.grants.items() if grant.upstream == name]:
        del tables.grants[shard]


def _grant_shards(tables: DataCentreTables, command: GrantShards) -> Accepted | Refused:
    session = tables.sessions.get(command.upstream)
    if session is None or session.incarnation != command.incarnation:
        return Refused(ResultCode.SESSION_UNKNOWN, "no such session")
    if session.state != "serving":
        return Refused(ResultCode.SESSION_UNKNOWN, "the session is draining")
    for shard, home_epoch in zip(command.shards, command.home_epochs, strict=True):
        is_free = shard not in tables.grants and shard.service == session.service
        # A leader whose global tables lag must not grant a shard whose home here was
        # released.
        is_here = home_epoch > tables.released_homes.get(shard, 0)
        if is_free and is_here and may_be_granted(tables, shard, home_epoch):
            tables.last_epoch += 1
            epoch = (home_epoch << HOME_EPOCH_SHIFT) | tables.last_epoch
            tables.grants[shard] = Grant(
                shard, session.name, session.incarnation, epoch, "held"
            )
    return Accepted(tables.last_epoch)


def _revoke_shards(tables: DataCentreTables, command: RevokeShards) -> Accepted:
    for shard, epoch in zip(command.shards, command.epochs, strict=True):
        grant = tables.grants.get(shard)
        if grant is not None and grant.epoch == epoch:
            tables.grants[shard] = grant._replace(state="revoking")
    return Accepted(tables.last_epoch)


def _confirm_release(tables: DataCentreTables, command: ConfirmRelease) -> Accepted:
    for shard, epoch in zip(command.shards, command.epochs, strict=True):
        grant = tables.grants.get(shard)
        if grant is not None and grant.epoch == epoch and grant.state == "revoking":
            del tables.grants[shard]
    return Accepted(tables.last_epoch)


def _release_homes(tables: DataCentreTables, command: ReleaseHomes) -> Accepted:
    homes_in_use = homes_with_exceptions(tables)
    for shard, home_epoch in zip(command.shards, command.home_epochs, strict=True):
        if shard not in tables.grants and shard not in homes_in_use:
            known = tables.released_homes.get(shard, 0)
            tables.released_homes[shard] = max(known, home_epoch)
    return Accepted(tables.last_epoch)


def _retire_dispatcher(tables: DataCentreTables, command: RetireDispatcher) -> Accepted:
    known = tables.dispatchers.get(command.upstream)
    if known is not None and known.epoch == command.epoch:
        tables.dispatchers[command.upstream] = known._replace(state="retiring")
    return Accepted(tables.last_epoch)


def _assign_dispatcher(
    tables: DataCentreTables, command: AssignDispatcher
) -> Accepted | Refused:
    session = tables.sessions.get(command.upstream)
    if session is None:
        return Refused(ResultCode.SESSION_UNKNOWN, "no such session")
    known = tables.dispatchers.get(command.upstream)
    epoch = known.epoch if known else 0
    if epoch != command.replaces_epoch:
        return Refused(ResultCode.STALE_EPOCH, "another dispatcher was assigned since")
    tables.last_epoch += 1
    tables.dispatchers[command.upstream] = Dispatcher(
        command.upstream, command.host, tables.last_epoch, "serving"
    )
    return Accepted(tables.last_epoch)
