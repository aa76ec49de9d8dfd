"""Find out, for each run that broke, whether the process of its server ended.

A broken connection alone says nothing: answers are lost and connections cut while servers go on.
A server has ended that refuses connections right after, or whose entry is gone soon after; where
connections are taken, only its next life at the same address tells, as what starts a process again
may hold its address open.
"""

from collections import deque
from typing import NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.interfaces import NeverSent, ServerRefused
from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routes.forwarded import ServerConnections
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routing import crash_events as events
from endivesaddle.fleet.routing.crash_records import CrashRecords, EndedRun

CHECK_S = 0.25
"""A refused connection takes one way there and back, also between regions."""
PENDING_S = 8.0
"""The entry of a server that ended without a word is gone from the store well within this."""
MOST_PENDING = 512
MOST_ENDED = 256


class BrokenRun(NamedTuple):
    """A run without an answer, of which it is not known yet whether its server ended.

    ``listens`` tells that connections to the server were taken after it.
    """

    digest: str
    server: RouteServer
    run: EndedRun
    until_unix_s: float
    listens: bool = False


class CrashDetector:
    """Broken runs of one router."""

    def __init__(
        self,
        records: CrashRecords,
        routing_state: RoutingState,
        links: ServerConnections,
        clock: Clock,
    ) -> None:
        """Note in ``records`` which requests ran at servers that ended."""
        self._records = records
        self._routing_state = routing_state
        self._links = links
        self._clock = clock
        self._pending: deque[BrokenRun] = deque(maxlen=MOST_PENDING)
        self._ended: deque[str] = deque(maxlen=MOST_ENDED)
        routing_state.listeners.append(self._look)

    async def run_broke(self, digest: str, server: RouteServer, began_unix_s: float) -> bool:
        """Take in a run that broke, and tell whether its server is known to have ended.

        Looks at the server for ``CHECK_S`` at most; what the store tells later counts too.
        """
        self._note(digest, server, began_unix_s)
        listens: bool | None = None
        if server.incarnation not in self._ended:
            listens = await self._listens(server)
            events.BROKEN.log(digest=digest, server=server.lifetime, listens=listens)
        if listens:
            self._listened(server)
        elif listens is False:
            self._ended.append(server.incarnation)
        self._look()
        return server.incarnation in self._ended

    def run_timed_out(self, digest: str, server: RouteServer, began_unix_s: float) -> None:
        """Take in a run whose time was over before an answer.

        A machine that is gone breaks no connection: only the server's entry tells, after a while.
        """
        self._note(digest, server, began_unix_s)
        self._look()

    def _note(self, digest: str, server: RouteServer, began_unix_s: float) -> None:
        now_unix_s = self._clock.now_s()
        run = EndedRun(began_unix_s, now_unix_s)
        self._pending.append(BrokenRun(digest, server, run, now_unix_s + PENDING_S))

    async def _listens(self, server: RouteServer) -> bool | None:
        """Tell whether a server takes connections; None where that can't be told."""
        with anyio.move_on_after(CHECK_S):
            try:
                await self._links.check(server)
            except ServerRefused:
                return False
            except NeverSent:
                return None
            return True
        return None

    def _listened(self, server: RouteServer) -> None:
        """Note of runs that broke at a server that connections to it are taken."""
        for index, broken in enumerate(self._pending):
            if broken.server.incarnation == server.incarnation:
                self._pending[index] = broken._replace(listens=True)

    def _look(self) -> None:
        """Note the runs whose servers are known to have ended by now."""
        if not self._pending:
            return
        now_unix_s = self._clock.now_s()
        pending = [broken for broken in self._pending if broken.until_unix_s > now_unix_s]
        self._pending = deque(maxlen=MOST_PENDING)
        for broken in pending:
            if self._has_ended(broken):
                life = broken.server.incarnation
                self._records.record_crash(broken.digest, life, broken.run, now_unix_s)
            else:
                self._pending.append(broken)

    def _has_ended(self, broken: BrokenRun) -> bool:
        """Tell whether the server of a run is known to have ended.

        One that takes connections may go on without an entry: these lapse while the store is down.
        """
        if broken.listens:
            return self._routing_state.is_replaced(broken.server)
        return broken.server.incarnation in self._ended or not self._routing_state.is_listed(
            broken.server
        )
