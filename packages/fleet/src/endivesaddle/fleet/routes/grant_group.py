"""Write the grants of a group of accounts, which are stored under one key, in one task.

One write brings all of an allocator's grants under the key up to date, so that the number of
writes doesn't grow with the number of accounts.
"""

import hashlib
import math
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Peers, Stored
from endivesaddle.fleet.routes import events
from endivesaddle.fleet.routes.grants import (
    MIN_CHANGE_TOKENS,
    NO_RECORDS,
    Grant,
    GrantsUnreadable,
    Incarnation,
    Records,
    decode,
    encode,
)
from endivesaddle.fleet.routes.remote_store import ForwardStore
from endivesaddle.fleet.routes.unreadable_values import UnreadableValues
from endivesaddle.fleet.routes.write_intervals import AllocatorSettings, WriteIntervals
from endivesaddle.fleet.sentinels import Absent, Conflict

PREFIX = 'endivesaddle/grants/'
GROUPS = 4
"""Number of groups that accounts are spread over; it must never change, nor differ by instance.

Each group has one allocator, so that writers don't conflict: when all of 22 routers wrote, they
made 320 store calls per second for 100 requests per second, most of them in vain."""
CHECK_INTERVAL_S = 0.5
"""Time between checks of all grants; short enough for a headroom of 9 s."""
RETRY_INTERVAL_S = 2.0
"""Time between tries while the store does not answer; the store counts each call."""
CALL_TIMEOUT_S = 0.6
"""Time limit of a store call; a slower one counts as lost, and the record is read again."""
MAX_WRITES = 6
"""Writes in one attempt, all but the last of which may lose to other writers."""
REREAD_INTERVAL_S = 0.5
"""The record is not read again more often than this to find the last tokens of a total."""
UNAVAILABLE_S = 0.25
"""After a failed call, no request waits for another one for this long."""


Claims = dict[str, dict[str, Mapping[str, int]]]
"""Tokens of ended allocators that routers hold: by the allocator's incarnation, by the router's
incarnation, by account."""


def group_of(account: str) -> int:
    """Return the number of an account's group."""
    digest = hashlib.blake2b(account.encode(), digest_size=4).digest()
    return int.from_bytes(digest) % GROUPS


class AllocatorContext(NamedTuple):
    """One incarnation of an allocator: id, address, store, clock, calls to routers, settings.

    Without ``peers`` it doesn't call routers and waits for them to call.
    """

    incarnation: str
    address: str
    store: ForwardStore
    clock: Clock
    peers: Peers | None = None
    settings: AllocatorSettings = AllocatorSettings()


class GrantGroup:
    """An allocator's grants of one group of accounts; only the task of ``run`` writes them."""

    def __init__(
        self, number: int, context: AllocatorContext, unreadable: UnreadableValues
    ) -> None:
        """Initialize without accounts; the record is not read yet.

        An unreadable record is noted in ``unreadable``.
        """
        self.grants: dict[str, Grant] = {}
        self.routers: set[str] = set()
        self.recorded_routers: frozenset[str] = frozenset()
        self.claims: Claims = {}
        self.intervals = WriteIntervals(context.settings, number)
        self.owned = False
        self.failed = False
        self._context = context
        self._key = f'{PREFIX}{number}'
        self._version = 0
        self._records = NO_RECORDS
        self._read = False
        self._unreadable = unreadable
        self._read_unix_s = 0.0
        self._unavailable_until_unix_s = 0.0
        self._write_requested = anyio.Event()
        self._request_waits = anyio.Event()
        self._attempt_ended = anyio.Event()
        self._started_count = 0
        self._ended_count = 0

    @property
    def unavailable(self) -> bool:
        """Whether the store has just failed to answer."""
        return self._context.clock.now_s() < self._unavailable_until_unix_s

    def grant(self, account: str) -> Grant:
        """Return the grant of an account, and create it if there is none."""
        grant = self.grants.get(account)
        if grant is None:
            grant = Grant(self._context.incarnation, self._context.clock.now_s())
            grant.update(self._records.of(account))
            self.grants[account] = grant
            self._write_requested.set()
        return grant

    async def run(self) -> None:
        """Adjust the grants until cancelled."""
        while True:
            if self._write_requested.is_set() or self._worth_writing():
                await self._wait_until_due()
                await self.write()
            with anyio.move_on_after(self._pause_s()):
                await self._write_requested.wait()

    async def attempt(self) -> None:
        """Request a write, and wait for an attempt that starts after this call to end."""
        number = self._started_count + 1
        self.intervals.wait(self._context.clock.now_s())
        self._write_requested.set()
        self._request_waits.set()
        while self._ended_count < number:
            await self._attempt_ended.wait()

    async def write(self) -> None:
        """Set all grants to the wanted amounts; nothing changes while the store is unavailable."""
        self._write_requested = anyio.Event()
        self._request_waits = anyio.Event()
        self.intervals.attempt()
        self._started_count += 1
        try:
            await self._write_if_needed()
        except GrantsUnreadable:
            # It is never written over: it may hold grants of others.
            self._read = False
            self.failed = True
            self._unavailable_until_unix_s = self._context.clock.now_s() + UNAVAILABLE_S
        except StoreUnreachable as error:
            self._failed(str(error))
            self._unavailable_until_unix_s = self._context.clock.now_s() + UNAVAILABLE_S
        except StoreWriteUnconfirmed as error:
            # The lost write needs no handling: the next one is made under the version that
            # was read, so that only one of the two can ever take effect.
            self._failed(str(error))
        else:
            self.failed = False
        self._ended_count = self._started_count
        self._attempt_ended.set()
        self._attempt_ended = anyio.Event()

    def headroom(self, grant: Grant) -> int:
        """Return the headroom of a grant in tokens, 0 once another instance owns the group."""
        return grant.headroom(self._context.clock.now_s()) if self.owned else 0

    def ended(self) -> dict[str, Incarnation]:
        """Return the earlier incarnations of this allocator that still have grants on record.

        They have certainly ended, since this one runs at their address.
        """
        return self._records.ended_at(self._context.address, self._context.incarnation)

    def claim(self, allocator: str, router: str, held: Mapping[str, int]) -> None:
        """Record all tokens, by account, that a router holds of an ended allocator.

        Arguments are incarnations.  Only a router's first claim counts.
        """
        claims = self.claims.setdefault(allocator, {})
        if router not in claims:
            claims[router] = held
            self._write_requested.set()

    async def _wait_until_due(self) -> None:
        """Wait until the next write may begin, which a new request may bring forward."""
        while self.intervals.due_unix_s() > self._context.clock.now_s():
            pause_s = self.intervals.due_unix_s() - self._context.clock.now_s()
            with anyio.move_on_after(pause_s):
                await self._request_waits.wait()
                self._request_waits = anyio.Event()

    def _pause_s(self) -> float:
        if not self.grants:
            # Don't wake an idle instance; a new account ends the wait.
            return math.inf
        return RETRY_INTERVAL_S if self.failed else CHECK_INTERVAL_S

    def _failed(self, reason: str) -> None:
        self._read = False
        self.failed = True
        events.GRANT_UNWRITTEN.log(key=self._key, reason=reason)

    def _worth_writing(self) -> bool:
        if not self._read:
            return bool(self.grants)
        if self.routers > self.recorded_routers or self._claimed():
            return True
        return any(
            grant.worth_writing(self.headroom(grant)) or self._pending(name, grant)
            for name, grant in self.grants.items()
        )

    def _pending(self, name: str, grant: Grant) -> bool:
        """Tell whether a grant can grow for waiting requests, or differs from the record.

        The latter happens when the answer to a write was lost: until another write has replaced
        the record, a still earlier write could take effect and shrink the grant.
        """
        if grant.stored(self._records.of(name)) != grant.granted:
            return True
        wanted = grant.wanted(self.headroom(grant))
        if wanted < grant.used + grant.waiting:
            # The rest of the total does not cover the waiting requests. Without this limit, near
            # the end each request wrote the record for a few tokens, ten times per second.
            return wanted > grant.granted + MIN_CHANGE_TOKENS
        return wanted > grant.granted and not grant.fits(grant.waiting)

    def _claimed(self) -> list[str]:
        """Return the ended incarnations for which all routers on record have made their claim."""
        return [
            name
            for name, incarnation in self.ended().items()
            if self.claims.get(name, {}).keys() >= set(incarnation.routers)
        ]

    def _without_ended(self) -> Records:
        """Return the records, with ended incarnations' grants reduced to what routers hold.

        This frees the tokens that an ended incarnation had not handed out. Otherwise an allocator
        that was killed stranded a fifth of a total.
        """
        records = self._records
        for name in self._claimed():
            left: Counter[str] = Counter()
            for held in self.claims.get(name, {}).values():
                left.update(held)
            records = records.reduced(name, left)
            events.GRANT_RECLAIMED.log(key=self._key, keeper=name, held_tokens=dict(left))
        return records

    async def _write_if_needed(self) -> None:
        for _ in range(MAX_WRITES):
            if not self._read:
                await self._read_record()
            wanted = {name: one.wanted(self.headroom(one)) for name, one in self.grants.items()}
            if self._lacking(wanted) and self._stale():
                # Other allocators may have given back tokens since the record was read; near the
                # end of the total, these are the only ones left.
                self._read = False
            elif not self._worth_writing() or await self._swap(wanted):
                return

    def _lacking(self, wanted: dict[str, int]) -> bool:
        return any(
            grant.waiting and wanted[name] < grant.used + grant.waiting
            for name, grant in self.grants.items()
        )

    def _stale(self) -> bool:
        return self._context.clock.now_s() - self._read_unix_s > REREAD_INTERVAL_S

    async def _read_record(self) -> None:
        deadline_unix_s = self._context.clock.now_s() + CALL_TIMEOUT_S
        stored = await self._context.store.read(self._key, deadline_unix_s)
        if isinstance(stored, Absent):
            self._apply(0, None)
        else:
            self._apply(stored.version, stored.value)

    def _apply(self, version: int, value: bytes | None) -> None:
        self._version = version
        self._records = self._decoded(version, value) if value else NO_RECORDS
        self._read = True
        self._read_unix_s = self._context.clock.now_s()
        for name, grant in self.grants.items():
            grant.update(self._records.of(name))

    def _decoded(self, version: int, value: bytes) -> Records:
        try:
            return decode(value)
        except GrantsUnreadable as error:
            self._unreadable.note(Stored(self._key, value, version), error)
            raise

    async def _swap(self, wanted: dict[str, int]) -> bool:
        """Write the grants; False if another allocator wrote first.

        A grant that shrinks is reduced before the write, and one that grows is used only after
        the answer.  If the answer is lost, this allocator thus assumes the smaller amount until a
        later write has replaced the record.
        """
        now_unix_s = self._context.clock.now_s()
        reduced = self._without_ended()
        routers = frozenset(self.routers)
        own = Incarnation(self._context.address, tuple(sorted(routers)))
        records = Records(
            dict(reduced.accounts), {**reduced.incarnations, self._context.incarnation: own}
        )
        for name, tokens in wanted.items():
            grant = self.grants[name]
            records.accounts[name] = grant.entered(reduced.of(name), tokens, now_unix_s)
            grant.granted = min(grant.granted, tokens)
        self.intervals.write(now_unix_s)
        written = await self._context.store.swap(
            self._key, encode(records), self._version, now_unix_s + CALL_TIMEOUT_S
        )
        if isinstance(written, Conflict):
            self._lost_to(written)
            return False
        self._version = written.version
        self._records = records
        self.recorded_routers = routers
        for name, tokens in wanted.items():
            self.grants[name].granted = tokens
            self.grants[name].update(records.of(name))
        events.GRANT.log(key=self._key, version=written.version, granted_tokens=wanted)
        return True

    def _lost_to(self, conflict: Conflict) -> None:
        events.GRANT_FORESTALLED.log(key=self._key, version=conflict.version)
        if conflict.value is None:
            self._read = False
        else:
            self._apply(conflict.version, conflict.value)
