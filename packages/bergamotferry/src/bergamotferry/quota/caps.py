"""How many requests of an account may be sent in a window, by its rate and burst.

The load is an account that uses all or more of its cap: what is granted must stay below
the cap in any window, and close to it.
"""

from typing import NamedTuple

from ..accounts import Account

# How much of the tolerance above rate and burst is granted: in normal times for delays
# of reports and for sends in stock, and by a new leader as long as it may not know all
# that the previous one granted. The rest is for what nobody counts, such as different
# delays on the way to upstreams.
NORMAL_TOLERANCE_SHARE = 0.5
FULL_TOLERANCE_SHARE = 0.9
# No deployment sends as much. Rates are any finite numbers, and their product with the
# window may be infinite.
N_CAP_MAX = 10**12


class QuotaRules(NamedTuple):
    """Operators' requirements on caps, for all accounts of a deployment.

    In any period of ``window_s``, an account may run (rate x window + burst) x (1 +
    ``overshoot``) + ``slack`` requests.
    """

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0


class Cap(NamedTuple):
    """Limits on what a ledger counts for an account: in normal times, and at most."""

    n_normal: int
    n_full: int


def has_cap(account: Account) -> bool:
    """Return whether an account has a cap; a rate of 0 is none."""
    return account.rate_per_s > 0


def cap_of(account: Account, rules: QuotaRules) -> Cap:
    """Return the limits for an account that has a cap."""
    n_nominal = account.rate_per_s * rules.window_s + account.burst
    tolerance = n_nominal * rules.overshoot + rules.slack
    return Cap(
        int(min(N_CAP_MAX, n_nominal + NORMAL_TOLERANCE_SHARE * tolerance)),
        int(min(N_CAP_MAX, n_nominal + FULL_TOLERANCE_SHARE * tolerance)),
    )


def allowed_in_window(account: Account, rules: QuotaRules) -> float:
    """Return how many requests of an account may run in any window."""
    n_nominal = account.rate_per_s * rules.window_s + account.burst
    return n_nominal * (1 + rules.overshoot) + rules.slack
