"""Epochs of grants and dispatchers only rise, for any order of committed commands."""

import random

import pytest

from bergamotferry.commands import (
    AssignDispatcher,
    CloseSession,
    ConfirmRelease,
    GrantShards,
    OpenSession,
    RevokeShards,
)
from bergamotferry.data_centre_tables import (
    DataCentreTables,
    apply_data_centre_command,
)
from bergamotferry.records import ShardId

SHARDS = tuple(ShardId("s", "", number) for number in range(3))
N_COMMANDS = 400


def draw_command(rng, tables):
    name = rng.choice(("u1", "u2"))
    session = tables.sessions.get(name)
    if session is None or rng.random() < 0.05:
        incarnation = rng.choice((1, 2, 3))
        return OpenSession(name, "s", f"{name}:1", incarnation, 2, 9, True)
    dispatcher = tables.dispatchers.get(name)
    shards = tuple(rng.sample(SHARDS, 2))
    grants = [tables.grants[shard] for shard in shards if shard in tables.grants]
    held_shards = tuple(grant.shard for grant in grants)
    epochs = tuple(grant.epoch for grant in grants)
    commands = [
        GrantShards(name, session.incarnation, shards, (1, 1)),
        RevokeShards(held_shards, epochs),
        ConfirmRelease(held_shards, epochs),
        AssignDispatcher(name, rng.choice("hk"), dispatcher.epoch if dispatcher else 0),
        CloseSession(name, session.incarnation, "left", session.opened_epoch),
    ]
    return rng.choices(commands, (6, 4, 4, 1, 0.3))[0]


@pytest.mark.parametrize("seed", range(5))
def test_epoch_of_a_shard_rises_with_each_grant(seed):
    rng, tables = random.Random(seed), DataCentreTables()
    newest_grants, host_by_epoch, n_grants = {}, {}, 0
    for _ in range(N_COMMANDS):
        grants_before = dict(tables.grants)
        apply_data_centre_command(tables, draw_command(rng, tables))
        for shard, grant in tables.grants.items():
            owner = (grant.upstream, grant.incarnation)
            if shard not in grants_before:
                assert grant.epoch > newest_grants.get(shard, (0,))[0]
                newest_grants[shard] = (grant.epoch, owner)
                n_grants += 1
            assert newest_grants[shard] == (grant.epoch, owner)
        for dispatcher in tables.dispatchers.values():
            assert (
                host_by_epoch.setdefault(
                    (dispatcher.upstream, dispatcher.epoch), dispatcher.host
                )
                == dispatcher.host
            )
    assert n_grants > N_COMMANDS / 20
