"""Plain-text tables: columns as wide as their contents, numbers aligned right."""

from collections.abc import Sequence

_EMPTY = "-"


def format_table(
    headings: Sequence[str], rows: Sequence[Sequence[object]], indent: str = ""
) -> str:
    """Return rows under their headings as aligned text, each line after ``indent``."""
    texts = [[_cell(value) for value in row] for row in rows]
    widths = [
        max([len(heading), *(len(row[column]) for row in texts)])
        for column, heading in enumerate(headings)
    ]
    is_number = [
        bool(rows) and all(isinstance(row[column], int | float) for row in rows)
        for column in range(len(headings))
    ]
    lines = [_line(headings, widths, is_number, indent)]
    lines += [_line(row, widths, is_number, indent) for row in texts]
    return "\n".join(lines)


def _line(
    cells: Sequence[str], widths: Sequence[int], is_number: Sequence[bool], indent: str
) -> str:
    padded = [
        cell.rjust(width) if is_right else cell.ljust(width)
        for cell, width, is_right in zip(cells, widths, is_number, strict=True)
    ]
    return (indent + "  ".join(padded)).rstrip()


def _cell(value: object) -> str:
    if value is None or value == "":
        return _EMPTY
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return " ".join(str(item) for item in value) or _EMPTY
    return str(value)
