"""Single keys that have a shard of their own, apart from the shard of their hash.

An exception begins on the owner of the key's home shard, so making one moves nothing,
and its shard then moves like any other. What keeps one owner per key is the home
shard's epoch, which rises whenever a key leaves the shard or comes back: whoever knows
the new epoch knows the exception too, since one command brings both, and work checked
under the old epoch is no longer sent. Work already sent under it is waited for before
the exception's shard is first given back (``release_fence``).

An exception stays in the data centre of its home shard, which is not released to
another while it has exceptions. It ends by giving its shard back, after which the key
belongs to the home shard and its owner again.
"""

from typing import TYPE_CHECKING

from .commands import DropExceptions, EndExceptions, MakeException
from .outcomes import Accepted, Refused
from .records import HOME_EPOCH_SHIFT, Grant, KeyException, ShardId
from .result_codes import ResultCode
from .shards import hash_of_key

if TYPE_CHECKING:
    from .data_centre_tables import DataCentreTables

# In one service and data centre.
N_EXCEPTIONS_MAX = 128


def shard_in_force(tables: "DataCentreTables", home: ShardId, key: str) -> ShardId:
    """Return the shard under which a key is served in its data centre just now.

    Parameters
    ----------
    tables : DataCentreTables
        Tables of the data centre that holds the home shard.
    home : ShardId
        The shard of the key's hash.
    key : str
        The caller's key.
    """
    if not tables.exception_shards:
        return home
    key_hash = hash_of_key(home.service, home.domain, key)
    return tables.exception_shards.get((home, key_hash), home)


def exception_shard(home: ShardId, n_shards: int, index: int) -> ShardId:
    """Return the shard of a home shard's exception, by index from 0.

    It belongs to this home shard alone, so that its epochs rise also when the home
    shard goes to another data centre and has exceptions there.
    """
    return home._replace(number=home.number + n_shards * (1 + index))


def release_fence(
    tables: "DataCentreTables", shard: ShardId, epoch: int
) -> tuple[ShardId, int] | None:
    """Return the work, by shard and highest epoch, that must end before a release.

    None if there is only the shard's own.
    """
    row = tables.key_exceptions.get(shard)
    if row is None or row.first_epoch != epoch:
        return None
    return row.home, row.fence_epoch


def grant_of_epoch(
    tables: "DataCentreTables", home: ShardId, epoch: int
) -> Grant | None:
    """Return the grant of a home shard, or of an exception of it, under an epoch."""
    grant = tables.grants.get(home)
    if grant is not None and grant.epoch == epoch:
        return grant
    for row in tables.key_exceptions.values():
        grant = tables.grants.get(row.shard)
        if row.home == home and grant is not None and grant.epoch == epoch:
            return grant
    return None


def may_be_granted(tables: "DataCentreTables", shard: ShardId, home_epoch: int) -> bool:
    """Return whether a free shard may be granted, as far as exceptions go."""
    row = tables.key_exceptions.get(shard)
    if row is None:
        return True
    return not row.is_ending and home_epoch >= home_epoch_of(row)


def home_epoch_of(row: KeyException) -> int:
    """Return the epoch of the home under which an exception was made."""
    return row.first_epoch >> HOME_EPOCH_SHIFT


def homes_with_exceptions(tables: "DataCentreTables") -> set[ShardId]:
    """Return the shards that have exceptions, which no other data centre may get."""
    return {row.home for row in tables.key_exceptions.values()}


def make_exception(
    tables: "DataCentreTables", command: MakeException
) -> Accepted | Refused:
    """Give a key a shard of its own on the owner of its home shard."""
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
    """Revoke the shards of exceptions; they are not granted again."""
    for shard, first_epoch in zip(command.shards, command.first_epochs, strict=True):
        row = tables.key_exceptions.get(shard)
        if row is None or row.first_epoch != first_epoch:
            continue
        tables.key_exceptions[shard] = row._replace(is_ending=True)
        grant = tables.grants.get(shard)
        if grant is not None:
            tables.grants[shard] = grant._replace(state="revoking")
    return Accepted(tables.last_epoch)


def drop_exceptions(tables: "DataCentreTables", command: DropExceptions) -> Accepted:
    """Give keys back to their home shards, under new epochs of these.

    The epochs under which a key is served rise so at each step, which the outcomes of
    its filings are judged by.
    """
    for shard, first_epoch in zip(command.shards, command.first_epochs, strict=True):
        row = tables.key_exceptions.get(shard)
        if row is None or row.first_epoch != first_epoch or not row.is_ending:
            continue
        if shard in tables.grants:
            continue
        del tables.key_exceptions[shard]
        del tables.exception_shards[row.home, row.key_hash]
        grant = tables.grants.get(row.home)
        if grant is not None and grant.state == "held":
            _raise_epoch(tables, grant)
    return Accepted(tables.last_epoch)


def _raise_epoch(tables: "DataCentreTables", grant: Grant) -> int:
    tables.last_epoch += 1
    home_bits = grant.epoch >> HOME_EPOCH_SHIFT << HOME_EPOCH_SHIFT
    epoch = home_bits | tables.last_epoch
    tables.grants[grant.shard] = grant._replace(epoch=epoch)
    return epoch
