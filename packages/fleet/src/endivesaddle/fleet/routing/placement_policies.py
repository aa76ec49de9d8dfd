"""Place a forwarded request on a backend server: the policies, by name."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routing.backends import Backend, ForwardRoutingRequest
from endivesaddle.fleet.routing.rendezvous import weight

PREFILL_TOKENS_PER_MS = 120.0
"""Prompt tokens that an engine is taken to read in a millisecond."""
REQUEST_MS = 3.0
"""What a request under way adds to the first token of the next, beside its prompt."""
FAILURE_MS = 1500.0
"""A server that fails all requests looks as far away as one with this wait."""
FAR_MS = 8.0
"""A server in another data centre costs bytes, and its link may lose packets: it has to be better
by this."""
HOP_MS = 8.0
"""Another lane has to be better by this: asking there takes some 3 ms, and parts are left."""
HOME_TRUST = 0.3
"""How far a shared part is believed to lie at its home when no router told of it: mostly it
was never read, and the home keeps two routers from reading it at two servers at once."""


class PlacementContext(NamedTuple):
    """What a policy decides on: lanes that may be chosen, and the time."""

    request: ForwardRoutingRequest
    backends: Sequence[Backend]
    data_centre: str
    engine: bool
    now_unix_s: float
    turn: int


PlacementPolicy = Callable[[PlacementContext], Backend]

placement_policies: Registry[PlacementPolicy] = Registry('placement policy')


@placement_policies.add('round_robin')
def round_robin(context: PlacementContext) -> Backend:
    """Take the servers in turn, as a baseline."""
    return context.backends[context.turn % len(context.backends)]


@placement_policies.add('least_outstanding')
def least_outstanding(context: PlacementContext) -> Backend:
    """Take the server with the fewest requests, as a baseline."""
    return min(context.backends, key=lambda backend: backend.in_flight)


@placement_policies.add('prefix_hash')
def prefix_hash(context: PlacementContext) -> Backend:
    """Take the home of the last shared part, whatever its load, as a baseline."""
    return home(context.request.shared_part or context.request.key, context.backends)


@placement_policies.add('earliest_first_event')
def earliest_first_event(context: PlacementContext) -> Backend:
    """Take the server whose first event is expected first.

    Load pattern: parts of prompts shared by many requests, of which each router
    sees its share.  Parts stay where they were sent, a part that this router
    has not seen goes to its home, which all routers agree on without a word,
    and a server that is behind by more than the reading saved is passed over.
    """
    shared = context.request.shared_part
    homeless = shared and not any(
        backend.has_part(shared, context.now_unix_s) for backend in context.backends
    )
    at_home = home(shared, context.backends) if homeless else None
    return min(
        context.backends, key=lambda backend: _expected_ms(context, backend, backend is at_home)
    )


def home(part: str, backends: Sequence[Backend]) -> Backend:
    """Return the lane on which all routers agree for a part (highest random weight)."""
    return max(backends, key=lambda backend: weight(part, backend.server.lifetime))


def _expected_ms(context: PlacementContext, backend: Backend, at_home: bool) -> float:
    request = context.request
    unread = backend.uncached_tokens(request, context.now_unix_s)
    if at_home and request.parts:
        shared_tokens = request.prompt_tokens - request.parts[-1][1]
        unread -= int(HOME_TRUST * max(0, shared_tokens))
    wait_ms = (backend.prefilling_tokens + unread) / PREFILL_TOKENS_PER_MS
    wait_ms += REQUEST_MS * backend.in_flight
    far_ms = 0.0 if backend.server.data_centre == context.data_centre else FAR_MS
    return wait_ms + far_ms + FAILURE_MS * backend.failed_share(context.now_unix_s)


def tolerated_tokens(context: PlacementContext, backend: Backend) -> int:
    """Return how many tokens others may have to read at a lane before another one is better."""
    others = [one for one in context.backends if one is not backend]
    if not others:
        return backend.others_prefilling_tokens
    best_ms = min(_expected_ms(context, one, at_home=False) for one in others)
    more_ms = best_ms + HOP_MS - _expected_ms(context, backend, at_home=False)
    return max(0, backend.others_prefilling_tokens + int(more_ms * PREFILL_TOKENS_PER_MS))


@placement_policies.add('least_busy')
def least_busy(context: PlacementContext) -> Backend:
    """Take the plain server with the most free slots for its size, well ones before failing ones.

    Load pattern: few servers with few slots, one of which fails a part of its
    requests while its health check is good.
    """
    return min(context.backends, key=lambda backend: _busy(context, backend))


def _busy(context: PlacementContext, backend: Backend) -> tuple[float, bool, bytes]:
    busy = (backend.in_flight + 1) / max(1, backend.server.slots)
    failing = backend.failed_share(context.now_unix_s)
    far = backend.server.data_centre != context.data_centre
    return busy + 2 * failing, far, weight(context.request.key, backend.server.lifetime)
