"""Policies that place a forwarded request on a backend server, by name."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routing.backends import (
    PREFILL_TOKENS_PER_MS,
    Backend,
    ForwardRoutingRequest,
)
from endivesaddle.fleet.routing.prefix_fetch import PrefixSources
from endivesaddle.fleet.routing.rendezvous import weight

REQUEST_MS = 3.0
"""Delay that a running request adds to the first token of the next, besides its prompt."""
FAILURE_MS = 1500.0
"""Penalty of a server that fails all requests."""
OTHER_DATA_CENTRE_MS = 8.0
"""Penalty of a server in another data centre: it costs traffic, and its link may lose packets."""
SWITCH_MS = 8.0
"""Another backend has to be better by this: asking its sidecar takes about 3 ms, and cached parts
are lost."""
HOME_CACHED_PROBABILITY = 0.3
"""Probability that a shared part is cached at its home if no router has reported it: usually it
was never processed, and the home keeps two routers from sending it to two servers at once."""


class PlacementContext(NamedTuple):
    """The input of a policy: the request, the candidate backends and the time.

    ``sources`` are the engines from which shared parts can be fetched, None if nothing is fetched.
    """

    request: ForwardRoutingRequest
    backends: Sequence[Backend]
    data_centre: str
    engine: bool
    now_unix_s: float
    turn: int
    sources: PrefixSources | None = None

    def uncached_tokens(self, backend: Backend) -> int:
        """Return the prompt tokens that a backend has to process, without those it fetches."""
        uncached = backend.uncached_tokens(self.request, self.now_unix_s)
        source = self.sources and self.sources.source_for(backend, uncached)
        return uncached - source.tokens if source else uncached


PlacementPolicy = Callable[[PlacementContext], Backend]

placement_policies: Registry[PlacementPolicy] = Registry('placement policy')


@placement_policies.add('round_robin')
def round_robin(context: PlacementContext) -> Backend:
    """Choose the servers in turn, as a baseline."""
    return context.backends[context.turn % len(context.backends)]


@placement_policies.add('least_outstanding')
def least_outstanding(context: PlacementContext) -> Backend:
    """Choose the server with the fewest requests, as a baseline."""
    return min(context.backends, key=lambda backend: backend.in_flight)


@placement_policies.add('prefix_hash')
def prefix_hash(context: PlacementContext) -> Backend:
    """Choose the home of the last shared part whatever its load, as a baseline."""
    return home(context.request.shared_part or context.request.key, context.backends)


@placement_policies.add('earliest_first_event')
def earliest_first_event(context: PlacementContext) -> Backend:
    """Choose the server with the earliest expected first event.

    Load pattern: many requests share parts of their prompts, and each router sees a fraction of
    these requests.  A part stays on the server that got it.  A part unknown to this router goes
    to its home, on which all routers agree without communication.  A server whose extra delay
    exceeds the prefill saved is not chosen.
    """
    shared = context.request.shared_part
    location_unknown = shared and not any(
        backend.has_part(shared, context.now_unix_s) for backend in context.backends
    )
    at_home = home(shared, context.backends) if location_unknown else None
    return min(
        context.backends, key=lambda backend: _expected_ms(context, backend, backend is at_home)
    )


def home(part: str, backends: Sequence[Backend]) -> Backend:
    """Return the home of a part, the same for all routers (highest random weight)."""
    return max(backends, key=lambda backend: weight(part, backend.server.lifetime))


def _expected_ms(context: PlacementContext, backend: Backend, at_home: bool) -> float:
    request = context.request
    uncached = backend.uncached_tokens(request, context.now_unix_s)
    if at_home and request.parts:
        shared_tokens = request.prompt_tokens - request.parts[-1][1]
        uncached -= int(HOME_CACHED_PROBABILITY * max(0, shared_tokens))
    source = context.sources and context.sources.source_for(backend, uncached)
    fetch_ms = 0.0
    if source:
        uncached -= source.tokens
        fetch_ms = source.fetch_ms
    wait_ms = fetch_ms + (backend.prefilling_tokens + uncached) / PREFILL_TOKENS_PER_MS
    wait_ms += REQUEST_MS * backend.in_flight
    distance_ms = 0.0 if backend.server.data_centre == context.data_centre else OTHER_DATA_CENTRE_MS
    return wait_ms + distance_ms + FAILURE_MS * backend.failed_share(context.now_unix_s)


def tolerated_tokens(context: PlacementContext, backend: Backend) -> int:
    """Return the tokens that others may have in prefill there before another backend is better."""
    others = [one for one in context.backends if one is not backend]
    if not others:
        return backend.others_prefilling_tokens
    best_ms = min(_expected_ms(context, one, at_home=False) for one in others)
    margin_ms = best_ms + SWITCH_MS - _expected_ms(context, backend, at_home=False)
    return max(0, backend.others_prefilling_tokens + int(margin_ms * PREFILL_TOKENS_PER_MS))


@placement_policies.add('least_busy')
def least_busy(context: PlacementContext) -> Backend:
    """Choose the least occupied plain server relative to its slots, failing servers last.

    Load pattern: few servers with few slots, one of which fails some of its requests while its
    health check succeeds.
    """
    return min(context.backends, key=lambda backend: _occupancy(context, backend))


def _occupancy(context: PlacementContext, backend: Backend) -> tuple[float, bool, bytes]:
    busy = (backend.in_flight + 1) / max(1, backend.server.slots)
    failing = backend.failed_share(context.now_unix_s)
    far = backend.server.data_centre != context.data_centre
    return busy + 2 * failing, far, weight(context.request.key, backend.server.lifetime)
