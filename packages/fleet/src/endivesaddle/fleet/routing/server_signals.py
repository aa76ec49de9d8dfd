"""Signals that servers send in the headers of their responses.

An adapter names the header of each signal.  It is parsed here and recorded for this router or for
all routers.  Decisions use it when a server is chosen and, except for limits, again right before a
request is sent.  A header that is not a signal and not otherwise known is logged as unread.
"""

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routes.leaving_servers import ANSWER, LeavingIncarnation
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routing import forward_events as events
from endivesaddle.fleet.routing.backends import Backend

UNAVAILABLE = 503
YES = '1'


class SignalHeader(NamedTuple):
    """One signal of a response; ``text`` is empty if the response has no such header.

    ``sent_unix_s`` is when the request was sent, 0 for unknown.
    """

    text: str
    status: int
    sent_unix_s: float
    now_unix_s: float


Signal = Callable[[SignalHeader, Backend, RoutingState], None]

server_signals: Registry[Signal] = Registry('server signal')


@server_signals.add('leaving')
def leaving(header: SignalHeader, backend: Backend, routing_state: RoutingState) -> None:
    """Record for all routers that this incarnation of a server accepts no more requests."""
    if header.text.strip() == YES:
        routing_state.leaving_servers.add(
            LeavingIncarnation(backend.server.lifetime, backend.server.born_unix_ms), ANSWER
        )


@server_signals.add('retry_after')
def retry_after(header: SignalHeader, backend: Backend, routing_state: RoutingState) -> None:
    """Record for this router only that a server rejects requests for a while."""
    wait_s = parse_number(header.text) if header.status == UNAVAILABLE else None
    if wait_s:
        backend.rejecting_until_unix_s = header.now_unix_s + wait_s
        events.UNWANTED.log(server=backend.server.lifetime, wanted_in_s=round(wait_s, 3))


@server_signals.add('limit')
def limit(header: SignalHeader, backend: Backend, routing_state: RoutingState) -> None:
    """Record for all routers the requests per second that a server accepts from all of them."""
    if not header.text:
        routing_state.limits.withdrawn(
            backend.server.incarnation, header.sent_unix_s, header.now_unix_s
        )
        return
    per_s = parse_number(header.text)
    if per_s is not None:
        routing_state.limits.advertised(backend.server.incarnation, per_s, header.now_unix_s)


_SIGNALS = tuple((name, server_signals.find(name)) for name in server_signals)


def parse_number(text: str) -> float | None:
    """Parse a number that is not negative; return None for anything else.

    HTTP also allows a date for a time.  It is ignored, since the clock of a server may be wrong by
    more than the wait.
    """
    try:
        parsed = float(text)
    except ValueError:
        return None
    return parsed if math.isfinite(parsed) and parsed >= 0 else None


def apply_signals(
    texts: Mapping[str, str], header: SignalHeader, backend: Backend, routing_state: RoutingState
) -> None:
    """Record all signals of a response; ``texts`` maps the names of those present to values."""
    for name, signal in _SIGNALS:
        signal(header._replace(text=texts.get(name, '')), backend, routing_state)
