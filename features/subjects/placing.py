"""Subject: the placement policies under load, in virtual time, on simple model engines.

An engine processes the uncached part of each prompt one after the other, and a processed part stays
cached for ``CACHED_S``.  A policy gets the same state as in a router.
"""

from random import Random

from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routing.backends import Backend, ForwardRoutingRequest
from endivesaddle.fleet.routing.placement_policies import PlacementContext, placement_policies

PREFILL_TOKENS_PER_S = 120_000.0
CACHED_S = 20.0
SHARED_TOKENS = 5000
OWN_TOKENS = 4000
SUBJECTS = 60
GOAL_S = 0.25
REPORT_DELAY_S = 0.25
"""Delay until the other routers know where a part was sent."""


class Engine:
    """One engine with a prefill queue and its cached parts."""

    def __init__(self) -> None:
        """Initialize idle, with an empty cache."""
        self.free_unix_s = 0.0
        self.processed_tokens = 0
        self._cached_unix_s: dict[str, float] = {}

    def process(self, routing_request: ForwardRoutingRequest, now_unix_s: float) -> float:
        """Process a prompt; return the time of its first token."""
        uncached = 0
        for part, tokens in routing_request.parts:
            if now_unix_s - self._cached_unix_s.get(part, -CACHED_S) >= CACHED_S:
                uncached += tokens
            self._cached_unix_s[part] = now_unix_s
        self.processed_tokens += uncached
        started_unix_s = max(now_unix_s, self.free_unix_s)
        self.free_unix_s = started_unix_s + uncached / PREFILL_TOKENS_PER_S
        return self.free_unix_s


class PlacingLoad:
    """Engines and routers under one load."""

    def __init__(self, engines: int, routers: int, reports: bool = True) -> None:
        """Initialize idle; ``reports`` lets routers report where they sent shared parts."""
        servers = [RouteServer(f'life-{n}', 'engines', f'{n}:1', 'a', 64) for n in range(engines)]
        self._engines = {server.lifetime: Engine() for server in servers}
        self._routers = [[Backend(server) for server in servers] for _ in range(routers)]
        self._reports_enabled = reports
        self._pending_reports: list[tuple[float, str, ForwardRoutingRequest]] = []
        self.late = 0
        self.count = 0

    @property
    def shared_tokens(self) -> int:
        """Tokens of shared parts that the engines had to process."""
        processed = sum(engine.processed_tokens for engine in self._engines.values())
        return processed - self.count * OWN_TOKENS

    def play(self, policy: str, per_s: float, seconds: float, hot_share: float) -> None:
        """Send requests; ``hot_share`` of them are about one subject."""
        random = Random(5)
        waiting: list[tuple[float, Backend, ForwardRoutingRequest]] = []
        for number in range(int(per_s * seconds)):
            now_unix_s = number / per_s
            waiting = _end_processed(waiting, now_unix_s)
            self._deliver_reports(now_unix_s)
            subject = 0 if random.random() < hot_share else random.randrange(SUBJECTS)
            routing_request = _routing_request(number, subject)
            backends = self._routers[random.randrange(len(self._routers))]
            context = PlacementContext(routing_request, backends, 'a', True, now_unix_s, number)
            backend = placement_policies.find(policy)(context)
            backend.start_request(routing_request, now_unix_s)
            self._pending_reports.append(
                (now_unix_s + REPORT_DELAY_S, backend.server.lifetime, routing_request)
            )
            first_unix_s = self._engines[backend.server.lifetime].process(
                routing_request, now_unix_s
            )
            waiting.append((first_unix_s, backend, routing_request))
            self.count += 1
            self.late += first_unix_s - now_unix_s > GOAL_S

    def _deliver_reports(self, now_unix_s: float) -> None:
        due = [report for report in self._pending_reports if report[0] <= now_unix_s]
        self._pending_reports = [
            report for report in self._pending_reports if report[0] > now_unix_s
        ]
        if not self._reports_enabled:
            return
        for _, lifetime, routing_request in due:
            for backends in self._routers:
                backend = next(one for one in backends if one.server.lifetime == lifetime)
                backend.add_parts([routing_request.parts[0][0]], now_unix_s)


def _end_processed(
    waiting: list[tuple[float, Backend, ForwardRoutingRequest]], now_unix_s: float
) -> list[tuple[float, Backend, ForwardRoutingRequest]]:
    for first_unix_s, backend, routing_request in waiting:
        if first_unix_s <= now_unix_s:
            backend.end_request(routing_request)
    return [entry for entry in waiting if entry[0] > now_unix_s]


def _routing_request(number: int, subject: int) -> ForwardRoutingRequest:
    parts = ((f's{subject}', SHARED_TOKENS), (f'o{number}', OWN_TOKENS))
    return ForwardRoutingRequest(str(number), 'engines', parts, SHARED_TOKENS + OWN_TOKENS, 100)
