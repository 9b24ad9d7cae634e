"""``make measure``: measures failover, release notes, overload, stragglers and others.

Each scenario starts its own deployment and returns its figures with their target. The
report is written to ``build/measure`` as JSON, and as Markdown with plots.
"""

import argparse
import asyncio
import json
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from .deployments import EZO_LUMEN, DeploymentShape
from .measure_faults import (
    measure_data_centre_out,
    measure_failover,
    measure_notes,
)
from .measure_load import (
    measure_cold_start,
    measure_idle,
    measure_overload,
    measure_stragglers,
)
from .measure_log import measure_log
from .measure_ownership import measure_churn
from .measure_report import write_report

Scenario = Callable[[DeploymentShape, Path, bool], Coroutine[Any, Any, dict[str, Any]]]

SCENARIOS: dict[str, Scenario] = {
    "failover": measure_failover,
    "notes": measure_notes,
    "data_centre_out": measure_data_centre_out,
    "churn": measure_churn,
    "log": measure_log,
    "idle": measure_idle,
    "overload": measure_overload,
    "cold_start": measure_cold_start,
    "stragglers": measure_stragglers,
}


def main() -> None:
    """Run the selected scenarios; write JSON after each, and Markdown at the end."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="end within 5 minutes")
    parser.add_argument("--only", choices=sorted(SCENARIOS), action="append")
    arguments = parser.parse_args()
    folder = Path("build/measure")
    folder.mkdir(parents=True, exist_ok=True)
    report: dict[str, Any] = {"quick": arguments.quick}
    for name in arguments.only or SCENARIOS:
        print(f"measure: {name}", flush=True)
        scenario_folder = folder / f"{name}-{time.time_ns()}"
        report[name] = asyncio.run(
            SCENARIOS[name](EZO_LUMEN, scenario_folder, arguments.quick)
        )
        print(json.dumps(report[name], indent=2), flush=True)
        (folder / "report.json").write_text(json.dumps(report, indent=2) + "\n")
    write_report(report, folder)


if __name__ == "__main__":
    main()
