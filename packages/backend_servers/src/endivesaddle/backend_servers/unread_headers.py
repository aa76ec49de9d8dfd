"""Unknown headers in the responses of servers.

Failure: a server sent a signal in a new header.  The header was relayed to the caller with the
others, the router continued as before, and no log line showed that the signal was ignored.
"""

from endivesaddle.fleet.routes.forwarded import Pairs
from endivesaddle.fleet.routes.header_names import GENERAL, HOP_BY_HOP, LENGTH, HeaderNames
from endivesaddle.fleet.routing import forward_events as events

MAX_NAMES = 64
"""Maximum of names, so that a server that invents names can't fill memory or log."""
MAX_LOGGED_CHARACTERS = 40
"""Maximum length of a name and of a value in the log."""
SECRET_HEADERS = frozenset(('set-cookie', 'www-authenticate'))
"""Headers whose values may be secret are logged without them."""


class UnreadHeaders:
    """The unknown header names that one router has seen, each logged once."""

    def __init__(self, header_names: HeaderNames) -> None:
        """Take the names of ``header_names`` as read, and general ones as understood by callers."""
        self.names: set[str] = set()
        self._known = {
            *header_names.read_from_responses,
            *header_names.passed,
            *GENERAL,
            *HOP_BY_HOP,
            LENGTH,
        }

    def check(self, server: str, pairs: Pairs) -> None:
        """Check the headers of a response of ``server``; names are in lower case."""
        for name, value in pairs:
            if name not in self._known:
                self._record(server, name, value)

    def _record(self, server: str, name: str, value: str) -> None:
        if name in self.names or len(self.names) >= MAX_NAMES:
            return
        self.names.add(name)
        logged_value = '' if name in SECRET_HEADERS else value[:MAX_LOGGED_CHARACTERS]
        events.HEADER_UNREAD.log(
            server=server, header=name[:MAX_LOGGED_CHARACTERS], value=logged_value
        )
