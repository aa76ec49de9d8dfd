"""Waiting of forwarded requests in order while no server has capacity."""

from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from random import Random

import anyio

from endivesaddle.fleet.routing import waiting_events as events
from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.forward_waiting import Arrival, ForwardWaiting, ServiceQueue
from endivesaddle.fleet.routing.server_slots import Hold, ServerSlots
from endivesaddle.fleet.routing.waiting_periods import Period
from endivesaddle.fleet.routing.waiting_policies import HasRoom, WaitingParts, waiting_policies
from endivesaddle.fleet.sentinels import Refusal

TICK_S = 0.05
"""Waiting requests are offered to the servers this often, besides when a slot becomes free: limits
and pauses of servers end by time.  The shortest goals of callers are about 120 ms."""
MAX_AGE_S = 999.0
"""Greatest age of an estimate that is logged."""


class _Line:
    """The waiting requests of one service, and what is logged of them."""

    def __init__(self, service: str, random: Random) -> None:
        """Initialize with no requests."""
        self.queue = ServiceQueue(random)
        self.waited = Period(service, events.WAITING_BEGAN, events.WAITING_ENDED)
        self.rejected = Period(service, events.REJECTING_BEGAN, events.REJECTING_ENDED)


@waiting_policies.add('fair')
class FairWaiting:
    """Lets requests wait in order while no server has capacity, and rejects those that are late.

    Load pattern: the servers of a service are full.  Requests that wait at a server can't be
    reordered, and take its slots even after their callers are gone.
    """

    def __init__(self, parts: WaitingParts) -> None:
        """Initialize with no requests."""
        self.slots = ServerSlots()
        self._placing = parts.placing
        self._clock = parts.clock
        self._random = parts.random
        self._lines: dict[str, _Line] = {}
        self._stopping: Callable[[], Refusal] | None = None

    async def run(self) -> None:
        """Offer waiting requests to the servers again and again until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            self.servers_changed()
            for line in self._lines.values():
                line.waited.tick(self._clock.now_s(), still=bool(line.queue))
                line.rejected.tick(self._clock.now_s())

    async def place(self, arrival: Arrival) -> Hold | Refusal:
        """Place a request; wait for capacity, in order, while no server has any."""
        own: Hold | None = None
        while True:
            # The requests before it have no server; they are offered one when that changes.
            behind = own is None and self._line(arrival.service).queue.is_behind(arrival)
            try:
                placed = None if behind else await self._try_place(arrival, own)
            finally:
                # Only now, so that the slot is not given away while another one is chosen.
                if own is not None:
                    self._release(own)
            if placed is not None:
                return placed
            outcome = await self._wait(arrival, behind)
            if isinstance(outcome, Refusal):
                return outcome
            own = outcome

    def first_event(self, hold: Hold) -> None:
        """Learn the time of the first event."""
        hold.first_seen = True
        first_s = self._clock.now_s() - hold.began_unix_s
        self._line(_service(hold)).queue.estimates.record_first(first_s)

    def ended(self, hold: Hold, success: bool) -> None:
        """Free the slot of a request, and learn how long it had it."""
        now_unix_s = self._clock.now_s()
        if success and not hold.declined:
            estimates = self._line(_service(hold)).queue.estimates
            holding_s = now_unix_s - hold.began_unix_s
            estimates.record_end(holding_s, now_unix_s)
            if not hold.first_seen:
                estimates.record_first(holding_s)
        self._release(hold)

    def declined(self, hold: Hold) -> None:
        """Count the server as full for a short time."""
        hold.declined = True
        self.slots.mark_full(hold.backend, self._clock.now_s())

    def reports_applied(self, routers: int, unheard: int) -> None:
        """Apply the number of routers that share the servers."""
        self.slots.routers = max(1, routers)
        self.slots.unheard = unheard
        self.servers_changed()

    def stop(self, refuse: Callable[[], Refusal]) -> None:
        """Reject the waiting requests, and those that would wait from now on."""
        self._stopping = refuse
        stopped = 0
        for line in self._lines.values():
            for waiting in tuple(line.queue):
                line.queue.remove(waiting)
                waiting.decide(refuse())
                stopped += 1
        events.STOPPED.log(requests=stopped)

    def counters(self) -> dict[str, float]:
        """Return queue lengths and waits by rank, and rejections by reason, of all services."""
        counts: Counter[str] = Counter()
        for line in self._lines.values():
            counts.update(line.queue.counts)
            counts.update(f'waiting_rank_{one.arrival.request.urgency}' for one in line.queue)
        return {'waiting': sum(len(each.queue) for each in self._lines.values()), **counts}

    def dump(self) -> dict[str, dict[str, float]]:
        """Return queue lengths and estimates by service."""
        now_unix_s = self._clock.now_s()
        return {
            service: self._state(service, queue)
            for service, queue in ((name, one.queue) for name, one in self._lines.items())
            if queue or queue.estimates.valid(now_unix_s)
        }

    def servers_changed(self) -> None:
        """Offer all waiting requests to the servers as they are now."""
        for service in list(self._lines):
            self._serve(service)

    async def _try_place(self, arrival: Arrival, own: Hold | None) -> Hold | Refusal | None:
        """Place a request now; None if it has to wait.  ``own`` is a slot kept for it."""
        backends = self._placing.open_backends(arrival)
        if not backends:
            return self._placing.refuse_no_server(arrival)
        has_room = self._room(arrival, own, backends)
        free = [backend for backend in backends if has_room(backend)]
        backend = await self._placing.choose(arrival, free, has_room) if free else None
        return self.slots.hold(backend, arrival.need, self._clock.now_s()) if backend else None

    async def _wait(self, arrival: Arrival, behind: bool) -> Hold | Refusal:
        """Wait for a slot until the request could no longer be on time.

        Unless it is ``behind`` others, a slot may have become free while a server was chosen.
        """
        if self._stopping is not None:
            return self._stopping()
        line = self._line(arrival.service)
        now_unix_s = self._clock.now_s()
        waiting = line.queue.arrive(arrival, self.slots.held[arrival.service], now_unix_s)
        if isinstance(waiting, Refusal):
            self._note(line.rejected, arrival, waiting.reason)
            return waiting
        self._note(line.waited, arrival, 'all servers are full')
        if not behind:
            self._serve(arrival.service)
        cancelled = anyio.get_cancelled_exc_class()
        try:
            with anyio.move_on_after(max(0, waiting.latest_unix_s - now_unix_s)):
                await waiting.decided()
        except cancelled:
            self._withdraw(waiting)
            raise
        if waiting.outcome is not None:
            return waiting.outcome
        line.queue.remove(waiting)
        reason = 'no server had a free slot in time'
        self._note(line.rejected, arrival, reason)
        held = self.slots.held[arrival.service]
        return line.queue.refuse('expired', reason, held, self._clock.now_s())

    def _withdraw(self, waiting: ForwardWaiting) -> None:
        """Remove a request whose caller is gone, or release the slot that it just got."""
        if waiting.outcome is None:
            self._line(waiting.arrival.service).queue.remove(waiting)
        elif isinstance(waiting.outcome, Hold):
            self._release(waiting.outcome)

    def _release(self, hold: Hold) -> None:
        """Free a slot; only where memory is freed too, more than one request may fit instead."""
        self.slots.release(hold)
        self._serve(_service(hold), once=not hold.need.memory_tokens)

    def _serve(self, service: str, once: bool = False) -> None:
        """Give free slots to waiting requests, in order; at most one slot if ``once``."""
        queue = self._line(service).queue
        offered = True
        while queue and offered:
            offered = any(self._offer(queue, waiting) for waiting in queue.heads()) and not once

    def _offer(self, queue: ServiceQueue, waiting: ForwardWaiting) -> bool:
        """Decide on the first request of a queue; return False if it has to wait longer."""
        arrival = waiting.arrival
        now_unix_s = self._clock.now_s()
        backends = self._placing.open_backends(arrival)
        if not backends:
            wait_s = self._placing.why_none(arrival).wait_s
            if wait_s and now_unix_s + wait_s <= waiting.latest_unix_s:
                return False
            queue.remove(waiting)
            waiting.decide(self._placing.refuse_no_server(arrival))
            return True
        has_room = self._room(arrival, None, backends)
        free = [backend for backend in backends if has_room(backend)]
        if not free:
            return False
        queue.take(waiting, now_unix_s)
        waiting.decide(
            self.slots.hold(min(free, key=self.slots.used_share), arrival.need, now_unix_s)
        )
        return True

    def _room(self, arrival: Arrival, own: Hold | None, backends: Sequence[Backend]) -> HasRoom:
        """Return a function that tells which of ``backends`` have capacity for a request."""
        queue = self._line(arrival.service).queue
        asked = self.slots.asked(
            arrival.need, backends, len(queue), queue.estimates.holding_s, self._clock.now_s()
        )
        return partial(self.slots.has_room, asked._replace(own=own) if own else asked)

    def _state(self, service: str, queue: ServiceQueue) -> dict[str, float]:
        return {
            'waiting': len(queue),
            'slots_held': self.slots.held[service],
            'routers': self.slots.routers,
            'routers_unheard': self.slots.unheard,
            'holding_s': round(queue.estimates.holding_s, 4),
            'first_event_s': round(queue.estimates.first_s, 4),
            **queue.counts,
        }

    def _note(self, period: Period, arrival: Arrival, reason: str) -> None:
        """Record a decision with its inputs and their age."""
        now_unix_s = self._clock.now_s()
        queue = self._line(arrival.service).queue
        period.observe(
            now_unix_s,
            request_id=arrival.request.request_id,
            rank=arrival.request.urgency,
            reason=reason,
            waiting=len(queue),
            slots_held=self.slots.held[arrival.service],
            routers=self.slots.routers,
            routers_unheard=self.slots.unheard,
            holding_s=round(queue.estimates.holding_s, 4),
            estimate_age_s=round(min(MAX_AGE_S, queue.estimates.age_s(now_unix_s)), 2),
        )

    def _line(self, service: str) -> _Line:
        line = self._lines.get(service)
        if line is None:
            line = _Line(service, self._random)
            self._lines[service] = line
        return line


def _service(hold: Hold) -> str:
    return hold.need.routing_request.service
