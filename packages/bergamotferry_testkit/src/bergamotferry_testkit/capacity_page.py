"""``make capacity-page``: writes the tables of docs/CAPACITY.md from the measurements.

The measurements are in docs/capacity.json (see ``slopes``). The prose is kept in the
page itself; only the text between the two markers of each table is replaced. A test
compares the page with what this module would write.
"""

import json
import re
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

from .capacity_checks import BYTES_PER_MB, CORE_US_PER_S, build_checks
from .capacity_counts import TARGET_COUNTS, Counts, count_rows
from .capacity_day import day_rows, hot_key_rows, partition_rows
from .capacity_model import (
    Resource,
    Slopes,
    Term,
    coefficient_value,
    term_value,
    total,
)
from .capacity_steps import (
    Step,
    data_centre_out_steps,
    host_loss_steps,
    in_force_steps,
    in_force_steps_silent_source,
    leader_loss_steps,
    request_kinds,
    stranded_request_steps,
    total_ms,
    upstream_loss_steps,
)
from .capacity_terms import build_terms
from .slope_fit import slope_from_json
from .slopes import JSON_PATH

PAGE_PATH = Path("docs/CAPACITY.md")
N_SIGNIFICANT_DIGITS = 3
_TABLE_BLOCK = re.compile(
    r"(<!-- table: (?P<name>[a-z-]+) -->\n).*?(<!-- end of table -->)", re.DOTALL
)
_UNITS: dict[Resource, tuple[str, float]] = {
    "cpu_us_per_s": ("cores", CORE_US_PER_S),
    "memory_bytes": ("MB", BYTES_PER_MB),
    "bytes_per_s": ("B/s", 1.0),
    "messages_per_s": ("messages/s", 1.0),
}

Cells = Sequence[str]


def render_page(page: str, document: dict[str, Any]) -> str:
    """Return the page with every table generated again from the measurements.

    Raises
    ------
    KeyError
        If the page marks an unknown table, or a slope was not measured.
    """
    slopes = read_slopes(document)

    def replace(match: re.Match[str]) -> str:
        table = _TABLES[match["name"]](slopes, TARGET_COUNTS, document)
        return f"{match[1]}\n{table}\n\n{match[3]}"

    return _TABLE_BLOCK.sub(replace, page)


def read_slopes(document: dict[str, Any]) -> Slopes:
    """Return the slopes of a parsed docs/capacity.json, by name."""
    return {
        name: slope_from_json({k: v for k, v in row.items() if k != "part"})
        for name, row in document["slopes"].items()
    }


def format_figure(value: float) -> str:
    """Format a number with three significant digits, and commas from 1,000 up."""
    if value == 0:
        return "0"
    text = f"{value:.{N_SIGNIFICANT_DIGITS}g}"
    return f"{float(text):,.0f}" if abs(value) >= 100 else f"{float(text):g}"


def markdown_table(header: Cells, rows: Iterable[Cells]) -> str:
    """Return a Markdown table."""
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(cells) + " |" for cells in lines)


def main() -> None:
    """Regenerate the tables of the page in place."""
    document = json.loads(JSON_PATH.read_text())
    PAGE_PATH.write_text(render_page(PAGE_PATH.read_text(), document))


def _counts_table(slopes: Slopes, counts: Counts, document: dict[str, Any]) -> str:
    return markdown_table(("count", "value", "from"), count_rows(counts))


def _slopes_table(slopes: Slopes, counts: Counts, document: dict[str, Any]) -> str:
    header = ("slope", "value", "fixed part", "r²", "size: cost", "what was run")
    rows = []
    for name in sorted(slopes):
        slope = slopes[name]
        points = ", ".join(f"{x:g}: {format_figure(y)}" for x, y in slope.points)
        rows.append(
            (
                f"`{name}`",
                f"{format_figure(slope.slope)} {slope.unit} per {slope.per}",
                format_figure(slope.intercept),
                f"{slope.r_squared:.3f}",
                points,
                slope.method,
            )
        )
    return markdown_table(header, rows)


def _roles_table(slopes: Slopes, counts: Counts, document: dict[str, Any]) -> str:
    header = ("role", "load", "module", "coefficient × count", "product")
    terms = build_terms(counts)
    rows: list[Cells] = []
    for role in dict.fromkeys(term.role for term in terms):
        for resource in _UNITS:
            role_terms = [t for t in terms if (t.role, t.resource) == (role, resource)]
            rows += [_term_cells(term, slopes) for term in role_terms]
            for is_control in (True, False):
                n_terms = sum(term.is_control == is_control for term in role_terms)
                if n_terms > 1:
                    value = total(terms, slopes, role, resource, is_control)
                    kind = "control" if is_control else "requests"
                    text = f"**{_format_amount(resource, value)}**"
                    rows.append((role, f"**sum, {kind}**", "", "", text))
    return markdown_table(header, rows)


def _term_cells(term: Term, slopes: Slopes) -> Cells:
    formula = format_figure(term.multiplier)
    if term.coefficient:
        value = format_figure(coefficient_value(term, slopes))
        name = term.coefficient
        if term.part == "intercept":
            name += ", fixed part"
        formula = f"{value} (`{name}`) × {format_figure(term.multiplier)}"
    kind = "" if term.is_control else " (requests)"
    amount = _format_amount(term.resource, term_value(term, slopes))
    return (term.role, term.load + kind, f"`{term.module}`", formula, amount)


def _format_amount(resource: Resource, value: float) -> str:
    unit, scale = _UNITS[resource]
    return f"{format_figure(value / scale)} {unit}"


def _checks_table(slopes: Slopes, counts: Counts, document: dict[str, Any]) -> str:
    header = ("requirement", "takes", "limit", "factor", "what would have to change")
    rows = []
    for check in build_checks(slopes, counts):
        factor = format_figure(check.factor)
        factor_text = f"{factor}, fits" if check.factor <= 1 else f"**{factor}**"
        required = f"{format_figure(check.required)} {check.unit}"
        limit = f"{format_figure(check.limit)} {check.unit}"
        rows.append(
            (check.requirement, required, limit, factor_text, check.required_change)
        )
    return markdown_table(header, rows)


def _steps_table(sequences: dict[str, list[Step]]) -> str:
    rows: list[Cells] = []
    for name, steps in sequences.items():
        for step in steps:
            duration = f"{format_figure(step.duration_ms)} ms"
            rows.append((name, step.description, f"`{step.module}`", duration))
        rows.append((name, "**longest, in all**", "", f"**{total_ms(steps):,.0f} ms**"))
    return markdown_table(("case", "step", "module", "at most"), rows)


def _serve_again_table(slopes: Slopes, counts: Counts, document: dict[str, Any]) -> str:
    return _steps_table(
        {
            "dispatching host lost": host_loss_steps(slopes),
            "leader's host lost": leader_loss_steps(slopes),
            "upstream lost": upstream_loss_steps(slopes),
            "lookup already sent to the lost host": stranded_request_steps(),
            "data centre taken out": data_centre_out_steps(
                slopes, counts.shards_per_data_centre
            ),
        }
    )


def _in_force_table(slopes: Slopes, counts: Counts, document: dict[str, Any]) -> str:
    return _steps_table(
        {
            "release note": in_force_steps(slopes),
            "the same, a source silent": in_force_steps_silent_source(slopes),
        }
    )


def _latency_table(slopes: Slopes, counts: Counts, document: dict[str, Any]) -> str:
    rows = [
        (
            kind.description,
            f"{format_figure(kind.fixed_ms)} ms",
            f"{format_figure(kind.remaining_ms)} ms"
            if kind.remaining_ms > 0
            else "**can't be met**",
        )
        for kind in request_kinds(slopes)
    ]
    header = ("request", "ways and disks", "left of 17 ms for queue, service and CPU")
    return markdown_table(header, rows)


def _hot_keys_table(slopes: Slopes, counts: Counts, document: dict[str, Any]) -> str:
    return markdown_table(("73 hot keys", "value"), hot_key_rows(slopes, counts))


def _day_table(slopes: Slopes, counts: Counts, document: dict[str, Any]) -> str:
    return markdown_table(("event", "figure"), day_rows(slopes, counts))


def _partition_table(slopes: Slopes, counts: Counts, document: dict[str, Any]) -> str:
    return markdown_table(
        ("during an hour's cut", "figure"), partition_rows(slopes, counts)
    )


def _overhead_table(slopes: Slopes, counts: Counts, document: dict[str, Any]) -> str:
    report = document["overhead"]
    header = ("path", "answered", "failed", "p50", "p99", "added p50", "added p99")
    rows = [
        (
            path.replace("_", " "),
            str(row["answered"]),
            str(row["failed"]),
            *(f"{row[name]:.2f} ms" for name in _OVERHEAD_TIMES),
            f"{row['host_cpu_us']:,.0f} µs",
            f"{row['per_core']:,}" if row["per_core"] else "-",
        )
        for path, row in report["paths"].items()
    ]
    cells = (*header, "CPU of the daemons per request", "requests/s per core")
    start = f"{report['start_to_first_answer_ms']:,.0f} ms"
    text = markdown_table(cells, rows)
    return f"{text}\n\nA daemon's start to its first served request: {start}."


def _profile_table(slopes: Slopes, counts: Counts, document: dict[str, Any]) -> str:
    report = document["profile"]
    parts = report["entry"] | report["dispatcher"]
    rows = [
        (
            f"`{part}`",
            format_figure(report["entry"].get(part, 0)),
            format_figure(report["dispatcher"].get(part, 0)),
        )
        for part in parts
    ]
    header = ("part", "entry, µs per request", "dispatcher, µs per request")
    return markdown_table(header, rows)


_OVERHEAD_TIMES = ("p50_ms", "p99_ms", "added_p50_ms", "added_p99_ms")
_TABLES: dict[str, Callable[[Slopes, Counts, dict[str, Any]], str]] = {
    "counts": _counts_table,
    "slopes": _slopes_table,
    "roles": _roles_table,
    "checks": _checks_table,
    "serve-again": _serve_again_table,
    "in-force": _in_force_table,
    "latency": _latency_table,
    "hot-keys": _hot_keys_table,
    "day": _day_table,
    "cut": _partition_table,
    "overhead": _overhead_table,
    "profile": _profile_table,
}

if __name__ == "__main__":
    main()
