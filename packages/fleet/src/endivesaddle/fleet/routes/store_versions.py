"""When the store was known to be at which version, to tell how old a stale list is at most."""

from collections import deque

MAX_KEPT = 64
"""Far more than the versions seen within the age up to which lists are used."""


class StoreVersions:
    """Versions that the store had reached at some time, as its up-to-date answers showed."""

    def __init__(self) -> None:
        """Initialize with no versions."""
        self._reached: deque[tuple[float, int]] = deque(maxlen=MAX_KEPT)

    def note(self, version: int, reached_unix_s: float) -> None:
        """Record a version that an answer showed for a time, mostly the begin of its call."""
        self._reached.append((reached_unix_s, version))

    def as_of_unix_s(self, version: int) -> float:
        """Return a time up to which a list of this version has all changes, 0 if unknown."""
        return max((at_s for at_s, reached in self._reached if reached <= version), default=0.0)
