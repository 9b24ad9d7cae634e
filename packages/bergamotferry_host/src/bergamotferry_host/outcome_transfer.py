"""Transfers outcomes of non-idempotent requests when a shard changes its data centre.

The leader of the old data centre's group reports a shard as released only after the
next data centre's group has committed the outcomes, so a resend always finds its
outcome. Outcomes of home-bound requests never leave their home regions. If the next
data centre is outside these regions, the outcomes go to the other data centres of the
regions, since one of them may hold the shard later.
"""

import asyncio
from collections import defaultdict

from bergamotferry.commands import ForgetIntent, ImportOutcomes, RecordOutcome
from bergamotferry.global_tables import GlobalTables, region_rule
from bergamotferry.messages import Propose, ProposeReply
from bergamotferry.outcome_tables import has_imported_outcomes
from bergamotferry.records import OutcomeRecord, ShardHome, ShardId

from .bootstrap import DATA_CENTRE_PREFIX, data_centre_group
from .clock import now_ns
from .group_commit import commit
from .group_state import Group
from .host_state import HostState, LeaderState
from .logs import log
from .peer_link import PeerUnreachable
from .peer_network import hosts_of_data_centre

N_OUTCOMES_PER_BATCH = 64
IMPORT_TIMEOUT_S = 1.0
PASS_ON_PAUSE_S = 0.05


def released_homes_in_handover(
    state: HostState, group: Group
) -> dict[ShardId, ShardHome]:
    """Return the homes of released shards whose handover is in progress."""
    data_centre = group.name.removeprefix(DATA_CENTRE_PREFIX)
    return {
        shard: home
        for shard, home in state.global_tables.shard_homes.items()
        if home.data_centre == data_centre
        and home.next_data_centre
        and group.tables.released_homes.get(shard, 0) >= home.epoch
    }


async def transfer_outcomes(
    state: HostState, group: Group, leader: LeaderState
) -> None:
    """Send the outcomes of released shards, and record which shards are complete.

    A shard is complete once its new home has committed that no outcome is missing.
    """
    homes = released_homes_in_handover(state, group)
    leader.exported_home_epochs = {
        shard: epoch
        for shard, epoch in leader.exported_home_epochs.items()
        if shard in homes and homes[shard].epoch == epoch
    }
    incomplete = {
        shard: home
        for shard, home in homes.items()
        if shard not in leader.exported_home_epochs
    }
    if not incomplete:
        return
    records_by_target: dict[str, list[OutcomeRecord]] = defaultdict(list)
    shards_by_target: dict[str, set[ShardId]] = defaultdict(set)
    for record in group.tables.outcomes.values():
        if record.shard not in incomplete:
            continue
        for target in outcome_targets(
            state.global_tables,
            record.shard,
            record.account,
            incomplete[record.shard],
        ):
            records_by_target[target].append(_close_open_intent(record))
            shards_by_target[target].add(record.shard)
    failed: set[ShardId] = set()
    for target, records in records_by_target.items():
        if not await _import_in_batches(state, target, records):
            failed |= shards_by_target[target]
    complete = {
        shard: home for shard, home in incomplete.items() if shard not in failed
    }
    for target in sorted({home.next_data_centre for home in complete.values()}):
        epochs = {
            shard: home.epoch
            for shard, home in complete.items()
            if home.next_data_centre == target
        }
        if await _open_complete_shards(state, target, epochs):
            leader.exported_home_epochs.update(epochs)


async def pass_on_resolution(
    state: HostState,
    shard: ShardId,
    account: str,
    command: RecordOutcome | ForgetIntent,
    timeout_s: float,
) -> bool:
    """Commit at a released shard's next home how an intent was resolved.

    The next home takes the command only once it has imported the intent, so this is
    retried. Returns whether it was taken within ``timeout_s`` seconds.
    """
    deadline_ns = now_ns() + int(timeout_s * 1e9)
    while now_ns() < deadline_ns:
        targets = _next_homes(state, shard, account)
        taken = [await _propose(state, target, command) for target in targets]
        if taken and all(taken):
            return True
        await asyncio.sleep(PASS_ON_PAUSE_S)
    return False


def _next_homes(state: HostState, shard: ShardId, account: str) -> list[str]:
    """Return the data centres that hold the outcomes of a shard released here."""
    own = state.host.data_centre
    home = state.global_tables.shard_homes.get(shard)
    if home is None:
        return []
    target = home.next_data_centre or home.data_centre
    if target == own:
        return []
    handover = ShardHome(own, home.epoch, target)
    return outcome_targets(state.global_tables, shard, account, handover)


async def open_shards_of_fenced_data_centres(state: HostState, group: Group) -> None:
    """Let filings run on shards whose outcomes were lost with a fenced data centre.

    Every other handover opens its shards at the new home before it ends. So a shard
    that is at home here and not open can only come from a data centre that operators
    have fenced.
    """
    data_centre = group.name.removeprefix(DATA_CENTRE_PREFIX)
    rows = state.global_tables.data_centres.values()
    if not any(row.state == "fenced" for row in rows):
        return
    closed = {
        shard: home.epoch
        for shard, home in state.global_tables.shard_homes.items()
        if home.data_centre == data_centre
        and not has_imported_outcomes(group.tables, shard, home.epoch)
    }
    if closed:
        complete = ImportOutcomes((), tuple(closed), tuple(closed.values()))
        outcome = await commit(group, complete)
        log("outcomes given up", group=group.name, n=len(closed), outcome=str(outcome))


def outcome_targets(
    tables: GlobalTables, shard: ShardId, account: str, home: ShardHome
) -> list[str]:
    """Return the data centres that must commit an outcome before its shard is released.

    All of them are in the home regions of the request, if it has any.
    """
    rule = region_rule(tables, shard.service, shard.domain, account)
    target = tables.data_centres[home.next_data_centre]
    if rule is None or target.region in rule.regions:
        return [target.name]
    return sorted(
        data_centre.name
        for data_centre in tables.data_centres.values()
        if data_centre.region in rule.regions and data_centre.name != home.data_centre
    )


def _close_open_intent(record: OutcomeRecord) -> OutcomeRecord:
    # A dispatcher that learns the outcome later passes it on (`pass_on_resolution`).
    return record._replace(state="unknown") if record.state == "intent" else record


async def _import_in_batches(
    state: HostState, target: str, records: list[OutcomeRecord]
) -> bool:
    for start in range(0, len(records), N_OUTCOMES_PER_BATCH):
        batch = tuple(records[start : start + N_OUTCOMES_PER_BATCH])
        if not await _propose(state, target, ImportOutcomes(batch, (), ())):
            log("outcomes not taken", target=target, n_outcomes=len(records))
            return False
    return True


async def _open_complete_shards(
    state: HostState, target: str, epochs: dict[ShardId, int]
) -> bool:
    """Commit at the target that the outcomes of shards are complete.

    The epoch of a shard at its new home is one above its epoch at the old home.
    """
    next_epochs = tuple(epoch + 1 for epoch in epochs.values())
    return await _propose(state, target, ImportOutcomes((), tuple(epochs), next_epochs))


async def _propose(
    state: HostState,
    target: str,
    command: ImportOutcomes | RecordOutcome | ForgetIntent,
) -> bool:
    message = Propose(data_centre_group(target), command)
    candidates = hosts_of_data_centre(state.network.addresses, target)
    called_hosts: set[str] = set()
    while candidates:
        host = candidates.pop()
        if host in called_hosts or host not in state.network.addresses:
            continue
        called_hosts.add(host)
        try:
            reply = await state.network.call(host, message, IMPORT_TIMEOUT_S)
        except PeerUnreachable:
            continue
        if isinstance(reply, ProposeReply):
            if reply.code == 0:
                return True
            candidates.append(reply.leader)
    return False
