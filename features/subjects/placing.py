"""Subject: the placing policies under a load, replayed in virtual time on simple engines.

An engine reads the unread part of each prompt one after the other; a part that
it has read stays for ``KEPT_S``.  What a policy sees is what a router sees.
"""

from random import Random

from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routing.backends import Backend, ForwardRoutingRequest
from endivesaddle.fleet.routing.placement_policies import PlacementContext, placement_policies

READ_TOKENS_PER_S = 120_000.0
KEPT_S = 20.0
SHARED_TOKENS = 5000
OWN_TOKENS = 4000
SUBJECTS = 60
GOAL_S = 0.25
TELL_S = 0.25
"""Routers tell each other this much later where parts went."""


class Engine:
    """One engine's queue of reading, and the parts that it keeps."""

    def __init__(self) -> None:
        """Start idle and empty."""
        self.free_unix_s = 0.0
        self.read_tokens = 0
        self._kept: dict[str, float] = {}

    def read(self, routing_request: ForwardRoutingRequest, now_unix_s: float) -> float:
        """Read a prompt; return when its first token comes."""
        unread = 0
        for part, tokens in routing_request.parts:
            if now_unix_s - self._kept.get(part, -KEPT_S) >= KEPT_S:
                unread += tokens
            self._kept[part] = now_unix_s
        self.read_tokens += unread
        started_unix_s = max(now_unix_s, self.free_unix_s)
        self.free_unix_s = started_unix_s + unread / READ_TOKENS_PER_S
        return self.free_unix_s


class PlacingLoad:
    """Engines and routers under one load."""

    def __init__(self, engines: int, routers: int, told: bool = True) -> None:
        """Start idle; each router has lanes of its own, and tells others where parts went."""
        servers = [RouteServer(f'life-{n}', 'engines', f'{n}:1', 'a', 64) for n in range(engines)]
        self._engines = {server.lifetime: Engine() for server in servers}
        self._routers = [[Backend(server) for server in servers] for _ in range(routers)]
        self._told = told
        self._telling: list[tuple[float, str, ForwardRoutingRequest]] = []
        self.late = 0
        self.count = 0

    @property
    def shared_tokens(self) -> int:
        """Tokens of shared parts that the engines had to read."""
        read = sum(engine.read_tokens for engine in self._engines.values())
        return read - self.count * OWN_TOKENS

    def play(self, policy: str, per_s: float, seconds: float, hot_share: float) -> None:
        """Send requests; ``hot_share`` of them are about one subject."""
        random = Random(5)
        waiting: list[tuple[float, Backend, ForwardRoutingRequest]] = []
        for number in range(int(per_s * seconds)):
            now_unix_s = number / per_s
            waiting = _began(waiting, now_unix_s)
            self._tell(now_unix_s)
            subject = 0 if random.random() < hot_share else random.randrange(SUBJECTS)
            routing_request = _routing_request(number, subject)
            backends = self._routers[random.randrange(len(self._routers))]
            context = PlacementContext(routing_request, backends, 'a', True, now_unix_s, number)
            backend = placement_policies.find(policy)(context)
            backend.start_request(routing_request, now_unix_s)
            self._telling.append((now_unix_s + TELL_S, backend.server.lifetime, routing_request))
            first_unix_s = self._engines[backend.server.lifetime].read(routing_request, now_unix_s)
            waiting.append((first_unix_s, backend, routing_request))
            self.count += 1
            self.late += first_unix_s - now_unix_s > GOAL_S

    def _tell(self, now_unix_s: float) -> None:
        due = [told for told in self._telling if told[0] <= now_unix_s]
        self._telling = [told for told in self._telling if told[0] > now_unix_s]
        if not self._told:
            return
        for _, lifetime, routing_request in due:
            for backends in self._routers:
                backend = next(one for one in backends if one.server.lifetime == lifetime)
                backend.add_parts([routing_request.parts[0][0]], now_unix_s)


def _began(
    waiting: list[tuple[float, Backend, ForwardRoutingRequest]], now_unix_s: float
) -> list[tuple[float, Backend, ForwardRoutingRequest]]:
    for first_unix_s, backend, routing_request in waiting:
        if first_unix_s <= now_unix_s:
            backend.end_request(routing_request)
    return [entry for entry in waiting if entry[0] > now_unix_s]


def _routing_request(number: int, subject: int) -> ForwardRoutingRequest:
    parts = ((f's{subject}', SHARED_TOKENS), (f'o{number}', OWN_TOKENS))
    return ForwardRoutingRequest(str(number), 'engines', parts, SHARED_TOKENS + OWN_TOKENS, 100)
