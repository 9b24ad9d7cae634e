"""Checks the records of the stand-in upstreams against the answers to callers."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple


class RunCheck(NamedTuple):
    """Numbers of filings whose runs contradict the answers to their callers.

    ``n_doubled`` filings ran more than once, ``n_lost`` were acknowledged and did not
    run, and ``n_false_not_run`` ran although they were refused as not run.
    """

    n_doubled: int
    n_lost: int
    n_false_not_run: int


def read_records(paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield each record of the stand-in upstreams; skip files that do not exist."""
    for path in paths:
        if not path.exists():
            continue
        with path.open() as file:
            for line in file:
                yield json.loads(line)


def check_runs(
    paths: Iterable[Path], acknowledged: set[str], refused_not_run: set[str]
) -> RunCheck:
    """Count filings that ran twice, were lost, or ran despite a "not run" answer.

    ``acknowledged`` and ``refused_not_run`` hold idempotency keys.
    """
    n_runs_by_key: Counter[str] = Counter()
    for record in read_records(paths):
        if record["event"] == "run" and record["idempotency_key"]:
            n_runs_by_key[record["idempotency_key"]] += 1
    n_doubled = sum(count > 1 for count in n_runs_by_key.values())
    n_lost = sum(not n_runs_by_key[key] for key in acknowledged if key)
    n_false_not_run = sum(bool(n_runs_by_key[key]) for key in refused_not_run if key)
    return RunCheck(n_doubled, n_lost, n_false_not_run)
