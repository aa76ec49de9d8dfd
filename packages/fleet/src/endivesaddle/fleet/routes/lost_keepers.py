"""Keepers that fell silent while a router held tokens of them: which to ask again soon.

Load pattern: a sidecar is killed and is back within a second, and routers are killed soon after.
Its next life frees what the one before had not given away once each router has told what it holds;
one that is killed before it told keeps all of that out of reach.  Routers passed a silent keeper
over for two seconds and, when they were many, looked at it seconds later.
"""

SOUGHT_S = 20.0
"""A keeper is asked again for so long: a process that is started again is back by then."""
FOUND_S = 2.0
"""After its first answer it is asked for so long: it reads the store before it knows of lives that
ended."""


class LostKeepers:
    """The keepers that one router asks again, by address."""

    def __init__(self) -> None:
        """Start without any."""
        self._until_unix_s: dict[str, float] = {}
        self._found: set[str] = set()

    def note_silent(self, address: str, now_unix_s: float) -> None:
        """Note that a keeper did not answer."""
        if address not in self._until_unix_s or address in self._found:
            self._found.discard(address)
            self._until_unix_s[address] = now_unix_s + SOUGHT_S

    def note_answer(self, address: str, knows_ended: bool, now_unix_s: float) -> None:
        """Note an answer, and whether the keeper ``knows_ended`` lives before its own."""
        if address not in self._until_unix_s:
            return
        if knows_ended:
            self._forget(address)
        elif address not in self._found:
            self._found.add(address)
            self._until_unix_s[address] = now_unix_s + FOUND_S

    def due(self, now_unix_s: float) -> list[str]:
        """Return the keepers to ask now."""
        for address, until_unix_s in list(self._until_unix_s.items()):
            if until_unix_s <= now_unix_s:
                self._forget(address)
        return list(self._until_unix_s)

    def _forget(self, address: str) -> None:
        del self._until_unix_s[address]
        self._found.discard(address)
