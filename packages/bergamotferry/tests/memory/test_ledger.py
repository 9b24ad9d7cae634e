"""What a host may hold in all, and which senders are ended when that is reached."""

from bergamotferry.memory.ledger import (
    MIB,
    SMALL_BYTES,
    Holding,
    MemoryLedger,
    begin_sending,
    end_sending,
    give_back,
    hold,
    hold_anyway,
    record_progress,
)

SECOND_NS = 1_000_000_000


def ledger_of(n_mib):
    return MemoryLedger(n_mib * MIB)


def sender(ledger, n_bytes, now_ns, ended, name):
    holding = Holding(ledger, "body")
    assert hold(holding, n_bytes, now_ns)
    begin_sending(holding, lambda: ended.append(name), now_ns)
    return holding


def test_a_process_without_a_limit_of_memory_has_no_bound():
    assert hold(Holding(MemoryLedger.from_memory(0), "body"), 2**40)


def test_a_body_of_64_mib_fits_from_a_limit_of_180_mib_on():
    """Guards against a default that refuses a body which the configuration allows."""
    for memory_mb in (180, 200, 300):
        body = Holding(MemoryLedger.from_memory(memory_mb), "body")
        assert hold(body, 64 * MIB + SMALL_BYTES)


def test_a_process_with_less_memory_than_it_needs_itself_holds_nothing():
    """Guards against 0 bytes, which stand for no bound."""
    assert not hold(Holding(MemoryLedger.from_memory(48), "body"), 2)


def test_bytes_of_all_purposes_count_together():
    ledger = ledger_of(10)
    hold_anyway(Holding(ledger, "unread"), 6 * MIB)
    assert not hold(Holding(ledger, "body"), 4 * MIB)
    assert hold(Holding(ledger, "answer"), SMALL_BYTES)
    assert ledger.held_bytes == {"unread": 6 * MIB, "answer": SMALL_BYTES}


def test_a_holding_without_room_keeps_what_it_had_and_gives_it_back_once():
    ledger = ledger_of(10)
    body = Holding(ledger, "body")
    assert hold(body, 2 * MIB)
    assert not hold(body, 20 * MIB)
    assert ledger.held_bytes["body"] == 2 * MIB
    give_back(body)
    give_back(body)
    assert ledger.held_bytes["body"] == 0


def test_large_bodies_leave_room_for_small_ones():
    """Guards against ordinary callers that are refused while others hold all room."""
    ledger = ledger_of(10)
    while hold(Holding(ledger, "body"), MIB):
        pass
    assert hold(Holding(ledger, "body"), SMALL_BYTES)


def test_the_sender_that_stalled_longest_is_ended_first_and_no_more_than_needed():
    ledger, ended = ledger_of(10), []
    for number, name in enumerate(["first", "second", "third"]):
        sender(ledger, 2 * MIB, number * SECOND_NS, ended, name)
    assert not hold(Holding(ledger, "body"), 4 * MIB, 5 * SECOND_NS)
    assert ended == ["first", "second"]
    assert ledger.n_ended == 2


def test_senders_that_make_progress_are_not_ended():
    ledger, ended = ledger_of(10), []
    slow = sender(ledger, 4 * MIB, 0, ended, "slow")
    sender(ledger, 4 * MIB, 0, ended, "stalled")
    record_progress(slow, 4 * SECOND_NS)
    assert not hold(Holding(ledger, "body"), 8 * MIB, 4 * SECOND_NS + 1)
    assert ended == ["stalled"]
    assert slow.end is not None


def test_a_body_that_has_arrived_is_not_ended():
    ledger, ended = ledger_of(10), []
    end_sending(sender(ledger, 4 * MIB, 0, ended, "whole"))
    assert not hold(Holding(ledger, "body"), 8 * MIB, 9 * SECOND_NS)
    assert ended == []


def test_an_ended_sender_has_its_bytes_until_it_gives_them_back():
    """Guards against bytes that are held twice while a request ends."""
    ledger, ended = ledger_of(10), []
    stalled = sender(ledger, 8 * MIB, 0, ended, "stalled")
    wanted = Holding(ledger, "body")
    assert not hold(wanted, 4 * MIB, 9 * SECOND_NS)
    assert not hold(wanted, 4 * MIB, 9 * SECOND_NS)
    assert ended == ["stalled"]
    give_back(stalled)
    assert hold(wanted, 4 * MIB, 9 * SECOND_NS)
