"""Until when a host may rely on the keys in its configuration.

The load is every request with an API key, at up to 90 hosts, while any of them may be
frozen or cut off from the control hosts: a key that operators have removed must be
refused everywhere soon, and all others are to be served for as long as possible.

A control host confirms that its tables held every acknowledged change as of some time
on its clock. It reports the age of that confirmation when it builds a reply, and the
host subtracts the age from the time at which it asked. All that may delay the reply
makes the confirmation look older, never newer.
"""

NS_PER_MS = 1_000_000
# Reported instead of an age if nothing is confirmed.
NOT_CONFIRMED_MS = -1
# The clocks of two hosts differ in rate by less than this. As for the holds of keys.
CLOCK_MARGIN_SHARE = 0.02


def confirmed_age_ms(confirmed_ns: int, now_ns: int) -> int:
    """Return the age of a confirmation, rounded up.

    Parameters
    ----------
    confirmed_ns : int
        As of when the tables held every acknowledged change; 0 if that is not known.
    now_ns : int
        Current time on the same clock, read when the tables are read.
    """
    if not confirmed_ns:
        return NOT_CONFIRMED_MS
    return -((confirmed_ns - now_ns) // NS_PER_MS)


def confirmed_at_ns(asked_ns: int, age_ms: int) -> int:
    """Return as of when a reply confirms the state that it reports, or 0.

    Parameters
    ----------
    asked_ns : int
        When the reply was asked for, on the clock of the host that asked.
    age_ms : int
        Age of the confirmation when the reply was built.
    """
    if age_ms < 0:
        return 0
    return max(0, asked_ns - age_ms * NS_PER_MS)


def trusts_keys(confirmed_ns: int, revoke_ms: float, now_ns: int) -> bool:
    """Return whether every key removed longer than ``revoke_ms`` ago is known as such.

    Parameters
    ----------
    confirmed_ns : int
        As of when the configuration held every acknowledged change; 0 if that is not
        known.
    revoke_ms : float
        How long after the acknowledgement of its removal a key may still be used.
    now_ns : int
        Current time, read after the request had arrived.
    """
    bound_ns = revoke_ms * (1 - CLOCK_MARGIN_SHARE) * NS_PER_MS
    return confirmed_ns > 0 and now_ns - confirmed_ns <= bound_ns
