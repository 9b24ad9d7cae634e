"""Entry point of ``bergamotferryctl``: runs one command and prints its report."""

import asyncio
import json
import sys
from argparse import Namespace
from collections.abc import Awaitable, Callable, Sequence

from . import note_commands, placement_command, query_commands
from .exits import Exit
from .parser import CtlSettings, environment_variable, parse
from .reports import Report

_OFFLINE_COMMANDS: dict[str, Callable[[Namespace], Report]] = {
    "check": note_commands.check,
    "explain": query_commands.explain,
}
_ONLINE_COMMANDS: dict[str, Callable[[Namespace, CtlSettings], Awaitable[Report]]] = {
    "apply": note_commands.apply,
    "diff": note_commands.diff,
    "status": query_commands.status,
    "upstreams": query_commands.upstreams,
    "owner": query_commands.owner,
    "hot-keys": query_commands.hot_keys,
    "data-centre": note_commands.data_centre,
    "where": placement_command.where,
    "quarantine": query_commands.quarantine,
}


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one command and exit with the status of its report."""
    parsed, settings, errors = parse(arguments)
    if errors:
        for error in errors:
            name = f"--{error.flag} ({_environment_variable_of(error.flag)})"
            print(f"bergamotferryctl: {name}: {error.message}", file=sys.stderr)
        raise SystemExit(int(Exit.USAGE))
    if parsed.command in _OFFLINE_COMMANDS:
        report = _OFFLINE_COMMANDS[parsed.command](parsed)
    else:
        report = asyncio.run(_run_online(parsed, settings))
    is_error = report.status not in (Exit.DONE, Exit.NOT_EVERYWHERE)
    output = sys.stderr if is_error and not settings.is_json else sys.stdout
    print(json.dumps(report.body) if settings.is_json else report.text, file=output)
    raise SystemExit(int(report.status))


async def _run_online(parsed: Namespace, settings: CtlSettings) -> Report:
    return await _ONLINE_COMMANDS[parsed.command](parsed, settings)


def _environment_variable_of(flag: str) -> str:
    setting_names = {"addresses": "control-addresses", "token": "operator-token"}
    return environment_variable(setting_names.get(flag, flag))


if __name__ == "__main__":
    main()
