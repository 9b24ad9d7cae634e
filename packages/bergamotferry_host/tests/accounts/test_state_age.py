"""Which replies of control hosts confirm a configuration, and as of when."""

import pytest

from bergamotferry.accounts import NOT_CONFIRMED_MS
from bergamotferry.configuration import CallerLimits, Configuration
from bergamotferry.fleet_messages import FleetChanges
from bergamotferry_host.accounts.state_age import (
    is_older_than,
    record_confirmation,
    state_age_ms,
)
from bergamotferry_host.direct_host import DirectHost
from bergamotferry_host.fleet_changes import apply_changes
from bergamotferry_host.fleet_settings import FleetSettings

SETTINGS = FleetSettings("1.1.1.9", "h", "a", "n", {"a": "n"}, 1, ("1.1.1.1",))
SECOND_NS = 1_000_000_000
ASKED_NS = 100 * SECOND_NS
REPLY = FleetChanges(
    "p", True, 0, (), 5, 2, b"2", (), (), (), (), 1, confirmed_age_ms=0
)


def decode(source):
    """Return the configuration of a version; the text of version 3 has errors."""
    if source == b"3":
        return ["error"]
    return Configuration.from_rows(int(source), [], [], CallerLimits())


def confirmed_ns(*replies):
    """Return as of when replies to polls of successive seconds confirm the state."""
    host = DirectHost(SETTINGS, None, decode)
    for number, reply in enumerate(replies):
        apply_changes(host, reply)
        record_confirmation(host, reply, ASKED_NS + number * SECOND_NS)
    return host.confirmed_ns


@pytest.mark.parametrize(
    ("changes", "is_confirmed"),
    [
        ({}, True),
        ({"configuration_version": 1, "configuration_source": b"1"}, True),
        ({"revision": 6, "configuration_source": b""}, True),
        # The control host has no contact with the leader, but had it then.
        ({"is_current": False}, True),
        # It has confirmed nothing yet, or is of a version without the field.
        ({"confirmed_age_ms": -1}, False),
        # An older state, of another control host or from a delayed reply.
        ({"revision": 4, "configuration_version": 1}, False),
        ({"configuration_version": 3, "configuration_source": b"3"}, False),
        ({"configuration_version": 3, "configuration_source": b"x\x9cdamaged"}, False),
    ],
)
def test_only_replies_that_are_applied_whole_confirm_the_state(changes, is_confirmed):
    """Guards against a host that counts a configuration as known which it lacks."""
    second = REPLY._replace(**changes)
    expected_ns = ASKED_NS + is_confirmed * SECOND_NS
    assert confirmed_ns(REPLY, second) == expected_ns


def test_host_that_could_not_decode_a_configuration_stays_unconfirmed():
    """Guards against a later reply without a text that hides the missing version."""
    broken = REPLY._replace(configuration_version=3, configuration_source=b"3")
    again = broken._replace(configuration_source=b"")
    mended = broken._replace(configuration_version=4, configuration_source=b"4")
    assert confirmed_ns(REPLY, broken, again) == ASKED_NS
    assert confirmed_ns(REPLY, broken, again, mended) == ASKED_NS + 3 * SECOND_NS


def test_age_of_the_reply_counts_from_when_it_was_asked_for():
    """Guards against a reply that waited, here or there, and looks fresh."""
    second = REPLY._replace(confirmed_age_ms=400)
    third = REPLY._replace(confirmed_age_ms=2_500)
    assert confirmed_ns(REPLY, second) == ASKED_NS + 600_000_000
    # An older confirmation takes back no newer one.
    assert confirmed_ns(REPLY, second, third) == ASKED_NS + 600_000_000


def test_age_counts_from_the_poll_and_is_unknown_before_the_first_reply():
    host = DirectHost(SETTINGS, None, decode)
    assert state_age_ms(host, ASKED_NS) == NOT_CONFIRMED_MS
    assert is_older_than(host, 1e9, ASKED_NS)
    apply_changes(host, REPLY)
    record_confirmation(host, REPLY, ASKED_NS)
    assert state_age_ms(host, ASKED_NS + 2 * SECOND_NS) == 2_000
    assert not is_older_than(host, 2_000, ASKED_NS + 2 * SECOND_NS)
    assert is_older_than(host, 1_999, ASKED_NS + 2 * SECOND_NS)
