"""Measure what waiting forwarded requests cost a router, in median processor time for each request.

    tools/bench_waiting.py [--servers N ...] [--waiting N] [--rounds N]

admit: place a request while servers have capacity, with the end that frees it.  queue: find all
servers full, enqueue a request and remove it.  choose: free a slot, offer it to the first waiting
request, and fill the queue again.
"""

import argparse
import asyncio
import statistics
import time
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from loguru import logger

from endivesaddle.fleet.clock import WallClock
from endivesaddle.fleet.routes.declared import (
    Declarations,
    Repeat,
    Route,
    RouteAccount,
    RouteServer,
    Service,
    Target,
)
from endivesaddle.fleet.routes.forwarded import ForwardRequest
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.fleet.routing.waiting_settings import WaitingSettings

SLOTS = 64
ACCOUNTS = 20
RANKS = 4
Work = Callable[[], Coroutine[Any, Any, None]]
NONE: frozenset[str] = frozenset()
ROUTE = Route('r', 'host', '/', Repeat.SAFE, 60000, 500, 1, (Target('plain', 1),))


class Bench:
    """One router with servers of one service."""

    def __init__(self, servers: int) -> None:
        """Initialize with no requests."""
        self._clock = WallClock()
        state = RoutingState()
        state.declare(Declarations(1, (ROUTE,), (Service('plain', 0),), ()), b'', 'bench')
        for number in range(servers):
            name = f'life-{number}'
            state.update_server(RouteServer(name, 'plain', f'{name}:1', 'one', SLOTS), 'bench')
        self.router = Dispatcher(
            ForwardSettings(), state, self._clock, 'bench', WaitingSettings('fair')
        )
        self.waiting: Any = self.router.waiting
        self.held: list[Any] = []
        self.tasks: list[asyncio.Future[Any]] = []
        self._count = 0

    def place(self) -> Coroutine[Any, Any, Any]:
        """Begin to place a request."""
        self._count += 1
        now_unix_s = self._clock.now_s()
        account = RouteAccount(f'a{self._count % ACCOUNTS}', (), self._count % RANKS)
        end_unix_s = now_unix_s + 60 + self._count % 7
        request = ForwardRequest(
            str(self._count), ROUTE, account, 'GET', '/', (), b'', end_unix_s, end_unix_s, 100, 10,
            (), -1, now_unix_s,
        )  # fmt: skip
        return self.router.place(request, NONE)

    async def admit(self) -> None:
        """Place a request that finds capacity, and end it."""
        placement = await self.place()
        placement.start()
        placement.finish(success=True)

    async def fill(self) -> None:
        """Use all slots."""
        for backend in self.router.backends.all():
            backend.others_in_flight = 10 * SLOTS
        self.waiting.reports_applied(SLOTS, 0)
        self.held = [await self.place() for _ in self.router.backends.all()]

    async def queue(self) -> None:
        """Enqueue a request, and let its caller disconnect."""
        with anyio.CancelScope() as scope:
            scope.cancel()
            await self.place()

    async def choose(self) -> None:
        """End a request, so that the first waiting one gets its slot."""
        self.held.pop(0).finish(success=True)

    async def refill(self) -> None:
        """Let the request that got the slot be placed, and another one wait."""
        self.tasks.append(asyncio.ensure_future(self.place()))
        while not self.held_again():
            await asyncio.sleep(0)

    def held_again(self) -> bool:
        """Tell whether a waiting request was placed, and keep its placement."""
        done = [task for task in self.tasks if task.done()]
        for task in done:
            self.tasks.remove(task)
            self.held.append(task.result())
        return bool(done)


async def measure(servers: int, waiting: int, rounds: int) -> None:
    """Print one row."""
    bench = Bench(servers)
    await bench.admit()
    costs_us = [await _cost_us(bench.admit, rounds)]
    await bench.fill()
    bench.tasks = [asyncio.ensure_future(bench.place()) for _ in range(waiting)]
    await asyncio.sleep(0.5)
    waited = int(bench.waiting.counters()['waiting'])
    costs_us.append(await _cost_us(bench.queue, rounds))
    costs_us.append(await _cost_us(bench.choose, rounds, bench.refill))
    cells = (servers, waited, *map(round, costs_us))
    print('|', ' | '.join(map(str, cells)), '|', flush=True)
    for task in bench.tasks:
        task.cancel()
    await asyncio.gather(*bench.tasks, return_exceptions=True)


async def _cost_us(work: Work, rounds: int, restore: Work | None = None) -> float:
    """Return the median cost of ``work``, each time followed by ``restore``."""
    costs_s = []
    for _ in range(rounds):
        began_s = time.process_time()
        await work()
        costs_s.append(time.process_time() - began_s)
        if restore is not None:
            await restore()
    return 1e6 * statistics.median(costs_s)


def main() -> None:
    """Measure what was asked for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--servers', nargs='*', type=int, default=(25, 100, 800))
    parser.add_argument('--waiting', type=int, default=500)
    parser.add_argument('--rounds', type=int, default=300)
    asked = parser.parse_args()
    logger.remove()
    print('| servers | waiting | admit us | queue us | choose us |')
    print('|---|---|---|---|---|')
    for servers in asked.servers:
        asyncio.run(measure(servers, asked.waiting, asked.rounds))


if __name__ == '__main__':
    main()
