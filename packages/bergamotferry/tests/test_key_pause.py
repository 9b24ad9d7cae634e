"""Refusals for keys without a holder pause sends, for a time that doubles."""

from bergamotferry.key_pause import KeyPause, record_held, record_not_held

NS_PER_MS = 1_000_000


def test_requests_for_keys_without_a_holder_share_a_doubling_pause():
    """Load: 40 requests a second for 3 s, all for a range without a holder."""
    pause = KeyPause()
    n_sends = 0
    for now_ms in range(0, 3000, 25):
        if pause.until_ns <= now_ms * NS_PER_MS:
            n_sends += 1
            record_not_held(pause, now_ms * NS_PER_MS)
    assert n_sends <= 9
    record_held(pause)
    assert pause == KeyPause()


def test_refusals_of_concurrent_requests_count_once():
    pause = KeyPause()
    for _ in range(5):
        record_not_held(pause, 0)
    assert pause == KeyPause(40 * NS_PER_MS, 1)
