"""The overload of one router: its level, its place in the rotation, and what it admits.

No I/O: measurements, reports and requests are passed in with their time.
"""

from collections.abc import Callable
from http import HTTPStatus
from random import Random
from typing import Any, NamedTuple

from endivesaddle.fleet.overload import events
from endivesaddle.fleet.overload.byte_bucket import LOWEST_RANK, ByteBucket
from endivesaddle.fleet.overload.closing import CloseSchedule
from endivesaddle.fleet.overload.level import Level, LevelDecision, Measured
from endivesaddle.fleet.overload.read_rate import ReadRate
from endivesaddle.fleet.overload.reports import MAX_PRESSURE, PERCENT, OverloadReports
from endivesaddle.fleet.overload.rotation import RotationDecision
from endivesaddle.fleet.overload.settings import OverloadSettings
from endivesaddle.fleet.overload.traffic import CallerConnection, Traffic
from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal

BOTH_DIRECTIONS = 2
HEAD_BYTES = 400
"""Typical head of a request and of a response.  Failure: costs without heads and packets were half
of what streams of small events take, and a processor-bound router rejected nothing."""
MOSTLY_READ = 0.4
"""Share of the bytes that come in from which on rejecting requests frees too little of the link."""
FIRST_RESPONSE_BYTES = 4096
"""Expected response of a route that has not answered yet."""
LEARNED = 0.1
"""Weight of the newest response in the expected one, so that it follows about ten responses."""
OTHER_ROUTER_RETRY_S = 0.05
"""A new connection reaches another router at once; the jitter of up to twice this spreads the
callers that were rejected together."""
OTHER_ROUTER_JITTER_S = 0.1
LEAST_RETRY_S = 0.5
RETRY_SPAN_S = 0.5
"""With all routers overloaded the most urgent callers come back first, the last after 1 s: the
queues of half a second have drained by then."""


class Arrival(NamedTuple):
    """A request as it was read; ``rank`` 0 is the most urgent."""

    request_id: str
    route: str
    rank: int
    body_bytes: int
    goal_s: float


class Overload:
    """The overload of one router; ``reports`` has its own and the others'."""

    def __init__(
        self, settings: OverloadSettings, reports: OverloadReports, random: Random
    ) -> None:
        """Initialize at the level normal, in the rotation."""
        self.reports = reports
        self.traffic = Traffic()
        self.rotation = RotationDecision()
        self.closing = CloseSchedule()
        self.bucket = ByteBucket(settings.link_bytes_per_s)
        self.listeners: list[Callable[[], None]] = []
        self.counts = {'overload_rejected': 0, 'overload_connections_closed': 0}
        self.measured = Measured(0.0, 0.0, 1.0)
        self.levels = LevelDecision()
        self._response_bytes: dict[str, float] = {}
        self._read = ReadRate()
        self._mostly_reads = False
        self._random = random

    @property
    def level(self) -> Level:
        """The current level."""
        return self.levels.level

    def update(self, measured: Measured, **inputs: float) -> None:
        """Take a measurement and run the actions; ``inputs`` are logged with a change."""
        before = self.reports.own
        previous = self.level
        self.measured = measured
        self._mostly_reads = self._reads_mostly(measured)
        level = self.levels.update(measured)
        if level is not previous:
            self._log_level(previous, inputs)
        if previous is Level.NORMAL and level is not Level.NORMAL:
            self.bucket.start(measured)
        elif level < previous:
            self.bucket.halve()
        for name in overload_actions:
            overload_actions.find(name)(self, measured)
        announced = self.rotation.announced_unix_s is not None
        pressure = self.rotation.pressure if announced else _percent(measured)
        own = before._replace(level=level, pressure=pressure, out=self.rotation.out)
        self.reports.own = own
        if (before.level, before.out) != (own.level, own.out):
            for listener in self.listeners:
                listener()

    def admit(self, arrival: Arrival, now_unix_s: float) -> Refusal | None:
        """Return the refusal of a request, or None if it is admitted; called before it is sent."""
        read_bytes = arrival.body_bytes + HEAD_BYTES
        self._read.record(read_bytes, now_unix_s)
        if self.level is Level.NORMAL:
            return None
        others_have_capacity = self.reports.others_have_capacity(now_unix_s)
        # The router's delay is met twice, on the way to the server and back.
        late = BOTH_DIRECTIONS * self.measured.delay_s > arrival.goal_s
        cost_bytes = BOTH_DIRECTIONS * (read_bytes + self._expected(arrival.route))
        admitted = self._mostly_reads or self.bucket.admit(cost_bytes, arrival.rank, now_unix_s)
        if admitted and not (late and others_have_capacity):
            return None
        self.bucket.charge(read_bytes)
        self.counts['overload_rejected'] += 1
        return self._refusal(arrival, others_have_capacity)

    def responded(self, route: str, sent_bytes: int) -> None:
        """Learn the size of a route's responses, with the overhead of their packets."""
        expected = self._response_bytes.get(route, sent_bytes)
        self._response_bytes[route] = expected + LEARNED * (sent_bytes - expected)

    def closes(self, connection: CallerConnection) -> bool:
        """Tell whether a response that begins now is the last one on its connection."""
        if not connection.closing:
            return False
        self.counts['overload_connections_closed'] += 1
        return True

    def counters(self) -> dict[str, float]:
        """Return the numbers for operators."""
        own = self.reports.own
        return {
            'overload_level': int(own.level),
            'overload_pressure': own.pressure,
            'overload_out': int(own.out),
            'overload_malformed': self.reports.malformed_count,
            **self.counts,
        }

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        return {
            'measured': self.measured._asdict(),
            'own': self.reports.own._asdict(),
            'others': [one._asdict() for one in self.reports.others(0).reports],
            'verdict': self.rotation.verdict._asdict(),
            'rate_bytes_per_s': round(self.bucket.rate),
            'bucket_bytes': round(self.bucket.level),
            'response_bytes': {name: round(one) for name, one in self._response_bytes.items()},
        }

    def _reads_mostly(self, measured: Measured) -> bool:
        """Tell whether most of what comes in are requests: rejecting them would free little.

        Failure: a router whose link was full of prompts rejected all of them, and the retries of
        their callers kept it full.
        """
        received_per_s = measured.bytes_per_s / BOTH_DIRECTIONS
        return self._read.per_s(measured.now_unix_s) > MOSTLY_READ * received_per_s

    def _expected(self, route: str) -> float:
        return HEAD_BYTES + self._response_bytes.get(route, FIRST_RESPONSE_BYTES)

    def _refusal(self, arrival: Arrival, others_have_capacity: bool) -> Refusal:
        if others_have_capacity:
            retry_s = OTHER_ROUTER_RETRY_S + OTHER_ROUTER_JITTER_S * self._random.random()
        else:
            urgency = (min(arrival.rank, LOWEST_RANK) + self._random.random()) / (LOWEST_RANK + 1)
            retry_s = LEAST_RETRY_S + RETRY_SPAN_S * urgency
        return Refusal(
            'router_overloaded',
            f'this router is overloaded ({self.level.name.lower()}): '
            f'it adds {self.measured.delay_s:.3f} s, rank {arrival.rank}',
            NOT_RUN,
            HTTPStatus.SERVICE_UNAVAILABLE,
            round(retry_s, 3),
        )

    def _log_level(self, previous: Level, inputs: dict[str, float]) -> None:
        events.LEVEL.log(
            router=self.reports.own.incarnation,
            level=self.level.name.lower(),
            previous=previous.name.lower(),
            delay_s=round(self.measured.delay_s, 4),
            tolerated_s=round(self.measured.tolerated_s, 4),
            link_share=round(self.measured.link_share, 3),
            bytes_per_s=round(self.measured.bytes_per_s),
            **inputs,
        )


Action = Callable[[Overload, Measured], None]
"""Called after each measurement, at every level."""

overload_actions: Registry[Action] = Registry('overload action')


def _percent(measured: Measured) -> int:
    return min(MAX_PRESSURE, int(PERCENT * measured.pressure))
