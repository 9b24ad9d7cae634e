"""Tests of settings: flags take precedence, and all errors are reported together."""

import pytest

from bergamotferry_host.settings import (
    build_parser,
    read_settings,
    settings_from_process,
)

VALID_ENVIRONMENT = {
    "BERGAMOTFERRY_HOST_NAME": "a-1",
    "BERGAMOTFERRY_SEEDS": "a-1,a,north,10.0.0.1:7000,durable "
    "b-1,b,north,10.0.0.2:7000",
    "BERGAMOTFERRY_DATA_DIR": "data",
    "BERGAMOTFERRY_OPERATOR_TOKEN": "operator-token-16",
    "BERGAMOTFERRY_UPSTREAM_TOKEN": "upstream-token-16",
    "BERGAMOTFERRY_PEER_TOKEN": "peer-token-of-16",
}

# Changes to valid settings, and the flags of all errors that result.
INVALID_CHANGES = [
    ({"HOST_NAME": "c-1"}, ["host-name"]),
    ({"DATA_DIR": ""}, ["data-dir"]),
    ({"SEEDS": "a-1,a,north"}, ["seeds"]),
    ({"SEEDS": "a-1,a,north,10.0.0.1:7000,durable,x"}, ["seeds"]),
    ({"SEEDS": "a-1,a,north,host:7000,durable"}, ["seeds"]),
    ({"SEEDS": "a-1,A,north,10.0.0.1:7000,durable"}, ["seeds"]),
    (
        {"SEEDS": "a-1,a,north,10.0.0.1:7000,durable a-2,a,south,10.0.0.2:7000"},
        ["seeds"],
    ),
    (
        {"SEEDS": "a-1,a,north,10.0.0.1:7000,durable a-1,a,north,10.0.0.2:7000"},
        ["seeds"],
    ),
    ({"CALLER_ADDRESS": "0.0.0.0:0"}, ["caller-address"]),
    ({"PEER_TOKEN": "short"}, ["peer-token"]),
    ({"PEER_TOKEN": "operator-token-16"}, ["peer-token"]),
    ({"PEER_TOKEN": "with a space in the text"}, ["peer-token"]),
    ({"STOP_GRACE_S": "nan"}, ["stop-grace-s"]),
    ({"N_CALLER_CONNECTIONS_MAX": "0"}, ["n-caller-connections-max"]),
    (
        {
            "BOOTSTRAP": "yes",
            "CONTROL_ADDRESS": "x",
            "STATSD_ADDRESS": "127.0.0.1",
            "OPERATOR_TOKEN": "",
            "LOG_LEVEL": "loud",
            "N_CONTROL_CONNECTIONS_MAX": "many",
        },
        [
            "operator-token",
            "bootstrap",
            "control-address",
            "statsd-address",
            "log-level",
            "n-control-connections-max",
        ],
    ),
]


@pytest.mark.parametrize(("changes", "flags"), INVALID_CHANGES)
def test_all_invalid_settings_are_reported_together(changes, flags):
    environment_changes = {
        f"BERGAMOTFERRY_{name}": value for name, value in changes.items()
    }
    settings, errors = read_settings([], {**VALID_ENVIRONMENT, **environment_changes})
    assert settings is None
    assert [error.flag for error in errors] == flags


def test_flag_takes_precedence_over_its_variable():
    settings, errors = read_settings(["--log-level", "debug"], VALID_ENVIRONMENT)
    assert errors == []
    assert (settings.log_level, settings.host.name) == ("debug", "a-1")


def test_invalid_settings_exit_with_status_2(capsys, monkeypatch):
    for name in VALID_ENVIRONMENT:
        monkeypatch.delenv(name, raising=False)
    with pytest.raises(SystemExit) as caught:
        settings_from_process([])
    assert caught.value.code == 2
    lines = capsys.readouterr().err.splitlines()
    assert [line.split(" ")[1] for line in lines] == [
        "--host-name",
        "--seeds",
        "--operator-token",
        "--upstream-token",
        "--peer-token",
    ]


def test_help_names_the_variable_of_every_flag():
    text = build_parser().format_help()
    for name in VALID_ENVIRONMENT:
        assert name in text
