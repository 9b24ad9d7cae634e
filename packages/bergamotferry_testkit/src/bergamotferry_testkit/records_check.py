"""Checks the stand-ins' own records against what callers were told."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple


class RunCheck(NamedTuple):
    """How often filings ran, against what their callers were told."""

    n_doubled: int
    n_lost: int
    n_false_not_run: int


def read_records(paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield every line of the stand-ins' records."""
    for path in paths:
        if not path.exists():
            continue
        with path.open() as file:
            for line in file:
                yield json.loads(line)


def check_runs(
    paths: Iterable[Path], acknowledged: set[str], refused_not_run: set[str]
) -> RunCheck:
    """Count filings that ran twice, were lost, or ran though "not run" was said."""
    runs: Counter[str] = Counter()
    for record in read_records(paths):
        if record["event"] == "run" and record["idempotency_key"]:
            runs[record["idempotency_key"]] += 1
    n_doubled = sum(count > 1 for count in runs.values())
    n_lost = sum(not runs[key] for key in acknowledged if key)
    n_false = sum(bool(runs[key]) for key in refused_not_run if key)
    return RunCheck(n_doubled, n_lost, n_false)
