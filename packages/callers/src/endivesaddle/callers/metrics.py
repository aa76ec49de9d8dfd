"""The metrics of the HTTP interface, exported together with a router's counters."""

import contextlib
import re
from collections.abc import Iterator, Sequence

from aioprometheus import Counter, Gauge, Registry, render

_PREFIX = 'endivesaddle_'
_NOT_IN_NAMES = re.compile('[^a-z0-9_]+')


class Metrics:
    """Counters of callers' requests and their answers."""

    def __init__(self) -> None:
        """Initialize the counters in a separate registry."""
        self._registry = Registry()
        self._answers = self._counter('caller_answers_total', 'Answers to callers by HTTP status.')
        self._refusals = self._counter('caller_refusals_total', 'Refused requests, by code.')
        self._ends = self._counter(
            'caller_ends_total', 'Ends of relayed answers: whole, broken, gone.'
        )
        self._open_count = 0
        self._counters: dict[str, Gauge] = {}

    @property
    def open_count(self) -> int:
        """The number of callers' requests that are open."""
        return self._open_count

    @contextlib.contextmanager
    def open_request(self) -> Iterator[None]:
        """Count a request as open during the block."""
        self._open_count += 1
        try:
            yield
        finally:
            self._open_count -= 1

    def answered(self, status: int) -> None:
        """Count the head of an answer."""
        self._answers.inc({'status': str(status)})

    def refused(self, code: str) -> None:
        """Count a refused request."""
        self._refusals.inc({'code': code})

    def ended(self, end: str) -> None:
        """Count the end of a request: whole, broken or gone."""
        self._ends.inc({'end': end})

    def rendered(
        self, counters: dict[str, float], accepted: Sequence[str]
    ) -> tuple[bytes, dict[str, str]]:
        """Return all metrics and the router's ``counters`` as text, and the HTTP headers."""
        shown = {'caller_requests_open': float(self._open_count), **counters}
        for name, number in shown.items():
            self._gauge(name).set({}, number)
        return render(self._registry, accepted)

    def _gauge(self, name: str) -> Gauge:
        if name not in self._counters:
            metric = _PREFIX + _NOT_IN_NAMES.sub('_', name)
            self._counters[name] = Gauge(metric, 'State of the router.', registry=self._registry)
        return self._counters[name]

    def _counter(self, name: str, meaning: str) -> Counter:
        return Counter(_PREFIX + name, meaning, registry=self._registry)
