"""Tokens that routers leave with a sidecar, which lends them to any router that is short.

Failure: what an account may need in a store outage lay at the router that its callers met;
when that one router was killed, up to 15% of the total was stranded.  A sidecar is not met by
callers, keeps no other state, and outlives the routers' restarts.  Tokens lie at one place at
a time: with a sidecar that is lost they are lost too, and never spent twice.
"""

from collections import Counter

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.ports import Handlers
from endivesaddle.wire import routers_pb2, rpcs

ORPHAN_S = 6.0
"""What a router left that has not asked for so long goes to the next one that asks.

Routers ask every second; one that was killed is back under another name by then."""


class Custody:
    """All tokens at one sidecar, by the router that left them and by account."""

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self.leaving = False
        self._clock = clock
        self._kept: dict[str, Counter[str]] = {}
        self._asked_unix_s: dict[str, float] = {}

    def register(self, handlers: Handlers) -> None:
        """Answer the routers' calls."""
        handlers.answer(rpcs.DEPOSIT, self._deposit)
        handlers.answer(rpcs.LEND, self._lend)

    def tokens(self) -> int:
        """Return all tokens that lie here."""
        return sum(kept.total() for kept in self._kept.values())

    async def _deposit(self, asked: routers_pb2.DepositRequest) -> routers_pb2.DepositReply:
        now_unix_s = self._clock.now_s()
        self._asked_unix_s[asked.lifetime] = now_unix_s
        kept = self._kept.setdefault(asked.lifetime, Counter())
        kept.update(asked.given)
        wanted = Counter(kept) if self.leaving else Counter(asked.taken)
        returned = self._orphans(now_unix_s) + (kept & wanted)
        kept.subtract(kept & wanted)
        return routers_pb2.DepositReply(
            returned=returned, kept=+Counter(kept), leaving=self.leaving
        )

    async def _lend(self, asked: routers_pb2.LendRequest) -> routers_pb2.LendReply:
        """Lend from what the asker left here first, then from what others did."""
        lent = 0
        own = self._kept.get(asked.lifetime, Counter())
        for kept in (own, *self._kept.values()):
            part = min(kept[asked.account], asked.tokens - lent)
            kept[asked.account] -= part
            lent += part
        return routers_pb2.LendReply(tokens=lent)

    def _orphans(self, now_unix_s: float) -> Counter[str]:
        found: Counter[str] = Counter()
        for lifetime in list(self._kept):
            if self._asked_unix_s[lifetime] < now_unix_s - ORPHAN_S:
                found.update(self._kept.pop(lifetime))
                del self._asked_unix_s[lifetime]
        return +found
