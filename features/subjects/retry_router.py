"""One router of a play of retries: its list of the fleet, and its share of the retries."""

import asyncio
import math
from collections import deque
from contextlib import suppress
from types import SimpleNamespace
from typing import Any

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.routes.failover_store import FailoverStore
from endivesaddle.fleet.routes.instance_directory import (
    PREFIX,
    ROUTER,
    Instance,
    InstanceDirectory,
)
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routes.store_watch import Changes
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.fleet.routing.retry_share import RetryBudget
from endivesaddle.stand_ins.memory_peers import MemoryNet
from endivesaddle.stand_ins.memory_store import MemoryStore
from subjects.cut_router import CutStore
from subjects.former_retry_shares import FormerShares

SNAPSHOT_S = 0.5
WATCH_S = 2.0
OTHER_PREFIX = 'servers/'


class LateStore(MemoryStore):
    """A store whose cheap lists may be ``lag_s`` old."""

    def __init__(self, clock: LoopClock) -> None:
        """Start empty and up to date."""
        super().__init__(clock)
        self.lag_s = 0.0
        self._snapshots: deque[tuple[float, Changes]] = deque(maxlen=60)

    async def keep_snapshots(self) -> None:
        """Remember what was listed when, until cancelled."""
        while True:
            self._snapshots.append((self._clock.now_s(), self._listed(PREFIX)))
            await anyio.sleep(SNAPSHOT_S)

    async def list_stale(self, prefix: str, deadline_unix_s: float) -> Changes:
        """List what there was ``lag_s`` ago."""
        await self._call('list', deadline_unix_s)
        until_unix_s = self._clock.now_s() - self.lag_s
        past = [listed for at_unix_s, listed in self._snapshots if at_unix_s <= until_unix_s]
        return past[-1] if self.lag_s and past else self._listed(prefix)

    def _listed(self, prefix: str) -> Changes:
        entries = [self._kept[key] for key in sorted(self._kept) if key.startswith(prefix)]
        return Changes(entries, self._version)


class RetryRouter:
    """One incarnation of a router."""

    def __init__(
        self,
        name: str,
        address: str,
        store: MemoryStore,
        settings: ForwardSettings,
        former: bool = False,
    ) -> None:
        """Start it, with the shares that routers had before if ``former``."""
        clock = LoopClock()
        self.address = address
        self.serving = True
        self.started_s = asyncio.get_running_loop().time()
        self.first_retry_s = math.inf
        self.link = CutStore(store, clock)
        link: Any = self.link
        self._store = FailoverStore(link, MemoryNet(clock).peers(address), clock)
        directory = InstanceDirectory(self._store, clock, Instance(ROUTER, name, address, 'one'))
        self._clock = clock
        self._dispatcher = Dispatcher(settings, RoutingState(), clock, name)
        if former:
            budget = RetryBudget(
                settings.retry_ratio, settings.retry_slack, settings.retry_window_s
            )
            shares: Any = FormerShares(budget, lambda: len(directory.others) + 1)
            self._dispatcher.retry_shares = shares
        else:
            directory.view_listeners.append(self._dispatcher.retry_shares.slack.observe)
        running = (directory.run(), self._store.run(), self._read_versions())
        self._tasks = [asyncio.ensure_future(part) for part in running]

    def record_request(self, service: str, now_unix_s: float) -> None:
        """Count a caller's request."""
        self._dispatcher.retry_shares.of(service).record_request(now_unix_s)

    def may_retry(self, service: str) -> bool:
        """Ask for a retry, which is sent at once if it is granted."""
        request: Any = SimpleNamespace(service=service)
        return self._dispatcher.decide_retry(request, 'declined').granted

    def kill(self) -> None:
        """End it with its state; its entry stays in the store until its lease ends."""
        for task in self._tasks:
            task.cancel()

    async def _read_versions(self) -> None:
        """Read the store's version as often as its watches do."""
        while True:
            with suppress(StoreUnreachable):
                await self._store.scan(OTHER_PREFIX, self._clock.now_s() + 0.5)
            await anyio.sleep(WATCH_S)
