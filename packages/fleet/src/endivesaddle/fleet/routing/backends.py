"""What a router knows of each backend server that it forwards to: one lane each.

Decisions only, no input or output.  A lane counts what this router has under
way there, what of it is still being read, which prompt parts it sent there,
and how its answers fared; peers' counts are added as they tell them.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import NamedTuple

from endivesaddle.fleet.routes.declared import RouteServer, Service

FAILED_WEIGHT = 0.25
"""Weight of one answer in the share of failures: four failures in a row show as 0.68."""
FORGIVEN_S = 6.0
"""Half of a failure share is forgiven in this time, so that a mended server is tried again."""
FORGOTTEN_SHARE = 0.05
"""A smaller share of failures counts as none: an idle fleet would never try the server again."""
SILENT_S = 1.0
"""A server that refused a connection or fell silent gets nothing for this long, then one try."""
LONGEST_SILENT_S = 4.0
PARTS_S = 20.0
"""Prompt parts sent longer ago than this are taken as evicted: an engine under load keeps for so
long what nobody asks for."""
SIDECAR_REPORT_VALID_S = 0.3
"""The word of the sidecar beside a server counts for so long: the other routers' are as old."""
SEND_WINDOW_S = 1.0
"""Sendings are counted over this time: what a cold server bears is told by the second."""
MOST_PARTS = 4000
"""Parts remembered for one server."""


class ForwardRoutingRequest(NamedTuple):
    """What a forwarded request asks of a server.

    ``parts`` are (id, tokens) of the prompt in order, the last one its own.
    """

    key: str
    service: str
    parts: tuple[tuple[str, int], ...] = ()
    prompt_tokens: int = 0
    max_tokens: int = 0
    priority: int = 5

    @property
    def shared_part(self) -> str:
        """Return the id of the last part that other requests may share."""
        return self.parts[-2][0] if len(self.parts) > 1 else ''


class Backend:
    """One server as this router met it."""

    def __init__(self, server: RouteServer) -> None:
        """Start with nothing sent.

        ``own_prefilling_tokens`` were sent by this router and are not known to be processed yet.
        """
        self.server = server
        self.prefilling: dict[str, int] = {}
        self.running: dict[str, int] = {}
        self.others_in_flight = 0
        self.others_prefilling_tokens = 0
        self.pending_tokens = 0
        self.pending_requests = 0
        self.sidecar_report_unix_s = 0.0
        self.unreachable_until_unix_s = 0.0
        self.rejecting_until_unix_s = 0.0
        self._failed_contacts = 0
        self.own_prefilling_tokens = 0
        self._parts: OrderedDict[str, float] = OrderedDict()
        self._failed_share = 0.0
        self._failed_unix_s = 0.0
        self._send_times: deque[float] = deque()
        self._may_be_cold = False
        self._reachable_since_unix_s = 0.0

    @property
    def own_in_flight(self) -> int:
        """Requests of this router."""
        return len(self.prefilling) + len(self.running)

    @property
    def in_flight(self) -> int:
        """Requests of this router and, as last told, of the others."""
        return self.own_in_flight + self.others_in_flight

    @property
    def prefilling_tokens(self) -> int:
        """Prompt tokens on the way to be read, of all routers as last told."""
        return self.own_prefilling_tokens + self.others_prefilling_tokens

    def apply_sidecar_report(self, requests: int, tokens: int, now_unix_s: float) -> None:
        """Take in what the sidecar beside the server says that other routers have there."""
        self.others_in_flight = requests
        self.others_prefilling_tokens = tokens
        self.sidecar_report_unix_s = now_unix_s

    def uncached_tokens(self, request: ForwardRoutingRequest, now_unix_s: float) -> int:
        """Return the tokens of a prompt that the server has to read."""
        unread = request.prompt_tokens
        for part, tokens in request.parts:
            sent_unix_s = self._parts.get(part)
            if sent_unix_s is None or now_unix_s - sent_unix_s > PARTS_S:
                break
            unread -= tokens
        return max(0, unread)

    def has_part(self, part: str, now_unix_s: float) -> bool:
        """Tell whether a part was sent there lately."""
        sent_unix_s = self._parts.get(part)
        return sent_unix_s is not None and now_unix_s - sent_unix_s <= PARTS_S

    def start_request(self, request: ForwardRoutingRequest, now_unix_s: float) -> None:
        """Note that a request goes there now."""
        self._end_prefill(request)
        self.prefilling[request.key] = self.uncached_tokens(request, now_unix_s)
        self.own_prefilling_tokens += self.prefilling[request.key]
        self.add_parts([part for part, _ in request.parts], now_unix_s)

    def add_parts(self, parts: Iterable[str], now_unix_s: float) -> None:
        """Note that parts of prompts went there now, from here or from another router."""
        for part in parts:
            self._parts[part] = now_unix_s
            self._parts.move_to_end(part)
        while len(self._parts) > MOST_PARTS:
            self._parts.popitem(last=False)

    def first_event(self, request: ForwardRoutingRequest) -> None:
        """Note the first event of an answer: its prompt is read."""
        if self._end_prefill(request):
            self.running[request.key] = request.prompt_tokens

    def end_request(self, request: ForwardRoutingRequest) -> None:
        """Note that nothing of a request is under way there any more."""
        self._end_prefill(request)
        self.running.pop(request.key, None)

    def record_outcome(self, success: bool, now_unix_s: float) -> None:
        """Note whether an answer was sound."""
        if success:
            self._failed_contacts = 0
            self._mark_reachable(now_unix_s)
        self._failed_share = self.failed_share(now_unix_s)
        self._failed_share *= 1 - FAILED_WEIGHT
        if not success:
            self._failed_share += FAILED_WEIGHT
        self._failed_unix_s = now_unix_s

    def mark_unreachable(self, now_unix_s: float, process_ended: bool = False) -> None:
        """Note that the server could not be reached: nothing goes there for a while.

        With ``process_ended`` its process is gone.  It may start again under its name and is cold
        then, before its entry in the store says so; so may a server whose entry tells when it was
        born.
        """
        self._may_be_cold = process_ended or bool(self.server.born_unix_ms)
        pause_s = min(LONGEST_SILENT_S, SILENT_S * 2**self._failed_contacts)
        self._failed_contacts += 1
        self.unreachable_until_unix_s = now_unix_s + pause_s
        self.record_outcome(success=False, now_unix_s=now_unix_s)

    def cold_until_unix_s(self, cold_s: float, now_unix_s: float) -> float:
        """Return until when the server may be cold after it was silent, by what this router met."""
        if self._may_be_cold:
            return now_unix_s + cold_s
        return self._reachable_since_unix_s + cold_s if self._reachable_since_unix_s else 0.0

    def record_send(self, now_unix_s: float) -> None:
        """Count a request that goes there now; older ones than a second are forgotten."""
        self._send_times.append(now_unix_s)
        self.sent_in_last_second(now_unix_s)

    def sent_in_last_second(self, now_unix_s: float) -> int:
        """Return how many requests went there within the last second."""
        while self._send_times and self._send_times[0] <= now_unix_s - SEND_WINDOW_S:
            self._send_times.popleft()
        return len(self._send_times)

    def next_send_unix_s(self, now_unix_s: float) -> float:
        """Return when the oldest of them counts no more."""
        if not self.sent_in_last_second(now_unix_s):
            return now_unix_s
        return self._send_times[0] + SEND_WINDOW_S

    def accepts_requests(self, now_unix_s: float) -> bool:
        """Tell whether the server takes requests of this router, as far as it said."""
        return self.rejecting_until_unix_s <= now_unix_s

    def failed_share(self, now_unix_s: float) -> float:
        """Return the share of failures, old ones forgiven by halves."""
        if not self._failed_share:
            return 0.0
        passed_s = max(0.0, now_unix_s - self._failed_unix_s)
        share = self._failed_share * 0.5 ** (passed_s / FORGIVEN_S)
        return 0.0 if share < FORGOTTEN_SHARE else share

    def _mark_reachable(self, now_unix_s: float) -> None:
        if self._may_be_cold:
            self._may_be_cold = False
            self._reachable_since_unix_s = now_unix_s

    def _end_prefill(self, request: ForwardRoutingRequest) -> bool:
        """Take a prompt off those that are being read; True if it was one of them."""
        tokens = self.prefilling.pop(request.key, None)
        self.own_prefilling_tokens -= tokens or 0
        return tokens is not None


class Backends:
    """The lanes of all known servers."""

    def __init__(self) -> None:
        """Start without any."""
        self._backends: dict[str, Backend] = {}

    def of(self, server: RouteServer) -> Backend:
        """Return the lane of a server."""
        backend = self._backends.get(server.lifetime)
        if backend is None or backend.server.born_unix_ms != server.born_unix_ms:
            # Started again, a server keeps nothing of before: no parts, no work, no failures.
            backend = Backend(server)
            self._backends[server.lifetime] = backend
        backend.server = server
        return backend

    def find(self, lifetime: str) -> Backend | None:
        """Return the lane of a server that was met or listed, if any."""
        return self._backends.get(lifetime)

    def drop_all_but(self, lifetimes: set[str], now_unix_s: float) -> None:
        """Forget servers that are gone and have nothing under way.

        Not one that wants nothing for a while: its entry may be back before that is over, and
        without the lane it would get requests at once.
        """
        for lifetime in set(self._backends) - lifetimes:
            backend = self._backends[lifetime]
            if not backend.own_in_flight and backend.accepts_requests(now_unix_s):
                del self._backends[lifetime]

    def apply_reports(self, loads: dict[str, tuple[int, int]], now_unix_s: float) -> None:
        """Take in what other routers have at each server: requests, and tokens to read.

        What the sidecar beside a server said just now is better than their words.
        """
        for lifetime, backend in self._backends.items():
            if now_unix_s - backend.sidecar_report_unix_s < SIDECAR_REPORT_VALID_S:
                continue
            requests, tokens = loads.get(lifetime, (0, 0))
            backend.others_in_flight = requests
            backend.others_prefilling_tokens = tokens

    def all(self) -> tuple[Backend, ...]:
        """Return every lane."""
        return tuple(self._backends.values())


def is_engine(service: Service | None) -> bool:
    """Tell whether a service's servers are model engines."""
    return service is not None and service.engine
