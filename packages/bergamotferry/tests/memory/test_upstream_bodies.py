"""Large bodies to one upstream follow each other."""

from bergamotferry.memory.upstream_bodies import (
    UNCOUNTED_MAX_BYTES,
    UNDER_WAY_MAX_BYTES,
    counted_bytes,
    may_take_body,
)


def test_large_bodies_wait_for_those_under_way_and_small_ones_do_not():
    """Guards against an upstream that ends for the bodies that it holds at once."""
    n_under_way = UNDER_WAY_MAX_BYTES
    assert not may_take_body(n_under_way, UNCOUNTED_MAX_BYTES + 1)
    assert may_take_body(n_under_way, UNCOUNTED_MAX_BYTES)
    assert may_take_body(n_under_way, 0)


def test_bodies_fit_side_by_side_up_to_the_bound():
    half = UNDER_WAY_MAX_BYTES // 2
    assert may_take_body(half, half)
    assert not may_take_body(half + 1, half)


def test_one_body_of_any_size_may_be_sent():
    assert may_take_body(0, 2 * UNDER_WAY_MAX_BYTES)


def test_small_bodies_are_not_counted():
    assert counted_bytes(UNCOUNTED_MAX_BYTES) == 0
    assert counted_bytes(UNCOUNTED_MAX_BYTES + 1) == UNCOUNTED_MAX_BYTES + 1
