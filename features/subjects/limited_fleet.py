"""Subject: routers before servers of which some name a limit in their answers."""

import asyncio

import anyio

from subjects.evacuated_fleet import EvacuatedFleet
from subjects.saying_servers import NOT_RUN, OK, PAUSE_S, UNAVAILABLE

LIMIT = 'endivesaddle-limit'
LATE_S = 2.0
"""An answer that is held back comes so long after its request."""


class LimitedFleet(EvacuatedFleet):
    """Counts what a server gets within sliding windows, from when it began to name a limit."""

    def __init__(self, routers: int, servers: int, sidecars: int = 0) -> None:
        """Start without limits."""
        self._named_unix_s = 0.0
        self._late: list[asyncio.Future[None]] = []
        super().__init__(routers, servers, sidecars)

    def name_limit(self, server: int, limit: str, status: int) -> None:
        """Have a server name a limit in all its answers, turning requests away with 503."""
        saying = self.servers[server]
        saying.status = status
        saying.headers = f'{LIMIT}: {limit}\r\n'.encode()
        if status == UNAVAILABLE:
            saying.headers += NOT_RUN
        self._named_unix_s = self._loop.run(self._now)

    def name_none(self, server: int) -> None:
        """Have a server's next answers be plain."""
        self.servers[server].headers = b''

    def answer_late(self, server: int, limit: str) -> None:
        """Have a server hold back the answer that it begins now, and name a limit from then on."""
        self.servers[server].held_s = LATE_S
        self._loop.run(self._begin_late, server)
        self.name_limit(server, limit, OK)
        self._named_unix_s += LATE_S

    def await_late(self) -> None:
        """Let the answer that is held back come."""
        self.sleep(LATE_S)

    def got_of_last(self, server: int, count: int) -> int:
        """Return how many of the last requests a server got."""
        came = sorted(one for each in self.servers for one in each.came_unix_s)
        first_unix_s = came[-min(count, len(came))]
        return sum(one >= first_unix_s for one in self.servers[server].came_unix_s)

    def got_from(self, server: int, begin_s: float) -> int:
        """Return how many requests a server got from then on."""
        begin_unix_s = self._named_unix_s + begin_s
        return sum(one >= begin_unix_s for one in self.servers[server].came_unix_s)

    def busiest(self, server: int, begin_s: float, window_s: float) -> int:
        """Return the most requests that came within any window that begins so late or later."""
        begin_unix_s = self._named_unix_s + begin_s
        came = [one for one in self.servers[server].came_unix_s if one >= begin_unix_s]
        counts = [sum(1 for later in came if 0 <= later - one <= window_s) for one in came]
        return max(counts, default=0)

    def withheld(self) -> int:
        """Return how often a router passed a limited server over."""
        return sum(one.dispatcher.send_limits.limits.throttled_count for one in self._routers)

    async def _begin_late(self, server: int) -> None:
        saying = self.servers[server]
        before = len(saying.came_unix_s)
        while len(saying.came_unix_s) == before:
            self._late.append(asyncio.ensure_future(self._one(self._runners[0])))
            await anyio.sleep(PAUSE_S)
        saying.held_s = 0.0

    async def _now(self) -> float:
        return self._clock.now_s()
