"""Every key gets one holder, ranges are spread evenly, and few ranges move."""

from bergamotferry.configuration import N_SHARD_KEYS
from bergamotferry.fleet_tables import KeyRange
from bergamotferry.key_ranges import N_RANGES_PER_SERVICE, plan_ranges
from bergamotferry.upstream_sessions import SessionRow


def upstream(name: str, **changes) -> SessionRow:
    session = SessionRow(name, 1, 1, "s", f"1.1.1.{name[1:]}:1", "dc", 2, "ready", 0)
    return session._replace(**changes)


def by_name(*sessions: SessionRow) -> dict[str, SessionRow]:
    return {session.name: session for session in sessions}


def after_moves(upstreams, ranges=(), evacuated=frozenset()) -> list[KeyRange]:
    """Return the ranges after all planned moves."""
    ranges_by_key = {key_range.first_key: key_range for key_range in ranges}
    for move in plan_ranges("s", ranges, upstreams, evacuated):
        holder = move.next_holder
        ranges_by_key[move.first_key] = KeyRange(
            "s",
            move.first_key,
            move.last_key,
            holder.name,
            holder.born_ms,
            holder.address,
            1,
            "",
        )
    return [ranges_by_key[key] for key in sorted(ranges_by_key)]


def n_moved(before: list[KeyRange], after: list[KeyRange]) -> int:
    return sum(a.upstream != b.upstream for a, b in zip(before, after, strict=True))


def test_every_key_gets_one_holder_and_ranges_are_spread_evenly():
    ranges = after_moves(by_name(*(upstream(f"u{n}") for n in range(8))))
    bounds = [(key_range.first_key, key_range.last_key) for key_range in ranges]
    assert bounds[0][0] == 0
    assert bounds[-1][1] == N_SHARD_KEYS - 1
    assert all(a[1] + 1 == b[0] for a, b in zip(bounds, bounds[1:], strict=False))
    n_per_upstream = [sum(r.upstream == f"u{n}" for r in ranges) for n in range(8)]
    assert n_per_upstream == [N_RANGES_PER_SERVICE // 8] * 8


def test_nothing_moves_while_all_holders_are_ready():
    upstreams = by_name(*(upstream(f"u{n}") for n in range(5)))
    ranges = after_moves(upstreams)
    assert plan_ranges("s", ranges, upstreams, frozenset()) == []


def test_only_ranges_of_a_leaving_holder_move():
    upstreams = by_name(*(upstream(f"u{n}") for n in range(4)))
    ranges = after_moves(upstreams)
    for phase in ("draining", "gone"):
        changed_upstreams = {**upstreams, "u1": upstream("u1", phase=phase)}
        after = after_moves(changed_upstreams, ranges)
        assert n_moved(ranges, after) == N_RANGES_PER_SERVICE // 4
        assert not any(key_range.upstream == "u1" for key_range in after)


def test_earlier_incarnations_and_evacuated_data_centres_hold_nothing():
    upstreams = by_name(upstream("u0"), upstream("u1", data_centre="other"))
    ranges = after_moves(upstreams)
    restarted_upstreams = {**upstreams, "u0": upstream("u0", born_ms=2)}
    moves = plan_ranges("s", ranges, restarted_upstreams, frozenset())
    assert {move.current.upstream for move in moves} == {"u0"}
    after = after_moves(upstreams, ranges, frozenset({"other"}))
    assert {key_range.upstream for key_range in after} == {"u0"}
    assert plan_ranges("s", ranges, {}, frozenset()) == []


def test_new_upstream_gets_its_fair_share_without_further_moves():
    upstreams = by_name(*(upstream(f"u{n}") for n in range(3)))
    ranges = after_moves(upstreams)
    with_new_upstream = {**upstreams, "u9": upstream("u9")}
    after = after_moves(with_new_upstream, ranges)
    assert (
        sum(key_range.upstream == "u9" for key_range in after)
        == N_RANGES_PER_SERVICE // 4
    )
    assert n_moved(ranges, after) == N_RANGES_PER_SERVICE // 4


def test_released_range_gets_a_holder_even_if_it_is_the_same():
    upstreams = by_name(upstream("u0"), upstream("u1"))
    ranges = after_moves(upstreams)
    released_keys = [
        key_range.first_key for key_range in ranges if key_range.upstream == "u1"
    ][:3]
    moves = plan_ranges("s", ranges, upstreams, frozenset(), frozenset(released_keys))
    assert [move.first_key for move in moves] == released_keys
    assert {move.next_holder.name for move in moves} == {"u1"}
    assert [move.current.upstream for move in moves] == ["u1"] * 3
