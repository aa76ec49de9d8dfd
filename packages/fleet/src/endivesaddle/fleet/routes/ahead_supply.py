"""Prefetch tokens of prepaid totals, and draw what requests in the queues need.

Calls are made by background tasks, so that a request that is cancelled or times out ends no call:
the tokens that an answer brings later stay in the pool.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio.abc import TaskGroup

from endivesaddle.fleet.errors import FleetError
from endivesaddle.fleet.routes.account_pool import AccountPool
from endivesaddle.fleet.routes.allocator import GROW_TIMEOUT_S
from endivesaddle.fleet.routes.call_times import MARGIN, SLOW_S
from endivesaddle.fleet.routes.draw_calls import DrawCalls, OpenCall
from endivesaddle.fleet.routes.grant_group import group_of
from endivesaddle.fleet.routes.supply import SCARCE_S, SupplyPolicy, Use, refill_tokens, wait_s
from endivesaddle.fleet.routes.supply_log import SupplyLog
from endivesaddle.wire.routers_pb2 import DrawAnswer, DrawRequest

MAX_CALL_S = 2.0
"""An answer counts until this long after its call; time limits grow up to it."""
PAUSE_S = 0.1
"""Time between attempts while no allocator gives tokens."""
REFILL_PAUSE_S = 0.3
"""Time after a refill that fell short, until the next one.

Near the end of a total each request would otherwise make a call for a few tokens."""


CALL_AGAIN = frozenset((DrawAnswer.READY, DrawAnswer.GROWING))
FINAL = frozenset((DrawAnswer.EXHAUSTED, DrawAnswer.HELD))
"""Answers of an allocator that reaches the store: asking another one gives nothing better."""


class AheadSupply:
    """The background draws of one router."""

    def __init__(self, calls: DrawCalls, policy: SupplyPolicy) -> None:
        """Draw with ``calls``; ``start`` starts the task that does so."""
        self.counts: Counter[str] = Counter()
        self.routers = 1
        self.stopping = False
        self._calls = calls
        self._policy = policy
        self._clock = calls.parts.clock
        self._tasks: TaskGroup | None = None
        self._due: set[str] = set()
        self._open: Counter[str] = Counter()
        self._wake = anyio.Event()
        self._drawing: set[str] = set()
        self._refilling: set[str] = set()
        self._log = SupplyLog(self._clock)

    def hold(self, name: str) -> int:
        """Return the tokens of an account to hold now."""
        if self.stopping:
            return 0
        now_unix_s = self._clock.now_s()
        pool = self._calls.pool(name)
        use = Use(
            pool.demand.rate_per_s(now_unix_s),
            pool.demand.largest_tokens(now_unix_s),
            self._calls.parts.peers.times.typical_s(),
            self._calls.total(name),
            self.routers,
            now_unix_s < pool.scarce_until_unix_s,
        )
        self._log.speed(use.call_s)
        pool.hold_tokens = self._policy.hold(use)
        return pool.hold_tokens

    async def reserve(self, name: str, tokens: int, end_unix_s: float) -> DrawAnswer.State | None:
        """Reserve tokens, in order with waiting requests; return why it failed, or None.

        A cancelled reservation is released.
        """
        pool = self._calls.pool(name)
        now_unix_s = self._clock.now_s()
        pool.demand.record(tokens, now_unix_s)
        waiter = pool.queue.add(tokens)
        pool.queue.serve(now_unix_s)
        self.note(name)
        if waiter.admitted():
            return None
        self.counts['supply_waits'] += 1
        self._log.waiting(name, pool, self._calls.parts.peers.times.typical_s())
        try:
            with anyio.move_on_after(wait_s(end_unix_s, now_unix_s)):
                await waiter.ended.wait()
        except BaseException:
            if waiter.admitted():
                pool.balance.settle(tokens, 0)
            raise
        finally:
            pool.queue.remove(waiter)
            pool.queue.serve(self._clock.now_s())
        return None if waiter.admitted() else waiter.state

    def note(self, name: str) -> None:
        """Draw for an account if its requests wait or its tokens run out."""
        pool = self._calls.pool(name)
        if pool.queue or (name not in self._refilling and self._lacking(name)):
            self._due.add(name)
            self._wake.set()

    async def report(self, requests: dict[str, DrawRequest]) -> None:
        """Make the calls that report what is spent and given back, and wait for their time limits.

        A router that stops has little time, and its own allocator gives back tokens after this.
        """
        calls = [self._start_call(address, request) for address, request in requests.items()]
        for one in calls:
            await one.ended.wait()

    def start(self, tasks: TaskGroup) -> None:
        """Draw in ``tasks`` until they are cancelled."""
        self._tasks = tasks
        tasks.start_soon(self._run)

    async def _run(self) -> None:
        while True:
            self._wake = anyio.Event()
            self._start_due()
            await self._wake.wait()

    def _spawn(self, task: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
        if self._tasks is None:
            raise RuntimeError('the supply was not started')
        self._tasks.start_soon(task, *arguments)

    def _lacking(self, name: str) -> int:
        return refill_tokens(self.hold(name), self._calls.pool(name).balance.available)

    def _start_due(self) -> None:
        due = sorted(self._due)
        self._due.clear()
        refills: dict[str, list[str]] = defaultdict(list)
        for name in due:
            if self._calls.pool(name).queue:
                self._start_draw(name)
            elif name not in self._refilling and self._lacking(name):
                self._refilling.add(name)
                refills[self._calls.parts.choice.ranked(group_of(name))[0]].append(name)
        for address, names in refills.items():
            self.counts['supply_refills'] += 1
            self._spawn(self._refill, address, names)

    def _start_draw(self, name: str) -> None:
        if name not in self._drawing:
            self._drawing.add(name)
            self._spawn(self._draw, name)

    async def _refill(self, address: str, names: list[str]) -> None:
        """Make one call to an allocator for all accounts that are due."""
        request = self._calls.request(address)
        for name in names:
            report = self._calls.report(name, address)
            report.needed = 1
            report.wanted = max(1, self._lacking(name))
            request.words.append(report)
        one = self._start_call(address, request)
        await one.ended.wait()
        for name in names:
            self._refilling.discard(name)
            if self._lacking(name):
                if one.reply is not None:
                    self._note_scarce(name)
                self._refilling.add(name)
                self._spawn(self._refill_later, name)

    async def _refill_later(self, name: str) -> None:
        await anyio.sleep(REFILL_PAUSE_S)
        self._refilling.discard(name)
        self.note(name)

    async def _draw(self, name: str) -> None:
        """Draw until no request of an account waits."""
        pool = self._calls.pool(name)
        while pool.queue:
            if await self._draw_in_turn(name, pool):
                self._log.resumed(name)
            else:
                self._log.stalled(name, pool, self._calls.parts.choice.ranked(group_of(name)))
                await anyio.sleep(PAUSE_S)
        self._drawing.discard(name)

    async def _draw_in_turn(self, name: str, pool: AccountPool) -> bool:
        """Ask the allocators in turn; False if none of them reaches the store or has tokens."""
        for address in self._calls.parts.choice.ranked(group_of(name)):
            state: DrawAnswer.State = DrawAnswer.READY
            while state in CALL_AGAIN and pool.queue:
                tokens = pool.queue.first_tokens
                state = await self._draw_from(address, name, pool)
            if not pool.queue:
                return True
            if state in FINAL:
                self._note_scarce(name)
                pool.queue.refuse(tokens, self._certain(address, name, tokens, state))
                pool.queue.serve(self._clock.now_s())
                return True
        return False

    def _certain(
        self, address: str, name: str, tokens: int, state: DrawAnswer.State
    ) -> DrawAnswer.State:
        """Return what an allocator's final answer means.

        One that is asked in place of the owner sees the owner's unallocated tokens as spent.
        """
        owner = self._calls.parts.choice.owner(group_of(name))
        if address == owner or tokens > self._calls.total(name):
            return state
        return DrawAnswer.HELD

    def _note_scarce(self, name: str) -> None:
        self._calls.pool(name).scarce_until_unix_s = self._clock.now_s() + SCARCE_S

    async def _draw_from(self, address: str, name: str, pool: AccountPool) -> DrawAnswer.State:
        """Ask one allocator, for the first request or, while earlier calls are open, for all.

        The allocator deducts what it gave in the answers that are still on their way.
        """
        earlier = self._open[name] > 0
        available = pool.balance.available
        request = self._calls.request(address)
        report = self._calls.report(name, address)
        report.waiting = max(1, pool.queue.waiting_tokens - available)
        report.needed = report.waiting if earlier else max(1, pool.queue.first_tokens - available)
        report.wanted = report.waiting + self.hold(name)
        request.words.append(report)
        one = self._start_call(address, request)
        await self._answered_or_more_wait(one, pool)
        if one.reply is None:
            # An allocator that is still usable is asked again: only it can hand out its grant.
            usable = self._calls.parts.choice.usable(address)
            state = DrawAnswer.GROWING if usable else DrawAnswer.AWAY
        else:
            state = one.reply.answers[0].state
        if earlier and state in FINAL:
            # It may still cover the first request alone.
            state = DrawAnswer.GROWING
            await anyio.sleep(PAUSE_S)
        pool.queue.note(state)
        return state

    async def _answered_or_more_wait(self, one: OpenCall, pool: AccountPool) -> None:
        """Wait for an answer, or until more requests wait and the call is slow."""
        asked_tokens = pool.queue.waiting_tokens
        patience_s = max(SLOW_S, self._calls.parts.peers.times.typical_s() / 2)
        while not one.ended.is_set() and pool.queue.waiting_tokens <= asked_tokens:
            with anyio.move_on_after(patience_s):
                await one.ended.wait()

    def _start_call(self, address: str, request: DrawRequest) -> OpenCall:
        """Start one call; an answer after its time limit is still applied to the pools."""
        one = OpenCall()
        self._open.update([report.account for report in request.words])
        # An allocator that is not asked for a group for 3 s gives back its headroom.
        request.ClearField('groups')
        request.groups.extend(self._calls.groups_of(address))
        # The allocator may wait for the store for each account, one after the other.
        growing = sum(report.needed > 0 for report in request.words)
        typical_s = MARGIN * self._calls.parts.peers.times.typical_s()
        limit_s = max(self._calls.limit_s(address, MAX_CALL_S), min(MAX_CALL_S, typical_s))
        self._spawn(self._call, one, address, request)
        self._spawn(self._watch, one, address, limit_s + GROW_TIMEOUT_S * growing)
        return one

    async def _call(self, one: OpenCall, address: str, request: DrawRequest) -> None:
        try:
            one.reply = await self._calls.call(address, request, MAX_CALL_S)
        except (FleetError, TimeoutError) as error:
            one.failure = str(error) or 'no answer'
        finally:
            self._open.subtract([report.account for report in request.words])
        if one.reply is None:
            await anyio.sleep(PAUSE_S)
        one.ended.set()

    async def _watch(self, one: OpenCall, address: str, limit_s: float) -> None:
        """Avoid the allocator if there is no answer, unless this process or its link is slow."""
        with anyio.move_on_after(limit_s):
            await one.ended.wait()
        if one.reply is not None:
            return
        if not one.ended.is_set():
            self.counts['supply_late'] += 1
            self._calls.parts.peers.times.record(address, limit_s)
            one.failure = 'no answer within the time limit'
        if one.failure:
            self._calls.no_reply(address, one.failure)
        one.ended.set()
