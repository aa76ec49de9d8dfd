"""What servers tell of themselves in the heads of their answers: one way for all of it.

An adapter names the header of each signal; here it is read, and noted for this router or for all of
them.  Decisions ask what was noted where servers are chosen, and but for limits again right before
a request is sent.  A header that is no signal and is not known otherwise is logged as unread.
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
    """One signal of an answer; ``text`` is empty where the answer has no such header.

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
    """Note for all routers that a server wants no more requests in this life."""
    if header.text.strip() == YES:
        routing_state.leaving_servers.add(
            LeavingIncarnation(backend.server.lifetime, backend.server.born_unix_ms), ANSWER
        )


@server_signals.add('retry_after')
def retry_after(header: SignalHeader, backend: Backend, routing_state: RoutingState) -> None:
    """Note for this router, to which it was said, that a server wants none for a while."""
    wanted_in_s = number(header.text) if header.status == UNAVAILABLE else None
    if wanted_in_s:
        backend.rejecting_until_unix_s = header.now_unix_s + wanted_in_s
        events.UNWANTED.log(server=backend.server.lifetime, wanted_in_s=round(wanted_in_s, 3))


@server_signals.add('limit')
def limit(header: SignalHeader, backend: Backend, routing_state: RoutingState) -> None:
    """Note for all routers how many requests a second a server takes from them together."""
    if not header.text:
        routing_state.limits.withdrawn(
            backend.server.incarnation, header.sent_unix_s, header.now_unix_s
        )
        return
    per_s = number(header.text)
    if per_s is not None:
        routing_state.limits.advertised(backend.server.incarnation, per_s, header.now_unix_s)


_ALL = tuple((name, server_signals.find(name)) for name in server_signals)


def number(text: str) -> float | None:
    """Read a number that is not negative; None for anything else.

    For a time HTTP allows a date, too: servers' clocks may be wrong by more than their dates say.
    """
    try:
        read = float(text)
    except ValueError:
        return None
    return read if math.isfinite(read) and read >= 0 else None


def apply_signals(
    texts: Mapping[str, str], header: SignalHeader, backend: Backend, routing_state: RoutingState
) -> None:
    """Note all signals of an answer; ``texts`` has those that it gives, by name."""
    for name, signal in _ALL:
        signal(header._replace(text=texts.get(name, '')), backend, routing_state)
