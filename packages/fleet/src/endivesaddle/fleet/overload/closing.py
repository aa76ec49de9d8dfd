"""Choose the callers' connections that are closed after their next response.

Load pattern: one router gets several times its share.  The balancer chooses the router of a new
connection, so the share moves only with connections; those with the most requests move the most.
"""

from collections.abc import Collection
from typing import Protocol

CLOSED_PER_S = 0.25
"""Share of the open connections that is closed in a second: callers that all connect anew at once
would overload the next router."""
KEPT_PER_S = 0.4
"""Weight that a connection's requests keep after a second."""
ACTIVE = 0.1
"""Connections with fewer recent requests are idle; closing them would move no load."""


class Connection(Protocol):
    """One connection of a caller; ``closing`` if its next response ends it."""

    requests: int
    recent: float
    closing: bool


class CloseSchedule:
    """The connections of one router that are to be closed."""

    def __init__(self) -> None:
        """Initialize without any."""
        self._allowance = 0.0
        self._updated_unix_s = 0.0

    def count(self, connections: Collection[Connection], now_unix_s: float) -> float:
        """Update the recent requests of all connections; return the seconds since the last call."""
        passed_s = min(1, max(0, now_unix_s - self._updated_unix_s))
        self._updated_unix_s = now_unix_s
        kept = KEPT_PER_S**passed_s
        for connection in connections:
            connection.recent = connection.recent * kept + connection.requests
            connection.requests = 0
        return passed_s

    def mark(self, connections: Collection[Connection], passed_s: float) -> int:
        """Mark the busiest connections, as many as may be closed now; return their number."""
        per_s = CLOSED_PER_S * len(connections)
        # Unused allowance isn't saved up beyond one connection or a tenth of a second.
        self._allowance = min(max(1, per_s / 10), self._allowance + passed_s * per_s)
        active = [one for one in connections if one.recent >= ACTIVE and not one.closing]
        busiest = sorted(active, key=_recent, reverse=True)[: int(self._allowance)]
        for connection in busiest:
            connection.closing = True
        self._allowance -= len(busiest)
        return len(busiest)

    def unmark(self, connections: Collection[Connection]) -> None:
        """Keep all connections that are still open."""
        self._allowance = 0
        for connection in connections:
            connection.closing = False


def _recent(connection: Connection) -> float:
    return connection.recent
