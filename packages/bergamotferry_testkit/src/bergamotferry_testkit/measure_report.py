"""Writes the report of `measure` as Markdown with plots."""

from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402 - the backend must be set before pyplot loads

PLOT_DOTS_PER_INCH = 110


def write_report(report: dict[str, Any], folder: Path) -> None:
    """Write ``report.md`` and its plots into the folder of ``report.json``."""
    lines = ["# Measurements", ""]
    for name, figures in report.items():
        if not isinstance(figures, dict):
            continue
        lines += [f"## {name.replace('_', ' ')}", ""]
        rows = figures.get("rows", [])
        if rows:
            columns = list(rows[0])
            lines.append("| " + " | ".join(columns) + " |")
            lines.append("| " + " | ".join("---" for _ in columns) + " |")
            for row in rows:
                lines.append("| " + " | ".join(str(row[c]) for c in columns) + " |")
        lines += ["", f"Target: {figures.get('target', 'none stated')}", ""]
        plot = figures.get("plot")
        if plot and rows:
            _draw_plot(rows, plot, folder / f"{name}.png")
            lines += [f"![{name}]({name}.png)", ""]
    (folder / "report.md").write_text("\n".join(lines))


def _draw_plot(rows: list[dict[str, Any]], plot: dict[str, str], path: Path) -> None:
    figure, axes = plt.subplots(figsize=(7, 4))
    series = sorted({str(row.get(plot["series"], "")) for row in rows})
    for name in series:
        series_rows = [row for row in rows if str(row.get(plot["series"], "")) == name]
        labels = [str(row[plot["x"]]) for row in series_rows]
        axes.plot(
            labels, [row[plot["y"]] for row in series_rows], marker="o", label=name
        )
    axes.set_xlabel(plot["x"])
    axes.set_ylabel(plot["y"])
    axes.set_ylim(bottom=0)
    if any(series):
        axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=PLOT_DOTS_PER_INCH)
    plt.close(figure)
