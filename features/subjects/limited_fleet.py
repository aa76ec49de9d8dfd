"""Subject: routers and servers, some of which advertise a limit in their responses."""

import asyncio

import anyio

from subjects.announcing_servers import NOT_RUN, OK, PAUSE_S, UNAVAILABLE
from subjects.evacuated_fleet import EvacuatedFleet

LIMIT = 'endivesaddle-limit'
DELAY_S = 2.0
"""Delay of a response that is held back."""


class LimitedFleet(EvacuatedFleet):
    """Counts requests in sliding windows since a server began to advertise a limit."""

    def __init__(self, routers: int, servers: int, sidecars: int = 0) -> None:
        """Initialize with no limits."""
        self._advertised_unix_s = 0.0
        self._late: list[asyncio.Future[None]] = []
        super().__init__(routers, servers, sidecars)

    def advertise_limit(self, server: int, limit: str, status: int) -> None:
        """Let a server advertise a limit in all responses; with status 503 it rejects requests."""
        responder = self.servers[server]
        responder.status = status
        responder.headers = f'{LIMIT}: {limit}\r\n'.encode()
        if status == UNAVAILABLE:
            responder.headers += NOT_RUN
        self._advertised_unix_s = self._loop.run(self._now)

    def stop_advertising(self, server: int) -> None:
        """Let a server stop advertising a limit."""
        self.servers[server].headers = b''

    def answer_late(self, server: int, limit: str) -> None:
        """Let a server delay its current response, and advertise a limit from now on."""
        self.servers[server].held_s = DELAY_S
        self._loop.run(self._begin_late, server)
        self.advertise_limit(server, limit, OK)
        self._advertised_unix_s += DELAY_S

    def await_late(self) -> None:
        """Wait for the delayed response."""
        self.sleep(DELAY_S)

    def got_of_last(self, server: int, count: int) -> int:
        """Return how many of the last ``count`` requests a server got."""
        arrived = sorted(one for each in self.servers for one in each.came_unix_s)
        first_unix_s = arrived[-min(count, len(arrived))]
        return sum(one >= first_unix_s for one in self.servers[server].came_unix_s)

    def got_from(self, server: int, begin_s: float) -> int:
        """Return the requests that a server got later than ``begin_s`` after the limit."""
        begin_unix_s = self._advertised_unix_s + begin_s
        return sum(one >= begin_unix_s for one in self.servers[server].came_unix_s)

    def busiest(self, server: int, begin_s: float, window_s: float) -> int:
        """Return the maximum of requests in any window that begins after ``begin_s``."""
        begin_unix_s = self._advertised_unix_s + begin_s
        arrived = [one for one in self.servers[server].came_unix_s if one >= begin_unix_s]
        counts = [sum(1 for later in arrived if 0 <= later - one <= window_s) for one in arrived]
        return max(counts, default=0)

    def throttled(self) -> int:
        """Return how often routers skipped the server because of its limit."""
        return sum(one.dispatcher.send_limits.limits.throttled_count for one in self._routers)

    async def _begin_late(self, server: int) -> None:
        responder = self.servers[server]
        before = len(responder.came_unix_s)
        while len(responder.came_unix_s) == before:
            self._late.append(asyncio.ensure_future(self._one(self._runners[0])))
            await anyio.sleep(PAUSE_S)
        responder.held_s = 0.0

    async def _now(self) -> float:
        return self._clock.now_s()
