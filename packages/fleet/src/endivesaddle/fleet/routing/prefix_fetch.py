"""The engine from which the chosen engine fetches shared parts of a prompt.

Without I/O.  Load pattern: routers share subjects, and the engine that has the part of a subject
cached is busy, unknown to this router or not the part's home.  The chosen engine would prefill a
part again that it can copy from another engine in a twentieth of the time.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routes.declared import RouteServer, Service
from endivesaddle.fleet.routing import forward_events as events
from endivesaddle.fleet.routing.backends import (
    PREFILL_TOKENS_PER_MS,
    Backend,
    ForwardRoutingRequest,
)

MIN_FETCHED_TOKENS = 256
"""Fewer tokens are prefilled in about the time that a copy takes to begin."""
FETCH_START_MS = 2.0
"""Time that a fetch takes besides the transfer."""
OTHER_DATA_CENTRE_FACTOR = 2.0
"""A copy from an engine in another data centre takes this many times as long."""
FAILING_SHARE = 0.4
"""An engine that failed twice in a row is no source.  A single failure may be the request's, or a
caller that disconnected."""
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000
_MS = 1000


class FetchContext(NamedTuple):
    """The input of a policy: the request, its service and the usable engines."""

    request: ForwardRoutingRequest
    service: Service | None
    backends: Sequence[Backend]
    now_unix_s: float


class PrefixSource(NamedTuple):
    """The engine to fetch from, the tokens that the chosen engine lacks, and the time it takes."""

    server: RouteServer
    tokens: int
    fetch_ms: float


class _Holder(NamedTuple):
    """An engine with a ready shared prefix; of two in a data centre the greater one is fetched."""

    tokens: int
    sent_unix_s: float
    server: RouteServer

    @property
    def order(self) -> tuple[int, float]:
        """The longest prefix first, then the one that was sent last."""
        return self.tokens, self.sent_unix_s


class PrefixSources:
    """The engines that have shared parts of one request.

    An engine fetches from engines of its own software version only: what two versions write does
    not fit together, and engines don't check it.
    """

    def __init__(self, context: FetchContext, service: Service) -> None:
        """Find the best source of each data centre and version, in one pass over the engines."""
        self._prompt_tokens = context.request.prompt_tokens
        self._ms_per_token = (
            service.token_bytes * BITS_PER_BYTE * _MS / (service.transfer_mbps * BITS_PER_MEGABIT)
        )
        self._holders: dict[tuple[str, str], _Holder] = {}
        shared = context.request.parts[:-1]
        for backend in context.backends:
            tokens, sent_unix_s = backend.parts.ready_prefix(shared, context.now_unix_s)
            if tokens < MIN_FETCHED_TOKENS or not _can_serve(backend, context.now_unix_s):
                continue
            holder = _Holder(tokens, sent_unix_s, backend.server)
            place = (backend.server.data_centre, backend.server.version)
            best = self._holders.get(place)
            if best is None or holder.order > best.order:
                self._holders[place] = holder

    def source_for(self, chosen: Backend, uncached_tokens: int) -> PrefixSource | None:
        """Return the source for an engine that lacks ``uncached_tokens`` of the prompt.

        None if the engine has the parts, or if the fetch takes longer than the prefill.
        """
        if not self._holders:
            return None
        cached_tokens = self._prompt_tokens - uncached_tokens
        version = chosen.server.version
        near = self._holders.get((chosen.server.data_centre, version))
        same_version = [one for place, one in self._holders.items() if place[1] == version]
        best = max(same_version, key=lambda one: one.order, default=None)
        return self._from(near, chosen, cached_tokens) or self._from(best, chosen, cached_tokens)

    def _from(
        self, holder: _Holder | None, chosen: Backend, cached_tokens: int
    ) -> PrefixSource | None:
        if holder is None or holder.server.lifetime == chosen.server.lifetime:
            return None
        tokens = holder.tokens - cached_tokens
        if tokens < MIN_FETCHED_TOKENS:
            return None
        fetch_ms = FETCH_START_MS + tokens * self._ms_per_token
        if holder.server.data_centre != chosen.server.data_centre:
            fetch_ms *= OTHER_DATA_CENTRE_FACTOR
        if fetch_ms >= tokens / PREFILL_TOKENS_PER_MS:
            return None
        return PrefixSource(holder.server, tokens, fetch_ms)


FetchPolicy = Callable[[FetchContext], PrefixSources | None]

fetch_policies: Registry[FetchPolicy] = Registry('prefix fetch policy')


@fetch_policies.add('off')
def off(context: FetchContext) -> PrefixSources | None:
    """Fetch nothing."""


@fetch_policies.add('declared')
def declared(context: FetchContext) -> PrefixSources | None:
    """Fetch where the service declares the size of a token and the rate of the engines' links."""
    service = context.service
    if service is None or not service.token_bytes or not service.transfer_mbps:
        return None
    return PrefixSources(context, service)


class PrefixFetch:
    """The fetches of one router."""

    def __init__(self, policy: str) -> None:
        """Use a registered policy."""
        self.enabled = policy != 'off'
        self.named_count = 0
        self.fetched_tokens = 0
        self._policy = fetch_policies.find(policy)
        self._logged: dict[str, bool] = {}

    def sources(
        self,
        request: ForwardRoutingRequest,
        service: Service | None,
        backends: Sequence[Backend],
        now_unix_s: float,
    ) -> PrefixSources | None:
        """Return the sources for a request, None if its service has no fetches."""
        sources = self._policy(FetchContext(request, service, backends, now_unix_s))
        if service is not None and self._logged.get(service.name, False) != (sources is not None):
            self._logged[service.name] = sources is not None
            events.FETCH.log(
                service=service.name,
                enabled=sources is not None,
                token_bytes=service.token_bytes,
                transfer_mbps=service.transfer_mbps,
            )
        return sources

    def record(self, source: PrefixSource | None) -> int:
        """Count the fetch of a request that is sent; return the tokens that it fetches."""
        if source is None:
            return 0
        self.named_count += 1
        self.fetched_tokens += source.tokens
        return source.tokens

    def mark_unreachable(self, backend: Backend, process_ended: bool) -> None:
        """Forget the parts of a server whose process ended; it may start under its name again."""
        if process_ended and self.enabled:
            backend.parts.clear()

    def applies(self, backend: Backend, born_unix_ms: int) -> bool:
        """Return whether another router's report of sent parts is about this incarnation.

        ``born_unix_ms`` is 0 if the report does not say.  Without fetches a report that is late
        after a restart costs one misplaced request; with them it also names an empty source.
        """
        same = not born_unix_ms or born_unix_ms == backend.server.born_unix_ms
        return same or not self.enabled


def _can_serve(backend: Backend, now_unix_s: float) -> bool:
    """Return whether an engine answers others; the engines of a request may be unreachable."""
    return (
        backend.unreachable_until_unix_s <= now_unix_s
        and not backend.server.leaving
        and backend.failed_share(now_unix_s) < FAILING_SHARE
    )
