"""A table that remembers the order of its changes, so that only changes are sent.

All tables of a process share one ``Version``: one number tells a peer what it
has of all of them.
"""

from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

import xxhash

Entry = TypeVar('Entry')
Key = TypeVar('Key')

_SERIAL_BITS = 32
_BASE_BITS = 30


class Version:
    """Count the changes of one incarnation of a process.

    The upper bits tell incarnations apart: a peer that still has the number of
    an earlier process under this address would otherwise be sent too little.
    """

    def __init__(self, owner: str) -> None:
        """Start at the base of ``owner`` (a name with its incarnation)."""
        self._base = xxhash.xxh3_64_intdigest(owner.encode()) >> (64 - _BASE_BITS)
        self.number = self._base << _SERIAL_BITS

    def step(self) -> int:
        """Return the next number."""
        self.number += 1
        return self.number

    def knows(self, number: int) -> bool:
        """Tell whether a number was given out by this incarnation."""
        return number >> _SERIAL_BITS == self._base and number <= self.number


class _Kept(NamedTuple, Generic[Entry]):
    entry: Entry
    version: int
    source: str


class ChangeLog(Generic[Key, Entry]):
    """Entries by key, the last changed at the end."""

    def __init__(self, version: Version) -> None:
        """Start empty."""
        self._version = version
        self._kept: dict[Key, _Kept[Entry]] = {}

    def put(self, key: Key, entry: Entry, source: str) -> None:
        """Enter a change; ``source`` is the address it came from ('' own)."""
        self._kept.pop(key, None)
        self._kept[key] = _Kept(entry, self._version.step(), source)

    def find(self, key: Key) -> Entry | None:
        """Return the entry of a key."""
        kept = self._kept.get(key)
        return kept.entry if kept else None

    def drop(self, key: Key) -> None:
        """Forget a key; peers aren't told."""
        self._kept.pop(key, None)

    def since(self, version: int, receiver: str) -> list[Entry]:
        """Return what changed after a version, but for what came from the receiver."""
        changed = []
        for kept in reversed(self._kept.values()):
            if kept.version <= version:
                break
            if kept.source != receiver:
                changed.append(kept.entry)
        changed.reverse()
        return changed

    def __iter__(self) -> Iterator[Entry]:
        """Iterate over all entries."""
        return iter([kept.entry for kept in self._kept.values()])

    def __len__(self) -> int:
        """Return how many entries there are."""
        return len(self._kept)
