"""Shares of prepaid totals: what one router may spend without asking.

For each account one record in the store holds what every life of a router was
granted; the sum never exceeds the total.  A router spends within its grant and
nothing else, so that no fault can overspend: what a lost router was granted
counts as spent for good.  How much is granted beyond what is in use decides
what a store outage refuses, and what a lost router strands.
"""

from collections.abc import Mapping
from typing import NamedTuple

import msgspec

HEADROOM_S = 9.0
"""Seconds of an account's use that a router holds ahead, far from the total.

Store outages last 4 to 9 s; an account whose use stays the same meets none of them."""
STRANDED_SHARE = 0.5
"""All routers' headroom together is at most this share of what is not granted yet.

When all are killed at once no more than that is lost, and near the total it shrinks
with what is left."""
UNUSED_SHARE = 0.25
"""Of that, so much is held for an account that has not been used here lately."""
SMALL_TOKENS = 256
"""Differences below this are not worth a write."""
LOW = 0.6
"""A grant is raised when less than this of the headroom is left, so that writes are few."""
HIGH = 2.0
"""A grant is lowered when more than this many times the headroom is left."""
RATE_S = 6.0
"""Time over which the use of an account is averaged."""


class Entry(NamedTuple):
    """What one life of a router was granted, and what it had spent of it by then."""

    granted: int
    spent: int


class Record(NamedTuple):
    """The record of one account: entries by lifetime of the router."""

    entries: dict[str, Entry]

    def others(self, lifetime: str) -> int:
        """Return what all other lives were granted."""
        return sum(entry.granted for name, entry in self.entries.items() if name != lifetime)

    def spent(self) -> int:
        """Return what has been reported as spent; the truth is never less."""
        return sum(entry.spent for entry in self.entries.values())


def decode(value: bytes) -> Record:
    """Read a record; raises ``ValueError`` where it isn't one."""
    try:
        entries: Mapping[str, tuple[int, int]] = msgspec.json.decode(
            value, type=dict[str, tuple[int, int]]
        )
    except msgspec.DecodeError as error:
        raise ValueError(f'not a record of grants: {error}') from error
    return Record({name: Entry(*pair) for name, pair in entries.items()})


def encode(record: Record) -> bytes:
    """Write a record."""
    return msgspec.json.encode(record.entries)


class Share:
    """One router's share of one account: decisions only, no input or output.

    All amounts are tokens.  ``granted`` is what the store is sure to have on
    record; while a write's fate is unknown, the less of both outcomes.
    """

    def __init__(self, lifetime: str, now_unix_s: float) -> None:
        """Start with nothing granted."""
        self.granted = 0
        self.spent = 0
        self.reserved = 0
        self.others = 0
        self.reported = 0
        self.given = 0
        self.rate_per_s = 0.0
        self._lifetime = lifetime
        self._seen_unix_s = now_unix_s
        self._seen_used = 0

    @property
    def used(self) -> int:
        """Tokens spent or reserved at their worst."""
        return self.spent + self.reserved

    def lend(self, tokens: int) -> int:
        """Give another router a part of what is not in use; return how much.

        The store goes on counting it under this router, which never uses it again.
        """
        lent = max(0, min(tokens, (self.granted - self.used) // 2))
        self.granted -= lent
        self.given += lent
        return lent

    def borrowed(self, tokens: int) -> None:
        """Take what another router gave."""
        self.granted += tokens
        self.given -= tokens

    def fits(self, tokens: int) -> bool:
        """Tell whether a worst case fits into what is granted."""
        return self.used + tokens <= self.granted

    def reserve(self, tokens: int) -> None:
        """Set a worst case aside."""
        self.reserved += tokens

    def settle(self, reserved: int, spent: int) -> None:
        """End a reservation; never spends more than was reserved."""
        self.reserved -= reserved
        self.spent += min(reserved, spent)

    def observe(self, now_unix_s: float) -> None:
        """Average how fast the account is used."""
        passed_s = now_unix_s - self._seen_unix_s
        if passed_s <= 0:
            return
        weight = min(1.0, passed_s / RATE_S)
        rate_per_s = max(0, self.spent - self._seen_used) / passed_s
        self.rate_per_s += weight * (rate_per_s - self.rate_per_s)
        self._seen_unix_s = now_unix_s
        self._seen_used = self.spent

    def learn(self, record: Record) -> None:
        """Take in the record as the store has it now."""
        self.others = record.others(self._lifetime)
        self.reported = record.spent()

    def free(self, total: int) -> int:
        """Return what of the total is not granted to anybody."""
        return total - self.others - self.granted - self.given

    def headroom(self, total: int, routers: int) -> int:
        """Return how much to hold beyond what is in use."""
        spare = max(0, total - self.others - self.given - self.used)
        most = int(spare * STRANDED_SHARE / max(1, routers))
        return min(most, max(int(self.rate_per_s * HEADROOM_S), int(UNUSED_SHARE * most)))

    def wanted(self, total: int, routers: int, tokens: int = 0) -> int:
        """Return the grant to ask for; ``tokens`` more are needed now.

        It never leaves the sum of all grants above the total, unless more
        than that has been used already (a total that was lowered).
        """
        most = max(total - self.others - self.given, self.used, -self.given)
        return min(most, max(-self.given, self.used + tokens + self.headroom(total, routers)))

    def worth_asking(self, total: int, routers: int) -> bool:
        """Tell whether the grant is so far from what is wanted that a write pays."""
        headroom = self.headroom(total, routers)
        ahead = self.granted - self.used
        if ahead > HIGH * headroom + SMALL_TOKENS:
            return True
        return ahead < LOW * headroom and self.wanted(total, routers) > self.granted + SMALL_TOKENS

    def exhausted(self, total: int, tokens: int) -> bool:
        """Tell whether it is certain that the rest of the total doesn't cover a worst case."""
        return total - max(self.reported, self.spent) < tokens

    def entered(self, record: Record, granted: int) -> Record:
        """Return the record with this router's entry changed.

        ``granted`` is what this router may use; what it gave others stays under its name,
        what it borrowed stays under theirs.
        """
        entry = Entry(granted + self.given, min(granted, self.spent))
        return Record({**record.entries, self._lifetime: entry})
