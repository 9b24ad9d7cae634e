"""Entry point of ``bergamotferryctl``: parses, asks one host, prints."""

import argparse
import asyncio
import json
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from bergamotferry import __version__
from bergamotferry.release_note import parse_note_text

from .client import Answer, ask

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_NOT_REACHED = 3
_ADDRESSES_VARIABLE = "BERGAMOTFERRY_CONTROL_ADDRESSES"
_TOKEN_VARIABLE = "BERGAMOTFERRY_OPERATOR_TOKEN"


def build_parser() -> argparse.ArgumentParser:
    """Return the parser."""
    parser = argparse.ArgumentParser(
        prog="bergamotferryctl", description="Drives a bergamotferry deployment."
    )
    parser.add_argument("--version", action="version", version=__version__)
    parser.add_argument(
        "--addresses",
        default=os.environ.get(_ADDRESSES_VARIABLE, "127.0.0.1:8081"),
        help=f"control addresses of hosts, by commas [{_ADDRESSES_VARIABLE}]",
    )
    parser.add_argument(
        "--token",
        default=os.environ.get(_TOKEN_VARIABLE, ""),
        help=f"operator token [{_TOKEN_VARIABLE}]",
    )
    parser.add_argument("--json", action="store_true", help="print JSON for machines")
    commands = parser.add_subparsers(dest="command", required=True)
    check = commands.add_parser("check", help="validate a release note offline")
    check.add_argument("note", type=Path)
    apply = commands.add_parser(
        "apply", help="apply a release note, wait till in force"
    )
    apply.add_argument("note", type=Path)
    commands.add_parser("status", help="hosts, groups, leaders and revisions")
    return parser


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one command and exit with its status."""
    parsed = build_parser().parse_args(arguments)
    if parsed.command == "check":
        raise SystemExit(_check(parsed.note))
    raise SystemExit(asyncio.run(_ask(parsed)))


def _check(path: Path) -> int:
    note, errors = parse_note_text(path.read_text())
    for error in errors:
        print(f"{path}: {error.place}: {error.message}", file=sys.stderr)
    if note is None or errors:
        return EXIT_USAGE
    print(f"{path}: note {note.number} is well formed")
    return 0


async def _ask(parsed: argparse.Namespace) -> int:
    addresses = parsed.addresses.split(",")
    if parsed.command == "apply":
        text = parsed.note.read_text()
        answer = await ask(addresses, parsed.token, "POST", "notes", text)
        return _print_applied(parsed, answer)
    answer = await ask(addresses, parsed.token, "GET", "status")
    _print(parsed, answer.body)
    return 0 if answer.status == 200 else EXIT_REFUSED


def _print_applied(parsed: argparse.Namespace, answer: Answer) -> int:
    if answer.status != 200:
        _print(parsed, answer.body)
        return EXIT_REFUSED
    _print(parsed, answer.body)
    return EXIT_NOT_REACHED if answer.body["not_reached"] else 0


def _print(parsed: argparse.Namespace, body: dict[str, Any]) -> None:
    print(json.dumps(body, indent=None if parsed.json else 2))


if __name__ == "__main__":
    main()
