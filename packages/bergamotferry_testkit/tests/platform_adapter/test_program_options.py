"""Command line of the platform's program: checks and exit statuses."""

import json
import sys

import pytest

from bergamotferry import __version__
from bergamotferry_host.fleet_settings import FleetSettings
from bergamotferry_platform import __main__ as program

SERVICE = {"resource-kind": "services", "metadata": {"name": "log"}, "spec": {}}


def run_program(monkeypatch, capsys, *arguments):
    """Run the program; return its exit status and captured output."""
    monkeypatch.setattr(sys, "argv", ["program", *arguments])
    status = 0
    try:
        program.main()
    except SystemExit as error:
        status = error.code
    return status, capsys.readouterr()


def manifest_file(tmp_path, body):
    path = tmp_path / "manifest.json"
    path.write_text(body if isinstance(body, str) else json.dumps(body))
    return str(path)


def test_valid_manifest_passes_the_check_without_settings(
    monkeypatch, capsys, tmp_path
):
    path = manifest_file(tmp_path, {"version": "0000000a", "resources": [SERVICE]})
    status, output = run_program(monkeypatch, capsys, "core", "--check-manifest", path)
    assert (status, output.err) == (0, "")


@pytest.mark.parametrize(
    ("body", "expected_errors"),
    [
        ("{", ["is no JSON"]),
        ("[" * 100_000, ["is no JSON"]),
        # All errors are reported at once.
        (
            {"version": "x", "resources": [{"resource-kind": "services"}]},
            ["manifest.version: is not eight", "resources.0.metadata.name: is missing"],
        ),
    ],
)
def test_each_error_of_a_manifest_is_reported(
    body, expected_errors, monkeypatch, capsys, tmp_path
):
    path = manifest_file(tmp_path, body)
    status, output = run_program(monkeypatch, capsys, "core", "--check-manifest", path)
    assert status == 2
    assert [error for error in expected_errors if error not in output.err] == []


def test_missing_manifest_file_is_an_error(monkeypatch, capsys, tmp_path):
    path = str(tmp_path / "none.json")
    status, output = run_program(monkeypatch, capsys, "edge", "--check-manifest", path)
    assert status == 2
    assert path in output.err


def test_settings_are_checked_without_a_start(monkeypatch, capsys, tmp_path):
    monkeypatch.setenv("BERGAMOTFERRY_CONFIG", str(tmp_path / "none.conf"))
    status, output = run_program(monkeypatch, capsys, "edge", "--check")
    assert status == 2
    assert "none.conf" in output.err


def test_help_lists_every_exit_status_and_version_is_printed(monkeypatch, capsys):
    status, output = run_program(monkeypatch, capsys, "--help")
    assert status == 0
    for number, meaning in program.EXIT_MEANINGS.items():
        assert f"{number}  {meaning}" in output.out
    assert run_program(monkeypatch, capsys, "--version")[1].out.strip() == __version__


@pytest.mark.parametrize("name", ["LOG_LEVEL", "KEY_RANGES", "METRICS_PORT"])
def test_invalid_environment_value_prevents_the_start(monkeypatch, capsys, name):
    monkeypatch.setenv(f"BERGAMOTFERRY_{name}", "bad")
    status, output = run_program(monkeypatch, capsys, "edge", "--check")
    assert status == 2
    assert f"--{name.lower().replace('_', '-')}: " in output.err


@pytest.mark.parametrize(
    ("flag_value", "is_parted"), [("parted", True), ("whole", False)]
)
def test_key_ranges_flag_reaches_the_settings(
    monkeypatch, capsys, tmp_path, flag_value, is_parted
):
    settings = FleetSettings("1.1.1.1", "h", "a", "n", {"a": "n"}, 1, ("1.1.1.1",))
    settings_of_runs = []
    monkeypatch.setattr(program, "read_settings", lambda path, port: settings)
    monkeypatch.setattr(
        program,
        "_run",
        lambda options, path, settings_in_use: settings_of_runs.append(settings_in_use),
    )
    status, _ = run_program(monkeypatch, capsys, "edge", "--key-ranges", flag_value)
    assert status == 0
    assert [
        settings_in_use.splits_busy_ranges for settings_in_use in settings_of_runs
    ] == [is_parted]
