"""Which replies to a follower carry the lists of hosts."""

import pytest

from bergamotferry_host.fleet_changes import HOST_EXPIRY_NS
from bergamotferry_host.following.host_lists import (
    REPEAT_INTERVAL_NS,
    HostLists,
    SentLists,
    lists_to_send,
)

LISTS = HostLists(("c1", "c2"), ("h1", "h2"))
CHANGED = HostLists(("c1", "c2"), ("h1", "h2", "h3"))
SOON_NS, LATER_NS = REPEAT_INTERVAL_NS - 1, REPEAT_INTERVAL_NS


@pytest.mark.parametrize(
    ("lists", "is_known_follower", "now_ns", "expected"),
    [
        (LISTS, True, SOON_NS, HostLists()),
        (LISTS, True, LATER_NS, LISTS),
        (CHANGED, True, SOON_NS, CHANGED),
        (LISTS, False, SOON_NS, LISTS),
    ],
)
def test_lists_are_sent_when_they_change_and_again_later(
    lists, is_known_follower, now_ns, expected
):
    sent = {"h1": SentLists(LISTS, 0)}
    assert lists_to_send(sent, "h1", lists, is_known_follower, now_ns) == expected
    sent_ns = 0 if expected == HostLists() else now_ns
    assert sent == {"h1": SentLists(lists, sent_ns)}


def test_first_reply_to_a_follower_carries_the_lists():
    assert lists_to_send({}, "h1", LISTS, True, 0) == LISTS


def test_one_lost_reply_does_not_make_hosts_look_gone():
    """Guards against hosts that change their ranks because a reply was lost."""
    assert 2 * REPEAT_INTERVAL_NS < HOST_EXPIRY_NS
