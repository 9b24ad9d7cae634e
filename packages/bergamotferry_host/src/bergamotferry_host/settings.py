"""Settings of the daemon: flags, each with an environment variable of the same name.

A flag takes precedence over its variable. All invalid settings are reported together,
one line each, and the process ends with exit status 2.
"""

import argparse
import ipaddress
import os
import re
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from bergamotferry import __version__
from bergamotferry.records import HostAddress

ENVIRONMENT_PREFIX = "BERGAMOTFERRY_"
TOKEN_MIN_LENGTH = 16
_TOKEN_FLAGS = ("operator-token", "upstream-token", "peer-token")
_COUNT_FLAGS = ("n-caller-connections-max", "n-control-connections-max")
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}\Z")
REQUEST_POLICIES = (
    "early-refusal",
    "hot-keys",
    "isolation",
    "retry-budget",
    "slow-start",
    "stragglers",
)


class Settings(NamedTuple):
    """Validated settings of one host."""

    host: HostAddress
    seeds: tuple[HostAddress, ...]
    caller_address: str
    control_address: str
    peer_address: str
    data_dir: Path | None
    is_bootstrap: bool
    operator_token: str
    upstream_token: str
    peer_token: str
    statsd_address: str
    log_level: str
    stop_grace_s: float
    request_policies_off: frozenset[str]
    link_mbit_per_s: float
    n_caller_connections_max: int = 12_000
    n_control_connections_max: int = 2_000


class SettingError(NamedTuple):
    """An invalid setting, by the name of its flag."""

    flag: str
    message: str


class _Flag(NamedTuple):
    name: str
    default: str | None
    help: str


_FLAGS = (
    _Flag("host-name", None, "name of this host; must be one of the seeds"),
    _Flag(
        "seeds",
        None,
        "all hosts, separated by spaces, each as "
        "NAME,DATA_CENTRE,REGION,IP:PORT[,durable]; IP:PORT is the peer address",
    ),
    _Flag("caller-address", "127.0.0.1:8080", "IP:PORT for HTTP requests of callers"),
    _Flag("control-address", "127.0.0.1:8081", "IP:PORT for upstreams and operators"),
    _Flag("data-dir", "", "folder for durable state; makes this host a durable voter"),
    _Flag("operator-token", None, "token that operators send"),
    _Flag("upstream-token", None, "token that upstreams send"),
    _Flag("peer-token", None, "token that the hosts send each other"),
    _Flag("statsd-address", "", "IP:PORT of statsd; empty sends no metrics"),
    _Flag("log-level", "info", "debug, info, warning or error"),
    _Flag("stop-grace-s", "20", "longest wait for work in flight at a planned stop"),
    _Flag("n-caller-connections-max", "12000", "maximum number of caller connections"),
    _Flag(
        "n-control-connections-max",
        "2000",
        "maximum number of connections to the control address",
    ),
    _Flag(
        "link-mbit-per-s",
        "0",
        "rate of the link between regions in each direction; bulk is limited to a "
        "share of it; 0 sets no limit",
    ),
    _Flag(
        "request-policies-off",
        "",
        "policies to switch off for a comparison, separated by commas, out of "
        + ", ".join(REQUEST_POLICIES),
    ),
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser; its help lists each flag and the flag's variable."""
    parser = argparse.ArgumentParser(
        prog="bergamotferryd",
        description="The daemon of a bergamotferry entry host.",
        epilog="Every flag has an environment variable: --data-dir is "
        "BERGAMOTFERRY_DATA_DIR. A flag takes precedence over its variable.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    for flag in _FLAGS:
        variable = _env_name(flag.name)
        text = f"{flag.help} [{variable}"
        text += f", default {flag.default}]" if flag.default else "]"
        parser.add_argument(f"--{flag.name}", help=text.replace("%", "%%"))
    parser.add_argument(
        "--bootstrap",
        action="store_true",
        default=None,
        help="first start of a new deployment: a host with an empty data folder "
        f"becomes one of the first voters; never use it to replace a lost disk "
        f"[{_env_name('bootstrap')}=1]",
    )
    return parser


def read_settings(
    arguments: Sequence[str], environment: Mapping[str, str]
) -> tuple[Settings | None, list[SettingError]]:
    """Read and validate flags and variables.

    Returns
    -------
    settings : Settings or None
        None if there is any error.
    errors : list of SettingError
        All errors, not just the first.
    """
    parsed = vars(build_parser().parse_args(arguments))
    errors: list[SettingError] = []
    values: dict[str, str] = {}
    for flag in _FLAGS:
        values[flag.name] = _flag_value(flag, parsed, environment, errors)
    bootstrap_text = environment.get(_env_name("bootstrap"), "0")
    if bootstrap_text not in ("0", "1"):
        errors.append(SettingError("bootstrap", "the variable must be 0 or 1"))
    is_bootstrap = bool(parsed["bootstrap"]) or bootstrap_text == "1"
    seeds = _read_seeds(values["seeds"], errors)
    own = _own_seed(values, seeds, errors)
    for name in ("caller-address", "control-address", "statsd-address"):
        _check_address(name, values[name], errors)
    _check_tokens(values, errors)
    if values["log-level"] not in ("debug", "info", "warning", "error"):
        errors.append(
            SettingError("log-level", "must be debug, info, warning or error")
        )
    link_mbit_per_s = _read_number("link-mbit-per-s", values, 1_000_000, errors)
    policies_off = frozenset(values["request-policies-off"].split(",")) - {""}
    for name in sorted(policies_off.difference(REQUEST_POLICIES)):
        errors.append(SettingError("request-policies-off", f"unknown policy {name!r}"))
    stop_grace_s = _read_number("stop-grace-s", values, 3600, errors)
    limits = [_read_count(name, values[name], errors) for name in _COUNT_FLAGS]
    if own is None or errors:
        return None, errors
    settings = Settings(
        own,
        seeds,
        values["caller-address"],
        values["control-address"],
        own.peer_address,
        Path(values["data-dir"]) if values["data-dir"] else None,
        is_bootstrap,
        values["operator-token"],
        values["upstream-token"],
        values["peer-token"],
        values["statsd-address"],
        values["log-level"],
        stop_grace_s,
        policies_off,
        link_mbit_per_s,
        *limits,
    )
    return settings, []


def settings_from_process(arguments: Sequence[str]) -> Settings:
    """Read settings, or print one line per error and exit with status 2."""
    settings, errors = read_settings(arguments, os.environ)
    if settings is None:
        lines = [
            f"bergamotferryd: --{error.flag} ({_env_name(error.flag)}): {error.message}"
            for error in errors
        ]
        print("\n".join(lines), file=sys.stderr)
        raise SystemExit(2)
    return settings


def _env_name(flag: str) -> str:
    return ENVIRONMENT_PREFIX + flag.upper().replace("-", "_")


def _flag_value(
    flag: _Flag,
    parsed: Mapping[str, Any],
    environment: Mapping[str, str],
    errors: list[SettingError],
) -> str:
    value = parsed[flag.name.replace("-", "_")]
    if value is None:
        value = environment.get(_env_name(flag.name), flag.default)
    # No required value may be empty: an empty token would admit every client.
    if value is None or (flag.default is None and not value):
        errors.append(SettingError(flag.name, "is required"))
        return ""
    return str(value)


def _own_seed(
    values: Mapping[str, str],
    seeds: tuple[HostAddress, ...],
    errors: list[SettingError],
) -> HostAddress | None:
    own = next((seed for seed in seeds if seed.name == values["host-name"]), None)
    if own is None:
        if values["host-name"] and seeds:
            errors.append(SettingError("host-name", "is not one of the seeds"))
        return None
    if own.is_durable != bool(values["data-dir"]):
        errors.append(
            SettingError(
                "data-dir", "must be set exactly when this host's seed is durable"
            )
        )
    return own


def _check_tokens(values: Mapping[str, str], errors: list[SettingError]) -> None:
    for n_checked, name in enumerate(_TOKEN_FLAGS):
        token = values[name]
        if not token:
            continue
        if len(token) < TOKEN_MIN_LENGTH:
            message = f"must have at least {TOKEN_MIN_LENGTH} characters"
            errors.append(SettingError(name, message))
        if not token.isascii() or not token.isprintable() or " " in token:
            errors.append(SettingError(name, "must be printable ASCII without spaces"))
        # A token shared by two roles would give each role the rights of the other.
        if token in [values[other] for other in _TOKEN_FLAGS[:n_checked]]:
            errors.append(SettingError(name, "must differ from the other tokens"))


def _read_seeds(text: str, errors: list[SettingError]) -> tuple[HostAddress, ...]:
    seeds: list[HostAddress] = []
    for entry in text.split():
        parts = entry.split(",")
        is_durable = parts[4:] == ["durable"]
        if len(parts) not in (4, 5) or (len(parts) == 5 and not is_durable):
            errors.append(
                SettingError(
                    "seeds", f"{entry!r} is not NAME,DATA_CENTRE,REGION,IP:PORT"
                )
            )
            continue
        _check_address("seeds", parts[3], errors)
        if not all(_NAME.match(name) for name in parts[:3]):
            message = f"{entry!r}: names have 1 to 63 characters of a-z, 0-9 and -"
            errors.append(SettingError("seeds", message))
        seeds.append(HostAddress(parts[0], parts[1], parts[2], parts[3], is_durable))
    if len({seed.name for seed in seeds}) != len(seeds):
        errors.append(SettingError("seeds", "two hosts have the same name"))
    locations = {(seed.data_centre, seed.region) for seed in seeds}
    if len({data_centre for data_centre, _ in locations}) != len(locations):
        errors.append(SettingError("seeds", "a data centre is in two regions"))
    return tuple(seeds)


def _check_address(flag: str, text: str, errors: list[SettingError]) -> None:
    if not text:
        return
    ip, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    is_port = is_number and 0 < int(port) < 65536
    if not is_port or not _is_ip(ip):
        errors.append(SettingError(flag, f"{text!r} is not IP:PORT"))


def _is_ip(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def _read_count(flag: str, text: str, errors: list[SettingError]) -> int:
    is_number = text.isascii() and text.isdigit() and len(text) <= 6
    if not is_number or int(text) == 0:
        errors.append(SettingError(flag, "must be a whole number from 1 to 999999"))
        return 1
    return int(text)


def _read_number(
    flag: str, values: Mapping[str, str], maximum: float, errors: list[SettingError]
) -> float:
    try:
        value = float(values[flag])
    except ValueError:
        value = -1.0
    if not 0 <= value <= maximum:
        errors.append(SettingError(flag, f"must be a number from 0 to {maximum:.0f}"))
    return value
