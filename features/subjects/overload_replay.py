"""Subject: routers with narrow links, their callers and the balancer, in virtual time.

Transfers queue in order at each direction of a router's link.  A client keeps one connection; the
balancer chooses its router among those that it holds for ready, by a hash of the client.
"""

import heapq
import itertools
import statistics
from collections import deque
from collections.abc import Callable
from functools import partial
from random import Random
from typing import NamedTuple

from endivesaddle.fleet.overload import actions  # noqa: F401 (registers the actions)
from endivesaddle.fleet.overload.level import Measured
from endivesaddle.fleet.overload.overload import HEAD_BYTES, Arrival, Overload
from endivesaddle.fleet.overload.reports import OverloadReports
from endivesaddle.fleet.overload.settings import SHED, OverloadSettings
from endivesaddle.fleet.overload.traffic import CallerConnection
from endivesaddle.wire import routers_pb2

LINK_MBPS = 10.0
LINK_BYTES_PER_S = LINK_MBPS * 1e6 / 8
TOLERATED_S = 0.03
GOAL_S = 0.12
DEADLINE_S = 0.6
SERVER_S = 0.011
RANKS = (0, 2, 5)
WINDOW_S = 0.5


class Load(NamedTuple):
    """Clients by router, requests of one client in a second, and sizes."""

    clients: tuple[int, ...]
    per_s: float
    body_bytes: int
    response_bytes: int


class Link:
    """One direction of a link."""

    def __init__(self) -> None:
        """Initialize as idle."""
        self.free_s = 0.0
        self.carried: deque[tuple[float, int]] = deque()

    def send(self, now_s: float, size_bytes: int) -> float:
        """Return when bytes that are sent now have passed."""
        self.free_s = max(now_s, self.free_s) + size_bytes / LINK_BYTES_PER_S
        self.carried.append((self.free_s, size_bytes))
        return self.free_s

    def delay_s(self, now_s: float) -> float:
        """Return the delay of a packet that is sent now."""
        return max(0.0, self.free_s - now_s)

    def per_s(self, now_s: float) -> float:
        """Return the bytes per second that passed within the window."""
        while self.carried and self.carried[0][0] < now_s - WINDOW_S:
            self.carried.popleft()
        return sum(size for at_s, size in self.carried if at_s <= now_s) / WINDOW_S


class Router:
    """A router with its link; ``overload`` is consulted only if ``policy`` is on."""

    def __init__(self, name: str, policy: bool, known_link: bool, seed: int) -> None:
        """Initialize as idle."""
        self.policy = policy
        self.inward = Link()
        self.outward = Link()
        self.delays: deque[float] = deque(maxlen=5)
        settings = OverloadSettings(SHED, LINK_MBPS if known_link else 0)
        self.overload = Overload(settings, OverloadReports(name, 'porto-a'), Random(seed))
        self.known_link = known_link
        self.misses = 0

    @property
    def ready(self) -> bool:
        """Whether the balancer gives it new connections: it removes after two misses."""
        return self.misses < 2

    def sample(self, now_s: float) -> None:
        """Take the delay of a call that begins now, and a measurement."""
        self.delays.append(self.inward.delay_s(now_s) + self.outward.delay_s(now_s))
        rates = self.inward.per_s(now_s), self.outward.per_s(now_s)
        share = max(rates) / LINK_BYTES_PER_S if self.known_link else 0.0
        delay_s = statistics.median(self.delays)
        self.overload.update(Measured(now_s, delay_s, TOLERATED_S, share, sum(rates)))


class Client:
    """A client with one kept connection."""

    def __init__(self, number: int, home: int) -> None:
        """Initialize; its hash among all routers gives ``home``."""
        self.number = number
        self.home = home
        self.router: int | None = None
        self.connection = CallerConnection()


class Answer(NamedTuple):
    """A request's home router, its beginning and whether it was answered on time."""

    home: int
    began_s: float
    on_time: bool


class OverloadReplay:
    """All routers and clients; ``run`` returns the requests."""

    def __init__(self, load: Load, seed: int, policy: bool = True, known_link: bool = True) -> None:
        """Initialize as idle."""
        self._random = Random(seed)
        self._load = load
        self.routers = [
            Router(f'router-{number}', policy, known_link, seed)
            for number in range(len(load.clients))
        ]
        homes = [home for home, count in enumerate(load.clients) for _ in range(count)]
        self._clients = [Client(number, home) for number, home in enumerate(homes)]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = itertools.count()
        self.began: list[tuple[int, float]] = []
        self.answers: list[Answer] = []
        self.most_out = 0
        self.first_out_s = 0.0

    def run(self, seconds: float) -> list[Answer]:
        """Play the load, which begins at 0."""
        for client in self._clients:
            self._next_request(client, 0.0)
        for router in self.routers:
            self._start(router)
        while self._events and self._events[0][0] < seconds:
            at_s, _, event = heapq.heappop(self._events)
            event(at_s)
        return self.answers

    def _at(self, at_s: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._number), event))

    def _every(self, period_s: float, event: Callable[[float], None]) -> None:
        def again(at_s: float) -> None:
            event(at_s)
            self._at(at_s + period_s, again)

        self._at(period_s * self._random.random(), again)

    def _start(self, router: Router) -> None:
        """Measure, probe and report at times of its own."""
        self._every(0.1, partial(self._tick, router))
        self._every(1.0, partial(self._probe, router))
        self._every(0.25, partial(self._report, router))

    def _tick(self, router: Router, now_s: float) -> None:
        router.sample(now_s)
        out = sum(one.overload.rotation.out for one in self.routers)
        self.most_out = max(self.most_out, out if router.policy else 0)
        if out and not self.first_out_s:
            self.first_out_s = now_s

    def _probe(self, router: Router, _: float) -> None:
        router.overload.rotation.probed()
        failed = router.policy and router.overload.rotation.out
        router.misses = router.misses + 1 if failed else 0

    def _report(self, router: Router, now_s: float) -> None:
        reports = router.overload.reports
        word = routers_pb2.Word(lifetime=reports.own.incarnation)
        reports.add_to(word)
        delay_s = router.outward.delay_s(now_s)
        self._at(now_s + delay_s, partial(self._deliver, word))

    def _deliver(self, word: routers_pb2.Word, now_s: float) -> None:
        for router in self.routers:
            router.overload.reports.note(word, now_s)

    def _next_request(self, client: Client, now_s: float) -> None:
        at_s = now_s + self._random.expovariate(self._load.per_s)
        self._at(at_s, lambda begin_s: self._request(client, begin_s))

    def _request(self, client: Client, now_s: float) -> None:
        self._next_request(client, now_s)
        if client.router is None:
            client.router = self._balance(client)
            client.connection = CallerConnection()
            self.routers[client.router].overload.traffic.callers.add(client.connection)
        client.connection.requests += 1
        self.began.append((client.home, now_s))
        self._send(client, client.router, now_s, now_s)

    def _balance(self, client: Client, other_than: int | None = None) -> int:
        ready = [
            one for one, router in enumerate(self.routers) if router.ready and one != other_than
        ]
        if client.home in ready and len(ready) == len(self.routers):
            return client.home
        return ready[Random(f'{client.number}/{other_than}').randrange(len(ready))]

    def _send(self, client: Client, number: int, began_s: float, now_s: float) -> None:
        read_s = self.routers[number].inward.send(now_s, HEAD_BYTES + self._load.body_bytes)
        self._at(read_s, lambda at_s: self._admit(client, number, began_s, at_s))

    def _admit(self, client: Client, number: int, began_s: float, now_s: float) -> None:
        router = self.routers[number]
        rank = RANKS[client.number % len(RANKS)]
        arrival = Arrival('', 'r', rank, self._load.body_bytes, GOAL_S)
        refusal = router.overload.admit(arrival, now_s) if router.policy else None
        if refusal is None:
            sent_s = router.outward.send(now_s, HEAD_BYTES + self._load.body_bytes)
            self._at(sent_s + SERVER_S, lambda at_s: self._respond(client, number, began_s, at_s))
            return
        self._close(client, number)
        retry_s = router.outward.send(now_s, 300) + refusal.retry_after_s
        if number == client.router or client.router is None:
            if retry_s + GOAL_S < began_s + DEADLINE_S:
                other = self._balance(client, number)
                self._at(retry_s, lambda at_s: self._send(client, other, began_s, at_s))
                return
        self.answers.append(Answer(client.home, began_s, on_time=False))

    def _respond(self, client: Client, number: int, began_s: float, now_s: float) -> None:
        router = self.routers[number]
        router.overload.responded('r', self._load.response_bytes)
        read_s = router.inward.send(now_s, HEAD_BYTES + self._load.response_bytes)
        self._at(read_s, lambda at_s: self._answer(client, number, began_s, at_s))

    def _answer(self, client: Client, number: int, began_s: float, now_s: float) -> None:
        done_s = self.routers[number].outward.send(now_s, HEAD_BYTES + self._load.response_bytes)
        self._close(client, number)
        self.answers.append(Answer(client.home, began_s, done_s <= began_s + DEADLINE_S))

    def _close(self, client: Client, number: int) -> None:
        """End the client's connection where its router says so."""
        router = self.routers[number]
        if client.router == number and router.policy and client.connection.closing:
            router.overload.traffic.callers.discard(client.connection)
            client.router = None
