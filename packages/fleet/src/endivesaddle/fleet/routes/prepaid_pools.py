"""What one router may spend of prepaid totals: drawn from keepers, reserved, settled.

A router holds what it uses within a moment and asks the account's keeper for the rest, so
that a router that is killed takes little with it.
"""

from collections import defaultdict
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.ports import Handlers
from endivesaddle.fleet.routes import events, sidecar_events
from endivesaddle.fleet.routes.account_pool import AccountPool, Reported
from endivesaddle.fleet.routes.allocator import Allocator
from endivesaddle.fleet.routes.allocator_choice import LEAVING_S, AllocatorChoice
from endivesaddle.fleet.routes.call_times import TimedPeers
from endivesaddle.fleet.routes.declared import RouteAccount
from endivesaddle.fleet.routes.grant_group import GROUPS, group_of
from endivesaddle.fleet.routes.grants import LOWER_ABOVE, MIN_CHANGE_TOKENS
from endivesaddle.fleet.routes.reservation import Reservation
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal
from endivesaddle.wire import rpcs
from endivesaddle.wire.routers_pb2 import (
    Claim,
    DrawAnswer,
    DrawReply,
    DrawRequest,
    DrawWord,
    HeldReply,
    HeldRequest,
)

LOOK_S = 1.0
"""Between looks at what is held; what was spent is on the way to the store within it."""
LEAVING_LOOK_S = 0.25
"""Between looks of a router that stops."""
LOOKS_PER_S = 5.0
"""Looks of all routers in a second: with many routers each looks less often."""
NEAR_S = 0.5
"""So many seconds of its use a router holds; asking for more takes a call to the keeper."""
WAIT_S = 0.45
"""A request waits so long for tokens: a slow store takes 0.35 s for a write."""
CALL_S = 0.25
"""A keeper answers within a few ms, or after 0.15 s that it waits for the store; while this
process's calls take long, it has as much longer, up to ``WAIT_S``."""
AGAIN_S = 1.0
"""A caller whose request found no tokens is told to come back after this."""

PROMISING = frozenset((DrawAnswer.READY, DrawAnswer.GROWING))
KNOWING = frozenset((DrawAnswer.EXHAUSTED, DrawAnswer.HELD))
"""Words of a keeper that reaches the store: the next one could not know better."""

PAYMENT_REQUIRED = 402
UNAVAILABLE = 503


class PrepaidPoolsParts(NamedTuple):
    """What a wallet works with; ``own`` is the keeper in the same process."""

    lifetime: str
    address: str
    routing_state: RoutingState
    choice: AllocatorChoice
    own: Allocator
    peers: TimedPeers
    clock: Clock


class PrepaidPools:
    """All that one life of a router holds."""

    def __init__(self, parts: PrepaidPoolsParts) -> None:
        """Start with nothing."""
        self.routers = 1
        self.releasing = False
        self._parts = parts
        self._pools: dict[str, AccountPool] = {}
        self._lives: dict[str, str] = {}
        self._ended: set[str] = set()
        self._asked_of: dict[str, tuple[str, ...]] = {}
        self._stops = anyio.Event()

    def register(self, handlers: Handlers) -> None:
        """Answer keepers whose life before has ended."""
        handlers.answer(rpcs.HELD, self._tell_held)

    async def run(self) -> None:
        """Look at what is held until cancelled."""
        while True:
            if self._parts.choice.known:
                await self.look()
            if self.releasing:
                await anyio.sleep(LEAVING_LOOK_S)
                continue
            with anyio.move_on_after(max(LOOK_S, self.routers / LOOKS_PER_S)):
                await self._stops.wait()

    async def reserve(
        self, account: RouteAccount, tokens: int, request_id: str = ''
    ) -> Reservation | Refusal:
        """Set a worst case aside, drawing more if need be; ``request_id`` is for the log."""
        if account.total_tokens is None or tokens <= 0:
            return Reservation(None, 0)
        pool = self._pool(account.name)
        state = DrawAnswer.AWAY
        if not pool.balance.fits(tokens):
            pool.waiting += tokens
            try:
                with anyio.move_on_after(WAIT_S):
                    state = await self._draw(pool, account, tokens)
            finally:
                pool.waiting -= tokens
        if pool.balance.fits(tokens):
            pool.balance.reserve(tokens, self._parts.clock.now_s())
            return Reservation(pool.balance, tokens)
        return self._short(account, tokens, request_id, state)

    async def look(self) -> None:
        """Tell the keepers what was spent, and give back what is not needed soon."""
        for name in self._limited():
            self._give_back(self._pool(name))
        requests = self._requests()
        async with anyio.create_task_group() as group:
            for address, request in requests.items():
                group.start_soon(self._ask, address, request)

    async def release(self) -> None:
        """Give back what is not in use, at a graceful stop; ``run`` gives back what ends later."""
        self.releasing = True
        self._stops.set()
        await self.look()

    def ready(self) -> bool:
        """Tell whether the accounts are known."""
        return self._parts.routing_state.declarations is not None

    def dump(self) -> dict[str, dict[str, float]]:
        """Return what is held for operators."""
        return {
            name: {
                'granted_tokens': pool.balance.granted,
                'spent_tokens': pool.balance.spent,
                'reserved_tokens': pool.balance.reserved,
            }
            for name, pool in self._pools.items()
        }

    async def _tell_held(self, asked: HeldRequest) -> HeldReply:
        """Tell what is held of lives that ended; nothing more of theirs is taken in."""
        self._ended.update(asked.ended)
        claims = [self._claim(life) for life in asked.ended]
        return HeldReply(lifetime=self._parts.lifetime, claims=claims)

    def _pool(self, name: str) -> AccountPool:
        pool = self._pools.get(name)
        if pool is None:
            pool = AccountPool(self._parts.clock.now_s())
            self._pools[name] = pool
        return pool

    def _limited(self) -> list[str]:
        """Return the names of the accounts that have a total."""
        declarations = self._parts.routing_state.declarations
        accounts = declarations.accounts.values() if declarations else ()
        return [one.name for one in accounts if one.total_tokens is not None]

    def _near(self, pool: AccountPool) -> int:
        if self.releasing:
            return 0
        return int(NEAR_S * pool.balance.rate_per_s(self._parts.clock.now_s()))

    def _give_back(self, pool: AccountPool) -> None:
        near = self._near(pool)
        available = pool.balance.available - pool.waiting
        most = 0 if self.releasing else LOWER_ABOVE * near + MIN_CHANGE_TOKENS
        if available > most:
            present = set(self._lives.values())
            pool.give_back(available - near, [life for life in pool.drawn if life in present])

    def _requests(self) -> dict[str, DrawRequest]:
        """Return what to tell each keeper: what changed, and which groups are kept there."""
        requests: dict[str, DrawRequest] = defaultdict(self._request)
        allocators = {number: self._first_allocator(number) for number in range(GROUPS)}
        for number, address in allocators.items():
            requests[address].groups.append(number)
        for name in self._limited():
            pool = self._pool(name)
            current = allocators[group_of(name)]
            addresses = {drawn.address for drawn in pool.drawn.values()} | {current}
            for address in addresses:
                if self._to_tell(name, pool, address):
                    requests[address].words.append(self._word(name, pool, address))
        for address, request in requests.items():
            request.keeper = self._lives.get(address, '')
            request.claims.extend(self._claims(address))
        return requests

    def _claims(self, address: str) -> list[Claim]:
        """Return what is held of the ended lives that a keeper asked about."""
        return [self._claim(life) for life in self._asked_of.get(address, ())]

    def _claim(self, life: str) -> Claim:
        out = {name: pool.out_of(life) for name, pool in self._pools.items()}
        return Claim(keeper=life, out=out)

    def _to_tell(self, name: str, pool: AccountPool, address: str) -> bool:
        usable = self._parts.choice.usable(address)
        return usable and pool.news(self._lives.get(address, ''), self._total(name))

    def _first_allocator(self, group: int) -> str:
        return self._parts.choice.ranked(group)[0]

    def _request(self) -> DrawRequest:
        declarations = self._parts.routing_state.declarations
        version = declarations.version if declarations else 0
        return DrawRequest(lifetime=self._parts.lifetime, version=version)

    def _total(self, name: str) -> int:
        declarations = self._parts.routing_state.declarations
        account = declarations.accounts.get(name) if declarations else None
        if account is None or account.total_tokens is None:
            return 0
        return account.total_tokens

    def _word(self, name: str, pool: AccountPool, address: str) -> DrawWord:
        return pool.word(name, self._lives.get(address, ''), self._total(name))

    async def _draw(
        self, pool: AccountPool, account: RouteAccount, tokens: int
    ) -> DrawAnswer.State:
        """Draw what all waiting requests of an account need; return what the last keeper said."""
        state: DrawAnswer.State = DrawAnswer.AWAY
        async with pool.lock:
            for address in self._parts.choice.ranked(group_of(account.name)):
                state = await self._draw_all(address, pool, account.name, tokens)
                if pool.balance.fits(tokens) or state in KNOWING:
                    break
        return state

    async def _draw_all(
        self, address: str, pool: AccountPool, name: str, tokens: int
    ) -> DrawAnswer.State:
        """Ask one keeper until it gave enough, or says that it can't."""
        state: DrawAnswer.State = DrawAnswer.READY
        while state in PROMISING and not pool.balance.fits(tokens):
            state = await self._draw_from(address, pool, name, tokens)
        return state

    async def _draw_from(
        self, address: str, pool: AccountPool, name: str, tokens: int
    ) -> DrawAnswer.State:
        request = self._request()
        request.keeper = self._lives.get(address, '')
        word = self._word(name, pool, address)
        word.needed = tokens - pool.balance.available
        word.waiting = max(word.needed, pool.waiting - pool.balance.available)
        word.wanted = word.waiting + self._near(pool)
        request.words.append(word)
        # What the keeper gives is for all who wait: the first of them must not end the call when
        # its own time is over, or on a slow link none would ever have an answer.
        with anyio.CancelScope(shield=True):
            reply = await self._ask(address, request)
        if reply is None:
            # A keeper that is still to be used is asked again: no other one has what it holds.
            usable = self._parts.choice.usable(address)
            return DrawAnswer.GROWING if usable else DrawAnswer.AWAY
        return reply.answers[0].state

    async def _ask(self, address: str, request: DrawRequest) -> DrawReply | None:
        try:
            reply = await self._call(address, request)
        except (FleetError, TimeoutError) as error:
            # The wait may be this process's own, or its link's: no reason to leave the keeper.
            own_delay = self._parts.peers.times.slow_elsewhere(address)
            sidecar_events.KEEPER_SILENT.log(
                keeper=address,
                reason=str(error),
                own_delay=own_delay,
                **self._parts.peers.times.dump(),
            )
            if not own_delay:
                self._parts.choice.avoid(address)
            return None
        if reply.lifetime in self._ended:
            return None
        self._take_in(address, request, reply)
        return reply

    async def _call(self, address: str, request: DrawRequest) -> DrawReply:
        if address == self._parts.address:
            return await self._parts.own.draw(request)
        limit_s = self._parts.peers.times.limit_s(address, CALL_S, WAIT_S)
        deadline_unix_s = self._parts.clock.now_s() + limit_s
        return await self._parts.peers.call(address, rpcs.DRAW, request, deadline_unix_s)

    def _take_in(self, address: str, request: DrawRequest, reply: DrawReply) -> None:
        self._lives[address] = reply.lifetime
        # From now on nothing that an ended life says is taken in: what is told to be held of it
        # is the last word.
        self._ended.update(reply.ended)
        self._asked_of[address] = tuple(reply.ended)
        if reply.leaving:
            self._parts.choice.avoid(address, LEAVING_S)
        for word, answer in zip(request.words, reply.answers, strict=True):
            pool = self._pool(answer.account)
            drawn = pool.take_in(reply.lifetime, address, answer.drawn)
            if request.keeper == reply.lifetime:
                drawn.reported = Reported(word.returned, word.spent, word.total)

    def _short(
        self, account: RouteAccount, tokens: int, request_id: str, state: DrawAnswer.State
    ) -> Refusal:
        pool = self._pool(account.name)
        events.GRANT_SHORT.log(
            request_id=request_id,
            account=account.name,
            keeper=self._first_allocator(group_of(account.name)),
            keeper_said=DrawAnswer.State.Name(state),
            needed_tokens=tokens,
            granted_tokens=pool.balance.granted,
            used_tokens=pool.balance.used,
            total_tokens=account.total_tokens,
        )
        if state == DrawAnswer.EXHAUSTED:
            reason = f'{tokens} tokens at most do not fit into what is left of the prepaid total'
            return Refusal('budget_exhausted', reason, NOT_RUN, PAYMENT_REQUIRED)
        reason = 'the part of the prepaid total that can be reached does not cover the request'
        return Refusal('budget_unreachable', reason, NOT_RUN, UNAVAILABLE, AGAIN_S)
