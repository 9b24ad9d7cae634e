"""``make slopes``: measures the cost per host, shard, request and so on.

The results are written to ``docs/capacity.json``, from which ``capacity_page``
generates the tables of ``docs/CAPACITY.md``. A run with ``--only`` replaces the slopes
of the named parts and keeps all others.
"""

import argparse
import asyncio
import json
import os
import platform
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .slope_fit import Slope, slope_to_json
from .slopes_commits import measure_commit_slopes
from .slopes_hosts import (
    measure_idle_slopes,
    measure_peer_slopes,
    measure_reader_slopes,
    measure_upstream_slopes,
)
from .slopes_links import measure_link_slopes
from .slopes_requests import (
    measure_connection_slopes,
    measure_in_flight_slopes,
    measure_request_slopes,
)
from .slopes_tables import measure_table_slopes, print_slopes

JSON_PATH = Path("docs/capacity.json")
COMMAND = "python -m bergamotferry_testkit.slopes"

# Each part runs for less than a minute.
PARTS: dict[str, Callable[[Path], list[Slope]]] = {
    "tables": lambda folder: measure_table_slopes(),
    "commits": measure_commit_slopes,
    "links": lambda folder: asyncio.run(measure_link_slopes(folder)),
    "peers": lambda folder: asyncio.run(measure_peer_slopes(folder)),
    "readers": lambda folder: asyncio.run(measure_reader_slopes(folder)),
    "idle": lambda folder: asyncio.run(measure_idle_slopes(folder)),
    "upstreams": lambda folder: asyncio.run(measure_upstream_slopes(folder)),
    "connections": lambda folder: asyncio.run(measure_connection_slopes(folder)),
    "held": lambda folder: asyncio.run(measure_in_flight_slopes(folder)),
    "requests": lambda folder: asyncio.run(measure_request_slopes(folder)),
}


def main() -> None:
    """Measure the parts named on the command line; print and store their slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=PARTS, nargs="+", default=list(PARTS))
    parser.add_argument("--json", type=Path, default=JSON_PATH)
    arguments = parser.parse_args()
    for part in arguments.only:
        slopes = PARTS[part](Path("build/slopes"))
        print_slopes(slopes)
        rows = {slope.name: {"part": part, **slope_to_json(slope)} for slope in slopes}
        update_document("slopes", rows, arguments.json)


def update_document(
    section: str, values: dict[str, Any], path: Path = JSON_PATH
) -> None:
    """Update a section of the document; keys that are not in ``values`` are kept."""
    document: dict[str, Any] = {}
    if path.exists():
        document = json.loads(path.read_text())
    document["command"] = COMMAND
    document["machine"] = {
        "n_cpus": os.cpu_count(),
        "system": platform.system(),
        "python": platform.python_version(),
    }
    document.setdefault(section, {}).update(values)
    text = json.dumps(document, indent=1, sort_keys=True, ensure_ascii=False)
    path.write_text(text + "\n")


if __name__ == "__main__":
    main()
