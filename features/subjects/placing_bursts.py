"""Subject: bursts of large prompts at several routers, in virtual time.

Routers report their load on each engine to each other every ``REPORT_S``, and large prompts
immediately if that is enabled.
"""

from random import Random

from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routing.backends import Backend, ForwardRoutingRequest
from endivesaddle.fleet.routing.dispatcher import LARGE_PROMPT_TOKENS
from endivesaddle.fleet.routing.placement_policies import PlacementContext, placement_policies
from subjects.placing import Engine

REPORT_S = 0.25
IMMEDIATE_REPORT_S = 0.003
"""Delay of an immediate report."""
BURST_S = 0.1
BURST = 8
EVERY_S = 0.4
MEAN_TOKENS = 9000
SPREAD = 1.0
MAX_TOKENS = 60000
GOAL_S = 0.4


class BurstLoad:
    """Engines, and routers that report to each other."""

    def __init__(self, engines: int, routers: int, at_once: bool) -> None:
        """Initialize idle; ``at_once`` reports large prompts before the next regular report."""
        servers = [RouteServer(f'life-{n}', 'engines', f'{n}:1', 'a', 64) for n in range(engines)]
        self._engines = {server.lifetime: Engine() for server in servers}
        self._routers = [[Backend(server) for server in servers] for _ in range(routers)]
        self._at_once = at_once
        self._waiting: list[tuple[float, Backend, ForwardRoutingRequest]] = []
        self._next_report_unix_s = 0.0
        self.late = 0
        self.count = 0

    def play(self, policy: str, bursts: int) -> None:
        """Send bursts of large prompts, spread over the routers."""
        random = Random(7)
        for burst in range(bursts):
            arrivals = sorted(random.uniform(0, BURST_S) for _ in range(BURST))
            for offset_s in arrivals:
                tokens = int(min(MAX_TOKENS, MEAN_TOKENS * random.lognormvariate(-0.5, SPREAD)))
                self._send(policy, burst * EVERY_S + offset_s, tokens, random)

    def _send(self, policy: str, now_unix_s: float, tokens: int, random: Random) -> None:
        self._end_processed(now_unix_s)
        self._exchange_reports(now_unix_s)
        routing_request = ForwardRoutingRequest(
            str(self.count), 'engines', ((f'o{self.count}', tokens),), tokens, 100
        )
        backends = random.choice(self._routers)
        backend = placement_policies.find(policy)(
            PlacementContext(routing_request, backends, 'a', True, now_unix_s, self.count)
        )
        backend.start_request(routing_request, now_unix_s)
        if self._at_once and tokens >= LARGE_PROMPT_TOKENS:
            self._next_report_unix_s = min(
                self._next_report_unix_s, now_unix_s + IMMEDIATE_REPORT_S
            )
        first_unix_s = self._engines[backend.server.lifetime].process(routing_request, now_unix_s)
        self._waiting.append((first_unix_s, backend, routing_request))
        self.count += 1
        self.late += first_unix_s - now_unix_s > GOAL_S

    def _end_processed(self, now_unix_s: float) -> None:
        for first_unix_s, backend, routing_request in self._waiting:
            if first_unix_s <= now_unix_s:
                backend.end_request(routing_request)
        self._waiting = [entry for entry in self._waiting if entry[0] > now_unix_s]

    def _exchange_reports(self, now_unix_s: float) -> None:
        if now_unix_s < self._next_report_unix_s:
            return
        self._next_report_unix_s = now_unix_s + REPORT_S
        for own in self._routers:
            others = [backends for backends in self._routers if backends is not own]
            for number, backend in enumerate(own):
                backend.others_in_flight = sum(
                    backends[number].own_in_flight for backends in others
                )
                backend.others_prefilling_tokens = sum(
                    backends[number].own_prefilling_tokens for backends in others
                )
