"""Names in the store that this instance does not read, each logged once.

Failure: the operator's key that evacuates a data centre, and fields of cold servers, were new and
no router read them; requests were sent as before, and no log line showed that they were ignored.
"""

from collections.abc import Iterable

from endivesaddle.fleet.routes import events

MAX_NAMES = 64
"""Names that are kept, so that arbitrary names fill neither the memory nor the log."""
MAX_CHARACTERS = 40
"""Characters of a name that are logged."""


class UnreadNames:
    """The names of fields and keys in the store that one instance found but does not read."""

    def __init__(self) -> None:
        """Initialize without any."""
        self.names: set[str] = set()

    def check(self, where: str, names: Iterable[str], known: frozenset[str]) -> None:
        """Log the names at one kind of place that are not ``known``."""
        for name in names:
            if name not in known:
                self._log_once(where, name)

    def _log_once(self, where: str, name: str) -> None:
        met = f'{where} {name[:MAX_CHARACTERS]}'
        if met in self.names or len(self.names) >= MAX_NAMES:
            return
        self.names.add(met)
        events.NAME_UNREAD.log(where=where, met=name[:MAX_CHARACTERS])
