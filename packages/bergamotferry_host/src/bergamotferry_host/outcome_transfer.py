"""Outcomes of non-idempotent requests go with their shard to another data centre.

The leader of the old data centre's group has the target's group commit them before it
reports the shard as released, so no resend finds a gap. Outcomes of home-bound
requests never leave their home regions: if the target is outside, the region's other
data centres get them, where the shard may come to be held later.
"""

from collections import defaultdict

from bergamotferry.commands import ImportOutcomes
from bergamotferry.global_tables import GlobalTables, region_rule
from bergamotferry.messages import Propose, ProposeReply
from bergamotferry.outcome_tables import has_outcomes
from bergamotferry.records import OutcomeRecord, ShardHome, ShardId

from .bootstrap import DATA_CENTRE_PREFIX, data_centre_group
from .group import Group
from .group_commit import commit
from .host_state import HostState, LeaderState
from .logs import log
from .peer_link import PeerUnreachable
from .peer_network import hosts_of_data_centre

N_OUTCOMES_PER_BATCH = 64
IMPORT_TIMEOUT_S = 1.0


def handed_over(state: HostState, group: Group) -> dict[ShardId, ShardHome]:
    """Return the shards that the group has released for a handover under way."""
    data_centre = group.name.removeprefix(DATA_CENTRE_PREFIX)
    return {
        shard: home
        for shard, home in state.global_tables.shard_homes.items()
        if home.data_centre == data_centre
        and home.next_data_centre
        and group.tables.released_homes.get(shard, 0) >= home.epoch
    }


async def send_outcomes(state: HostState, group: Group, leader: LeaderState) -> None:
    """Send the outcomes of released shards on, and note which shards are complete."""
    homes = handed_over(state, group)
    leader.exported_homes = {
        shard: epoch
        for shard, epoch in leader.exported_homes.items()
        if shard in homes and homes[shard].epoch == epoch
    }
    waiting = {
        shard: home
        for shard, home in homes.items()
        if shard not in leader.exported_homes
    }
    if not waiting:
        return
    by_target: dict[str, list[OutcomeRecord]] = defaultdict(list)
    shards_by_target: dict[str, set[ShardId]] = defaultdict(set)
    for record in group.tables.outcomes.values():
        if record.shard not in waiting:
            continue
        for target in outcome_targets(
            state.global_tables, record, waiting[record.shard]
        ):
            by_target[target].append(_settled(record))
            shards_by_target[target].add(record.shard)
    failed: set[ShardId] = set()
    for target, records in by_target.items():
        if not await _import_all(state, target, records):
            failed |= shards_by_target[target]
    whole = {shard: home for shard, home in waiting.items() if shard not in failed}
    for target in sorted({home.next_data_centre for home in whole.values()}):
        epochs = {
            shard: home.epoch
            for shard, home in whole.items()
            if home.next_data_centre == target
        }
        if await _open_shards(state, target, epochs):
            leader.exported_homes.update(epochs)


async def open_shards_of_fenced(state: HostState, group: Group) -> None:
    """Let filings run on shards whose outcomes were lost with a fenced data centre.

    Every other handover opens its shards before it ends, so a shard that is at home
    here and not open can only have come from a data centre that operators have fenced.
    """
    data_centre = group.name.removeprefix(DATA_CENTRE_PREFIX)
    rows = state.global_tables.data_centres.values()
    if not any(row.state == "fenced" for row in rows):
        return
    closed = {
        shard: home.epoch
        for shard, home in state.global_tables.shard_homes.items()
        if home.data_centre == data_centre
        and not has_outcomes(group.tables, shard, home.epoch)
    }
    if closed:
        whole = ImportOutcomes((), tuple(closed), tuple(closed.values()))
        outcome = await commit(group, whole)
        log("outcomes given up", group=group.name, n=len(closed), outcome=str(outcome))


def outcome_targets(
    tables: GlobalTables, record: OutcomeRecord, home: ShardHome
) -> list[str]:
    """Return the data centres that must have an outcome before its shard is released.

    None of them is outside the home regions of the request.
    """
    shard = record.shard
    rule = region_rule(tables, shard.service, shard.domain, record.account)
    target = tables.data_centres[home.next_data_centre]
    if rule is None or target.region in rule.regions:
        return [target.name]
    return sorted(
        row.name
        for row in tables.data_centres.values()
        if row.region in rule.regions and row.name != home.data_centre
    )


def _settled(record: OutcomeRecord) -> OutcomeRecord:
    # Nobody can report on an open intent any more once its shard has been released.
    return record._replace(state="unknown") if record.state == "intent" else record


async def _import_all(
    state: HostState, target: str, records: list[OutcomeRecord]
) -> bool:
    for start in range(0, len(records), N_OUTCOMES_PER_BATCH):
        batch = tuple(records[start : start + N_OUTCOMES_PER_BATCH])
        if not await _propose(state, target, ImportOutcomes(batch, (), ())):
            log("outcomes not taken", target=target, n_outcomes=len(records))
            return False
    return True


async def _open_shards(
    state: HostState, target: str, epochs: dict[ShardId, int]
) -> bool:
    """Tell a data centre that it has all outcomes up to its own home's epoch."""
    next_epochs = tuple(epoch + 1 for epoch in epochs.values())
    return await _propose(state, target, ImportOutcomes((), tuple(epochs), next_epochs))


async def _propose(state: HostState, target: str, command: ImportOutcomes) -> bool:
    message = Propose(data_centre_group(target), command)
    candidates = hosts_of_data_centre(state.network.addresses, target)
    asked: set[str] = set()
    while candidates:
        host = candidates.pop()
        if host in asked or host not in state.network.addresses:
            continue
        asked.add(host)
        try:
            reply = await state.network.call(host, message, IMPORT_TIMEOUT_S)
        except PeerUnreachable:
            continue
        if isinstance(reply, ProposeReply):
            if reply.code == 0:
                return True
            candidates.append(reply.leader)
    return False
