"""Estimate of which backend server has which prompt prefixes cached.

Based on the requests that this router sent and on the servers' cache events, which are delayed and
may have gaps.  Bounded: the least recently used prefix is dropped first.  After a gap the older
entries of that server have a lower weight until an event or a request of this router confirms them.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

UNCERTAIN_WEIGHT = 0.9
"""Weight of an entry older than a gap in the events."""
MAX_HOLDERS = 16
"""Servers remembered per prefix, those confirmed last; more would not be compared."""


class Prefixes:
    """Cached prefixes: hash to servers and times of confirmation."""

    def __init__(self, max_prefixes: int) -> None:
        """Remember at most ``max_prefixes`` prefixes."""
        self._max_prefixes = max_prefixes
        self._holders: OrderedDict[int, dict[str, float]] = OrderedDict()
        self._uncertain_unix_s: dict[str, float] = {}
        self._cached_lookup: tuple[Sequence[int], dict[str, float]] | None = None
        self._invalid_before_unix_s: dict[str, float] = {}
        self._last_event: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of prefixes."""
        return len(self._holders)

    def confirm(self, server: str, hashes: Iterable[int], now_unix_s: float) -> None:
        """Record that a server has these prefixes cached."""
        self._cached_lookup = None
        for prefix in hashes:
            holders = self._holders.setdefault(prefix, {})
            holders.pop(server, None)
            holders[server] = now_unix_s
            if len(holders) > MAX_HOLDERS:
                del holders[next(iter(holders))]
            self._holders.move_to_end(prefix)
        while len(self._holders) > self._max_prefixes:
            self._holders.popitem(last=False)

    def evict(self, server: str, hashes: Iterable[int]) -> None:
        """Record that a server no longer has these prefixes cached."""
        self._cached_lookup = None
        for prefix in hashes:
            holders = self._holders.get(prefix)
            if holders is not None:
                holders.pop(server, None)
                if not holders:
                    del self._holders[prefix]

    def event(self, server: str, sequence: int, now_unix_s: float) -> bool:
        """Record the number of a cache event; return False after a gap.

        A number that starts again belongs to an engine that restarted with an empty cache.
        """
        self._cached_lookup = None
        last = self._last_event.get(server)
        self._last_event[server] = sequence
        if last is None or last <= sequence <= last + 1:
            return True
        if sequence < last:
            self._invalid_before_unix_s[server] = now_unix_s
        self._uncertain_unix_s[server] = now_unix_s
        return False

    def forget(self, server: str, now_unix_s: float) -> None:
        """Drop all entries of a server that is gone."""
        self._cached_lookup = None
        self._uncertain_unix_s.pop(server, None)
        self._last_event.pop(server, None)
        self._invalid_before_unix_s[server] = now_unix_s

    def shares(self, hashes: Sequence[int]) -> dict[str, float]:
        """Return the share of the prompt that is probably cached, for each server with any.

        The result is kept for the next call: one decision asks three times for the same prompt.
        """
        if self._cached_lookup is None or self._cached_lookup[0] is not hashes:
            self._cached_lookup = hashes, self._look_up(hashes)
        return self._cached_lookup[1]

    def _look_up(self, hashes: Sequence[int]) -> dict[str, float]:
        found: dict[str, float] = {}
        for depth in range(len(hashes), 0, -1):
            for server, confirmed_unix_s in self._holders.get(hashes[depth - 1], {}).items():
                weight = 0 if server in found else self._weight(server, confirmed_unix_s)
                if weight:
                    found[server] = weight * depth / len(hashes)
            if len(found) >= MAX_HOLDERS:
                break
        return found

    def _weight(self, server: str, confirmed_unix_s: float) -> float:
        if confirmed_unix_s < self._invalid_before_unix_s.get(server, 0):
            return 0
        uncertain = confirmed_unix_s <= self._uncertain_unix_s.get(server, 0)
        return UNCERTAIN_WEIGHT if uncertain else 1.0
