"""Evacuated data centres: their servers get no new requests until they return to service.

The set has the store version as of which it is complete, so that a late report from another router
does not overwrite a newer one.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from endivesaddle.fleet.routes import evacuation_events as events

ENTRY_AGE_S = 2.0
"""The age that a known server entry may have while the store is available: it is written about once
a second and read by polls."""

Listener = Callable[[], None]


class ReturnedToService(NamedTuple):
    """When a data centre returned to service: the store version, and this instance's time."""

    version: int
    at_unix_s: float


class Evacuations:
    """The evacuated data centres that one instance knows."""

    def __init__(self) -> None:
        """Initialize without any; ``heard`` is whether the store or a router has reported them."""
        self.version = 0
        self.heard = False
        self.names: frozenset[str] = frozenset()
        self.listeners: list[Listener] = []
        self._returned: dict[str, ReturnedToService] = {}

    def replace(self, names: Iterable[str], version: int, now_unix_s: float, source: str) -> None:
        """Replace the set as of a store version; an older version has no effect."""
        if version < self.version:
            return
        self.version = version
        self.heard = True
        before = self.names
        self.names = frozenset(names)
        self._apply(before, now_unix_s, source)

    def change(
        self, name: str, evacuated: bool, version: int, now_unix_s: float, source: str
    ) -> None:
        """Apply one change; one that is older than the known set has no effect."""
        names = self.names | {name} if evacuated else self.names - {name}
        if version > self.version:
            self.replace(names, version, now_unix_s, source)

    def cold_until_unix_s(self, data_centre: str, entry_version: int, cold_s: float) -> float:
        """Return until when a server may be cold although its entry does not say so.

        Failure: servers that started while their data centre was evacuated got all requests when it
        returned to service, since the known entries were older.  An entry that was written after
        the return is taken as it is.
        """
        returned = self._returned.get(data_centre)
        if returned is None or entry_version > returned.version:
            return 0.0
        return returned.at_unix_s + cold_s + ENTRY_AGE_S

    def _apply(self, before: frozenset[str], now_unix_s: float, source: str) -> None:
        for name in self.names - before:
            self._returned.pop(name, None)
            events.EVACUATED.log(data_centre=name, version=self.version, source=source)
        for name in before - self.names:
            self._returned[name] = ReturnedToService(self.version, now_unix_s)
            events.TAKEN_BACK.log(data_centre=name, version=self.version, source=source)
        if before != self.names:
            for listener in self.listeners:
                listener()
