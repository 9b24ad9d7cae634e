"""Flags and their environment variables, errors in settings, and the help."""

import pytest

from bergamotferry_ctl.exits import EXIT_MEANINGS, Exit
from bergamotferry_ctl.main import main
from bergamotferry_ctl.parser import parse

GOOD = {"BERGAMOTFERRY_OPERATOR_TOKEN": "operator"}


def test_flag_overrides_its_variable_before_or_after_the_command():
    environment = {**GOOD, "BERGAMOTFERRY_CONTROL_ADDRESSES": "10.0.0.1:1"}
    _, settings, errors = parse(["status"], environment)
    assert (settings.addresses, settings.token, errors) == (
        ("10.0.0.1:1",),
        "operator",
        [],
    )
    for arguments in (["--addresses", "10.0.0.2:2", "status"], ["status", "--json"]):
        _, settings, errors = parse(arguments, environment)
        assert errors == []
        assert (settings.addresses[0] == "10.0.0.2:2") != settings.is_json


def test_every_bad_setting_is_reported_at_once():
    environment = {
        "BERGAMOTFERRY_CONTROL_ADDRESSES": "10.0.0.1,10.0.0.2:99999",
        "BERGAMOTFERRY_WAIT_S": "soon",
        "BERGAMOTFERRY_JSON": "yes",
    }
    _, _, errors = parse(["status"], environment)
    flags = [error.flag for error in errors]
    assert flags == ["addresses", "addresses", "token", "wait-s", "json"]


def test_bad_settings_exit_with_status_2(capsys, monkeypatch):
    monkeypatch.delenv("BERGAMOTFERRY_OPERATOR_TOKEN", raising=False)
    with pytest.raises(SystemExit) as caught:
        main(["status", "--wait-s", "-1"])
    assert caught.value.code == 2
    lines = capsys.readouterr().err.splitlines()
    assert [line.split(":")[1] for line in lines] == [
        " --token (BERGAMOTFERRY_OPERATOR_TOKEN)",
        " --wait-s (BERGAMOTFERRY_WAIT_S)",
    ]


def test_help_shows_examples_and_every_exit_status(capsys):
    with pytest.raises(SystemExit):
        main(["--help"])
    text = capsys.readouterr().out
    assert "bergamotferryctl apply note-7.json" in text
    assert set(EXIT_MEANINGS) == set(Exit)
    assert all(meaning in text for meaning in EXIT_MEANINGS.values())
