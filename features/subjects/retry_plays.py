"""Subject: a fleet of routers before servers that refuse most requests, and the budget of retries.

The budget of a service: in any window, arrivals beyond the first of each request are at most
``RATIO`` of the requests for it plus the slack, summed over all routers.  Requests are those of the
window, of the one before it or of the one half a window before it, whichever are most.
"""

import asyncio
import itertools
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from subjects.links_loop import ScenarioLoop
from subjects.retry_router import LateStore, RetryRouter

WINDOW_S = 10.0
RATIO = 0.2
STEP_S = 0.1
CALM_S = 30.0
"""Routers run for this long before servers fail, so that all have their full shares."""
SETTLED_S = 2 * WINDOW_S
"""A router has its full shares this long after its start."""
FAULTS_S = 20.0
AFTER_S = 15.0
RESTART_S = 0.5
STOP_S = 3.0
"""A router that stops takes no requests for this long, and goes on with those that it has."""
MAX_ATTEMPTS = 6
REFUSED = 0.6
CALM_REFUSED = 0.02
LATE = 0.2
"""Share of the failures that come only after a while, as those of streams that break midway."""
LATE_S = 3.0
HOT, IDLE = 'engines', 'ledger'


class Window(NamedTuple):
    """A window of the budget with the most retries above what is allowed."""

    service: str
    began_s: float
    retries: int
    requests: int
    allowed: float

    @property
    def excess(self) -> float:
        """Retries beyond what is allowed, negative if there are none."""
        return self.retries - self.allowed


class Traffic:
    """Arrivals of one service, over all routers."""

    def __init__(self) -> None:
        """Initialize without arrivals."""
        self.requests_s: list[float] = []
        self.retries_s: list[float] = []
        self.asked_s: list[float] = []

    def worst(self, service: str, slack: float) -> Window:
        """Return the worst window that begins or ends with a retry."""
        began_s = [*self.retries_s, *(at_s - WINDOW_S for at_s in self.retries_s), 0.0]
        windows = [self._window(service, slack, at_s) for at_s in began_s]
        return max(windows, key=lambda window: window.excess)

    def granted_share(self, since_s: float, until_s: float) -> float:
        """Return the share of the retries asked for in a span of time that were granted."""
        asked = _count(self.asked_s, since_s, until_s)
        return _count(self.retries_s, since_s, until_s) / max(1, asked)

    def _window(self, service: str, slack: float, began_s: float) -> Window:
        requests = max(
            _count(self.requests_s, began_s - back_s, began_s - back_s + WINDOW_S)
            for back_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        retries = _count(self.retries_s, began_s, began_s + WINDOW_S)
        return Window(service, began_s, retries, requests, RATIO * requests + slack)


class RetryFleet:
    """Routers in virtual time, and what they send."""

    def __init__(self, routers: int, seed: int, former: bool = False) -> None:
        """Start the routers together, before servers that refuse little."""
        self.slack = 50 + 1.85 * routers
        self.rate_per_s = {3: 19.0, 61: 12.0}.get(routers, 6.0)
        self.traffic: defaultdict[str, Traffic] = defaultdict(Traffic)
        self.refused = CALM_REFUSED
        self.load = 1.0
        self.idle_load = 0.02
        self.random = Random(seed)
        self.routers: list[RetryRouter] = []
        self._former = former
        self._weights: dict[str, float] = {}
        self._names = itertools.count()
        self._late: list[tuple[float, RetryRouter, str, int]] = []
        self._loop = ScenarioLoop()
        self._clock = LoopClock()
        self._settings = ForwardSettings(retry_ratio=RATIO, retry_slack=self.slack)
        self._tasks: list[asyncio.Future[None]] = []
        self._loop.run(self._start, routers)

    def close(self) -> None:
        """End the loop."""
        self._loop.close()

    def play(self, faults: Callable[[], None] | None, seconds: float) -> None:
        """Let the fleet run; ``faults`` is called ten times a second."""
        self._loop.run(self._play, faults, seconds)

    def worst(self) -> Window:
        """Return the worst window of all services."""
        windows = [one.worst(service, self.slack) for service, one in self.traffic.items()]
        return max(windows, key=lambda window: window.excess)

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return asyncio.get_running_loop().time()

    def start(self, address: str = '') -> RetryRouter:
        """Start a router, at a new address by default."""
        name = f'router-{next(self._names)}'
        address = address or f'10.0.{len(self._weights)}.1:1'
        self._weights.setdefault(address, 1.0)
        router = RetryRouter(name, address, self.store, self._settings, self._former)
        self.routers.append(router)
        return router

    def kill(self, router: RetryRouter) -> None:
        """Kill a router."""
        router.kill()
        self.routers.remove(router)

    def restart(self, router: RetryRouter, elsewhere: bool = False, cut: bool = False) -> None:
        """Kill a router; it starts again soon, cut off from the store if ``cut``."""
        self.kill(router)

        async def come_back() -> None:
            await anyio.sleep(RESTART_S)
            self.start('' if elsewhere else router.address).link.cut = cut

        self._tasks.append(asyncio.ensure_future(come_back()))

    def stop(self, router: RetryRouter) -> None:
        """Stop a router as an operator does: it ends what it has, and takes nothing new."""
        router.serving = False

        async def end() -> None:
            await anyio.sleep(STOP_S)
            if router in self.routers:
                self.kill(router)

        self._tasks.append(asyncio.ensure_future(end()))

    def move_traffic(self, onto: int) -> None:
        """Send all requests to one part of the routers, which changes with ``onto``."""
        for number, address in enumerate(self._weights):
            self._weights[address] = 2.0 if number % 2 == onto % 2 else 0.0

    async def _start(self, routers: int) -> None:
        self.store = LateStore(self._clock)
        self._tasks.append(asyncio.ensure_future(self.store.keep_snapshots()))
        for _ in range(routers):
            self.start()

    async def _play(self, faults: Callable[[], None] | None, seconds: float) -> None:
        end_s = self.now_s() + seconds
        while self.now_s() < end_s:
            if faults is not None:
                faults()
            for router in self.routers:
                if router.serving:
                    self._send(router, HOT, self.load)
                    self._send(router, IDLE, self.idle_load)
            self._fail_late()
            await anyio.sleep(STEP_S)

    def _send(self, router: RetryRouter, service: str, load: float) -> None:
        rate_per_s = self.rate_per_s * load * self._weights[router.address]
        at_s = self.random.expovariate(rate_per_s) if rate_per_s else STEP_S
        while at_s < STEP_S:
            self.traffic[service].requests_s.append(self.now_s())
            router.record_request(service, self._clock.now_s())
            self._attempt(router, service, 1)
            at_s += self.random.expovariate(rate_per_s)

    def _attempt(self, router: RetryRouter, service: str, attempts: int) -> None:
        """Send a request, and again until a server takes it or no retry is granted."""
        while attempts < MAX_ATTEMPTS and self.random.random() < self.refused:
            if self.random.random() < LATE:
                at_s = self.now_s() + self.random.uniform(0, LATE_S)
                self._late.append((at_s, router, service, attempts))
                return
            if not self._retry(router, service):
                return
            attempts += 1

    def _retry(self, router: RetryRouter, service: str) -> bool:
        traffic = self.traffic[service]
        traffic.asked_s.append(self.now_s())
        granted = router.may_retry(service)
        if granted:
            traffic.retries_s.append(self.now_s())
            router.first_retry_s = min(router.first_retry_s, self.now_s() - router.started_s)
        return granted

    def _fail_late(self) -> None:
        due = [one for one in self._late if one[0] <= self.now_s()]
        self._late = [one for one in self._late if one[0] > self.now_s()]
        for _, router, service, attempts in due:
            if router in self.routers and self._retry(router, service):
                self._attempt(router, service, attempts + 1)


def _count(times_s: list[float], since_s: float, until_s: float) -> int:
    return bisect_right(times_s, until_s) - bisect_left(times_s, since_s)
