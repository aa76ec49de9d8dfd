"""Headers of servers' answers that nothing in this router reads.

Failure: a server told something of itself in a header that was new; the header went to the caller
with the others, requests went on as before, and no line showed that anything had been told.
"""

from endivesaddle.fleet.routes.forwarded import Pairs
from endivesaddle.fleet.routes.header_names import GENERAL, HOP_BY_HOP, LENGTH, HeaderNames
from endivesaddle.fleet.routing import forward_events as events

MOST_NAMES = 64
"""Names that are kept; a server that makes up names must not fill the memory or the log."""
MOST_CHARACTERS = 40
"""Of a name and of a value in the log."""
NOT_SHOWN = frozenset(('set-cookie', 'www-authenticate'))
"""Their values may be secrets."""


class UnreadHeaders:
    """The names that one router met and does not read, each logged once."""

    def __init__(self, header_names: HeaderNames) -> None:
        """Take the names of ``header_names`` as read, and general ones as understood by callers."""
        self.names: set[str] = set()
        self._understood = {
            *header_names.read_from_responses,
            *header_names.passed,
            *GENERAL,
            *HOP_BY_HOP,
            LENGTH,
        }

    def check(self, server: str, pairs: Pairs) -> None:
        """Look at the head of an answer of ``server``; names are in lower case."""
        for name, value in pairs:
            if name not in self._understood:
                self._record(server, name, value)

    def _record(self, server: str, name: str, value: str) -> None:
        if name in self.names or len(self.names) >= MOST_NAMES:
            return
        self.names.add(name)
        shown = '' if name in NOT_SHOWN else value[:MOST_CHARACTERS]
        events.HEADER_UNREAD.log(server=server, header=name[:MOST_CHARACTERS], value=shown)
