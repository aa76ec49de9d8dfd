"""Detect, for each broken run, whether the process of its server ended.

A broken connection alone proves nothing: responses get lost and connections are cut while servers
keep running.  A server has ended if it refuses connections right afterwards, or if its entry
disappears soon afterwards.  If connections are accepted, only the next incarnation at the same
address proves it, since a process supervisor may keep the socket open between incarnations.
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
from endivesaddle.fleet.routing.crash_blame import EndedRun
from endivesaddle.fleet.routing.crash_records import CrashRecords

CHECK_S = 0.25
"""Time-out of the connection check.  A refusal takes one round trip, also between regions."""
PENDING_S = 8.0
"""How long a broken run is watched.  The entry of a crashed server expires well within this."""
MAX_PENDING = 512
MAX_LOGGED_PARTS = 8
SURVIVED_S = 0.5
"""An answer that went on for this long shows that the parts of its prompt crash no server."""
MAX_ENDED = 256


class LostRun(NamedTuple):
    """A run of a request at a server that broke before its answer was complete.

    ``subjects`` are what may be to blame, its digest first.  Its first event came at
    ``first_event_unix_s``, 0 if none came.
    """

    subjects: tuple[str, ...]
    server: RouteServer
    sent_unix_s: float
    first_event_unix_s: float = 0.0


class BrokenRun(NamedTuple):
    """A run without an answer whose server may have ended.

    ``listens`` is whether the server accepted a connection after the run broke.
    """

    subjects: tuple[str, ...]
    server: RouteServer
    run: EndedRun
    until_unix_s: float
    listens: bool = False


class CrashDetector:
    """Watches the servers of one router's broken runs."""

    def __init__(
        self,
        records: CrashRecords,
        routing_state: RoutingState,
        links: ServerConnections,
        clock: Clock,
    ) -> None:
        """Record in ``records`` which requests ran at servers that ended."""
        self._records = records
        self._routing_state = routing_state
        self._links = links
        self._clock = clock
        self._pending: deque[BrokenRun] = deque(maxlen=MAX_PENDING)
        self._ended: deque[str] = deque(maxlen=MAX_ENDED)
        routing_state.listeners.append(self._check_pending)

    async def run_broke(self, lost: LostRun) -> bool:
        """Record a broken run, and return whether its server is known to have ended.

        Checks the server for at most ``CHECK_S``; later changes of its entry count as well.
        """
        server = lost.server
        self._add_pending(lost)
        listens: bool | None = None
        if server.incarnation not in self._ended:
            listens = await self._accepts_connections(server)
        events.BROKEN.log(
            digest=lost.subjects[0],
            server=server.lifetime,
            listens=listens,
            parts=lost.subjects[1 : MAX_LOGGED_PARTS + 1],
            answering_s=self._answering_s(lost),
        )
        if listens:
            self._mark_listening(server)
        elif listens is False:
            self._ended.append(server.incarnation)
        self._check_pending()
        return server.incarnation in self._ended

    def run_timed_out(self, lost: LostRun) -> None:
        """Record a run that got no answer before the deadline.

        A machine that is lost closes no connection: only the server's entry shows it, later.
        """
        self._add_pending(lost)
        self._check_pending()

    def _answering_s(self, lost: LostRun) -> float:
        """Return for how long the server had been answering."""
        now_unix_s = self._clock.now_s()
        return round(now_unix_s - (lost.first_event_unix_s or now_unix_s), 3)

    def _add_pending(self, lost: LostRun) -> None:
        now_unix_s = self._clock.now_s()
        run = EndedRun(lost.sent_unix_s, now_unix_s)
        # A part crashes servers when they begin to answer: one that was being answered did not.
        subjects = lost.subjects
        if self._answering_s(lost) >= SURVIVED_S:
            subjects = subjects[:1]
        self._pending.append(BrokenRun(subjects, lost.server, run, now_unix_s + PENDING_S))

    async def _accepts_connections(self, server: RouteServer) -> bool | None:
        """Tell whether a server accepts connections; None if that is uncertain."""
        with anyio.move_on_after(CHECK_S):
            try:
                await self._links.check(server)
            except ServerRefused:
                return False
            except NeverSent:
                return None
            return True
        return None

    def _mark_listening(self, server: RouteServer) -> None:
        """Mark the broken runs at a server: it accepts connections."""
        for index, broken in enumerate(self._pending):
            if broken.server.incarnation == server.incarnation:
                self._pending[index] = broken._replace(listens=True)

    def _check_pending(self) -> None:
        """Record the runs whose servers are known to have ended by now."""
        if not self._pending:
            return
        now_unix_s = self._clock.now_s()
        pending = [broken for broken in self._pending if broken.until_unix_s > now_unix_s]
        self._pending = deque(maxlen=MAX_PENDING)
        for broken in pending:
            if self._has_ended(broken):
                incarnation = broken.server.incarnation
                self._records.record_crash(broken.subjects, incarnation, broken.run, now_unix_s)
            else:
                self._pending.append(broken)

    def _has_ended(self, broken: BrokenRun) -> bool:
        """Tell whether the server of a run is known to have ended.

        A server that accepts connections may keep running without an entry: entries expire while
        the store is down.
        """
        if broken.listens:
            return self._routing_state.is_replaced(broken.server)
        return broken.server.incarnation in self._ended or not self._routing_state.is_listed(
            broken.server
        )
