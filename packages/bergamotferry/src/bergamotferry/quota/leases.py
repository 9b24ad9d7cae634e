"""How long shares are valid and sends count, and by how much clocks may differ.

Sends must be counted for longer than the window in which callers are limited, and
shares for longer than hosts use them, whatever the clocks of the hosts do.
"""

from .caps import QuotaRules

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
# How long a share is valid from when its host asked. Longer than an election and the
# search for another control host, and shorter than a configuration takes to apply.
LEASE_NS = 2 * NS_PER_S
# The clocks of two hosts differ in rate by less than this. As for the holds of keys.
CLOCK_MARGIN_SHARE = 0.02
# A send counts longer than the window by this share of it, for the leader's clock
# rate, and by how much requests differ in how long they are on their way to upstreams.
# With 2% and 50 ms, 5 of 100 requests at three times the rate were refused below the
# cap, since an account that is over its cap sends in bursts.
WINDOW_MARGIN_SHARE = 0.01
DELAY_MARGIN_NS = 20 * NS_PER_MS
LEASE_LEDGER_NS = int(LEASE_NS * (1 + CLOCK_MARGIN_SHARE))


def counted_window_ns(rules: QuotaRules) -> int:
    """Return for how long a ledger counts a send."""
    window_ns = rules.window_s * NS_PER_S * (1 + WINDOW_MARGIN_SHARE)
    return int(window_ns) + DELAY_MARGIN_NS
