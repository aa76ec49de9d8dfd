"""Values in the store that could not be decoded, each logged once."""

from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes import events

MAX_KEYS = 4096
"""Keys that are remembered, so that arbitrary keys don't fill the memory."""


class UnreadableValues:
    """Logs each unreadable value once for each key and version, however often it is read."""

    def __init__(self) -> None:
        """Initialize without any."""
        self._versions: dict[str, int] = {}

    def note(self, stored: Stored, error: Exception) -> None:
        """Log that a stored value is ignored, unless this version of its key was logged before."""
        if self._versions.get(stored.key) == stored.version:
            return
        self._versions.pop(stored.key, None)
        if len(self._versions) >= MAX_KEYS:
            self._versions.pop(next(iter(self._versions)))
        self._versions[stored.key] = stored.version
        events.VALUE_UNREADABLE.log(
            key=stored.key,
            version=stored.version,
            size_bytes=len(stored.value or b''),
            error=str(error),
        )
