"""Names that others use towards this instance and that nothing here reads, each logged once.

Failure: the operator's key that evacuates a data centre and fields of cold servers were new and
read by nobody; requests went on as before, and no line showed that anything was said.
"""

from collections.abc import Iterable

from endivesaddle.fleet.routes import events

MOST_NAMES = 64
"""Names that are kept; who makes up names must fill neither the memory nor the log."""
MOST_CHARACTERS = 40
"""Of a name in the log."""


class UnreadNames:
    """The names of fields and keys in the store that one instance met and does not read."""

    def __init__(self) -> None:
        """Start without any."""
        self.names: set[str] = set()

    def look(self, where: str, names: Iterable[str], known: frozenset[str]) -> None:
        """Look at the names that are used in one kind of place; ``known`` need no line."""
        for name in names:
            if name not in known:
                self._meet(where, name)

    def _meet(self, where: str, name: str) -> None:
        met = f'{where} {name[:MOST_CHARACTERS]}'
        if met in self.names or len(self.names) >= MOST_NAMES:
            return
        self.names.add(met)
        events.NAME_UNREAD.log(where=where, met=name[:MOST_CHARACTERS])
