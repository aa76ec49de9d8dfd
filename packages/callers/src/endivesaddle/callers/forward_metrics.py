"""Counters and latency histograms of forwarding, and the page that exports them."""

from collections.abc import Callable, MutableMapping
from http import HTTPStatus
from typing import Any

import msgspec
from aioprometheus import Counter, Gauge, Histogram, Registry, render

from endivesaddle.callers.exchange import Receive, Send, serve_lifespan
from endivesaddle.fleet.routes.failover_store import StoreCall

BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
"""From a tenth to about thirty times the latency goals of the declared routes."""

STORE_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
"""The store usually answers in 4 ms; polls take up to 2.7 s."""

State = Callable[[], dict[str, Any]]


class ForwardMetrics:
    """Metrics of forwarded requests, by kind of route and outcome."""

    def __init__(self, state: State) -> None:
        """Initialize; ``state`` is exported as gauges beside the counters, and as a dump."""
        self._registry = Registry()
        self._state = state
        self._answers = Counter(
            'endivesaddle_forward_answers_total',
            "Answers to callers by kind of route, status, and the router's own code.",
            registry=self._registry,
        )
        self._first = Histogram(
            'endivesaddle_forward_first_seconds',
            'Seconds until the first byte of an answer, by kind of route and status.',
            buckets=list(BUCKETS_S),
            registry=self._registry,
        )
        self._store = Histogram(
            'endivesaddle_store_seconds',
            'Seconds of calls to the store, by call, way (direct or relayed) and outcome.',
            buckets=list(STORE_BUCKETS_S),
            registry=self._registry,
        )
        self._gauges: dict[str, Gauge] = {}

    async def __call__(self, scope: MutableMapping[str, Any], receive: Receive, send: Send) -> None:
        """Serve one ASGI scope: the metrics, or the whole state under ``/state``."""
        if scope['type'] == 'lifespan':
            await serve_lifespan(receive, send)
            return
        if scope['path'] == '/state':
            body = msgspec.json.encode(self._state(), enc_hook=str)
            headers = {'content-type': 'application/json'}
        else:
            body, headers = self._rendered()
        pairs = [(name.lower().encode(), text.encode()) for name, text in headers.items()]
        pairs.append((b'content-length', str(len(body)).encode()))
        await send({'type': 'http.response.start', 'status': HTTPStatus.OK, 'headers': pairs})
        await send({'type': 'http.response.body', 'body': body})

    def answered(self, kind: str, status: int, code: str, elapsed_s: float) -> None:
        """Count the head of an answer; ``code`` is '' for the answer of a server."""
        self._answers.inc({'kind': kind, 'status': str(status), 'code': code})
        self._first.observe({'kind': kind, 'status': str(status)}, elapsed_s)

    def store_called(self, call: StoreCall) -> None:
        """Count one call to the store."""
        labels = {'call': call.name, 'way': call.path, 'outcome': call.outcome}
        self._store.observe(labels, call.duration_s)

    def _rendered(self) -> tuple[bytes, dict[str, str]]:
        for name, number in self._state()['counters'].items():
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = Gauge(
                    f'endivesaddle_{name}', 'State of the router.', registry=self._registry
                )
                self._gauges[name] = gauge
            gauge.set({}, number)
        return render(self._registry, ['text/plain'])
