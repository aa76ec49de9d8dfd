"""Capacity of the servers, and how much of it this router uses.

Load pattern: all slots of a service are in use, and many routers send to the same servers.  Without
I/O; each router decides from its own requests and the other routers' reports.
"""

import math
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from endivesaddle.fleet.routing.backends import (
    SIDECAR_REPORT_VALID_S,
    Backend,
    ForwardRoutingRequest,
)

FULL_S = 0.1
"""A server that rejected a request as full gets no request for this long.  Callers' shortest goals
are about 120 ms, so that a waiting request can still be on time after it."""
REPORT_AGE_S = 1.2
"""Greatest age of a counted report.  Requests of engines last longer, and their counts per server,
which differ since prompts go where their parts are cached, are still true."""
TOKENS_WEIGHT = 0.1
"""Weight of one request in the mean of tokens, which stands for other routers' requests."""


class Need(NamedTuple):
    """What a request needs of a server; ``memory_tokens`` is the engine's memory, 0 for none."""

    routing_request: ForwardRoutingRequest
    memory_tokens: int

    @property
    def shared_tokens(self) -> int:
        """Tokens of the prompt that other requests may share."""
        return sum(tokens for _, tokens in self.routing_request.parts[:-1])

    @property
    def own_tokens(self) -> int:
        """Tokens of the prompt and the output that only this request has."""
        request = self.routing_request
        return max(0, request.prompt_tokens - self.shared_tokens) + request.max_tokens


class Hold:
    """A slot that a request has, from its placement to its end; compared by identity."""

    def __init__(self, backend: Backend, need: Need, began_unix_s: float) -> None:
        """Hold a slot of ``backend`` since ``began_unix_s``."""
        self.backend = backend
        self.need = need
        self.began_unix_s = began_unix_s
        self.first_seen = False
        self.declined = False


class Asked(NamedTuple):
    """A request that asks for capacity; ``own`` is the slot that is kept for it, if any.

    ``demand_share`` is this router's share of all routers' requests for the service, and
    ``others_share`` the part of all slots that the others use, infinite if each server's count is
    to be used.  For short requests a higher count of one server is taken for chance, since it is
    from one moment.
    """

    need: Need
    now_unix_s: float
    demand_share: float = 1.0
    others_share: float = math.inf
    own: Hold | None = None


class Occupancy:
    """The slots and the memory of one server that this router's requests use."""

    def __init__(self) -> None:
        """Initialize with no requests."""
        self.requests = 0
        self.own_tokens = 0
        self.shared: Counter[str] = Counter()
        self.shared_tokens = 0
        self.full_until_unix_s = 0.0

    def change(self, need: Need, count: int) -> None:
        """Add a request (``count`` 1) or remove it (-1); a shared part is kept only once."""
        self.requests += count
        self.own_tokens += count * need.own_tokens
        part = need.routing_request.shared_part
        if not part:
            return
        before = self.shared[part]
        self.shared[part] += count
        if not before or not self.shared[part]:
            self.shared_tokens += count * need.shared_tokens
        if not self.shared[part]:
            del self.shared[part]

    def added_tokens(self, need: Need) -> int:
        """Return the memory that one more request would take."""
        cached = need.routing_request.shared_part in self.shared
        return need.own_tokens + (not cached) * need.shared_tokens


_FREE = Occupancy()
"""The occupancy of a server without a request of this router; it is never changed."""


class ServerSlots:
    """Decides whether a server has capacity for one more request of this router.

    ``routers`` is the number of routers, ``unheard`` that of the others whose counts are unknown or
    too old.  Each of these counts with its even share.
    """

    def __init__(self) -> None:
        """Initialize as the only router."""
        self.routers = 1
        self.unheard = 0
        self.held: Counter[str] = Counter()
        self._occupied: dict[Backend, Occupancy] = {}
        self._mean_tokens: dict[str, float] = {}

    def has_room(self, asked: Asked, backend: Backend) -> bool:
        """Return whether a server has capacity; a slot that the request keeps there is free.

        A router may always use its even share, rounded up, also while the others use the rest.
        Failure: a router learns of a free slot at once when its own request ends, the others only
        by its next report, and so a router that came late got no slot.  Beyond that it may use its
        share by demand of what the others leave free.  Failure: reports are up to a second old, and
        each of four routers took all slots that it saw free.
        """
        occupied = self._occupied.get(backend, _FREE)
        if occupied.full_until_unix_s > asked.now_unix_s:
            return False
        if asked.own is not None and asked.own.backend is backend:
            return True
        slots = backend.server.slots or 1
        others = min(backend.others_in_flight, asked.others_share * slots)
        if self.unheard:
            age_s = asked.now_unix_s - backend.sidecar_report_unix_s
            others += self.unheard * slots / self.routers * (age_s >= SIDECAR_REPORT_VALID_S)
        requests = occupied.requests
        # The first comparison is that with the even share, rounded up.
        if requests * self.routers >= slots and requests >= asked.demand_share * (slots - others):
            return False
        return not requests or self._has_memory(occupied, asked.need, others)

    def hold(self, backend: Backend, need: Need, now_unix_s: float) -> Hold:
        """Take a slot."""
        occupied = self._occupied.setdefault(backend, Occupancy())
        occupied.change(need, 1)
        service = need.routing_request.service
        self.held[service] += 1
        mean = self._mean_tokens.get(service, float(need.own_tokens))
        self._mean_tokens[service] = mean + TOKENS_WEIGHT * (need.own_tokens - mean)
        return Hold(backend, need, now_unix_s)

    def release(self, hold: Hold) -> None:
        """Free a slot, which must be held."""
        occupied = self._occupied[hold.backend]
        occupied.change(hold.need, -1)
        if not occupied.requests and occupied.full_until_unix_s < hold.began_unix_s:
            del self._occupied[hold.backend]
        self.held[hold.need.routing_request.service] -= 1

    def asked(
        self,
        need: Need,
        backends: Sequence[Backend],
        waiting: int,
        holding_s: float,
        now_unix_s: float,
    ) -> Asked:
        """Return what a request asks of ``backends`` while ``waiting`` ones are in the queue.

        ``holding_s`` is how long a request of the service has its slot.
        """
        own = self.held[need.routing_request.service] + waiting + 1
        others = sum([backend.others_in_flight for backend in backends])
        share = math.inf
        if holding_s < REPORT_AGE_S:
            share = others / max(1, sum([backend.server.slots for backend in backends]))
        return Asked(need, now_unix_s, own / (own + others), share)

    def used_share(self, backend: Backend) -> float:
        """Return the used part of a server's slots, of all routers."""
        occupied = self._occupied.get(backend)
        own = occupied.requests if occupied else 0
        return (own + backend.others_in_flight) / max(1, backend.server.slots)

    def mark_full(self, backend: Backend, now_unix_s: float) -> None:
        """Record that a server rejected a request as full."""
        occupied = self._occupied.setdefault(backend, Occupancy())
        occupied.full_until_unix_s = now_unix_s + FULL_S

    def _has_memory(self, occupied: Occupancy, need: Need, others: float) -> bool:
        """Return whether the engine can keep the request without preempting another one.

        Reports give the number of other routers' requests, which count with the mean tokens of this
        router's.  A router may use its even share of the memory, and a single request also more.
        """
        if not need.memory_tokens:
            return True
        mean = self._mean_tokens.get(need.routing_request.service, 0)
        allowed = max(need.memory_tokens / self.routers, need.memory_tokens - others * mean)
        used = occupied.own_tokens + occupied.shared_tokens
        return used + occupied.added_tokens(need) <= allowed
