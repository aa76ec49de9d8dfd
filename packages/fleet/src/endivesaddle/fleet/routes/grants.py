"""Shares of prepaid totals: what one router may spend without asking.

For each account a record in the store holds what every life of a router was
granted; the sum never exceeds the total.  A router spends within its grant and
nothing else, so that no fault can overspend: what a lost router was granted
counts as spent for good.  How much is granted beyond what is in use decides
what a store outage refuses, and what a lost router strands.
"""

from collections import deque
from collections.abc import Container
from typing import NamedTuple

import msgspec

HEADROOM_S = 10.0
"""Seconds of an account's use that all routers hold ahead at most, far from the total.

Store outages last 4 to 9 s, and a grant may have shrunk to ``LOW`` of it when one begins;
an account whose use stays the same meets none of them."""
STRANDED_SHARE = 0.5
STRANDED_POWER = 4
"""All routers together hold ahead ``STRANDED_SHARE`` of the total times the part that is left
to the power of ``STRANDED_POWER``.

What is ahead is lost when all of them are killed at once, and from then on every request of
an account is refused though some of its total was never used. With four fifths left it is
20% of the total, as long as a store outage; with half left 3%, with a quarter 0.2%."""
LEAST_SHARE = 0.004
"""All routers hold this share of the total ahead however little is left, and at most a third
of that: else each request near the end would write the record."""
LEAST_PART = 3
NEAR_S = 1.5
"""So many seconds of its use a router holds itself; the rest lies with a sidecar.

A cut from the store is noticed after 0.6 s, and a write has 0.6 s for its answer."""
UNUSED_SHARE = 0.12
"""All routers together hold so much of what is left of an account not used anywhere yet."""
IDLE_SHARE = 0.02
"""All together hold so much for an account in use that a router has not met lately.

It asks for what is missing, or borrows; more would be stranded when all are killed at once."""
KEPT_BACK_S = 2.0
"""A lender keeps so much of its own use: two routers that are short don't lend in circles."""
SMALL_TOKENS = 256
"""Differences below this are not worth a write."""
LOW = 0.6
"""A grant is raised when less than this of the headroom is left, so that writes are few."""
HIGH = 1.6
"""A grant is lowered when more than this many times the headroom is left."""
WINDOW_S = 8.0
"""The use of an account is its worst cases admitted within this time."""
LEAST_WINDOW_S = 2.0
"""Use that has just begun is averaged over this at least."""


class Entry(NamedTuple):
    """What one life of a router was granted, what it had spent of it by then, and its use.

    ``rate_per_s`` is the tokens that it admitted in a second, at their worst.
    """

    granted: int
    spent: int
    rate_per_s: int


class Record(NamedTuple):
    """The grants of one account: entries by lifetime of the router."""

    entries: dict[str, Entry]

    def others(self, lifetime: str) -> int:
        """Return what all other lives were granted."""
        return sum(entry.granted for name, entry in self.entries.items() if name != lifetime)

    def spent(self) -> int:
        """Return what has been reported as spent; the truth is never less."""
        return sum(entry.spent for entry in self.entries.values())


Records = dict[str, Record]
"""The grants of several accounts, by name: one value in the store."""


def decode(value: bytes) -> Records:
    """Read records; raises ``ValueError`` where there are none."""
    try:
        found = msgspec.json.decode(value, type=dict[str, dict[str, Entry]])
    except msgspec.DecodeError as error:
        raise ValueError(f'not records of grants: {error}') from error
    return {account: Record(entries) for account, entries in found.items()}


def encode(records: Records) -> bytes:
    """Write records."""
    return msgspec.json.encode({name: record.entries for name, record in records.items()})


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
        self.gone_elsewhere = 0
        self.rate_elsewhere_per_s = 0
        self._lifetime = lifetime
        self._began_unix_s = now_unix_s
        self._admitted: deque[tuple[float, int]] = deque()
        self._admitted_tokens = 0

    @property
    def used(self) -> int:
        """Tokens spent or reserved at their worst."""
        return self.spent + self.reserved

    def lend(self, tokens: int, now_unix_s: float, keep_s: float = KEPT_BACK_S) -> int:
        """Give another instance what is not in use nor needed soon; return how much.

        ``keep_s`` seconds of use stay here.  The store goes on counting what is given under
        this router, which never uses it again.
        """
        kept = int(keep_s * self.rate_per_s(now_unix_s))
        lent = max(0, min(tokens, self.granted - self.used - kept))
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

    def learn(self, record: Record, live: Container[str]) -> None:
        """Take in the record as the store has it now; ``live`` are the other routers."""
        self.others = record.others(self._lifetime)
        self.reported = record.spent()
        self.rate_elsewhere_per_s = sum(
            entry.rate_per_s for name, entry in record.entries.items() if name in live
        )
        # What a life that ended was granted is gone; one that lives has spent a part of it.
        self.gone_elsewhere = sum(
            entry.spent if name in live else entry.granted
            for name, entry in record.entries.items()
            if name != self._lifetime
        )

    def free(self, total: int) -> int:
        """Return what of the total is not granted to anybody."""
        return total - self.others - self.granted - self.given

    def headroom(self, total: int, routers: int, now_unix_s: float, deposited: int = 0) -> int:
        """Return how much to hold beyond what is in use, with what is ``deposited`` elsewhere.

        Each router holds its part, by its use, of what all may hold ahead: far from the
        total as much as an outage asks for, near it as little as a kill may strand.
        """
        given = self.given - deposited
        spare = max(0, total - self.others - given - self.used)
        left = max(0, total - self.gone_elsewhere - given - self.used)
        if not left:
            return 0
        rate_per_s = self.rate_per_s(now_unix_s)
        part = rate_per_s / max(1, rate_per_s + self.rate_elsewhere_per_s)
        most = part * min(
            left / LEAST_PART,
            total * (LEAST_SHARE + STRANDED_SHARE * (left / total) ** STRANDED_POWER),
        )
        floor = IDLE_SHARE if self.reported or self.spent else UNUSED_SHARE
        least = left * floor / max(1, routers)
        return min(spare, int(max(least, min(most, rate_per_s * HEADROOM_S))))

    def near(self, headroom: int, now_unix_s: float) -> int:
        """Return the part of a headroom that is held here and not with a sidecar."""
        return min(headroom, int(NEAR_S * self.rate_per_s(now_unix_s)))

    def wanted(self, total: int, headroom: int, tokens: int = 0) -> int:
        """Return the grant to ask for; ``tokens`` more are needed now.

        It never leaves the sum of all grants above the total, unless more
        than that has been used already (a total that was lowered).
        """
        most = max(total - self.others - self.given, self.used, -self.given)
        return min(most, max(-self.given, self.used + tokens + headroom))

    def worth_asking(self, total: int, headroom: int, deposited: int = 0) -> bool:
        """Tell whether what is held ahead is so far from what is wanted that a write pays.

        What is ``deposited`` counts as held: it comes back without a write.
        """
        ahead = self.granted - self.used + deposited
        if ahead > HIGH * headroom + SMALL_TOKENS:
            return True
        wanted = self.wanted(total, headroom - deposited)
        return ahead < LOW * headroom and wanted > self.granted + SMALL_TOKENS

    def exhausted(self, total: int, tokens: int) -> bool:
        """Tell whether it is certain that the rest of the total doesn't cover a worst case.

        What a dead router did not spend is no rest: it never comes back. Told to return,
        callers did so in vain: 1,557 times in a day with kills.
        """
        return total - self.gone_elsewhere - self.spent < tokens

    def stored(self, record: Record | None) -> int:
        """Return the grant that a record holds for this router, as it may be used here."""
        entry = record.entries.get(self._lifetime) if record else None
        return -self.given if entry is None else entry.granted - self.given

    def entered(self, record: Record, granted: int, now_unix_s: float) -> Record:
        """Return the record with this router's entry changed.

        ``granted`` is what this router may use; what it gave others stays under its name,
        what it borrowed stays under theirs.
        """
        rate_per_s = int(self.rate_per_s(now_unix_s))
        entry = Entry(granted + self.given, min(granted, self.spent), rate_per_s)
        return Record({**record.entries, self._lifetime: entry})
