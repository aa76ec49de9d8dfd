"""What the routers of a data centre report to each other about their overload."""

from collections.abc import Container

from endivesaddle.fleet.overload import events
from endivesaddle.fleet.overload.level import Level
from endivesaddle.fleet.overload.rotation import FRESH_S, Others, RouterReport
from endivesaddle.wire import routers_pb2

MAX_PRESSURE = 10_000
"""Pressure is reported in percent; a delay of 100 times the tolerated one is none more."""
PERCENT = 100
LATE_S = 0.5
"""A report may come so much later than the interval between reports."""


class OverloadReports:
    """This router's report and the last ones of the other routers of its data centre."""

    def __init__(self, incarnation: str, data_centre: str) -> None:
        """Initialize as normal, without reports of others."""
        self.own = RouterReport(incarnation, Level.NORMAL, 0, False, 0.0)
        self.data_centre = data_centre
        self.malformed_count = 0
        self.interval_s = 0.0
        self._others: dict[str, RouterReport] = {}

    @property
    def awaited(self) -> bool:
        """Whether this router is overloaded and needs the others' reports to leave the rotation."""
        return self.own.level is not Level.NORMAL and not self.own.out

    def add_to(self, word: routers_pb2.Word) -> None:
        """Add this router's overload to a report."""
        word.overload = self.own.level
        word.overload_pressure = self.own.pressure
        word.data_centre = self.data_centre
        word.out_of_rotation = self.own.out

    def note(self, word: routers_pb2.Word, now_unix_s: float) -> None:
        """Store another router's report; routers without this part report no data centre."""
        if word.data_centre != self.data_centre or word.lifetime == self.own.incarnation:
            return
        if word.overload > Level.CLOSED or word.overload_pressure > MAX_PRESSURE:
            self._reject(word)
            return
        self._others[word.lifetime] = RouterReport(
            word.lifetime,
            Level(word.overload),
            word.overload_pressure,
            word.out_of_rotation or word.leaving,
            now_unix_s,
        )

    def others(self, now_unix_s: float) -> Others:
        """Return the last reports of the others, also old ones."""
        return Others(list(self._others.values()), now_unix_s - self._recent_s())

    def retain(self, live: Container[str], now_unix_s: float) -> None:
        """Drop the reports of routers that are neither live by the store nor heard recently."""
        self._others = {
            name: report
            for name, report in self._others.items()
            if name in live or now_unix_s - report.heard_unix_s <= self._recent_s()
        }

    def others_have_capacity(self, now_unix_s: float) -> bool:
        """Tell whether another router recently reported that it is not overloaded."""
        return any(
            report.level is Level.NORMAL
            and not report.out
            and now_unix_s - report.heard_unix_s <= self._recent_s()
            for report in self._others.values()
        )

    def _recent_s(self) -> float:
        # With more than 40 routers, each exchanges reports less often than once a second.
        return max(FRESH_S, self.interval_s + LATE_S)

    def _reject(self, word: routers_pb2.Word) -> None:
        self.malformed_count += 1
        if self.malformed_count == 1:
            events.MALFORMED.log(
                router=word.lifetime, level=word.overload, pressure=word.overload_pressure
            )
