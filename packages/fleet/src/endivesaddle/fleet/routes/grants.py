"""Grants of prepaid totals: what one keeper may hand out without asking.

For each account a record in the store holds what every life of a keeper was
granted; the sum never exceeds the total.  A keeper hands out within its grant and
nothing else, so that no fault can overspend: what a lost keeper was granted
counts as spent for good.  How much is granted beyond what is in use decides
what a store outage refuses, and what a lost keeper strands.
"""

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

HEADROOM_S = 10.0
"""Seconds of an account's use that are held ahead at most, far from the total.

Store outages last 4 to 9 s, and a grant may have shrunk to ``RAISE_BELOW`` of it when one begins;
an account whose use stays the same meets none of them."""
STRANDED_SHARE = 0.5
STRANDED_POWER = 4
"""Held ahead is ``STRANDED_SHARE`` of the total times the part that is left to the power of
``STRANDED_POWER``.

What is ahead is lost when all instances are killed at once, and from then on every request of
an account is refused though some of its total was never used. With four fifths left it is
20% of the total, as long as a store outage; with half left 3%, with a quarter 0.2%."""
LEAST_SHARE = 0.004
"""This share of the total is held ahead however little is left, and at most a third
of that: else each request near the end would write the record."""
REST_DIVISOR = 3
UNUSED_SHARE = 0.12
"""So much of what is left is held for an account that nobody has used yet."""
IDLE_SHARE = 0.02
"""So much is held for an account in use that was not met lately."""
MIN_CHANGE_TOKENS = 256
"""Differences below this are not worth a write."""
RAISE_BELOW = 0.85
"""A grant is raised when less than this of the headroom is left, so that writes are few.

With 0.7 an account whose use stays the same was refused at the end of an outage of 8 s."""
LOWER_ABOVE = 1.6
"""A grant is lowered when more than this many times the headroom is left."""
WINDOW_S = 8.0
"""The use of an account is its worst cases admitted within this time."""
LEAST_WINDOW_S = 2.0
"""Use that has just begun is averaged over this at least."""


class GrantEntry(NamedTuple):
    """What one life of a keeper was granted, what was spent of it by then, and its use.

    ``rate_per_s`` is the tokens that were asked of it in a second, at their worst.
    """

    granted: int
    spent: int
    rate_per_s: int


class Record(NamedTuple):
    """The grants of one account: entries by lifetime of the keeper."""

    entries: dict[str, GrantEntry]

    def others(self, lifetime: str) -> int:
        """Return what all other lives were granted."""
        return sum(entry.granted for name, entry in self.entries.items() if name != lifetime)

    def reduced(self, lifetime: str, left: int) -> 'Record':
        """Return the record with a life's grant cut down to what is ``left`` of it."""
        entry = self.entries.get(lifetime)
        if entry is None:
            return self
        granted = min(entry.granted, left)
        reduced = GrantEntry(granted, min(granted, entry.spent), 0)
        return Record({**self.entries, lifetime: reduced})

    def spent(self) -> int:
        """Return what has been reported as spent; the truth is never less."""
        return sum(entry.spent for entry in self.entries.values())


class Incarnation(NamedTuple):
    """One life of a keeper: its address, and all lives of routers that it may have given to."""

    address: str
    routers: tuple[str, ...]


class Records(NamedTuple):
    """The grants of a group of accounts, and the keepers' lives: one value in the store."""

    accounts: dict[str, Record]
    lives: dict[str, Incarnation]

    def of(self, account: str) -> Record:
        """Return the record of an account, empty where there is none."""
        return self.accounts.get(account, Record({}))

    def ended_at(self, address: str, lifetime: str) -> dict[str, Incarnation]:
        """Return the lives at an address but for the one that is there now."""
        return {
            name: life
            for name, life in self.lives.items()
            if life.address == address and name != lifetime
        }

    def reduced(self, lifetime: str, left: Mapping[str, int]) -> 'Records':
        """Return the records with an ended life's grants cut down to what is ``left`` of them."""
        accounts = {
            name: record.reduced(lifetime, left.get(name, 0))
            for name, record in self.accounts.items()
        }
        lives = {name: life for name, life in self.lives.items() if name != lifetime}
        return Records(accounts, lives)


NO_RECORDS = Records({}, {})


def decode(value: bytes) -> Records:
    """Read records; raises ``ValueError`` where there are none."""
    try:
        return msgspec.json.decode(value, type=Records)
    except msgspec.DecodeError as error:
        raise ValueError(f'not records of grants: {error}') from error


def encode(records: Records) -> bytes:
    """Write records."""
    return msgspec.json.encode(records)


class TokenBalance:
    """Tokens of one account that one instance may use, and how fast it uses them."""

    def __init__(self, now_unix_s: float) -> None:
        """Start with nothing."""
        self.granted = 0
        self.spent = 0
        self.reserved = 0
        self._began_unix_s = now_unix_s
        self._admitted: deque[tuple[float, int]] = deque()
        self._admitted_tokens = 0

    @property
    def used(self) -> int:
        """Tokens spent or reserved at their worst."""
        return self.spent + self.reserved

    @property
    def available(self) -> int:
        """Tokens that are not in use."""
        return self.granted - self.used

    def fits(self, tokens: int) -> bool:
        """Tell whether a worst case fits into what is granted."""
        return self.used + tokens <= self.granted

    def reserve(self, tokens: int, now_unix_s: float) -> None:
        """Set a worst case aside."""
        self.reserved += tokens
        if not self._admitted:
            self._began_unix_s = now_unix_s
        self._admitted.append((now_unix_s, tokens))
        self._admitted_tokens += tokens

    def settle(self, reserved: int, spent: int) -> None:
        """End a reservation; never spends more than was reserved."""
        self.reserved -= reserved
        self.spent += min(reserved, spent)

    def rate_per_s(self, now_unix_s: float) -> float:
        """Return the tokens that are admitted in a second, at their worst."""
        while self._admitted and self._admitted[0][0] < now_unix_s - WINDOW_S:
            self._admitted_tokens -= self._admitted.popleft()[1]
        passed_s = min(WINDOW_S, now_unix_s - self._began_unix_s)
        return self._admitted_tokens / max(LEAST_WINDOW_S, passed_s)


class Grant(TokenBalance):
    """One keeper's grant of one account: decisions only, no input or output.

    All amounts are tokens.  ``granted`` is what the store is sure to have on
    record; while a write's fate is unknown, the less of both outcomes.  What routers
    hold is reserved here until they have spent it or given it back.
    """

    def __init__(self, lifetime: str, now_unix_s: float) -> None:
        """Start with nothing granted."""
        super().__init__(now_unix_s)
        self.others = 0
        self.reported = 0
        self.total = 0
        self.waiting = 0
        self._lifetime = lifetime
        self._version = -1

    def apply_total(self, version: int, total: int) -> None:
        """Take the total of a version; that of an older version changes nothing."""
        if version > self._version:
            self._version = version
            self.total = total

    def learn(self, record: Record) -> None:
        """Take in the record as the store has it now."""
        self.others = record.others(self._lifetime)
        self.reported = record.spent()

    @property
    def free(self) -> int:
        """What of the total is not granted to anybody."""
        return self.total - self.others - self.granted

    def headroom(self, now_unix_s: float) -> int:
        """Return how much to hold beyond what is in use.

        Far from the total as much as an outage asks for, near it as little as a kill may strand.
        """
        left = max(0, self.total - self.others - self.used)
        if not left:
            return 0
        stranded = STRANDED_SHARE * (left / self.total) ** STRANDED_POWER
        most = min(left / REST_DIVISOR, self.total * (LEAST_SHARE + stranded))
        share = IDLE_SHARE if self.reported or self.used else UNUSED_SHARE
        available = min(most, self.rate_per_s(now_unix_s) * HEADROOM_S)
        return min(left, int(max(left * share, available)))

    def wanted(self, headroom: int) -> int:
        """Return the grant to ask for, with what waits for it.

        It never leaves the sum of all grants above the total, unless more
        than that has been used already (a total that was lowered).
        """
        most = max(self.total - self.others, self.used)
        return min(most, self.used + self.waiting + headroom)

    def worth_writing(self, headroom: int) -> bool:
        """Tell whether what is held ahead is so far from what is wanted that a write pays."""
        if self.available > LOWER_ABOVE * headroom + MIN_CHANGE_TOKENS:
            return True
        return (
            self.available < RAISE_BELOW * headroom
            and self.wanted(headroom) > self.granted + MIN_CHANGE_TOKENS
        )

    def exhausted(self, tokens: int, orphaned: int) -> bool:
        """Tell whether it is certain that the rest of the total doesn't cover a worst case.

        What other lives were granted is no rest, nor is what routers hold that are gone
        (``orphaned``): it never comes back. Told to return, callers did so in vain: 1,557 times
        in a day with kills.
        """
        return self.total - self.others - self.spent - orphaned < tokens

    def stored(self, record: Record | None) -> int:
        """Return the grant that a record holds for this life."""
        entry = record.entries.get(self._lifetime) if record else None
        return 0 if entry is None else entry.granted

    def entered(self, record: Record, granted: int, now_unix_s: float) -> Record:
        """Return the record with this life's entry changed."""
        rate_per_s = int(self.rate_per_s(now_unix_s))
        entry = GrantEntry(granted, min(granted, self.spent), rate_per_s)
        return Record({**record.entries, self._lifetime: entry})
