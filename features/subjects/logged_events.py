"""Subject: the events that are logged while a scenario runs."""

from typing import Any

from loguru import logger


class LoggedEvents:
    """Keeps the events of this process until it is closed."""

    def __init__(self) -> None:
        """Keep them from here on."""
        self._events: list[tuple[str, dict[str, Any]]] = []
        self._sink = logger.add(self._keep, level='DEBUG')

    def fields(self, name: str) -> list[dict[str, Any]]:
        """Return the fields of each occurrence of an event, the oldest first."""
        return [fields for kept, fields in self._events if kept == name]

    def close(self) -> None:
        """Keep no more."""
        logger.remove(self._sink)

    def _keep(self, message: Any) -> None:
        extra = message.record['extra']
        self._events.append((extra['name'], extra['fields']))
