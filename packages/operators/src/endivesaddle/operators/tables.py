"""Write rows as a table for people."""

from collections.abc import Mapping, Sequence
from typing import Any

from endivesaddle.operators.values import iso

_TIME_SUFFIX = '_unix_s'


def table(columns: Sequence[str], rows: Sequence[Mapping[str, Any]]) -> list[str]:
    """Return the lines of a table: a heading, then a line for each row.

    Times (columns that end in ``_unix_s``) are written as ISO in UTC.
    """
    heading = [column.removesuffix(_TIME_SUFFIX) for column in columns]
    cells = [[cell(column, row.get(column, '')) for column in columns] for row in rows]
    lines = [heading, *cells]
    widths = [max(len(line[place]) for line in lines) for place in range(len(columns))]
    right = [_numeric(row.get(column) for row in rows) for column in columns]
    return [_line(line, widths, right) for line in lines]


def cell(column: str, found: Any) -> str:
    """Return a value as people read it."""
    if column.endswith(_TIME_SUFFIX):
        return iso(float(found or 0))
    if isinstance(found, bool):
        return 'yes' if found else 'no'
    if isinstance(found, (list, tuple)):
        return ','.join(str(entry) for entry in found)
    return '' if found is None else str(found)


def _numeric(found: Any) -> bool:
    return all(isinstance(entry, int) and not isinstance(entry, bool) for entry in found)


def _line(cells: Sequence[str], widths: Sequence[int], right: Sequence[bool]) -> str:
    padded = [
        text.rjust(width) if to_right else text.ljust(width)
        for text, width, to_right in zip(cells, widths, right, strict=True)
    ]
    return '  '.join(padded).rstrip()
