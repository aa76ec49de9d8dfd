"""Order and rejection of the forwarded requests that wait for a server of one service.

Load pattern: the servers of a service are full, after a burst of the least urgent kind or because a
third of the engines is gone, and callers that are refused retry at once.  Without I/O.

Requests with the same home regions, the same servers tried before and the same version at which
their streams began are in one queue, since the first of them has no server if and only if none of
the others has one.
"""

import math
from collections import Counter
from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from endivesaddle.fleet.routes.forwarded import LOWEST_PRIORITY, ForwardRequest
from endivesaddle.fleet.routing.backends import ForwardRoutingRequest
from endivesaddle.fleet.routing.queues import Queue, Waiting
from endivesaddle.fleet.routing.server_slots import Hold, Need
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal

MAX_WAITING = 512
"""Maximum of waiting requests for one service."""
SAFETY_FACTOR = 0.8
"""Factor on expected times: a false refusal is worse than a late response."""
ESTIMATE_VALID_S = 3.0
"""Requests are refused on newer estimates only: without requests that end, estimates can't be
corrected, and one slow period would refuse all requests."""
ESTIMATE_WEIGHT = 0.2
"""Weight of one request in the estimates: after ten, they are near the recent times."""
MIN_HOLDING_S = 0.005
"""Estimates start from this lower bound: an expected wait that is too short refuses nobody."""
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
UNKNOWN_RETRY_AFTER_S = 0.4
"""Retry-After without an estimate: as for services without a reachable server."""
JITTER = 0.5
UNAVAILABLE = 503


class QueuedForward(NamedTuple):
    """A forwarded request as its queue sees it; a higher priority is served first."""

    account: str
    priority: int
    prompt_tokens: int
    max_tokens: int


class Arrival(NamedTuple):
    """A request for a server of ``service``; servers in ``exclude`` have had it already."""

    request: ForwardRequest
    service: str
    routing_request: ForwardRoutingRequest
    exclude: frozenset[str]
    memory_tokens: int = 0

    @property
    def queued(self) -> QueuedForward:
        """It as its queue sees it."""
        request = self.request
        account = request.account.name if request.account else ''
        priority = LOWEST_PRIORITY - request.urgency
        return QueuedForward(account, priority, request.prompt_tokens, request.max_tokens)

    @property
    def need(self) -> Need:
        """What it needs of a server."""
        return Need(self.routing_request, self.memory_tokens)


class ForwardWaiting(Waiting[QueuedForward, Hold]):
    """A waiting forwarded request, since ``since_unix_s``."""

    def __init__(self, arrival: Arrival, latest_unix_s: float, since_unix_s: float) -> None:
        """Wait in the order of ranks, fair between accounts, then by the caller's deadline."""
        super().__init__(arrival.queued, arrival.exclude, latest_unix_s, arrival.request.end_unix_s)
        self.arrival = arrival
        self.since_unix_s = since_unix_s


class Estimates:
    """Learned times of one service: how long a request has its slot, and its first event."""

    def __init__(self) -> None:
        """Initialize with lower bounds."""
        self.holding_s = MIN_HOLDING_S
        self.first_s = 0.0
        self._ended_unix_s = -math.inf

    def record_first(self, first_s: float) -> None:
        """Learn from the first event of a response."""
        self.first_s += ESTIMATE_WEIGHT * (first_s - self.first_s)

    def record_end(self, holding_s: float, now_unix_s: float) -> None:
        """Learn from a complete response."""
        self.holding_s += ESTIMATE_WEIGHT * (holding_s - self.holding_s)
        self._ended_unix_s = now_unix_s

    def age_s(self, now_unix_s: float) -> float:
        """Return the time since the last complete response."""
        return now_unix_s - self._ended_unix_s

    def valid(self, now_unix_s: float) -> bool:
        """Return whether a request may be refused on them."""
        return self.age_s(now_unix_s) <= ESTIMATE_VALID_S


class ServiceQueue:
    """The waiting requests for one service, and what is refused."""

    def __init__(self, random: Random) -> None:
        """Initialize with no requests."""
        self.estimates = Estimates()
        self.counts: Counter[str] = Counter()
        self._random = random
        self._queues: dict[tuple[object, ...], Queue[ForwardWaiting]] = {}
        self._return_unix_s = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(map(len, self._queues.values()))

    def __iter__(self) -> Iterator[ForwardWaiting]:
        """Iterate over all waiting requests."""
        for queue in self._queues.values():
            yield from queue

    def arrive(self, arrival: Arrival, held: int, now_unix_s: float) -> ForwardWaiting | Refusal:
        """Enqueue a request, or refuse it; ``held`` slots of the service are this router's."""
        valid = self.estimates.valid(now_unix_s)
        first_s = self.estimates.first_s if valid else 0.0
        waiting = ForwardWaiting(arrival, arrival.request.end_unix_s - first_s, now_unix_s)
        slack_s = waiting.latest_unix_s - now_unix_s
        wait_s = (self.ahead_of(arrival) + 1) / self.drain_per_s(held, now_unix_s)
        if SAFETY_FACTOR * wait_s > slack_s:
            reason = f'all servers are busy for about {wait_s:.2f} s'
            return self.refuse('late', reason, held, now_unix_s)
        if len(self) >= MAX_WAITING:
            displaced = self._displaced_by(waiting)
            if displaced is None:
                return self.refuse('full', 'too many requests are waiting', held, now_unix_s)
            self.remove(displaced)
            reason = 'displaced from the queue by another request'
            displaced.decide(self.refuse('displaced', reason, held, now_unix_s))
        self._queues.setdefault(_key(arrival), Queue()).push(waiting)
        return waiting

    def heads(self) -> list[ForwardWaiting]:
        """Return the first request of each queue, in the order in which they are served."""
        return sorted((queue.first() for queue in self._queues.values()), key=_order)

    def is_behind(self, arrival: Arrival) -> bool:
        """Return whether others are served before a new request."""
        return _key(arrival) in self._queues and bool(self.ahead_of(arrival))

    def ahead_of(self, arrival: Arrival) -> int:
        """Return the number of requests that are served before a new one."""
        queue = self._queues.get(_key(arrival))
        return queue.ahead_of(arrival.queued, arrival.request.end_unix_s) if queue else 0

    def take(self, waiting: ForwardWaiting, now_unix_s: float) -> None:
        """Remove a request that gets a slot."""
        rank = waiting.arrival.request.urgency
        self.counts[f'waited_rank_{rank}'] += 1
        self.counts[f'waited_ms_rank_{rank}'] += round(1000 * (now_unix_s - waiting.since_unix_s))
        self._queues[_key(waiting.arrival)].take(waiting)
        self._drop_empty(waiting)

    def remove(self, waiting: ForwardWaiting) -> None:
        """Remove a request that gets none."""
        self._queues[_key(waiting.arrival)].remove(waiting)
        self._drop_empty(waiting)

    def drain_per_s(self, held: int, now_unix_s: float) -> float:
        """Return the rate at which slots become free for this router, infinite if unknown."""
        if not held or not self.estimates.valid(now_unix_s):
            return math.inf
        return held / self.estimates.holding_s

    def refuse(self, cause: str, reason: str, held: int, now_unix_s: float) -> Refusal:
        """Refuse a request that did not run, and count the cause."""
        self.counts[f'waiting_rejected_{cause}'] += 1
        retry_after_s = self._retry_after_s(self.drain_per_s(held, now_unix_s), now_unix_s)
        return Refusal('overloaded', reason, NOT_RUN, UNAVAILABLE, retry_after_s)

    def _retry_after_s(self, drain_per_s: float, now_unix_s: float) -> float:
        """Return when a refused caller should come back.

        Callers are spread at the rate at which slots become free, in the order of their refusals,
        so that the second wave is not higher than the first and the earliest comes back first.
        """
        if math.isinf(drain_per_s):
            wait_s = UNKNOWN_RETRY_AFTER_S * (1 + JITTER * self._random.random())
            return round(wait_s, 2)
        queue_s = len(self) / drain_per_s
        self._return_unix_s = max(self._return_unix_s, now_unix_s + queue_s) + 1 / drain_per_s
        wait_s = self._return_unix_s - now_unix_s + JITTER * self._random.random() / drain_per_s
        if wait_s > MAX_RETRY_AFTER_S:
            self._return_unix_s = now_unix_s + MAX_RETRY_AFTER_S
            earliest_s = min(queue_s, MAX_RETRY_AFTER_S / 2)
            wait_s = self._random.uniform(earliest_s, MAX_RETRY_AFTER_S)
        return round(max(MIN_RETRY_AFTER_S, wait_s), 2)

    def _displaced_by(self, waiting: ForwardWaiting) -> ForwardWaiting | None:
        """Return the last request of the least urgent rank if it has to give way to a new one.

        At the same rank, it gives way only if its account has more requests waiting.
        """
        lasts = [(queue, queue.last()) for queue in self._queues.values()]
        queue, last = min(
            ((queue, last) for queue, last in lasts if last is not None),
            key=lambda pair: pair[1].routing_request.priority,
        )
        new, old = waiting.routing_request, last.routing_request
        longer = queue.count(old.account) > queue.count(new.account) + 1
        if old.priority < new.priority or (old.priority == new.priority and longer):
            return last
        return None

    def _drop_empty(self, waiting: ForwardWaiting) -> None:
        key = _key(waiting.arrival)
        if not self._queues[key]:
            del self._queues[key]


def _key(arrival: Arrival) -> tuple[object, ...]:
    return arrival.request.homes, arrival.exclude, arrival.request.origin


def _order(waiting: ForwardWaiting) -> tuple[int, float]:
    return -waiting.routing_request.priority, waiting.order_unix_s
