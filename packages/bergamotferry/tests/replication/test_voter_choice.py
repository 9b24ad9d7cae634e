"""How many voters a group should have, and which hosts."""

import pytest

from bergamotferry.records import HostAddress
from bergamotferry.replication.voter_choice import (
    GLOBAL_GROUP,
    choose_group_size,
    choose_target,
)

HOSTS = {
    name: HostAddress(name, data_centre, "r", "", is_durable)
    for name, data_centre, is_durable in (
        ("a1", "a", True),
        ("a2", "a", False),
        ("a3", "a", False),
        ("b1", "b", True),
        ("b2", "b", False),
    )
}


@pytest.mark.parametrize(
    ("live", "current", "target"),
    [
        ("a1 a2 a3 b1 b2", "", "a1 b1 a2"),
        ("a1 a2 a3 b1 b2", "a3", "a1 b1 a3"),
        ("a1 a2 b2", "", "a1 a2 b2"),
        ("a2 a3 b1", "a2", "b1 a2 a3"),
        ("a1", "", "a1"),
    ],
)
def test_target_voters_of_a_data_centre_group(live, current, target):
    addresses = [HOSTS[name] for name in live.split()]
    chosen = choose_target("dc:a", addresses, current.split())
    assert chosen.voters == tuple(target.split())
    assert chosen.spares == ()


@pytest.mark.parametrize(
    ("group", "n_live", "n_voters", "n_chosen"),
    [
        (GLOBAL_GROUP, 1, 3, 3),
        (GLOBAL_GROUP, 3, 3, 3),
        # Four voters would need three, and have no majority when cut in halves.
        (GLOBAL_GROUP, 4, 3, 3),
        (GLOBAL_GROUP, 5, 3, 5),
        (GLOBAL_GROUP, 16, 3, 5),
        (GLOBAL_GROUP, 6, 5, 5),
        (GLOBAL_GROUP, 7, 5, 7),
        (GLOBAL_GROUP, 16, 5, 7),
        ("dc:a", 16, 3, 3),
    ],
)
def test_two_voters_more_than_the_tolerated_loss_needs(
    group, n_live, n_voters, n_chosen
):
    """Guards against a group that bears no loss beside a host that left for good."""
    assert choose_group_size(group, n_live, n_voters) == n_chosen


@pytest.mark.parametrize(
    ("live", "current", "voters", "spares"),
    [
        # By name alone, all voters would be in one data centre.
        ("a1 a2 a3 b4 c5", "", "a1 b4 c5", "a2 a3"),
        ("a1 a2 a3 b4 c5", "a3 a2 b4", "a3 b4 c5", "a2 a1"),
        ("a1 b2 b3 b4", "b3 b2 a1", "b3 a1 b2", "b4"),
        ("a1 b2", "", "a1 b2", ""),
        ("a1 b2 c3 d4 e5 f6 g7", "g7 f6 e5", "g7 f6 e5", "a1 b2"),
    ],
)
def test_voters_are_spread_over_data_centres(live, current, voters, spares):
    """Guards against the loss of a data centre that takes a majority with it."""
    addresses = [HostAddress(name, name[0], "r", "", True) for name in live.split()]
    target = choose_target(GLOBAL_GROUP, addresses, current.split(), 3)
    assert target.voters == tuple(voters.split())
    assert target.spares == tuple(spares.split())
