"""Grants of prepaid totals: how much one allocator may hand out without asking the store.

For each account, a record in the store holds the grant of every incarnation of an allocator;
their sum never exceeds the account's total.  An allocator hands out tokens only from its own
grant, so no failure can overspend the total: the grant of an allocator that is lost counts as
spent for good.  The headroom, which is the part of a grant that is not in use, decides how many
requests a store outage refuses and how much a lost allocator strands.
"""

from collections import deque
from collections.abc import Mapping
from typing import Annotated, NamedTuple

import msgspec

from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue
from endivesaddle.fleet.errors import FleetError

HEADROOM_S = 10.0
"""Maximum headroom, in seconds of the account's current use, while much of the total is left.

Store outages last 4 to 9 s, and a grant may have shrunk to ``RAISE_BELOW`` of its headroom when
one begins; an account with steady use is not affected by them."""
STRANDED_SHARE = 0.5
STRANDED_POWER = 4
"""The headroom is limited to ``STRANDED_SHARE`` of the total, times the fraction that is left
raised to ``STRANDED_POWER``.

The headroom is lost when all instances are killed at once, and then every request of an account
is refused although part of its total was never used.  With four fifths left it is 20% of the
total, enough for a store outage; with half left 3%, with a quarter 0.2%."""
MIN_HEADROOM_SHARE = 0.004
"""This share of the total stays available as headroom however little is left, up to a third of
what is left: otherwise each request near the end would write the record."""
REST_DIVISOR = 3
NEW_ACCOUNT_SHARE = 0.12
"""Share of what is left that is held for an account that nobody has used yet."""
IDLE_SHARE = 0.02
"""Share of what is left that is held for a used account without recent requests."""
MIN_CHANGE_TOKENS = 256
"""Smaller differences are not worth a write."""
RAISE_BELOW = 0.85
"""A grant is raised when less than this share of the headroom is left, to keep writes rare.

With 0.7, an account with steady use was refused at the end of an outage of 8 s."""
LOWER_ABOVE = 1.6
"""A grant is lowered when more than this many times the headroom is left."""
RATE_WINDOW_S = 8.0
"""An account's rate of use is averaged over the worst cases admitted within this time."""
MIN_RATE_WINDOW_S = 2.0
"""Use that has just begun is averaged over at least this time."""


Tokens = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class GrantEntry(NamedTuple):
    """The grant of one incarnation of an allocator, what it has spent so far, and its use.

    ``rate_per_s`` is the number of tokens requested per second, in the worst case.
    """

    granted: Tokens
    spent: Tokens
    rate_per_s: Tokens


class Record(NamedTuple):
    """The grants of one account: entries by incarnation of the allocator."""

    entries: dict[str, GrantEntry]

    def others(self, incarnation: str) -> int:
        """Return the sum of the grants of all other incarnations, in tokens."""
        return sum(entry.granted for name, entry in self.entries.items() if name != incarnation)

    def reduced(self, incarnation: str, left: int) -> 'Record':
        """Return the record with the grant of an incarnation cut down to ``left`` tokens."""
        entry = self.entries.get(incarnation)
        if entry is None:
            return self
        granted = min(entry.granted, left)
        reduced = GrantEntry(granted, min(granted, entry.spent), 0)
        return Record({**self.entries, incarnation: reduced})

    def spent(self) -> int:
        """Return the tokens reported as spent; the true number is never lower."""
        return sum(entry.spent for entry in self.entries.values())


class Incarnation(NamedTuple):
    """The address of an allocator, and the router incarnations it may have given tokens to."""

    address: str
    routers: tuple[str, ...]


class Records(NamedTuple):
    """The grants of a group of accounts and the allocators' incarnations: one value in the store.

    It is stored as a JSON array, so that the order of the fields matters and not their names.
    """

    accounts: dict[str, Record]
    incarnations: dict[str, Incarnation]

    def of(self, account: str) -> Record:
        """Return the record of an account, an empty one if there is none."""
        return self.accounts.get(account, Record({}))

    def ended_at(self, address: str, current: str) -> dict[str, Incarnation]:
        """Return the incarnations at an address except the current one."""
        return {
            name: incarnation
            for name, incarnation in self.incarnations.items()
            if incarnation.address == address and name != current
        }

    def reduced(self, ended: str, left: Mapping[str, int]) -> 'Records':
        """Return the records with an ended incarnation's grants cut down to ``left`` tokens.

        ``left`` is by account; an account that it does not name keeps nothing.
        """
        accounts = {
            name: record.reduced(ended, left.get(name, 0)) for name, record in self.accounts.items()
        }
        incarnations = {
            name: incarnation for name, incarnation in self.incarnations.items() if name != ended
        }
        return Records(accounts, incarnations)


NO_RECORDS = Records({}, {})
_decoder: JsonDecoder[Records] = JsonDecoder(Records)


class GrantsUnreadable(FleetError):
    """The stored grants of a group could not be decoded."""


def decode(value: bytes) -> Records:
    """Decode the records of a group; raises ``GrantsUnreadable`` if they are malformed."""
    try:
        return _decoder.decode(value)
    except UnreadableValue as error:
        raise GrantsUnreadable(f'malformed grant records: {error}') from error


def encode(records: Records) -> bytes:
    """Encode the records of a group."""
    return msgspec.json.encode(records)


class TokenBalance:
    """The tokens of one account that one instance may use, and its rate of use."""

    def __init__(self, now_unix_s: float) -> None:
        """Initialize with no tokens."""
        self.granted = 0
        self.spent = 0
        self.reserved = 0
        self._began_unix_s = now_unix_s
        self._admitted: deque[tuple[float, int]] = deque()
        self._admitted_tokens = 0

    @property
    def used(self) -> int:
        """Tokens that are spent, or reserved for the worst case."""
        return self.spent + self.reserved

    @property
    def available(self) -> int:
        """Granted tokens that are not in use."""
        return self.granted - self.used

    def fits(self, tokens: int) -> bool:
        """Tell whether a worst case of ``tokens`` fits into the grant."""
        return self.used + tokens <= self.granted

    def reserve(self, tokens: int, now_unix_s: float) -> None:
        """Reserve the worst case of a request."""
        self.reserved += tokens
        if not self._admitted:
            self._began_unix_s = now_unix_s
        self._admitted.append((now_unix_s, tokens))
        self._admitted_tokens += tokens

    def settle(self, reserved: int, spent: int) -> None:
        """End a reservation; spends no more tokens than were reserved."""
        self.reserved -= reserved
        self.spent += min(reserved, spent)

    def rate_per_s(self, now_unix_s: float) -> float:
        """Return the tokens admitted per second, in the worst case."""
        while self._admitted and self._admitted[0][0] < now_unix_s - RATE_WINDOW_S:
            self._admitted_tokens -= self._admitted.popleft()[1]
        passed_s = min(RATE_WINDOW_S, now_unix_s - self._began_unix_s)
        return self._admitted_tokens / max(MIN_RATE_WINDOW_S, passed_s)


class Grant(TokenBalance):
    """An allocator's grant for one account: decisions only, no input or output.

    All amounts are tokens.  ``granted`` is the amount that is certainly on record in the store;
    while the outcome of a write is unknown, the smaller of the two possible amounts.  Tokens that
    routers hold are reserved here until the routers spend them or give them back.
    """

    def __init__(self, incarnation: str, now_unix_s: float) -> None:
        """Initialize with nothing granted."""
        super().__init__(now_unix_s)
        self.others = 0
        self.reported = 0
        self.total = 0
        self.waiting = 0
        self._incarnation = incarnation
        self._version = -1

    def apply_total(self, version: int, total: int) -> None:
        """Set the total declared in a version; an older version has no effect."""
        if version > self._version:
            self._version = version
            self.total = total

    def update(self, record: Record) -> None:
        """Update the grant from the record that the store holds now."""
        self.others = record.others(self._incarnation)
        self.reported = record.spent()

    @property
    def free(self) -> int:
        """The part of the total that is granted to no allocator."""
        return self.total - self.others - self.granted

    def headroom(self, now_unix_s: float) -> int:
        """Return how much to hold beyond what is in use.

        While much of the total is left, this covers an outage of the store; near the end it is
        limited to what may be lost when the allocator is killed.
        """
        left = max(0, self.total - self.others - self.used)
        if not left:
            return 0
        stranded = STRANDED_SHARE * (left / self.total) ** STRANDED_POWER
        most = min(left / REST_DIVISOR, self.total * (MIN_HEADROOM_SHARE + stranded))
        share = IDLE_SHARE if self.reported or self.used else NEW_ACCOUNT_SHARE
        available = min(most, self.rate_per_s(now_unix_s) * HEADROOM_S)
        return min(left, int(max(left * share, available)))

    def wanted(self, headroom: int) -> int:
        """Return the grant to ask for, including what waiting requests need.

        It never raises the sum of all grants above the total, unless more than that has already
        been used (the total was lowered).
        """
        most = max(self.total - self.others, self.used)
        return min(most, self.used + self.waiting + headroom)

    def worth_writing(self, headroom: int) -> bool:
        """Tell whether the available tokens differ enough from ``headroom`` to justify a write."""
        if self.available > LOWER_ABOVE * headroom + MIN_CHANGE_TOKENS:
            return True
        return (
            self.available < RAISE_BELOW * headroom
            and self.wanted(headroom) > self.granted + MIN_CHANGE_TOKENS
        )

    def exhausted(self, tokens: int, orphaned: int) -> bool:
        """Tell whether the rest of the total certainly does not cover a worst case.

        Grants of other incarnations don't count as rest, nor do the ``orphaned`` tokens held by
        routers that are gone: neither comes back.  When such requests were answered as worth a
        retry, callers retried in vain, 1,557 times in a day with kills.
        """
        return self.total - self.others - self.spent - orphaned < tokens

    def stored(self, record: Record | None) -> int:
        """Return the grant of this incarnation in a record, 0 if it has none."""
        entry = record.entries.get(self._incarnation) if record else None
        return 0 if entry is None else entry.granted

    def entered(self, record: Record, granted: int, now_unix_s: float) -> Record:
        """Return the record with the entry of this incarnation set to ``granted``."""
        rate_per_s = int(self.rate_per_s(now_unix_s))
        entry = GrantEntry(granted, min(granted, self.spent), rate_per_s)
        return Record({**record.entries, self._incarnation: entry})
