from bergamotferry.key_pause import KeyPause, note_held, note_not_held

MS = 1_000_000


def test_requests_for_keys_without_a_holder_share_a_pause_that_doubles():
    """Load: 40 requests a second for a range that nobody holds for three seconds."""
    pause = KeyPause()
    n_sends = 0
    for at_ms in range(0, 3000, 25):
        if pause.until_ns <= at_ms * MS:
            n_sends += 1
            note_not_held(pause, at_ms * MS)
    assert n_sends <= 9
    note_held(pause)
    assert pause == KeyPause()


def test_refusals_of_requests_sent_together_count_once():
    pause = KeyPause()
    for _ in range(5):
        note_not_held(pause, 0)
    assert pause == KeyPause(40 * MS, 1)
