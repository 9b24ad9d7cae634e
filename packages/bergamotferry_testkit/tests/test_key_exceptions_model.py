"""A hot key changes its upstream only after its earlier requests have ended.

A key exception places a hot key apart from its home shard, in a shard of its own. The
tests guard against two upstreams that run one key: one still runs requests of the home
shard while another already gets requests of the exception, and the same in reverse
when the exception ends.
"""

import pytest
from test_ownership_model import (
    CHECKING_UPSTREAMS,
    HOT_KEYS,
    UPSTREAMS,
    OwnershipMachine,
)

from bergamotferry.commands import DrainSession
from bergamotferry.records import KeyException, ShardId
from bergamotferry_testkit.ownership_model import UpstreamModel

Key = tuple[ShardId, int]

# Every permitted move is complete after this number of rounds.
N_SETTLE_ROUNDS = 28


def _started_machine(key: Key) -> OwnershipMachine:
    machine = OwnershipMachine()
    machine.begin()
    machine.idle_upstream = next(
        name for name in UPSTREAMS if name != _owner(machine, key)
    )
    return machine


def _owner(machine: OwnershipMachine, key: Key) -> str:
    shard = machine.tables.exception_shards.get(key, key[0])
    return machine.tables.grants[shard].upstream


def _exception(machine: OwnershipMachine, key: Key) -> KeyException:
    return machine.tables.key_exceptions[machine.tables.exception_shards[key]]


def _finish_all_requests(machine: OwnershipMachine) -> None:
    for name in UPSTREAMS:
        machine.finish_requests(name)
    machine.settle(N_SETTLE_ROUNDS)


@pytest.mark.parametrize("lost_state", ["dispatcher", "answers"])
def test_exception_moves_only_after_earlier_requests_have_ended(
    lost_state: str,
) -> None:
    key = HOT_KEYS[0]
    machine = _started_machine(key)
    owner = _owner(machine, key)
    machine.write_requests()
    machine.are_keys_hot = True
    machine.settle(N_SETTLE_ROUNDS // 2)
    if lost_state == "dispatcher":
        machine.hosts[machine.tables.dispatchers[owner].host].restart()
    else:
        machine.processes[owner].running.clear()
    machine.settle(N_SETTLE_ROUNDS)
    assert _owner(machine, key) == owner
    _finish_all_requests(machine)
    assert _owner(machine, key) == machine.idle_upstream


def test_delayed_request_is_refused_once_its_key_has_an_exception() -> None:
    key = HOT_KEYS[2]
    machine = _started_machine(key)
    owner = _owner(machine, key)
    assert owner in CHECKING_UPSTREAMS
    machine.upstream_faults[owner] = {"deliveries late"}
    machine.write_requests()
    machine.upstream_faults[owner] = set()
    machine.are_keys_hot = True
    machine.settle(N_SETTLE_ROUNDS // 2)
    _finish_all_requests(machine)
    assert _owner(machine, key) == machine.idle_upstream
    assert key[0] in machine.processes[owner].grants
    assert machine.late_messages
    machine.deliver_all_late()
    machine.check()


def test_key_returns_home_only_after_its_own_requests_have_ended() -> None:
    key = HOT_KEYS[2]
    machine = _started_machine(key)
    home_owner = _owner(machine, key)
    machine.are_keys_hot = True
    machine.settle(N_SETTLE_ROUNDS)
    assert _owner(machine, key) == machine.idle_upstream
    machine.write_requests()
    machine.are_keys_hot = False
    machine.end_exceptions()
    machine.settle(N_SETTLE_ROUNDS)
    assert _exception(machine, key).is_ending
    first_epoch = _exception(machine, key).first_epoch
    _finish_all_requests(machine)
    assert key not in machine.tables.exception_shards
    assert _owner(machine, key) == home_owner
    assert machine.tables.grants[key[0]].epoch > first_epoch


def test_restarted_upstream_confirms_release_before_its_old_grants_are_freed() -> None:
    machine = _started_machine(HOT_KEYS[0])
    restarted = next(name for name in UPSTREAMS if name not in CHECKING_UPSTREAMS)
    host = machine.hosts[machine.tables.dispatchers[restarted].host]
    host.faults = {"log stalled", "partitioned"}
    machine.processes[restarted] = UpstreamModel(restarted, False, 2)
    machine.announce(restarted)
    # The old dispatcher has not applied the restart and still sends requests under
    # the old grants.
    machine.write_requests()
    assert machine.processes[restarted].running
    machine.log.append(DrainSession(restarted, 2, False))
    machine.settle(N_SETTLE_ROUNDS)
    owners = {grant.upstream for grant in machine.tables.grants.values()}
    assert restarted in owners
    _finish_all_requests(machine)
    owners = {grant.upstream for grant in machine.tables.grants.values()}
    assert restarted not in owners
