"""Subject: the policies for cold servers under a load, replayed without input or output.

One server has just started and is the best choice for every request; each router decides alone.
"""

from random import Random

from endivesaddle.fleet.routes.declared import Declared, RouteServer, Service
from endivesaddle.fleet.routes.known import Known
from endivesaddle.fleet.routing.cold_starts import ColdStarts
from endivesaddle.fleet.routing.lanes import Lane

COLD_S = 3.0
PER_S = 16.0
SECOND_S = 1.0
UNKNOWN_SHARE = 0.05
START_UNIX_S = 1000.0
SERVER = RouteServer(
    'life-0', 'engines', '10.0.0.1:1', 'a', 64, cold_until_unix_s=START_UNIX_S + COLD_S
)


class ColdBurst:
    """Routers that each know most of the others, with clocks that differ a little."""

    def __init__(self, policy: str, routers: int) -> None:
        """Start with nothing sent."""
        self._random = Random(11)
        known = Known()
        known.declare(Declared(1, (), (Service('engines', 0, 9, 0, COLD_S, PER_S),), ()), b'', 'x')
        known.server(SERVER, 'test')
        names = [f'router-{number}' for number in range(routers)]
        self._routers = [self._router(policy, known, name, names) for name in names]
        self._skews_s = [self._random.uniform(-0.02, 0.02) for _ in names]
        self._sent_unix_s: list[float] = []

    def play(self, per_s: float) -> None:
        """Send requests at random routers while the server is cold."""
        now_unix_s = START_UNIX_S
        end_unix_s = START_UNIX_S + COLD_S
        while now_unix_s < end_unix_s:
            now_unix_s += self._random.expovariate(per_s)
            number = self._random.randrange(len(self._routers))
            cold, lane = self._routers[number]
            if cold.enter(lane, now_unix_s + self._skews_s[number]):
                self._sent_unix_s.append(now_unix_s)

    @property
    def served(self) -> int:
        """Requests that the cold server got."""
        return len(self._sent_unix_s)

    @property
    def busiest(self) -> int:
        """The most requests that it got within any second."""
        return max(self._since(first_unix_s) for first_unix_s in self._sent_unix_s)

    def _since(self, first_unix_s: float) -> int:
        sent = [one for one in self._sent_unix_s if one >= first_unix_s]
        return sum(one < first_unix_s + SECOND_S for one in sent)

    def _router(
        self, policy: str, known: Known, name: str, names: list[str]
    ) -> tuple[ColdStarts, Lane]:
        cold = ColdStarts(policy, known, name)
        # One in twenty of the others is unknown: it started just now, or left its entry.
        heard = [other for other in names if self._random.random() >= UNKNOWN_SHARE]
        cold.routers = {name, *heard}
        cold.settled = True
        return cold, Lane(SERVER)


class WarmServer:
    """One router's requests to a server that is not cold."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        known = Known()
        service = Service('engines', 0, 9, 0, COLD_S, PER_S)
        known.declare(Declared(1, (), (service,), ()), b'', 'x')
        known.server(SERVER._replace(cold_until_unix_s=0), 'test')
        self.lane = Lane(SERVER)
        self.cold = ColdStarts('few_routers', known, 'router-0')
        self.now_unix_s = START_UNIX_S + 2 * COLD_S

    def play(self, per_s: int, seconds: int) -> None:
        """Send requests."""
        for _ in range(per_s * seconds):
            self.now_unix_s += 1 / per_s
            assert self.cold.enter(self.lane, self.now_unix_s)
