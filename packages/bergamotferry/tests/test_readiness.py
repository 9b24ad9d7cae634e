"""Which statuses of other hosts let a host that has just started serve."""

import pytest

from bergamotferry.messages import GroupStatus, HostStatus
from bergamotferry.readiness import CatchUpTarget, catch_up_target, is_caught_up

VOTERS = ("a", "b", "c")


def status(host, role, index, revision, settled=True, voters=VOTERS):
    group_status = GroupStatus("global", role, 3, "", index, index, voters)
    settled_groups = ("global",) if settled else ()
    return HostStatus(
        host, "dc", "r", "1", revision, False, (group_status,), settled_groups, True
    )


CASES = [
    ("nobody answered", [], None),
    ("one follower of three", [status("a", "follower", 9, 4)], None),
    ("the leader", [status("a", "leader", 9, 4)], CatchUpTarget(9, 4)),
    (
        "a leader that has not committed in its term",
        [status("a", "leader", 0, 0, settled=False)],
        None,
    ),
    (
        "a majority of followers may all have restarted from old snapshots",
        [status("a", "follower", 9, 4), status("b", "follower", 7, 3)],
        None,
    ),
    (
        "a majority that has just started knows nothing",
        [
            status("a", "follower", 0, 0, settled=False),
            status("b", "follower", 0, 0, settled=False),
        ],
        None,
    ),
    (
        "readers don't vote, but their revision counts",
        [status("r", "reader", 8, 6, False, ()), status("a", "leader", 9, 4)],
        CatchUpTarget(9, 6),
    ),
    (
        "a later membership counts, not the one of the settings",
        [
            status("a", "follower", 9, 4, voters=("a", "d", "e", "f", "g")),
            status("b", "follower", 7, 3),
        ],
        None,
    ),
]


@pytest.mark.parametrize(("name", "statuses", "expected"), CASES)
def test_catch_up_target_requires_a_settled_leader(name, statuses, expected):
    assert catch_up_target(statuses, "global") == expected


def test_host_has_caught_up_only_at_the_target_index_and_revision():
    target = CatchUpTarget(9, 4)
    assert is_caught_up(target, 9, 4)
    assert not is_caught_up(target, 8, 4)
    assert not is_caught_up(target, 9, 3)
