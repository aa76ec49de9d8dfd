"""One router's share of the retries that a service allows beyond a ratio of its requests.

The shares of all routers add up to the whole at most, whatever each of them believes of the fleet:

- A router divides by all routers that it counts: those on record in a list that is at most
  ``max_view_age_s`` old, and those that were on record until recently.  Without such a list, or
  without an entry of its own, it has no share.
- Its share begins a window and the greatest age of a list after its entry was first listed: by then
  every router that has a share counts it, and what its predecessor spent at its address lies more
  than a window back.
- A router that left the record is counted for as long again: its last list may have named it.
"""

from typing import NamedTuple


class FleetView(NamedTuple):
    """The addresses of the routers on record as of some time.

    It has all entries that were written before ``as_of_unix_s`` and not removed.  ``own`` is the
    address of this router, '' if its present incarnation has no entry.
    """

    own: str
    addresses: frozenset[str]
    as_of_unix_s: float


class SlackShare:
    """The number of routers that this one shares the slack with; 0 while it has no share."""

    def __init__(self, window_s: float) -> None:
        """Initialize without a view of the fleet, and so without a share."""
        self.max_view_age_s = window_s
        self._settled_s = window_s + self.max_view_age_s
        self._as_of_unix_s = 0.0
        self._listed_unix_s: float | None = None
        self._on_record: frozenset[str] = frozenset()
        self._counted_until_unix_s: dict[str, float] = {}

    def observe(self, view: FleetView) -> None:
        """Apply a list of the routers; one that is older than the last one changes nothing."""
        if view.as_of_unix_s < self._as_of_unix_s:
            return
        for address, until_unix_s in list(self._counted_until_unix_s.items()):
            if until_unix_s < view.as_of_unix_s:
                del self._counted_until_unix_s[address]
        # An entry that is missing for the first time may have been removed just now.
        for address in self._on_record | view.addresses:
            self._counted_until_unix_s[address] = view.as_of_unix_s + self._settled_s
        self._on_record = view.addresses
        self._as_of_unix_s = view.as_of_unix_s
        if not view.own:
            self._listed_unix_s = None
        elif self._listed_unix_s is None:
            self._listed_unix_s = view.as_of_unix_s

    def view_age_s(self, now_unix_s: float) -> float:
        """Return the age of the last view."""
        return now_unix_s - self._as_of_unix_s

    def routers(self, now_unix_s: float) -> int:
        """Return how many routers share the slack with this one, 0 if it has no share."""
        settled = (
            self._listed_unix_s is not None
            and now_unix_s >= self._listed_unix_s + self._settled_s
            and self.view_age_s(now_unix_s) <= self.max_view_age_s
        )
        return len(self._counted_until_unix_s) if settled else 0
