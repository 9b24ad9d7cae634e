"""Messages between a host that spends shares of usage caps and the leader."""

from typing import NamedTuple


class ShareReport(NamedTuple):
    """What a host has sent for one account, may still send, and wants.

    ``n_sent`` counts all requests since the start of the process. ``recent`` are those
    since the last accepted report, the newest first: each entry has a number of
    requests, and the ages in ms of the newest and of the oldest one when the question
    was asked. ``n_held`` is how many more the host may send, ``n_waiting`` how many
    requests wait because it may not, and ``n_stock`` how many more it wants to hold.
    """

    account: str
    n_sent: int
    recent: tuple[tuple[int, int, int], ...]
    n_held: int
    n_waiting: int
    n_stock: int


class AskShares(NamedTuple):
    """A host reports its shares and asks for more.

    ``process`` names one life of the host's process, and ``number`` rises with each
    question. ``ledger`` and ``stamp_ns`` are those of the last reply. With ``is_full``
    the rows are all that the host has sent in the last window and may still send.
    """

    host: str
    process: str
    number: int
    ledger: str
    stamp_ns: int
    is_full: bool
    rows: tuple[ShareReport, ...]
    is_forwarded: bool = False


class ShareGrant(NamedTuple):
    """How many more requests a host may send for an account, or fewer if negative.

    ``horizon_ms`` is the time whose demand the host should hold in stock. If not all
    that waited are granted, there are none left for about ``retry_ms``, else it is 0.
    ``is_sure`` is false if some may be left: a new leader has not heard of them.
    """

    account: str
    n_more: int
    horizon_ms: int
    retry_ms: int
    is_sure: bool = True


class SharesReply(NamedTuple):
    """The leader's reply; if not accepted, the host sends a full report next.

    ``ledger`` names the ledger of one leader, and ``stamp_ns`` is the leader's clock.
    """

    ledger: str
    stamp_ns: int
    is_accepted: bool
    rows: tuple[ShareGrant, ...]
