"""Subject: the decisions of an overloaded router, its measurements and its reports."""

import heapq
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

import anyio

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.errors import PeerNoReply
from endivesaddle.fleet.overload import actions  # noqa: F401 (registers the actions)
from endivesaddle.fleet.overload.level import Level, LevelDecision, Measured
from endivesaddle.fleet.overload.overload import Arrival, Overload
from endivesaddle.fleet.overload.own_calls import OwnCalls
from endivesaddle.fleet.overload.reports import OverloadReports
from endivesaddle.fleet.overload.rotation import RotationDecision
from endivesaddle.fleet.overload.settings import SHED, OverloadSettings
from endivesaddle.fleet.sentinels import Refusal
from endivesaddle.wire import routers_pb2, rpcs
from subjects.links_loop import ScenarioLoop
from subjects.logged_events import LoggedEvents
from subjects.overload_replay import DEADLINE_S, Load, OverloadReplay
from subjects.update_fleet import UpdateFleet

TICK_S = 0.1
START_S = 1000.0
RUN_S = 10
BURST_RANKS = (0, 5, 9)
CLOSED_S = 0.5
READS = 50


class Levels:
    """A level decision, and its changes with the seconds since the delay changed first."""

    def __init__(self) -> None:
        """Start at normal."""
        self.changes: list[tuple[str, float]] = []
        self._decision = LevelDecision()
        self._ticks = 0
        self._began = 0

    def measure(
        self, seconds: float, delay_s: Callable[[int], float], link_share: float = 0.0
    ) -> None:
        """Measure the delay, given by the number of the measurement."""
        if not self.changes:
            self._began = self._ticks
        for number in range(round(seconds / TICK_S)):
            before = self._decision.level
            now_unix_s = START_S + self._ticks * TICK_S
            # The sums of tenths differ in their last digits, and periods are compared.
            measured = Measured(round(now_unix_s, 3), delay_s(number), 0.03, link_share)
            level = self._decision.update(measured)
            if level is not before:
                at_s = round((self._ticks - self._began) * TICK_S, 1)
                self.changes.append((level.name.lower(), at_s))
            self._ticks += 1


class Rotations:
    """Routers that all become closed within a second, and their reports to each other."""

    def __init__(self, count: int, partial_lists: bool, lost: float, seed: int) -> None:
        """Initialize; with ``partial_lists``, each router never hears one other."""
        self._random = Random(seed)
        self._lost = lost
        self._reports = [OverloadReports(f'router-{number}', 'porto-a') for number in range(count)]
        self._decisions = [RotationDecision() for _ in range(count)]
        self._closed_s = [START_S + 2 + self._random.random() for _ in range(count)]
        # The number of the router that each never hears; a distance of 0 means itself.
        far = [self._random.randrange(1, count) if partial_lists else 0 for _ in range(count)]
        self._unheard = [(number + distance) % count for number, distance in enumerate(far)]
        self._events: list[tuple[float, int, routers_pb2.Word | None]] = []
        for number in range(count):
            self._events.append((START_S + self._random.random() / 4, number, None))
        heapq.heapify(self._events)

    def most_out(self) -> int:
        """Return the greatest number of routers that are out within 20 s."""
        most = 0
        while self._events[0][0] < START_S + 20:
            now_s, number, word = heapq.heappop(self._events)
            if word is None:
                self._update(number, now_s)
                most = max(most, sum(one.out for one in self._decisions))
            else:
                self._reports[number].note(word, now_s)
        return most

    def _update(self, number: int, now_s: float) -> None:
        reports, decision = self._reports[number], self._decisions[number]
        level = Level.CLOSED if now_s >= self._closed_s[number] else Level.NORMAL
        own = reports.own._replace(level=level, pressure=self._random.randrange(100, 300))
        decision.update(own, reports.others(now_s), now_s)
        reports.own = own._replace(out=decision.out, pressure=decision.pressure)
        heapq.heappush(self._events, (now_s + self._random.uniform(0.08, 0.12), number, None))
        sent = routers_pb2.Word(lifetime=own.incarnation)
        reports.add_to(sent)
        for other, unheard in enumerate(self._unheard):
            if number not in {other, unheard} and self._random.random() >= self._lost:
                arrives_s = now_s + self._random.uniform(0.001, 0.2)
                heapq.heappush(self._events, (arrives_s, other, sent))


def alone() -> Counter[str]:
    """Return the names of the lines that a router logs which is overloaded for 20 s."""
    logged = LoggedEvents()
    reports = OverloadReports('router-0', 'porto-a')
    router = Overload(OverloadSettings(SHED), reports, Random(1))
    for number in range(200):
        router.update(Measured(START_S + number * TICK_S, 0.15, 0.03))
    logged.close()
    return logged.names()


class Share(NamedTuple):
    """The shares of requests answered on time, of the hot router's clients and the others'."""

    hot: float
    others: float
    out_s: float


def hot(load: Load, seed: int, policy: bool = True, known_link: bool = True) -> Share:
    """Replay a load with one hot router; shares are of the requests after 3 s."""
    replay = OverloadReplay(load, seed, policy, known_link)
    on_time = Counter(
        answer.home == 0 for answer in replay.run(RUN_S) if answer.on_time and 3 <= answer.began_s
    )
    last_s = RUN_S - DEADLINE_S
    began = Counter(home == 0 for home, began_s in replay.began if 3 <= began_s <= last_s)
    return Share(on_time[True] / began[True], on_time[False] / began[False], replay.first_out_s)


def goodput(times: float, seed: int, policy: bool) -> int:
    """Return the requests answered on time from 2 to 9 s, of 8 equal routers.

    Their links carry 104 requests a second.  Rejected bodies also pass a link, so they are small.
    """
    replay = OverloadReplay(Load((100,) * 8, 1.04 * times, 100, 11100), seed, policy)
    return sum(one.on_time and 2 <= one.began_s < 9 for one in replay.run(RUN_S))


def shedding_router() -> Overload:
    """Return a router at the level shedding, whose link is known."""
    reports = OverloadReports('router-0', 'porto-a')
    router = Overload(OverloadSettings(SHED, 10), reports, Random(1))
    for number in range(4):
        router.update(Measured(START_S + number * TICK_S + number / 1000, 0.04, 0.03, 0.8, 2e6))
    assert router.level is Level.SHEDDING
    return router


def close_unheard(heard_s: float) -> list[bool]:
    """Return whether a router is out at each update after it closed at 0.5 s, until 10 s."""
    reports = OverloadReports('router-0', 'porto-a')
    decision = RotationDecision()
    out = []
    for tick in range(100):
        now_s = tick * TICK_S
        if abs(now_s - heard_s) < TICK_S / 2:
            for number in range(1, 8):
                word = routers_pb2.Word(lifetime=f'router-{number}', data_centre='porto-a')
                reports.note(word, START_S + now_s)
        level = Level.SHEDDING if now_s < CLOSED_S else Level.CLOSED
        own = reports.own._replace(level=level, pressure=200, out=decision.out)
        decision.update(own, reports.others(START_S + now_s), START_S + now_s)
        if level is Level.CLOSED:
            out.append(decision.out)
    return out


def read_share(router: Overload, share: float) -> None:
    """Let requests be a share of the bytes that came in within the last second."""
    received_per_s = router.measured.bytes_per_s / 2
    for number in range(READS):
        arrival = Arrival(f'read-{number}', 'r', 9, int(share * received_per_s / READS), 1.0)
        router.admit(arrival, START_S - 0.7 + number / READS)
    measured = router.measured._replace(now_unix_s=START_S + 0.35)
    router.update(measured)


class Burst(NamedTuple):
    """The admitted requests by rank, and the refusals."""

    admitted: Counter[int]
    refusals: list[Refusal]


def burst(router: Overload, count: int, other_has_capacity: bool = False) -> Burst:
    """Ask for admission of requests of three ranks within a second."""
    admitted: Counter[int] = Counter()
    refusals = []
    began_s = START_S + 0.4
    if other_has_capacity:
        began_s += 2
        router.reports.note(routers_pb2.Word(lifetime='router-1', data_centre='porto-a'), began_s)
    for number in range(count):
        rank = BURST_RANKS[number % 3]
        arrival = Arrival(f'{number}', 'r', rank, 4000, 1.0)
        refusal = router.admit(arrival, began_s + number / count)
        if refusal is None:
            admitted[rank] += 1
        else:
            refusals.append(refusal)
    return Burst(admitted, refusals)


class Calls:
    """Calls of one router to four others, each 50 ms."""

    def __init__(self) -> None:
        """Start without calls."""
        self.delay_s = 0.002
        self.silent = 0

    async def call(self, address: str, _: Any, message: Any, deadline_unix_s: float) -> Any:
        """Answer after the delay, or not at all."""
        if int(address) < self.silent:
            await anyio.sleep(deadline_unix_s - LoopClock().now_s())
            raise PeerNoReply(address)
        await anyio.sleep(self.delay_s)
        return message

    def measured_s(self, link_idle: bool) -> float:
        """Make calls for two seconds and return the delay."""
        loop = ScenarioLoop()
        try:
            return float(loop.run(self._measure, link_idle))
        finally:
            loop.close()

    async def _measure(self, link_idle: bool) -> float:
        clock = LoopClock()
        calls: Any = OwnCalls(self, clock)  # type: ignore[arg-type]
        with anyio.move_on_after(2):
            async with anyio.create_task_group() as group:
                for address in '0123':
                    group.start_soon(self._repeat, calls, address, clock)
        return float(calls.delay_s(answered_only=link_idle))

    async def _repeat(self, calls: OwnCalls, address: str, clock: LoopClock) -> None:
        while True:
            try:
                await calls.call(address, rpcs.WORD, None, clock.now_s() + 0.4)
            except PeerNoReply:
                continue
            await anyio.sleep(0.05)


def malformed() -> tuple[OverloadReports, list[dict[str, Any]]]:
    """Pass a report with an unknown level in twice."""
    events = LoggedEvents()
    reports = OverloadReports('router-0', 'porto-a')
    word = routers_pb2.Word(lifetime='router-1', data_centre='porto-a', overload=7)
    reports.note(word, START_S)
    reports.note(word, START_S)
    events.close()
    return reports, events.fields('overload_report_ignored')


class ReportFleet(UpdateFleet):
    """Routers of one data centre that exchange reports through an aggregator."""

    def spread_s(self, times: int) -> list[float]:
        """Report that one router is out; return how long it took to reach all others."""
        return [float(self._loop.run(self._spread, number)) for number in range(times)]

    async def _start(self, routers: int) -> None:
        await super()._start(routers)
        self._reports = [OverloadReports(f'router-{one}', 'porto-a') for one in range(routers)]
        for router, reports in zip(self._routers, self._reports, strict=True):
            router.peer_routers.overload_reports = reports

    async def _spread(self, number: int) -> float:
        reports = self._reports[number]
        reports.own = reports.own._replace(level=Level.CLOSED, pressure=200, out=True)
        self._routers[number].peer_routers.report_now()
        began_unix_s = self._clock.now_s()
        others = [one for one in self._reports if one is not reports]
        while not all(_hears_out(one, reports) for one in others):
            await anyio.sleep(TICK_S / 2)
        return self._clock.now_s() - began_unix_s


def _hears_out(reports: OverloadReports, other: OverloadReports) -> bool:
    heard = reports.others(0).reports
    return other.own in [one._replace(heard_unix_s=0) for one in heard]
