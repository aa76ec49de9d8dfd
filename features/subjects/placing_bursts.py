"""Subject: large prompts that arrive in bursts at several routers, replayed in virtual time.

Routers tell each other what they have under way at each engine, every ``TALK_S``, and
large prompts at once where that is switched on.
"""

from random import Random

from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routing.backends import Backend, ForwardRoutingRequest
from endivesaddle.fleet.routing.dispatcher import LARGE_PROMPT_TOKENS
from endivesaddle.fleet.routing.placement_policies import PlacementContext, placement_policies
from subjects.placing import Engine

TALK_S = 0.25
TOLD_S = 0.003
"""A talk that begins at once has arrived after this."""
BURST_S = 0.1
BURST = 8
EVERY_S = 0.4
MEAN_TOKENS = 9000
SPREAD = 1.0
MOST_TOKENS = 60000
GOAL_S = 0.4


class BurstLoad:
    """Engines, and routers that hear of each other."""

    def __init__(self, engines: int, routers: int, at_once: bool) -> None:
        """Start idle; ``at_once`` tells large prompts without waiting for the next talk."""
        servers = [RouteServer(f'life-{n}', 'engines', f'{n}:1', 'a', 64) for n in range(engines)]
        self._engines = {server.lifetime: Engine() for server in servers}
        self._routers = [[Backend(server) for server in servers] for _ in range(routers)]
        self._at_once = at_once
        self._waiting: list[tuple[float, Backend, ForwardRoutingRequest]] = []
        self._talk_unix_s = 0.0
        self.late = 0
        self.count = 0

    def play(self, policy: str, bursts: int) -> None:
        """Send bursts of large prompts, spread over the routers."""
        random = Random(7)
        for burst in range(bursts):
            arrivals = sorted(random.uniform(0, BURST_S) for _ in range(BURST))
            for offset_s in arrivals:
                tokens = int(min(MOST_TOKENS, MEAN_TOKENS * random.lognormvariate(-0.5, SPREAD)))
                self._send(policy, burst * EVERY_S + offset_s, tokens, random)

    def _send(self, policy: str, now_unix_s: float, tokens: int, random: Random) -> None:
        self._began(now_unix_s)
        self._talk(now_unix_s)
        routing_request = ForwardRoutingRequest(
            str(self.count), 'engines', ((f'o{self.count}', tokens),), tokens, 100
        )
        backends = random.choice(self._routers)
        backend = placement_policies.find(policy)(
            PlacementContext(routing_request, backends, 'a', True, now_unix_s, self.count)
        )
        backend.start_request(routing_request, now_unix_s)
        if self._at_once and tokens >= LARGE_PROMPT_TOKENS:
            self._talk_unix_s = min(self._talk_unix_s, now_unix_s + TOLD_S)
        first_unix_s = self._engines[backend.server.lifetime].read(routing_request, now_unix_s)
        self._waiting.append((first_unix_s, backend, routing_request))
        self.count += 1
        self.late += first_unix_s - now_unix_s > GOAL_S

    def _began(self, now_unix_s: float) -> None:
        for first_unix_s, backend, routing_request in self._waiting:
            if first_unix_s <= now_unix_s:
                backend.end_request(routing_request)
        self._waiting = [entry for entry in self._waiting if entry[0] > now_unix_s]

    def _talk(self, now_unix_s: float) -> None:
        if now_unix_s < self._talk_unix_s:
            return
        self._talk_unix_s = now_unix_s + TALK_S
        for own in self._routers:
            others = [backends for backends in self._routers if backends is not own]
            for number, backend in enumerate(own):
                backend.others_in_flight = sum(
                    backends[number].own_in_flight for backends in others
                )
                backend.others_prefilling_tokens = sum(
                    backends[number].own_prefilling_tokens for backends in others
                )
