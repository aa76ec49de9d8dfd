"""The names nearest to a wrong one, for messages."""

import difflib
from collections.abc import Iterable

_MOST_NEAR = 12
_ALIKE = 0.5


def near(wanted: str, names: Iterable[str]) -> list[str]:
    """Return the names nearest to a wrong one, or the first ones."""
    found = sorted(names)
    return difflib.get_close_matches(wanted, found, _MOST_NEAR, _ALIKE) or found[:_MOST_NEAR]
