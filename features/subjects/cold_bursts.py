"""Subject: the policies for cold servers under load, without I/O.

One server has just started and is the best choice for every request; each router decides on its
own.
"""

from endivesaddle.fleet.routes.declared import Declarations, RouteServer, Service
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.cold_starts import ColdStartLimits
from subjects.random_routers import RandomRouters, busiest

SEED = 11
COLD_S = 3.0
PER_S = 16.0
SECOND_S = 1.0
START_UNIX_S = 1000.0
SERVER = RouteServer(
    'life-0', 'engines', '10.0.0.1:1', 'a', 64, cold_until_unix_s=START_UNIX_S + COLD_S
)


class ColdBurst:
    """Routers that each know most of the others, with small clock differences."""

    def __init__(self, policy: str, routers: int) -> None:
        """Start with nothing sent."""
        routing_state = RoutingState()
        routing_state.declare(
            Declarations(1, (), (Service('engines', 0, 9, 0, COLD_S, PER_S),), ()), b'', 'x'
        )
        routing_state.update_server(SERVER, 'test')
        names = [f'router-{number}' for number in range(routers)]
        self._random_routers = RandomRouters(SEED, names)
        self._routers = [
            _router(policy, routing_state, name, known)
            for name, known in zip(names, self._random_routers.known, strict=True)
        ]
        self._sent_unix_s: list[float] = []

    def play(self, per_s: float) -> None:
        """Send requests to random routers while the server is cold."""
        end_unix_s = START_UNIX_S + COLD_S
        for arrival in self._random_routers.arrivals(per_s, START_UNIX_S, end_unix_s):
            cold, backend = self._routers[arrival.router]
            if cold.try_acquire(backend, arrival.router_unix_s):
                self._sent_unix_s.append(arrival.now_unix_s)

    @property
    def served(self) -> int:
        """Requests that the cold server got."""
        return len(self._sent_unix_s)

    @property
    def busiest(self) -> int:
        """The maximum of requests within any second."""
        return busiest(self._sent_unix_s, SECOND_S)


def _router(
    policy: str, routing_state: RoutingState, name: str, known: tuple[str, ...]
) -> tuple[ColdStartLimits, Backend]:
    cold = ColdStartLimits(policy, routing_state, name)
    cold.routers = known
    cold.routers_known = True
    return cold, Backend(SERVER)


class WarmServer:
    """One router's requests to a server that is not cold."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        routing_state = RoutingState()
        service = Service('engines', 0, 9, 0, COLD_S, PER_S)
        routing_state.declare(Declarations(1, (), (service,), ()), b'', 'x')
        routing_state.update_server(SERVER._replace(cold_until_unix_s=0), 'test')
        self.backend = Backend(SERVER)
        self.cold = ColdStartLimits('few_routers', routing_state, 'router-0')
        self.now_unix_s = START_UNIX_S + 2 * COLD_S

    def play(self, per_s: int, seconds: int) -> None:
        """Send requests."""
        for _ in range(per_s * seconds):
            self.now_unix_s += 1 / per_s
            assert self.cold.try_acquire(self.backend, self.now_unix_s)
