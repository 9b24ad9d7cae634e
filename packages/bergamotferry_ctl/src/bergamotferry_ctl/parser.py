"""Command line and settings of the tool; the help explains the usage by examples."""

import argparse
import os
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

from bergamotferry import __version__

from .exits import EXIT_MEANINGS

ENVIRONMENT_PREFIX = "BERGAMOTFERRY_"
WAIT_MAX_S = 3600.0
_EXAMPLES = """examples:
  bergamotferryctl check note-7.json          every error of a note, without a host
  bergamotferryctl diff note-7.json           what the note would change
  bergamotferryctl apply note-7.json          put it in force and wait for every host
  bergamotferryctl status                     hosts, groups, leaders, revisions
  bergamotferryctl owner testlog lamp-17      who owns a key, and since when
  bergamotferryctl data-centre out milano     what taking it out would do
  bergamotferryctl data-centre out milano --yes
  bergamotferryctl explain 5d0c1f --log a.log --log b.log
  bergamotferryctl where 10.0.0.9:9464 planner.example /trips/7

exit statuses:
"""


class CtlSettings(NamedTuple):
    """Validated settings of one run; ``wait_s`` is in seconds."""

    addresses: tuple[str, ...]
    token: str
    is_json: bool
    wait_s: float


class SettingError(NamedTuple):
    """An invalid setting, identified by the name of its flag."""

    flag: str
    message: str


def environment_variable(flag: str) -> str:
    """Return the name of a flag's environment variable."""
    return ENVIRONMENT_PREFIX + flag.upper().replace("-", "_")


# Flag, name that its environment variable derives from, default, help text.
_FLAGS: tuple[tuple[str, str, str, str], ...] = (
    (
        "addresses",
        "control-addresses",
        "127.0.0.1:8081",
        "control addresses of hosts, IP:PORT, separated by commas; the first host "
        "reached answers",
    ),
    ("token", "operator-token", "", "operator token"),
    ("wait-s", "wait-s", "10", "how long apply waits until a note is in force"),
)


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser of all commands."""
    shared = argparse.ArgumentParser(add_help=False)
    for name, setting, default, text in _FLAGS:
        default_text = f", default {default}" if default else ""
        shared.add_argument(
            f"--{name}",
            default=argparse.SUPPRESS,
            help=f"{text} [{environment_variable(setting)}{default_text}]",
        )
    shared.add_argument(
        "--json",
        action="store_true",
        default=argparse.SUPPRESS,
        help=f"print JSON for machines [{environment_variable('json')}=1]",
    )
    statuses = "\n".join(f"  {int(e)}  {text}" for e, text in EXIT_MEANINGS.items())
    parser = argparse.ArgumentParser(
        prog="bergamotferryctl",
        description="Drives a bergamotferry deployment.",
        epilog=_EXAMPLES + statuses,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        parents=[shared],
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_note_commands(commands, shared)
    _add_query_commands(commands, shared)
    return parser


def read_settings(
    parsed: argparse.Namespace, environment: Mapping[str, str]
) -> tuple[CtlSettings, list[SettingError]]:
    """Return the settings and all errors in them.

    A flag takes precedence over its environment variable.
    """
    values = {
        name: str(
            getattr(
                parsed,
                name.replace("-", "_"),
                environment.get(environment_variable(setting), default),
            )
        )
        for name, setting, default, _ in _FLAGS
    }
    errors: list[SettingError] = []
    addresses = tuple(word.strip() for word in values["addresses"].split(","))
    for address in addresses:
        ip, _, port = address.rpartition(":")
        if not ip or not port.isdecimal() or not 0 < int(port) < 65536:
            errors.append(SettingError("addresses", f"{address!r} is not IP:PORT"))
    is_online = parsed.command not in ("check", "explain", "where")
    if is_online and not values["token"]:
        errors.append(SettingError("token", "is required"))
    if not values["token"].isascii() or not values["token"].isprintable():
        errors.append(SettingError("token", "must be printable ASCII"))
    try:
        wait_s = float(values["wait-s"])
    except ValueError:
        wait_s = -1.0
    if not 0 <= wait_s <= WAIT_MAX_S:
        text = f"must be a number of seconds from 0 to {WAIT_MAX_S:.0f}"
        errors.append(SettingError("wait-s", text))
    json_text = environment.get(environment_variable("json"), "0")
    if json_text not in ("0", "1"):
        errors.append(SettingError("json", "the variable must be 0 or 1"))
    is_json = getattr(parsed, "json", json_text == "1")
    return CtlSettings(addresses, values["token"], is_json, wait_s), errors


def parse(
    arguments: Sequence[str] | None, environment: Mapping[str, str] | None = None
) -> tuple[argparse.Namespace, CtlSettings, list[SettingError]]:
    """Parse a command line and environment variables, by default the process's."""
    parsed = build_parser().parse_args(arguments)
    settings, errors = read_settings(
        parsed, os.environ if environment is None else environment
    )
    return parsed, settings, errors


def _add_note_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    shared: argparse.ArgumentParser,
) -> None:
    for name, text in (
        ("check", "validate a release note offline: every error with its place"),
        ("diff", "compare a release note with the configuration in force"),
        ("apply", "put a release note in force, and name the hosts it did not reach"),
    ):
        command = commands.add_parser(
            name, help=text, description=text, parents=[shared]
        )
        command.add_argument("note", type=Path, help="file of the release note, JSON")
    text = "take a data centre out, or in again, by a release note made for it"
    command = commands.add_parser(
        "data-centre", help=text, description=text, parents=[shared]
    )
    command.add_argument("direction", choices=("out", "in"))
    command.add_argument("name", help="name of the data centre")
    command.add_argument("--yes", action="store_true", help="apply it; else only show")
    command.add_argument(
        "--force", action="store_true", help="apply it though keys lose every upstream"
    )


def _add_query_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    shared: argparse.ArgumentParser,
) -> None:
    for name, text in (
        ("status", "hosts, groups, leaders and revisions"),
        ("upstreams", "upstreams of all data centres with dispatchers and shards"),
        ("hot-keys", "hot keys of the host's data centre, by hash, and their owners"),
    ):
        commands.add_parser(name, help=text, description=text, parents=[shared])
    text = "who owns a key, since when, why, and through which host"
    command = commands.add_parser(
        "owner", help=text, description=text, parents=[shared]
    )
    command.add_argument("service")
    command.add_argument("key", help="the key itself; it is not sent anywhere")
    text = "describe the course of a request, from the hosts' logs"
    command = commands.add_parser(
        "explain", help=text, description=text, parents=[shared]
    )
    command.add_argument("request_id", help="Bergamotferry-Request-Id of its answer")
    command.add_argument(
        "--log",
        action="append",
        type=Path,
        default=[],
        help="a host's log, JSON lines; repeatable; default standard input",
    )
    text = "where an entry host in direct mode would send a request now, and why"
    command = commands.add_parser(
        "where", help=text, description=text, parents=[shared]
    )
    command.add_argument("entry_host", help="its metrics address, IP:PORT")
    command.add_argument("host_name", help="host name that the request names")
    command.add_argument("target", help="path of the request, with its query")
    command.add_argument("--method", default="GET")
    command.add_argument("--shard-key", type=int, help="key's number, if it has one")
    command.add_argument("--account", default="", help="name of the caller's account")
    command.add_argument("--time-left-ms", type=int, help="default: the route's limit")
    text = "requests that crashed upstreams: list them, or let one run again"
    command = commands.add_parser(
        "quarantine", help=text, description=text, parents=[shared]
    )
    actions = command.add_subparsers(dest="action", required=True)
    actions.add_parser("list", parents=[shared])
    release = actions.add_parser("release", parents=[shared])
    release.add_argument("fingerprint")
