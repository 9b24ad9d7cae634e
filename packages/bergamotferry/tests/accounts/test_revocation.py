"""No key is served longer than it may be, and none is refused early."""

import pytest
from revocation_world import REVOKE_MS, World

from bergamotferry.accounts import (
    NOT_CONFIRMED_MS,
    confirmed_age_ms,
    confirmed_at_ns,
    trusts_keys,
)

MS = 1_000_000


@pytest.mark.parametrize("seed", range(12))
def test_no_request_runs_with_a_key_that_was_removed_longer_ago_than_the_bound(seed):
    """Guards against state that looks newer than it is, at any step of its way."""
    world = World(seed, n_hosts=6)
    world.run(until_s=120)
    late = [
        sent_s - removed_s
        for sent_s, is_served, removed_s in world.requests
        if is_served and sent_s - removed_s > REVOKE_MS / 1000
    ]
    assert late == []
    # The play contains what it is about: keys that were served after their removal,
    # and refusals of keys that were removed or are too old to be sure of.
    n_served_after = sum(
        is_served and sent_s > removed_s
        for sent_s, is_served, removed_s in world.requests
    )
    assert n_served_after > 50
    assert sum(age_ms > REVOKE_MS for age_ms in world.ages_ms) > 50


def test_without_faults_no_valid_key_is_refused_and_the_state_is_recent():
    """Guards against refusals that the rule doesn't call for."""
    world = World(1, n_hosts=6, is_calm=True)
    world.run(until_s=60)
    settled = [row for row in world.requests if row[0] > 2.0]
    assert all(is_served for sent_s, is_served, removed_s in settled if removed_s > 1e9)
    # A removed key is refused as soon as the next poll has brought the removal.
    assert not any(
        is_served for sent_s, is_served, removed_s in settled if sent_s > removed_s + 1
    )
    n_settled = len(settled)
    assert max(world.ages_ms[-n_settled:]) < REVOKE_MS / 5


def test_age_is_rounded_up_and_unknown_without_a_confirmation():
    assert confirmed_age_ms(0, 5 * MS) == NOT_CONFIRMED_MS
    assert confirmed_age_ms(2 * MS, 5 * MS) == 3
    assert confirmed_age_ms(2 * MS - 1, 5 * MS) == 4
    assert confirmed_at_ns(9 * MS, 4) == 5 * MS
    # A control host of a version without the field confirms nothing.
    assert confirmed_at_ns(9 * MS, NOT_CONFIRMED_MS) == 0


def test_keys_are_trusted_up_to_the_bound_less_a_margin_for_clock_rates():
    assert not trusts_keys(0, 5_000, 1)
    assert trusts_keys(1 * MS, 5_000, 4_901 * MS)
    assert not trusts_keys(1 * MS, 5_000, 4_902 * MS)
