"""Decoding of the platform's settings file."""

import pytest

from bergamotferry_platform.settings import SettingsError, decode_settings

EDGE_SETTINGS = """
node-name=edge-a-1
serves=edge
ip=10.1.0.10
zone=a
region=north
zones.a=north
zones.b=south
listen-addrs.front=10.1.0.10:8000
listen-addrs.ready=10.1.0.10:8001
internal-port-range=7000,7015
seed-nodes=10.1.0.1:9000,10.2.0.1:9000,10.3.0.1:9000
bootstrap=true
limits.max-fds=4100
heartbeat-ms=870
fault-tolerance.machines=2
something-new=1
bounds=drain-ms=2500,grace-s=6,retry-budget-slack=64,hold-max-ms=9000,future-field=x
"""


def test_file_is_read_into_product_settings():
    settings = decode_settings(EDGE_SETTINGS)
    assert settings.name == "10.1.0.10"
    assert settings.data_centre == "a"
    assert settings.regions == {"a": "north", "b": "south"}
    assert settings.peer_port == 7000
    assert settings.seeds == ("10.1.0.1", "10.2.0.1", "10.3.0.1")
    assert settings.caller_address == "10.1.0.10:8000"
    assert settings.is_bootstrap
    assert settings.bounds.drain_ms == 2500
    assert settings.bounds.hold_max_ms == 9000
    assert settings.bounds.retry_budget_reserve == 64
    assert settings.bounds.n_lost_disks_max == 2
    # A field that the file does not set has its default.
    assert settings.bounds.retry_budget_ratio == 0.2
    assert not settings.bounds.is_fail_closed
    assert settings.bounds.revoke_ms == 5_000


def test_revocation_of_keys_is_read_from_the_bounds():
    text = EDGE_SETTINGS.replace("grace-s=6", "fail-closed=true,revoke-ms=3000")
    bounds = decode_settings(text).bounds
    assert bounds.is_fail_closed
    assert bounds.revoke_ms == 3_000
    text = EDGE_SETTINGS.replace("grace-s=6", "fail-closed=false")
    assert not decode_settings(text).bounds.is_fail_closed
    text = EDGE_SETTINGS.replace("grace-s=6", "fail-closed=yes")
    with pytest.raises(SettingsError, match="bounds.fail-closed: 'yes'"):
        decode_settings(text)


def test_rules_for_caps_are_read_from_the_bounds():
    text = EDGE_SETTINGS.replace(
        "grace-s=6", "quota-window-s=4,quota-overshoot=0.2,quota-slack=7"
    )
    bounds = decode_settings(text).bounds
    assert bounds.quota_window_s == 4.0
    assert bounds.quota_overshoot == 0.2
    assert bounds.quota_slack == 7.0
    bounds = decode_settings(EDGE_SETTINGS).bounds
    assert (bounds.quota_window_s, bounds.quota_overshoot) == (5.0, 0.1)
    assert bounds.quota_slack == 20.0
    for wrong in ("quota-window-s=0", "quota-slack=-1"):
        with pytest.raises(SettingsError):
            decode_settings(EDGE_SETTINGS.replace("grace-s=6", wrong))


def test_all_errors_are_reported_at_once():
    text = EDGE_SETTINGS.replace("ip=10.1.0.10\n", "").replace("7000,7015", "none")
    text = text.replace("zones.a=north\n", "").replace("grace-s=6", "grace-s=soon")
    with pytest.raises(SettingsError) as caught:
        decode_settings(text)
    assert caught.value.lines == [
        "internal-port-range: 'none' is no port",
        "bounds.grace-s: 'soon' is no number",
        "the host's own IP number is missing",
        "data centre 'a' has no region",
        "0 is no port for peers",
    ]


def test_control_host_needs_a_data_folder():
    text = EDGE_SETTINGS.replace("listen-addrs.front", "listen-addrs.control")
    with pytest.raises(SettingsError, match="data folder"):
        decode_settings(text)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("grace-s=6", "grace-s=inf"),
        ("grace-s=6", "grace-s=nan"),
        ("grace-s=6", "grace-s=1e999"),
        ("7000,7015", "\u0667000,7015"),
        ("7000,7015", "9" * 5_000),
    ],
)
def test_number_that_no_setting_can_have_prevents_the_start(old, new):
    assert old in EDGE_SETTINGS
    with pytest.raises(SettingsError):
        decode_settings(EDGE_SETTINGS.replace(old, new))
