"""Subject: the events that are logged while a scenario runs."""

from collections import Counter
from typing import Any

from loguru import logger


class LoggedEvents:
    """Records the log events of this process until it is closed."""

    def __init__(self) -> None:
        """Start to record events."""
        self._events: list[tuple[str, dict[str, Any]]] = []
        self._sink = logger.add(self._keep, level='DEBUG')

    def fields(self, name: str) -> list[dict[str, Any]]:
        """Return the fields of each occurrence of an event, oldest first."""
        return [fields for kept, fields in self._events if kept == name]

    def names(self) -> Counter[str]:
        """Return how often each event occurred."""
        return Counter(name for name, _ in self._events)

    def close(self) -> None:
        """Stop recording."""
        logger.remove(self._sink)

    def _keep(self, message: Any) -> None:
        extra = message.record['extra']
        self._events.append((extra['name'], extra['fields']))
