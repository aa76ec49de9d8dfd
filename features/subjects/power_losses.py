"""Subject: a fleet that loses the power of all its machines, several times in a row."""

import asyncio
from random import Random
from typing import Any, NamedTuple

import anyio

from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes import grants
from endivesaddle.fleet.routes.grant_group import PREFIX, group_of
from endivesaddle.fleet.sentinels import Conflict
from subjects.store_relay import ACCOUNT, CutFleet

KEY = f'{PREFIX}{group_of(ACCOUNT.name)}'
STORE_ANSWER_S = 0.02
LARGEST_TOKENS = 2000
STEADY_S = 3.0
STEP_S = 0.1
BURST = 12
BURST_S = 0.3
BACK_S = 3.0
DRAWN_S = 0.5
"""Routers hold what they use in this time; ``docs/BUDGETS.md``."""


class Loss(NamedTuple):
    """One loss of power, in tokens: spent until then, granted on record, and the bound."""

    spent: int
    granted: dict[str, int]
    stranded: int
    bound: float


class PowerLosses(CutFleet):
    """A fleet whose requests count as spent in full as soon as they are admitted."""

    def __init__(self, routers: int, sidecars: int, total: int, seed: int) -> None:
        """Start the fleet over a store whose writes take effect whatever becomes of the caller."""
        super().__init__(routers, sidecars, total)
        self.losses: list[Loss] = []
        self.most_granted = 0
        self.longest_away_s = 0.0
        self._random = Random(seed)
        self._swap = self.store.swap
        self.store.swap = self._write  # type: ignore[method-assign]
        self.store.delay_s = STORE_ANSWER_S

    def play(self, losses: int) -> None:
        """Use the account, and lose power again and again."""
        for _ in range(losses):
            self._use(STEADY_S)
            self._loop.run(self._lose_power)
            self._come_back()
        self._use(STEADY_S)

    def granted(self) -> dict[str, int]:
        """Return the grants on record by the life of the allocator."""
        stored = self.store.kept(KEY)
        if stored is None or not stored.value:
            return {}
        record = grants.decode(stored.value).of(ACCOUNT.name)
        return {life: entry.granted for life, entry in record.entries.items()}

    def _use(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.spend(self._random.randrange(len(self.routers)), self._tokens())
            self.sleep(STEP_S)
            self._look()

    def _tokens(self) -> int:
        return self._random.randint(1, LARGEST_TOKENS)

    def _look(self) -> None:
        self.most_granted = max(self.most_granted, sum(self.granted().values()))

    async def _write(self, key: str, *arguments: Any) -> Stored | Conflict:
        """Write, also if the caller ends before the answer."""
        return await asyncio.shield(asyncio.ensure_future(self._swap(key, *arguments)))

    async def _lose_power(self) -> None:
        before = self.spent
        self.store.lose_answers = self._random.choice((0, 1, 3))
        sent = [
            asyncio.ensure_future(
                self._spend(self._random.randrange(len(self.routers)), self._tokens())
            )
            for _ in range(BURST)
        ]
        await anyio.sleep(self._random.uniform(0, BURST_S))
        for one in sent:
            one.cancel()
        for sidecar, _ in enumerate(self.allocators):
            await self._lose_sidecar(sidecar)
        for router in self.routers:
            router.kill()
        # Writes that were on their way have taken effect after this.
        await anyio.sleep(2 * STORE_ANSWER_S)
        self.store.lose_answers = 0
        self._note_loss(self.spent - before)
        for sidecar, _ in enumerate(self.allocators):
            await self._start_sidecar(sidecar)
        self.routers = [self._router(number) for number, _ in enumerate(self.routers)]
        for started in self.routers:
            started.start(self._account())

    def _note_loss(self, burst: int) -> None:
        granted = self.granted()
        ended = self.losses[-1] if self.losses else Loss(0, {}, 0, 0)
        lost = sum(granted.values()) - sum(ended.granted.values())
        spent = self.spent - ended.spent
        left = self.total - sum(ended.granted.values()) - spent
        self.losses.append(Loss(self.spent, granted, lost - spent, self._bound(left, burst)))

    def _bound(self, left: int, burst: int) -> float:
        """Return the most that a loss may strand, by the limits that the grants state."""
        share = grants.STRANDED_SHARE * (left / self.total) ** grants.STRANDED_POWER
        headroom = min(left / grants.REST_DIVISOR, self.total * (grants.MIN_HEADROOM_SHARE + share))
        per_s = LARGEST_TOKENS / STEP_S
        drawn = DRAWN_S * per_s + BURST * LARGEST_TOKENS
        return grants.LOWER_ABOVE * headroom + grants.MIN_CHANGE_TOKENS + drawn

    def _come_back(self) -> None:
        began_unix_s = self._clock_s()
        while not self.spend(0, 1) and self._clock_s() < began_unix_s + 2 * BACK_S:
            self.sleep(STEP_S)
        self.longest_away_s = max(self.longest_away_s, self._clock_s() - began_unix_s)

    def _clock_s(self) -> float:
        return self._loop.run(self._now)

    async def _now(self) -> float:
        return self._clock.now_s()
