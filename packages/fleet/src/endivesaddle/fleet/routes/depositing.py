"""Keep a router's reserve of tokens with sidecars, and only what is used soon here."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

import anyio
import xxhash

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import FleetError, PeerUnreachable
from endivesaddle.fleet.ports import Peers
from endivesaddle.fleet.routes import store_events as events
from endivesaddle.fleet.routes.keeping import Keeping
from endivesaddle.wire import routers_pb2, rpcs

ROUND_S = 1.0
"""Between looks; a router killed between two strands at most what it used in one."""
CALL_S = 0.4
AVOID_S = 10.0
"""A sidecar that did not answer, or stops, is not given anything for this long."""


class Wish(NamedTuple):
    """What one sidecar is asked for: tokens by account."""

    given: Counter[str]
    taken: Counter[str]


class Depositing:
    """One router's deposits; an account's lie with one sidecar, the same for all routers."""

    def __init__(
        self,
        keeping: Keeping,
        sidecars: Callable[[], Iterable[str]],
        peers: Peers,
        clock: Clock,
        lifetime: str,
    ) -> None:
        """Start with no deposits."""
        self._keeping = keeping
        self._sidecars = sidecars
        self._peers = peers
        self._clock = clock
        self._lifetime = lifetime
        self._kept: dict[str, Counter[str]] = {}
        self._avoid_until_unix_s: dict[str, float] = {}

    async def run(self) -> None:
        """Adjust the deposits until cancelled."""
        while True:
            await self.look()
            await anyio.sleep(ROUND_S)

    def keeper(self, account: str) -> str:
        """Return the address of the sidecar with an account's deposits, '' without one."""
        now_unix_s = self._clock.now_s()
        usable = [
            address
            for address in self._sidecars()
            if self._avoid_until_unix_s.get(address, 0) <= now_unix_s
        ]
        return max(usable, key=lambda address: _weight(account, address), default='')

    async def look(self) -> None:
        """Bring all deposits to what is wanted now."""
        wishes = self._wishes()
        async with anyio.create_task_group() as group:
            for address, wish in wishes.items():
                group.start_soon(self._ask, address, wish)
        self._count()

    def _wishes(self) -> dict[str, Wish]:
        """Return what to ask of each sidecar; each that keeps something is asked."""
        wishes = {address: Wish(Counter(), Counter()) for address in self._kept}
        for account in self._keeping.accounts():
            keeper = self.keeper(account)
            for address, kept in self._kept.items():
                if address != keeper and kept[account]:
                    wishes[address].taken[account] = kept[account]
            if keeper:
                wish = wishes.setdefault(keeper, Wish(Counter(), Counter()))
                self._adjust(account, self._kept.get(keeper, Counter())[account], wish)
        return wishes

    def _adjust(self, account: str, kept: int, wish: Wish) -> None:
        change = self._keeping.deposit_change(account, kept)
        if change > 0:
            wish.given[account] = self._keeping.give(account, change)
        elif change < 0:
            wish.taken[account] = -change

    async def _ask(self, address: str, wish: Wish) -> None:
        message = routers_pb2.DepositRequest(
            lifetime=self._lifetime, given=+wish.given, taken=+wish.taken
        )
        try:
            reply = await self._peers.call(
                address, rpcs.DEPOSIT, message, self._clock.now_s() + CALL_S
            )
        except (FleetError, TimeoutError) as error:
            self._avoid_until_unix_s[address] = self._clock.now_s() + AVOID_S
            events.DEPOSIT_FAILED.log(sidecar=address, given_tokens=wish.given, reason=str(error))
            if isinstance(error, PeerUnreachable):
                self._keeping.take_back(wish.given)
            return
        self._keeping.take_back(reply.returned)
        self._kept[address] = Counter(reply.kept)
        if reply.leaving:
            self._avoid_until_unix_s[address] = self._clock.now_s() + AVOID_S
        if not reply.kept and (reply.leaving or address not in set(self._sidecars())):
            self._kept.pop(address)

    def _count(self) -> None:
        """Tell what lies with sidecars that answer: it counts as held ahead."""
        now_unix_s = self._clock.now_s()
        total: Counter[str] = Counter()
        for address, kept in self._kept.items():
            if self._avoid_until_unix_s.get(address, 0) <= now_unix_s:
                total.update(kept)
        self._keeping.deposited = total


def _weight(account: str, address: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{account}/{address}'.encode())
