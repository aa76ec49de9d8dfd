"""Subject: the dispatchers of several routers under one load, in virtual time.

An engine prefills one prompt after the other.  Named as the source of a part, another engine gives
a copy of it if it has processed it.  Routers report to each other twice a second, and ask the
sidecars beside the engines.
"""

import heapq
from collections import Counter
from collections.abc import Iterator, Sequence
from itertools import chain, count
from random import Random
from typing import Any

from endivesaddle.fleet.routes.declared import (
    Declarations,
    Repeat,
    Route,
    RouteServer,
    Service,
    Target,
)
from endivesaddle.fleet.routes.forwarded import ForwardRequest
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routing.backends import Backend
from endivesaddle.fleet.routing.dispatcher import Dispatcher, Placement
from endivesaddle.fleet.routing.engine_admission import EngineAdmission
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.fleet.routing.sent_parts import SentPart
from subjects.placing_desks import SidecarCalls

ENGINES = 25
ROUTERS = 11
USUAL_PER_S = 200
SECONDS = 4.0
SUBJECTS = 60
HOT_SHARE = 1 / 3
SHARED_TOKENS = 4870
OWN_TOKENS = (500, 4000)
PREFILL_TOKENS_PER_S = 120_000.0
PROMPT_S = 0.003
RUNNING_S = 0.3
FETCH_S = 0.003
CACHED_S = 20.0
REPORT_S = 0.5
KNOWN_S = REPORT_S + 0.1
"""By then all routers know where a part was sent, and that it is processed there."""
GOAL_S = 0.25
ENGINE_SERVICE = Service('engines', 100, 9, 575_849, token_bytes=35_136, transfer_mbps=1_500_000.0)
ROUTE = Route('r', 'h', '/', Repeat.STREAMED, 15_000, 250, 1, (Target('engines', 1),))


class ReplayClock:
    """The time of a replay."""

    now_unix_s = 1000.0

    def now_s(self) -> float:
        """Return the time."""
        return self.now_unix_s


class ReplayEngine:
    """One engine, ``slowness`` times as slow as usual."""

    def __init__(self, slowness: float) -> None:
        """Initialize idle, with an empty cache."""
        self.slowness = slowness
        self.free_unix_s = 0.0
        self._ready_unix_s: dict[str, float] = {}

    def has(self, part: str, now_unix_s: float) -> bool:
        """Return whether a part is processed and not evicted."""
        return 0 <= now_unix_s - self._ready_unix_s.get(part, -CACHED_S) < CACHED_S

    def process(
        self, request: ForwardRequest, source: 'ReplayEngine | None', now_unix_s: float
    ) -> int:
        """Process a prompt until ``free_unix_s``; return the shared tokens that are prefilled."""
        start_unix_s = max(now_unix_s, self.free_unix_s)
        shared, own = request.parts
        prefilled = 0 if self.has(shared[0], start_unix_s) else shared[1]
        if prefilled and source is not None and source.has(shared[0], start_unix_s):
            prefilled = 0
            start_unix_s += FETCH_S
        prefill_s = PROMPT_S + (prefilled + own[1]) / PREFILL_TOKENS_PER_S
        self.free_unix_s = start_unix_s + prefill_s * self.slowness
        self._ready_unix_s[shared[0]] = self.free_unix_s
        return prefilled


class PlacementReplay:
    """One load on routers with the same settings; ``slowness`` is that of every third engine."""

    def __init__(self, settings: ForwardSettings, seed: int, slowness: float = 1.0) -> None:
        """Initialize idle."""
        self.count = 0
        self.late = 0
        self.again_tokens = 0
        self.reported_again_tokens = 0
        self._clock = ReplayClock()
        self._random = Random(seed)
        self._engines = {
            f'life-{n}': ReplayEngine(slowness if n % 3 == 2 else 1.0) for n in range(ENGINES)
        }
        self._servers = {
            name: RouteServer(name, 'engines', f'{name}:1', 'one', 64) for name in self._engines
        }
        self.admissions = {name: EngineAdmission() for name in self._engines}
        self.report_count = 0
        self._dispatchers = [self._dispatcher(settings, n) for n in range(ROUTERS)]
        self._reported = {number: 0 for number in range(ROUTERS)}
        self._due: list[tuple[float, int, Any]] = []
        self._order = count()

    @property
    def now_unix_s(self) -> float:
        """The time."""
        return self._clock.now_unix_s

    def play(self, factor: float) -> None:
        """Send ``factor`` times the usual load, at random times to random routers."""
        end_unix_s = self._clock.now_unix_s + SECONDS
        self._at(self._clock.now_unix_s, self._report)
        while self._clock.now_unix_s < end_unix_s:
            gap_s = self._random.expovariate(USUAL_PER_S * factor)
            self._run_until(self._clock.now_unix_s + gap_s)
            self._send(self._random.choice(self._dispatchers))

    def _send(self, dispatcher: Dispatcher) -> None:
        request = self._request()
        placement = finished(dispatcher.place(request, frozenset()))
        now_unix_s = self._clock.now_unix_s
        engine = self._engines[placement.backend.server.lifetime]
        source = self._engines[placement.source.server.lifetime] if placement.source else None
        part = request.parts[0][0]
        cached = any(one.has(part, now_unix_s) for one in self._engines.values())
        reported = any(one.has(part, now_unix_s - KNOWN_S) for one in self._engines.values())
        tokens = engine.process(request, source, now_unix_s)
        self.again_tokens += tokens * cached
        self.reported_again_tokens += tokens * reported
        placement.start()
        self.count += 1
        self.late += engine.free_unix_s - now_unix_s > GOAL_S
        self._at(engine.free_unix_s, placement.first_event)
        self._at(engine.free_unix_s + RUNNING_S, lambda: placement.finish(True))

    def _report(self) -> None:
        """Tell each router what the others have in flight and where they sent parts."""
        self._at(self._clock.now_unix_s + REPORT_S, self._report)
        sent = [self._newly_sent(number) for number in range(ROUTERS)]
        requests: Counter[str] = Counter()
        tokens: Counter[str] = Counter()
        for backend in self._backends():
            requests[backend.server.lifetime] += backend.own_in_flight
            tokens[backend.server.lifetime] += backend.own_prefilling_tokens
        for number, dispatcher in enumerate(self._dispatchers):
            for part in chain(*sent[:number], *sent[number + 1 :]):
                backends = dispatcher.backends
                backends.of(self._servers[part.server]).add_parts([part.part], self.now_unix_s)
            loads = {
                one.server.lifetime: (
                    requests[one.server.lifetime] - one.own_in_flight,
                    tokens[one.server.lifetime] - one.own_prefilling_tokens,
                )
                for one in dispatcher.backends.all()
            }
            dispatcher.backends.apply_reports(loads, self.now_unix_s)

    def _newly_sent(self, number: int) -> Sequence[SentPart]:
        sent_parts = self._dispatchers[number].sent_parts
        newly_sent = sent_parts.since(self._reported[number])
        self._reported[number] = sent_parts.count
        return newly_sent

    def _backends(self) -> Iterator[Backend]:
        for dispatcher in self._dispatchers:
            yield from dispatcher.backends.all()

    def _dispatcher(self, settings: ForwardSettings, number: int) -> Dispatcher:
        routing_state = RoutingState()
        routing_state.declare(Declarations(1, (ROUTE,), (ENGINE_SERVICE,), ()), b'', 'test')
        for server in self._servers.values():
            routing_state.update_server(server, 'test')
        dispatcher = Dispatcher(settings, routing_state, self._clock, str(number))
        dispatcher.admission = SidecarCalls(self, number)
        return dispatcher

    def _request(self) -> ForwardRequest:
        hot = self._random.random() < HOT_SHARE
        subject = f's{0 if hot else self._random.randrange(SUBJECTS)}'
        own_tokens = self._random.randint(*OWN_TOKENS)
        return made_request(str(next(self._order)), subject, SHARED_TOKENS, own_tokens)

    def _at(self, unix_s: float, act: Any) -> None:
        heapq.heappush(self._due, (unix_s, next(self._order), act))

    def _run_until(self, unix_s: float) -> None:
        while self._due and self._due[0][0] <= unix_s:
            due_unix_s, _, act = heapq.heappop(self._due)
            self._clock.now_unix_s = due_unix_s
            act()
        self._clock.now_unix_s = unix_s


def made_request(key: str, subject: str, shared_tokens: int, own_tokens: int) -> ForwardRequest:
    """Return a request with one shared part."""
    parts = ((subject, shared_tokens), (f'own-{key}', own_tokens))
    prompt_tokens = shared_tokens + own_tokens
    return ForwardRequest(
        key, ROUTE, None, 'POST', '/', (), b'', 1e12, 1e12, prompt_tokens, 100, parts, -1, 0.0
    )


def finished(placing: Any) -> Placement:
    """Run a placement; its calls to sidecars are answered at once."""
    try:
        placing.send(None)
    except StopIteration as done:
        assert isinstance(done.value, Placement), done.value
        return done.value
    raise AssertionError('the placement waits')


def replays(settings: ForwardSettings, factor: float, slowness: float) -> Iterator[PlacementReplay]:
    """Play one load with five seeds."""
    for seed in range(5):
        replay = PlacementReplay(settings, seed, slowness)
        replay.play(factor)
        yield replay
