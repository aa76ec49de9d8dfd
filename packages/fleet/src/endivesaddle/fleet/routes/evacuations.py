"""Evacuated data centres: nothing new is sent to their servers until they are taken back.

What is believed has the version of the store up to which it is known, so that a word that comes
late, by another way, does not undo a newer one.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from endivesaddle.fleet.routes import evacuation_events as events

ENTRY_AGE_S = 2.0
"""A server's entry, as known here, may be so old while the store answers: it is written about once
a second, and heard of by polls."""

Listener = Callable[[], None]


class ReturnedToService(NamedTuple):
    """When a data centre was taken back: at a version of the store, and the time here."""

    version: int
    at_unix_s: float


class Evacuations:
    """The data centres that are evacuated, as one instance knows them."""

    def __init__(self) -> None:
        """Know nothing yet; ``heard`` tells whether the store or a router has told of them."""
        self.version = 0
        self.heard = False
        self.names: frozenset[str] = frozenset()
        self.listeners: list[Listener] = []
        self._returned: dict[str, ReturnedToService] = {}

    def replace(self, names: Iterable[str], version: int, now_unix_s: float, source: str) -> None:
        """Take in all that are evacuated as of a version; an older version changes nothing."""
        if version < self.version:
            return
        self.version = version
        self.heard = True
        before = self.names
        self.names = frozenset(names)
        self._note(before, now_unix_s, source)

    def change(
        self, name: str, evacuated: bool, version: int, now_unix_s: float, source: str
    ) -> None:
        """Take in one change; an older one than what is known changes nothing."""
        names = self.names | {name} if evacuated else self.names - {name}
        if version > self.version:
            self.replace(names, version, now_unix_s, source)

    def cold_until_unix_s(self, data_centre: str, entry_version: int, cold_s: float) -> float:
        """Return until when a server may be cold though its entry does not say so.

        Failure: servers that started while their data centre was evacuated took all requests at
        its takeback, since the entries known here were of before.  An entry that was written after
        the takeback speaks for itself.
        """
        returned = self._returned.get(data_centre)
        if returned is None or entry_version > returned.version:
            return 0.0
        return returned.at_unix_s + cold_s + ENTRY_AGE_S

    def _note(self, before: frozenset[str], now_unix_s: float, source: str) -> None:
        for name in self.names - before:
            self._returned.pop(name, None)
            events.EVACUATED.log(data_centre=name, version=self.version, source=source)
        for name in before - self.names:
            self._returned[name] = ReturnedToService(self.version, now_unix_s)
            events.TAKEN_BACK.log(data_centre=name, version=self.version, source=source)
        if before != self.names:
            for listener in self.listeners:
                listener()
