"""The backend servers as one router sees them.

Without I/O.  A ``Backend`` counts the requests that this router has in flight on a server, the
prompt tokens still in prefill, the prompt parts sent there and the share of failures.  The counts
of other routers are added when they are reported.
"""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from endivesaddle.fleet.routes.declared import RouteServer, Service
from endivesaddle.fleet.routing.cached_parts import CachedParts

FAILED_WEIGHT = 0.25
"""Weight of one response in the share of failures: four failures in a row give 0.68."""
FAILED_SHARE_HALF_LIFE_S = 6.0
"""The share of failures halves in this time, so that a repaired server is tried again."""
MIN_FAILED_SHARE = 0.05
"""A smaller share counts as none; otherwise an idle fleet would never try the server again."""
UNREACHABLE_S = 1.0
"""An unreachable server gets no requests for this long, then one attempt."""
MAX_UNREACHABLE_S = 4.0
UNPROVEN_S = 1.0
"""A server that may have started again gets no streams that can continue for this long.

It writes an entry within about a second; then it counts as another incarnation."""
SIDECAR_REPORT_VALID_S = 0.3
"""A sidecar's report takes precedence for this long; reports of other routers are as old."""
SEND_WINDOW_S = 1.0
"""Window over which sent requests are counted; limits of cold servers are per second."""
PREFILL_TOKENS_PER_MS = 120.0
"""Assumed prefill speed of an engine, in prompt tokens per millisecond."""


class ForwardRoutingRequest(NamedTuple):
    """What a forwarded request needs from a server.

    ``parts`` are (id, tokens) of the prompt in order; only this request has the last one.
    """

    key: str
    service: str
    parts: tuple[tuple[str, int], ...] = ()
    prompt_tokens: int = 0
    max_tokens: int = 0
    priority: int = 5

    @property
    def shared_part(self) -> str:
        """The id of the last part that other requests may share, '' if there is none."""
        return self.parts[-2][0] if len(self.parts) > 1 else ''


class Backend:
    """One backend server as this router sees it."""

    def __init__(self, server: RouteServer) -> None:
        """Initialize with no requests.

        ``own_prefilling_tokens`` were sent by this router and are not known to be processed yet.
        """
        self.server = server
        self.parts = CachedParts()
        self.prefilling: dict[str, int] = {}
        self.running: dict[str, int] = {}
        self.others_in_flight = 0
        self.others_prefilling_tokens = 0
        self.pending_tokens = 0
        self.pending_requests = 0
        self.sidecar_report_unix_s = 0.0
        self.unreachable_until_unix_s = 0.0
        self.rejecting_until_unix_s = 0.0
        self.unproven_until_unix_s = 0.0
        self._failed_contacts = 0
        self.own_prefilling_tokens = 0
        self._failed_share = 0.0
        self._failed_unix_s = 0.0
        self._send_times: deque[float] = deque()
        self._may_be_cold = False
        self._reachable_since_unix_s = 0.0

    @property
    def own_in_flight(self) -> int:
        """Requests of this router on the server."""
        return len(self.prefilling) + len(self.running)

    @property
    def in_flight(self) -> int:
        """Requests of all routers on the server, the others' as last reported."""
        return self.own_in_flight + self.others_in_flight

    @property
    def prefilling_tokens(self) -> int:
        """Prompt tokens in prefill, of all routers, the others' as last reported."""
        return self.own_prefilling_tokens + self.others_prefilling_tokens

    def apply_sidecar_report(self, requests: int, tokens: int, now_unix_s: float) -> None:
        """Apply the sidecar's count of the requests and tokens of the other routers."""
        self.others_in_flight = requests
        self.others_prefilling_tokens = tokens
        self.sidecar_report_unix_s = now_unix_s

    def uncached_tokens(self, request: ForwardRoutingRequest, now_unix_s: float) -> int:
        """Return the prompt tokens that the server has to process."""
        cached = self.parts.cached_tokens(request.parts, now_unix_s)
        return max(0, request.prompt_tokens - cached)

    def has_part(self, part: str, now_unix_s: float) -> bool:
        """Return whether a part was sent recently enough to be cached."""
        return self.parts.has(part, now_unix_s)

    def start_request(
        self, request: ForwardRoutingRequest, now_unix_s: float, fetched_tokens: int = 0
    ) -> None:
        """Record that a request is sent now, with tokens that the server fetches."""
        self._end_prefill(request)
        uncached_tokens = self.uncached_tokens(request, now_unix_s) - fetched_tokens
        self.prefilling[request.key] = max(0, uncached_tokens)
        self.own_prefilling_tokens += self.prefilling[request.key]
        self.add_parts([part for part, _ in request.parts], now_unix_s)

    def add_parts(self, parts: Iterable[str], now_unix_s: float) -> None:
        """Record prompt parts sent now by this or another router."""
        self.parts.add(parts, now_unix_s)

    def first_event(self, request: ForwardRoutingRequest) -> None:
        """Record the first event of a response: prefill is complete."""
        if self._end_prefill(request):
            self.running[request.key] = request.prompt_tokens
            self.parts.mark_ready(request.parts)

    def end_request(self, request: ForwardRoutingRequest) -> None:
        """Record that a request has ended on the server."""
        self._end_prefill(request)
        self.running.pop(request.key, None)

    def record_outcome(self, success: bool, now_unix_s: float) -> None:
        """Record whether a request succeeded."""
        if success:
            self._failed_contacts = 0
            self._mark_reachable(now_unix_s)
        self._failed_share = self.failed_share(now_unix_s)
        self._failed_share *= 1 - FAILED_WEIGHT
        if not success:
            self._failed_share += FAILED_WEIGHT
        self._failed_unix_s = now_unix_s

    def mark_unreachable(self, now_unix_s: float, process_ended: bool = False) -> None:
        """Record that the server is unreachable; it gets no requests for a while.

        With ``process_ended`` its process is gone.  It may start again under its name and is cold
        then, before its entry in the store says so; so may a server whose entry tells when it was
        born.
        """
        self._may_be_cold = process_ended or bool(self.server.born_unix_ms)
        pause_s = min(MAX_UNREACHABLE_S, UNREACHABLE_S * 2**self._failed_contacts)
        self._failed_contacts += 1
        self.unreachable_until_unix_s = now_unix_s + pause_s
        self.record_outcome(success=False, now_unix_s=now_unix_s)

    def mark_unproven(self, now_unix_s: float) -> None:
        """Record that the server may be another incarnation: its version is not known."""
        self.unproven_until_unix_s = now_unix_s + UNPROVEN_S

    def cold_until_unix_s(self, cold_s: float, now_unix_s: float) -> float:
        """Return until when the server may be cold after it was unreachable, 0 if it is not."""
        if self._may_be_cold:
            return now_unix_s + cold_s
        return self._reachable_since_unix_s + cold_s if self._reachable_since_unix_s else 0.0

    def record_send(self, now_unix_s: float) -> None:
        """Count a request that is sent now; drop those older than a second."""
        self._send_times.append(now_unix_s)
        self.sent_in_last_second(now_unix_s)

    def sent_in_last_second(self, now_unix_s: float) -> int:
        """Return the number of requests sent within the last second."""
        while self._send_times and self._send_times[0] <= now_unix_s - SEND_WINDOW_S:
            self._send_times.popleft()
        return len(self._send_times)

    def next_send_unix_s(self, now_unix_s: float) -> float:
        """Return when the oldest counted request leaves the window."""
        if not self.sent_in_last_second(now_unix_s):
            return now_unix_s
        return self._send_times[0] + SEND_WINDOW_S

    def accepts_requests(self, now_unix_s: float) -> bool:
        """Return whether the server has not asked this router to stay away."""
        return self.rejecting_until_unix_s <= now_unix_s

    def failed_share(self, now_unix_s: float) -> float:
        """Return the share of failures, with exponential decay."""
        if not self._failed_share:
            return 0.0
        passed_s = max(0.0, now_unix_s - self._failed_unix_s)
        share = self._failed_share * 0.5 ** (passed_s / FAILED_SHARE_HALF_LIFE_S)
        return 0.0 if share < MIN_FAILED_SHARE else share

    def _mark_reachable(self, now_unix_s: float) -> None:
        if self._may_be_cold:
            self._may_be_cold = False
            self._reachable_since_unix_s = now_unix_s

    def _end_prefill(self, request: ForwardRoutingRequest) -> bool:
        """Remove a request from prefill; return whether it was in prefill."""
        tokens = self.prefilling.pop(request.key, None)
        self.own_prefilling_tokens -= tokens or 0
        return tokens is not None


class Backends:
    """All known backend servers."""

    def __init__(self) -> None:
        """Initialize with no servers."""
        self._backends: dict[str, Backend] = {}

    def of(self, server: RouteServer) -> Backend:
        """Return the backend of a server, creating it if needed."""
        backend = self._backends.get(server.lifetime)
        if backend is None or backend.server.born_unix_ms != server.born_unix_ms:
            # A restarted server has no cached parts, no requests and no failures.
            backend = Backend(server)
            self._backends[server.lifetime] = backend
        backend.server = server
        return backend

    def find(self, lifetime: str) -> Backend | None:
        """Return the backend of a known server, or None."""
        return self._backends.get(lifetime)

    def drop_all_but(self, lifetimes: set[str], now_unix_s: float) -> None:
        """Drop servers that are gone and have no request of this router.

        A server that rejects requests for a while is kept: its entry may return before that time
        is over, and a new backend would get requests at once.
        """
        for lifetime in set(self._backends) - lifetimes:
            backend = self._backends[lifetime]
            if not backend.own_in_flight and backend.accepts_requests(now_unix_s):
                del self._backends[lifetime]

    def apply_reports(self, loads: dict[str, tuple[int, int]], now_unix_s: float) -> None:
        """Apply the other routers' counts per server: requests and prefilling tokens.

        A fresh report of the sidecar beside a server takes precedence.
        """
        for lifetime, backend in self._backends.items():
            if now_unix_s - backend.sidecar_report_unix_s < SIDECAR_REPORT_VALID_S:
                continue
            requests, tokens = loads.get(lifetime, (0, 0))
            backend.others_in_flight = requests
            backend.others_prefilling_tokens = tokens

    def all(self) -> tuple[Backend, ...]:
        """Return all backends."""
        return tuple(self._backends.values())


def is_engine(service: Service | None) -> bool:
    """Return whether the servers of a service are model engines."""
    return service is not None and service.engine
