"""Connections are ended once nothing of their answers was read for some time."""

from bergamotferry.memory.unread_answers import (
    UNREAD_TIMEOUT_NS,
    Unread,
    update_unread,
)


def test_a_connection_of_which_nothing_is_read_is_ended_after_the_timeout():
    known, ended = update_unread({}, {1: 500}, 7)
    assert (known, ended) == ({1: Unread(500, 7)}, [])
    known, ended = update_unread(known, {1: 500}, 6 + UNREAD_TIMEOUT_NS)
    assert ended == []
    assert update_unread(known, {1: 500}, 7 + UNREAD_TIMEOUT_NS)[1] == [1]


def test_a_connection_that_is_read_slowly_stays():
    """Guards against slow callers that lose an answer which they are reading."""
    known, _ = update_unread({}, {1: 500}, 0)
    known, ended = update_unread(known, {1: 499}, 2 * UNREAD_TIMEOUT_NS)
    assert (known, ended) == ({1: Unread(499, 2 * UNREAD_TIMEOUT_NS)}, [])


def test_what_was_read_is_forgotten():
    known, _ = update_unread({}, {1: 500}, 0)
    assert update_unread(known, {}, 1) == ({}, [])
