"""Write the grants of a group of accounts: one key of the store, one task.

The records of several accounts lie under one key: one write brings all of a
keeper's grants there up to date, so that writes don't grow with the accounts.
"""

import hashlib
import math
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Peers
from endivesaddle.fleet.routes import events
from endivesaddle.fleet.routes.grants import (
    MIN_CHANGE_TOKENS,
    NO_RECORDS,
    Grant,
    Incarnation,
    Records,
    decode,
    encode,
)
from endivesaddle.fleet.routes.remote_store import ForwardStore
from endivesaddle.fleet.sentinels import Absent, Conflict

PREFIX = 'endivesaddle/grants/'
GROUPS = 4
"""Groups over which the accounts are spread; the same in all instances, for good.

Each is kept by one instance, so that writers don't lose to each other: where all of 22 routers
wrote, 320 store calls a second were made for 100 requests a second, most of them in vain."""
TICK_S = 0.5
"""Between looks at all grants; with a headroom of 9 s a grant is never late by a tick."""
FAILED_TICK_S = 2.0
"""Between tries while the store does not answer; each is a call that it counts."""
CALL_S = 0.6
"""A store call may take so long; slower ones count as lost and are read back."""
TRIES = 6
"""Writes of one attempt that may lose to others."""
READ_AGAIN_S = 0.5
"""The record is not read again for the last tokens more often than this."""
AWAY_S = 0.25
"""After a call that failed nobody waits for another one for so long."""


Claims = dict[str, dict[str, Mapping[str, int]]]
"""What routers hold of ended lives: by the keeper's life, by the router's life, by account."""


def group_of(account: str) -> int:
    """Return the number of an account's group."""
    digest = hashlib.blake2b(account.encode(), digest_size=4).digest()
    return int.from_bytes(digest) % GROUPS


class AllocatorContext(NamedTuple):
    """One life of a keeper: its name, its address, its store, its clock, and its calls to routers.

    Without ``peers`` it waits until routers call.
    """

    lifetime: str
    address: str
    store: ForwardStore
    clock: Clock
    peers: Peers | None = None


class GrantGroup:
    """A keeper's grants of one group; ``run`` is the only one that writes them."""

    def __init__(self, number: int, life: AllocatorContext) -> None:
        """Start unread and without accounts."""
        self.grants: dict[str, Grant] = {}
        self.routers: set[str] = set()
        self.named: frozenset[str] = frozenset()
        self.claims: Claims = {}
        self.wanted_here = False
        self.failed = False
        self._life = life
        self._key = f'{PREFIX}{number}'
        self._version = 0
        self._records = NO_RECORDS
        self._read = False
        self._learnt_unix_s = 0.0
        self._away_until_unix_s = 0.0
        self._asked = anyio.Event()
        self._ended = anyio.Event()
        self._begun_count = 0
        self._ended_count = 0

    @property
    def away(self) -> bool:
        """Whether the store failed to answer just now."""
        return self._life.clock.now_s() < self._away_until_unix_s

    def grant(self, account: str) -> Grant:
        """Return the grant of an account, new where it was not met."""
        grant = self.grants.get(account)
        if grant is None:
            grant = Grant(self._life.lifetime, self._life.clock.now_s())
            grant.learn(self._records.of(account))
            self.grants[account] = grant
            self._asked.set()
        return grant

    async def run(self) -> None:
        """Adjust the grants until cancelled."""
        while True:
            if self._asked.is_set() or self._worth_writing():
                await self.write()
            with anyio.move_on_after(self._pause_s()):
                await self._asked.wait()

    async def attempt(self) -> None:
        """Wait for a whole attempt to write that begins after this moment."""
        number = self._begun_count + 1
        self._asked.set()
        while self._ended_count < number:
            await self._ended.wait()

    async def write(self) -> None:
        """Bring all grants to what is wanted; nothing changes while the store is away."""
        self._asked = anyio.Event()
        self._begun_count += 1
        try:
            await self._settle()
        except StoreUnreachable as error:
            self._failed(str(error))
            self._away_until_unix_s = self._life.clock.now_s() + AWAY_S
        except StoreWriteUnconfirmed as error:
            # The fate of a lost write needs no care: the next one is made under the
            # version that was read, so that only one of the two can ever take effect.
            self._failed(str(error))
        else:
            self.failed = False
        self._ended_count = self._begun_count
        self._ended.set()
        self._ended = anyio.Event()

    def headroom(self, grant: Grant) -> int:
        """Return what to hold beyond what is in use; nothing once another one is the keeper."""
        return grant.headroom(self._life.clock.now_s()) if self.wanted_here else 0

    def ended(self) -> dict[str, Incarnation]:
        """Return the lives of this keeper before this one that still have grants on record.

        They have ended for certain: this one is at their address.
        """
        return self._records.ended_at(self._life.address, self._life.lifetime)

    def claim(self, life: str, router: str, out: Mapping[str, int]) -> None:
        """Take in all that a router holds of an ended life, by account: its last word on that."""
        claims = self.claims.setdefault(life, {})
        if router not in claims:
            claims[router] = out
            self._asked.set()

    def _pause_s(self) -> float:
        if not self.grants:
            # Nobody keeps an idle instance awake; a new account wakes it.
            return math.inf
        return FAILED_TICK_S if self.failed else TICK_S

    def _failed(self, reason: str) -> None:
        self._read = False
        self.failed = True
        events.GRANT_UNWRITTEN.log(key=self._key, reason=reason)

    def _worth_writing(self) -> bool:
        if not self._read:
            return bool(self.grants)
        if self.routers > self.named or self._claimed():
            return True
        return any(
            grant.worth_writing(self.headroom(grant)) or self._pending(name, grant)
            for name, grant in self.grants.items()
        )

    def _pending(self, name: str, grant: Grant) -> bool:
        """Tell whether a grant can grow for what waits, or whether it is on record and not used.

        The latter comes of a write whose answer was lost: until another write has taken its
        place, a still older one could shrink it.
        """
        if grant.stored(self._records.of(name)) != grant.granted:
            return True
        wanted = grant.wanted(self.headroom(grant))
        if wanted < grant.used + grant.waiting:
            # All that is left does not do: near the total each request wrote the record for a
            # few tokens, ten times a second.
            return wanted > grant.granted + MIN_CHANGE_TOKENS
        return wanted > grant.granted and not grant.fits(grant.waiting)

    def _claimed(self) -> list[str]:
        """Return the ended lives of which each router told that may hold something of them."""
        return [
            name
            for name, life in self.ended().items()
            if self.claims.get(name, {}).keys() >= set(life.routers)
        ]

    def _without_ended(self) -> Records:
        """Return the records with ended lives' grants cut down to what routers hold of them.

        What an ended life had not given to anybody is free again. Without it a keeper that was
        killed took a fifth of a total with it.
        """
        records = self._records
        for name in self._claimed():
            left: Counter[str] = Counter()
            for out in self.claims[name].values():
                left.update(out)
            records = records.reduced(name, left)
            events.GRANT_RECLAIMED.log(key=self._key, keeper=name, held_tokens=dict(left))
        return records

    async def _settle(self) -> None:
        for _ in range(TRIES):
            if not self._read:
                await self._learn_anew()
            wanted = {name: one.wanted(self.headroom(one)) for name, one in self.grants.items()}
            if self._lacking(wanted) and self._old():
                # Others may have given back since: near the total that is all there is.
                self._read = False
            elif not self._worth_writing() or await self._swap(wanted):
                return

    def _lacking(self, wanted: dict[str, int]) -> bool:
        return any(
            grant.waiting and wanted[name] < grant.used + grant.waiting
            for name, grant in self.grants.items()
        )

    def _old(self) -> bool:
        return self._life.clock.now_s() - self._learnt_unix_s > READ_AGAIN_S

    async def _learn_anew(self) -> None:
        deadline_unix_s = self._life.clock.now_s() + CALL_S
        stored = await self._life.store.read(self._key, deadline_unix_s)
        if isinstance(stored, Absent):
            self._learn(0, None)
        else:
            self._learn(stored.version, stored.value)

    def _learn(self, version: int, value: bytes | None) -> None:
        self._version = version
        self._records = decode(value) if value else NO_RECORDS
        self._read = True
        self._learnt_unix_s = self._life.clock.now_s()
        for name, grant in self.grants.items():
            grant.learn(self._records.of(name))

    async def _swap(self, wanted: dict[str, int]) -> bool:
        """Write the grants; False when another keeper was first.

        A grant that shrinks is given up before it is written, one that grows
        is used after the answer: with the answer lost, this keeper believes
        the less of both, until a later write has taken the record's place.
        """
        now_unix_s = self._life.clock.now_s()
        reduced = self._without_ended()
        routers = frozenset(self.routers)
        own = Incarnation(self._life.address, tuple(sorted(routers)))
        records = Records(dict(reduced.accounts), {**reduced.lives, self._life.lifetime: own})
        for name, tokens in wanted.items():
            grant = self.grants[name]
            records.accounts[name] = grant.entered(reduced.of(name), tokens, now_unix_s)
            grant.granted = min(grant.granted, tokens)
        written = await self._life.store.swap(
            self._key, encode(records), self._version, now_unix_s + CALL_S
        )
        if isinstance(written, Conflict):
            self._forestalled(written)
            return False
        self._version = written.version
        self._records = records
        self.named = routers
        for name, tokens in wanted.items():
            self.grants[name].granted = tokens
            self.grants[name].learn(records.of(name))
        events.GRANT.log(key=self._key, version=written.version, granted_tokens=wanted)
        return True

    def _forestalled(self, conflict: Conflict) -> None:
        events.GRANT_FORESTALLED.log(key=self._key, version=conflict.version)
        if conflict.value is None:
            self._read = False
        else:
            self._learn(conflict.version, conflict.value)
