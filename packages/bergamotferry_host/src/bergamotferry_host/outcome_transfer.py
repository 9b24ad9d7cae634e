"""Brings the outcomes of filings along when their shards change data centre.

The leader of a data centre's group asks the one that released a shard. Until all of
its outcomes are committed here, filings on the shard are refused as not run, since one
that ran there must not run again; lookups are served meanwhile. If the shard can only
have come from a data centre that operators have fenced, its outcomes are given up.
"""

import asyncio
from collections.abc import Mapping

from bergamotferry.commands import ImportOutcomes
from bergamotferry.messages import FetchOutcomes, OutcomesReply
from bergamotferry.outcome_tables import has_outcomes, outcomes_after
from bergamotferry.outcomes import Accepted
from bergamotferry.records import OutcomeRecord, ShardId

from .bootstrap import DATA_CENTRE_PREFIX, data_centre_group
from .group import Group, commit
from .host_state import HostState
from .leader_duties import leader_state
from .logs import log
from .peer_link import PeerUnreachable
from .peer_network import hosts_of_data_centre

IMPORT_TICK_S = 0.1
N_SHARDS_PER_ROUND = 256
N_RECORDS_PER_PAGE = 64
FETCH_TIMEOUT_S = 1.0


async def run_outcome_imports(state: HostState, group: Group) -> None:
    """Import outcomes whenever this host leads a data centre's group."""
    data_centre = group.name.removeprefix(DATA_CENTRE_PREFIX)
    while True:
        await asyncio.sleep(IMPORT_TICK_S)
        if leader_state(state, group) is None:
            continue
        due = _shards_due(state, group, data_centre)
        if due:
            await _import(state, group, data_centre, due)


def answer_outcomes(state: HostState, message: FetchOutcomes) -> OutcomesReply | None:
    """Return outcomes of shards that this host knows to be released."""
    group = state.groups.get(data_centre_group(message.data_centre))
    if group is None:
        return None
    released = group.tables.released_homes
    rows = zip(message.shards, message.released_epochs, strict=True)
    shards = tuple(s for s, epoch in rows if released.get(s, 0) == epoch)
    records = outcomes_after(group.tables, shards, message.after, N_RECORDS_PER_PAGE)
    is_last = len(records) < N_RECORDS_PER_PAGE
    return OutcomesReply(shards, tuple(records), is_last, group.is_leader)


def _shards_due(state: HostState, group: Group, data_centre: str) -> dict[ShardId, int]:
    due: dict[ShardId, int] = {}
    for shard, home in state.global_tables.shard_homes.items():
        if home.data_centre != data_centre or len(due) >= N_SHARDS_PER_ROUND:
            continue
        if not has_outcomes(group.tables, shard, home.epoch):
            due[shard] = home.epoch
    return due


async def _import(
    state: HostState, group: Group, data_centre: str, due: dict[ShardId, int]
) -> None:
    left = dict(due)
    has_fenced, is_all_told = False, True
    for other in state.global_tables.data_centres.values():
        if other.name == data_centre or not left:
            continue
        if other.state == "fenced":
            has_fenced = True
            continue
        shards, records, is_told = await _fetch(state, other.name, left)
        is_all_told = is_all_told and is_told
        found = {shard: left.pop(shard) for shard in shards}
        if found:
            await _commit(group, records, found)
    if left and has_fenced and is_all_told:
        await _commit(group, [], left)


async def _fetch(
    state: HostState, data_centre: str, wanted: Mapping[ShardId, int]
) -> tuple[tuple[ShardId, ...], list[OutcomeRecord], bool]:
    """Return shards released there, their outcomes, and whether the leader spoke."""
    is_told = False
    for host in hosts_of_data_centre(state.network.addresses, data_centre):
        shards = tuple(wanted)
        records: list[OutcomeRecord] = []
        after = ("", "")
        while True:
            epochs = tuple(wanted[shard] - 1 for shard in shards)
            message = FetchOutcomes(data_centre, shards, epochs, after)
            try:
                reply = await state.network.call(host, message, FETCH_TIMEOUT_S)
            except PeerUnreachable:
                break
            if not isinstance(reply, OutcomesReply):
                break
            is_told = is_told or reply.is_leader
            records += reply.outcomes
            shards = reply.shards
            if not shards:
                break
            if reply.is_last:
                return shards, records, is_told
            after = (records[-1].account, records[-1].idempotency_key)
    return (), [], is_told


async def _commit(
    group: Group, records: list[OutcomeRecord], found: dict[ShardId, int]
) -> None:
    for start in range(0, len(records), N_RECORDS_PER_PAGE):
        page = tuple(records[start : start + N_RECORDS_PER_PAGE])
        outcome = await commit(group, ImportOutcomes(page, (), ()))
        if not isinstance(outcome, Accepted):
            return
    whole = ImportOutcomes((), tuple(found), tuple(found.values()))
    await commit(group, whole)
    log("outcomes imported", group=group.name, n_shards=len(found), n=len(records))
