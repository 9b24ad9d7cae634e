"""Exceptions: single keys that have a shard of their own instead of their home shard.

An exception begins on the owner of the key's home shard, so no key moves when an
exception is made; later its shard moves like any other. The home shard's epoch ensures
that each key has one owner. The epoch rises whenever a key leaves the home shard or
returns to it. One command sets both the new epoch and the exception, so a host that
knows the epoch knows the exception, and no longer sends requests that were checked
under the old epoch. Requests that were sent under the old epoch must end before the
exception's shard is first released (``release_fence``).

An exception stays in the data centre of its home shard, and that shard is not released
to another data centre while it has exceptions. When an exception ends, its shard is
released first; then the key belongs to the home shard and its owner again.
"""

from typing import TYPE_CHECKING

from .commands import DropExceptions, EndExceptions, MakeException
from .outcomes import Accepted, Refused
from .records import HOME_EPOCH_SHIFT, Grant, KeyException, ShardId
from .result_codes import ResultCode
from .shards import hash_key

if TYPE_CHECKING:
    from .data_centre_tables import DataCentreTables

# Limit for one service in one data centre.
N_EXCEPTIONS_MAX = 128


def shard_in_force(tables: "DataCentreTables", home: ShardId, key: str) -> ShardId:
    """Return the shard under which a key is served in its data centre now.

    Parameters
    ----------
    tables : DataCentreTables
        Tables of the data centre that holds the home shard.
    home : ShardId
        The shard of the key's hash.
    key : str
        The caller's key.

    Returns
    -------
    ShardId
        The shard of the key's exception, or ``home`` if it has none.
    """
    if not tables.exception_shards:
        return home
    key_hash = hash_key(home.service, home.domain, key)
    return tables.exception_shards.get((home, key_hash), home)


def exception_shard(home: ShardId, n_shards: int, index: int) -> ShardId:
    """Return the shard of a home shard's exception, by index from 0.

    The shard belongs to this home shard alone, so that its epochs also keep rising when
    the home shard moves to another data centre and has exceptions there.
    """
    return home._replace(number=home.number + n_shards * (1 + index))


def release_fence(
    tables: "DataCentreTables", shard: ShardId, epoch: int
) -> tuple[ShardId, int] | None:
    """Return the other shard whose requests must end before a shard is released.

    The result is that shard and the highest epoch of the requests to wait for. None if
    only requests of the released shard itself must end.
    """
    exception = tables.key_exceptions.get(shard)
    if exception is None or exception.first_epoch != epoch:
        return None
    return exception.home, exception.fence_epoch


def grant_of_epoch(
    tables: "DataCentreTables", home: ShardId, epoch: int
) -> Grant | None:
    """Return the grant with an epoch, of a home shard or of one of its exceptions."""
    grant = tables.grants.get(home)
    if grant is not None and grant.epoch == epoch:
        return grant
    for exception in tables.key_exceptions.values():
        grant = tables.grants.get(exception.shard)
        if exception.home == home and grant is not None and grant.epoch == epoch:
            return grant
    return None


def may_be_granted(tables: "DataCentreTables", shard: ShardId, home_epoch: int) -> bool:
    """Return whether the exceptions allow a free shard to be granted.

    An exception's shard may not be granted while the exception ends, or by a leader
    whose global tables are older than the exception.
    """
    exception = tables.key_exceptions.get(shard)
    if exception is None:
        return True
    return not exception.is_ending and home_epoch >= home_epoch_of(exception)


def home_epoch_of(exception: KeyException) -> int:
    """Return the epoch of the shard home under which an exception was made."""
    return exception.first_epoch >> HOME_EPOCH_SHIFT


def homes_with_exceptions(tables: "DataCentreTables") -> set[ShardId]:
    """Return the home shards that have exceptions; they may not be released."""
    return {exception.home for exception in tables.key_exceptions.values()}


def make_exception(
    tables: "DataCentreTables", command: MakeException
) -> Accepted | Refused:
    """Give a key a shard of its own, owned by the owner of its home shard."""
    grant = tables.grants.get(command.home)
    is_current = grant is not None and grant.epoch == command.grant_epoch
    if grant is None or not is_current or grant.state != "held":
        return Refused(ResultCode.STALE_EPOCH, "the home shard's grant was replaced")
    is_taken = command.shard in tables.key_exceptions or command.shard in tables.grants
    is_known = (command.home, command.key_hash) in tables.exception_shards
    if is_taken or is_known or command.home in tables.key_exceptions:
        return Refused(ResultCode.STALE_EPOCH, "the key or the shard has an exception")
    services = [shard.service for shard in tables.key_exceptions]
    if services.count(command.home.service) >= N_EXCEPTIONS_MAX:
        return Refused(ResultCode.STALE_EPOCH, "the service has all its exceptions")
    _raise_epoch(tables, grant)
    first_epoch = _raise_epoch(tables, grant._replace(shard=command.shard))
    tables.key_exceptions[command.shard] = KeyException(
        command.shard,
        command.home,
        command.key_hash,
        first_epoch,
        grant.epoch,
        is_ending=False,
    )
    tables.exception_shards[command.home, command.key_hash] = command.shard
    return Accepted(tables.last_epoch)


def end_exceptions(tables: "DataCentreTables", command: EndExceptions) -> Accepted:
    """Mark exceptions as ending and revoke their shards.

    The shards are not granted again.
    """
    for shard, first_epoch in zip(command.shards, command.first_epochs, strict=True):
        exception = tables.key_exceptions.get(shard)
        if exception is None or exception.first_epoch != first_epoch:
            continue
        tables.key_exceptions[shard] = exception._replace(is_ending=True)
        grant = tables.grants.get(shard)
        if grant is not None:
            tables.grants[shard] = grant._replace(state="revoking")
    return Accepted(tables.last_epoch)


def drop_exceptions(tables: "DataCentreTables", command: DropExceptions) -> Accepted:
    """Return keys to their home shards, and raise the epochs of the home shards.

    So the epoch under which a key is served rises whenever its exception is made or
    dropped. The outcomes of the key's non-idempotent requests are checked against
    these epochs.
    """
    for shard, first_epoch in zip(command.shards, command.first_epochs, strict=True):
        exception = tables.key_exceptions.get(shard)
        if (
            exception is None
            or exception.first_epoch != first_epoch
            or not exception.is_ending
        ):
            continue
        if shard in tables.grants:
            continue
        del tables.key_exceptions[shard]
        del tables.exception_shards[exception.home, exception.key_hash]
        grant = tables.grants.get(exception.home)
        if grant is not None and grant.state == "held":
            _raise_epoch(tables, grant)
    return Accepted(tables.last_epoch)


def _raise_epoch(tables: "DataCentreTables", grant: Grant) -> int:
    tables.last_epoch += 1
    home_bits = grant.epoch >> HOME_EPOCH_SHIFT << HOME_EPOCH_SHIFT
    epoch = home_bits | tables.last_epoch
    tables.grants[grant.shard] = grant._replace(epoch=epoch)
    return epoch
