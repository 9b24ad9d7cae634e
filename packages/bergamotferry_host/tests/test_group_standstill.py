"""The log tells why a group has no leader."""

import random
from types import SimpleNamespace

import pytest

from bergamotferry.commands import Noop
from bergamotferry.messages import LogEntry, Member, Membership
from bergamotferry.replication import Replica, start_replica
from bergamotferry_host import group_standstill
from bergamotferry_host.group_standstill import StandstillWatch, watch_standstill

A, B, C = (Member(name, "1", True) for name in "abc")
NS_PER_S = 10**9


@pytest.mark.parametrize(
    ("is_committed", "uncommitted_voters"), [(True, None), (False, ["a/1", "b/1"])]
)
def test_log_names_the_votes_that_are_missing(
    is_committed, uncommitted_voters, monkeypatch
):
    """Guards against a stopped group whose logs don't tell why (review 11 and 12)."""
    log = [LogEntry(1, 1, Noop()), LogEntry(2, 1, Membership((A, B), ()))]
    replica = Replica("g", A, Membership((A, B, C), ()), random.Random(1), log=log)
    start_replica(replica, 0)
    replica.commit_index = 2 if is_committed else 1
    replica.role, replica.votes = "pre_candidate", {A}
    group = SimpleNamespace(name="g", replica=replica)
    lines = []
    monkeypatch.setattr(
        group_standstill, "log_warning", lambda event, **fields: lines.append(fields)
    )
    watch = StandstillWatch()
    for second in range(1, 16):
        monkeypatch.setattr(group_standstill, "now_ns", lambda s=second: s * NS_PER_S)
        watch_standstill(group, watch)
    assert (
        lines
        == [
            {
                "group": "g",
                "n_needed": 2,
                "voters": ["a/1", "b/1"],
                "no_vote_from": ["b/1"],
                "uncommitted_voters": uncommitted_voters,
            }
        ]
        * 2
    )
    replica.leader = B
    watch_standstill(group, watch)
    assert watch == StandstillWatch(report_due_ns=watch.report_due_ns)
