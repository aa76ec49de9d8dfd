"""Subject: routers before servers of which some name a limit in their answers."""

from subjects.evacuated_fleet import EvacuatedFleet
from subjects.saying_servers import NOT_RUN, UNAVAILABLE

LIMIT = 'endivesaddle-limit'


class LimitedFleet(EvacuatedFleet):
    """Counts what a server gets within sliding windows, from when it began to name a limit."""

    def __init__(self, routers: int, servers: int, sidecars: int = 0) -> None:
        """Start without limits."""
        self._named_unix_s = 0.0
        super().__init__(routers, servers, sidecars)

    def name_limit(self, server: int, limit: str, status: int) -> None:
        """Have a server name a limit in all its answers, turning requests away with 503."""
        saying = self.servers[server]
        saying.status = status
        saying.headers = f'{LIMIT}: {limit}\r\n'.encode()
        if status == UNAVAILABLE:
            saying.headers += NOT_RUN
        self._named_unix_s = self._loop.run(self._now)

    def busiest(self, server: int, begin_s: float, window_s: float) -> int:
        """Return the most requests that came within any window that begins so late or later."""
        begin_unix_s = self._named_unix_s + begin_s
        came = [one for one in self.servers[server].came_unix_s if one >= begin_unix_s]
        counts = [sum(1 for later in came if 0 <= later - one <= window_s) for one in came]
        return max(counts, default=0)

    async def _now(self) -> float:
        return self._clock.now_s()
