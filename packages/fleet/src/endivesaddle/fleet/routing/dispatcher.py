"""Decide for forwarded requests: which server, whether again, and what a refusal says."""

from collections import Counter
from collections.abc import Callable
from random import Random

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes.declared import Route
from endivesaddle.fleet.routes.forwarded import ForwardRequest, ServerResponse
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routing.backends import Backend, Backends, ForwardRoutingRequest, is_engine
from endivesaddle.fleet.routing.candidates import Candidates
from endivesaddle.fleet.routing.cold_starts import ColdStartLimits
from endivesaddle.fleet.routing.crash_records import CrashRecords
from endivesaddle.fleet.routing.engine_selection import (
    ASKED_TOKENS,
    Admission,
    NoAdmission,
    select_engine,
)
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.fleet.routing.limit_shares import LimitShares
from endivesaddle.fleet.routing.placement_policies import (
    PlacementContext,
    PlacementPolicy,
    placement_policies,
)
from endivesaddle.fleet.routing.retry_share import RetryShare
from endivesaddle.fleet.routing.send_limits import SendLimits
from endivesaddle.fleet.routing.sent_parts import SentParts
from endivesaddle.fleet.routing.server_signals import SignalHeader, apply_signals
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal

UNAVAILABLE = 503
AGAIN_S = 0.4
"""Servers that are full or unknown are asked for again after this, spread by half."""
SPREAD = 0.5
LEAST_ROUTERS = 2
LARGE_TOKENS = 3000
"""A prompt with so much to read is told to the other routers at once.

Failure: routers that heard of it only in their next talk sent theirs to the same engine, where
they waited behind it."""


class Placement:
    """A place for one request at one server; ``start`` and ``finish`` bound its use."""

    def __init__(
        self, dispatcher: 'Dispatcher', backend: Backend, routing_request: ForwardRoutingRequest
    ) -> None:
        """Offer ``backend`` to ``routing_request``."""
        self.backend = backend
        self._entered_unix_s = dispatcher.now_s()
        self.uncached_tokens = backend.uncached_tokens(routing_request, dispatcher.now_s())
        self._dispatcher = dispatcher
        self._request = routing_request

    def may_send(self) -> bool:
        """Tell right before the request is sent whether it may still go there."""
        now_unix_s = self._dispatcher.now_s()
        takes = self._dispatcher.accepts_requests(self.backend)
        return takes and self._dispatcher.send_limits.may_still_send(
            self.backend, self._entered_unix_s, now_unix_s
        )

    def start(self) -> None:
        """Note that the request is sent."""
        self.backend.start_request(self._request, self._dispatcher.now_s())
        self._dispatcher.sent_parts.note(self.backend.server.lifetime, self._request)
        if self.uncached_tokens >= LARGE_TOKENS:
            for listener in self._dispatcher.large_prompt_listeners:
                listener()

    def first_event(self) -> None:
        """Note an event of the answer; the first one tells that the prompt is read.

        The sidecar beside the engine is told at the first one alone: a call for each event would
        cost more than passing the event on.
        """
        if self._request.key not in self.backend.prefilling:
            return
        self.backend.first_event(self._request)
        self._dispatcher.admission.changed(self.backend, soon=self.uncached_tokens >= ASKED_TOKENS)

    def finish(self, success: bool) -> None:
        """Note that nothing is under way there any more."""
        read = self._request.key not in self.backend.prefilling
        self.backend.end_request(self._request)
        soon = not read and self.uncached_tokens >= ASKED_TOKENS
        self._dispatcher.admission.changed(self.backend, soon=soon)
        self.backend.record_outcome(success, self._dispatcher.now_s())

    def mark_unreachable(self, process_ended: bool) -> None:
        """Note that the server can't be reached; ``process_ended`` if its process is gone."""
        self.backend.mark_unreachable(self._dispatcher.now_s(), process_ended)

    def count_declined(self) -> None:
        """Note that the server had no room."""
        self._dispatcher.counts['declined'] += 1

    def apply_signals(self, answer: ServerResponse) -> None:
        """Note what the server told of itself in the head of its answer."""
        # Nobody knows when the answer of another request was begun.
        sent_unix_s = self._entered_unix_s if answer.own else 0.0
        heading = SignalHeader('', answer.status, sent_unix_s, self._dispatcher.now_s())
        apply_signals(answer.signals, heading, self.backend, self._dispatcher.routing_state)

    def mark_misdirected(self) -> None:
        """Note that the address belongs to another server now."""
        self._dispatcher.routing_state.remove_server(self.backend.server.lifetime, 'misdirected')


class Dispatcher:
    """The decisions of one router."""

    def __init__(
        self, settings: ForwardSettings, routing_state: RoutingState, clock: Clock, name: str
    ) -> None:
        """Decide on what ``routing_state`` holds; random choices are seeded by ``name``."""
        self.routing_state = routing_state
        self.backends = Backends()
        self.sent_parts = SentParts()
        self.crashes = CrashRecords(settings)
        self.send_limits = SendLimits(
            ColdStartLimits(settings.cold_policy, routing_state, name),
            LimitShares(settings.limit_policy, routing_state.limits, name),
        )
        self.large_prompt_listeners: list[Callable[[], None]] = []
        self.counts: Counter[str] = Counter()
        self.admission: Admission = NoAdmission()
        self.router_count = LEAST_ROUTERS
        self._settings = settings
        self._clock = clock
        self._random = Random(name)
        self._candidates = Candidates(
            routing_state, self.backends, self.send_limits, settings.regions
        )
        self._shares: dict[str, RetryShare] = {}
        self._turn = 0

    def now_s(self) -> float:
        """Return the time now, in Unix seconds."""
        return self._clock.now_s()

    def server_list_age_s(self) -> float:
        """Return how long ago, in seconds, the store told of the servers here.

        A poll that waits for a change counts from its beginning: 2.7 s are the most while the store
        answers.
        """
        return round(self.now_s() - self.routing_state.servers_heard_unix_s, 2)

    async def place(self, request: ForwardRequest, exclude: frozenset[str]) -> Placement | Refusal:
        """Choose a server for a request, not one that it was sent to already."""
        service = self._service(request)
        routing_request = request.routing_request(service)
        if not exclude:
            self._share(service).request(self.now_s())
        backends = self._candidates.open(request, service, exclude, self.now_s())
        if not backends:
            return self._none(request, service)
        engine = is_engine(
            self.routing_state.declarations.services.get(service)
            if self.routing_state.declarations
            else None
        )
        name = self._settings.forward_policy if engine else 'least_busy'
        self._turn += 1
        self.counts['placed'] += 1
        context = PlacementContext(
            routing_request,
            backends,
            self._settings.forward_data_centre,
            engine,
            self.now_s(),
            self._turn,
        )
        backend = await self._enter(context, placement_policies.find(name))
        return (
            Placement(self, backend, routing_request) if backend else self._none(request, service)
        )

    def check_held_back(self, request: ForwardRequest) -> Refusal | None:
        """Refuse a request that ended too many servers; None where it may run."""
        if not self.crashes:
            return None
        held_s = self.crashes.held_s(request.digest(), self.now_s())
        if not held_s:
            return None
        self.counts['held_back'] += 1
        reason = 'servers ended each time that they ran this request'
        return Refusal('ends_servers', reason, NOT_RUN, UNAVAILABLE, round(held_s, 2))

    def record_success(self, request: ForwardRequest) -> None:
        """Note that a request was answered with success."""
        if self.crashes:
            self.crashes.record_success(request.digest(), self.now_s())

    def refuse_overloaded(self, request: ForwardRequest, reason: str) -> Refusal:
        """Refuse what ran nowhere, with a time to come back that spreads the callers."""
        again_s = AGAIN_S * (1 + SPREAD * self._random.random())
        return Refusal('overloaded', reason, NOT_RUN, UNAVAILABLE, round(again_s, 2))

    def accepts_requests(self, backend: Backend) -> bool:
        """Tell whether a server may be sent a request now."""
        return self.routing_state.accepts_requests(backend.server) and backend.accepts_requests(
            self.now_s()
        )

    def may_retry(self, request: ForwardRequest) -> bool:
        """Spend one repeat of the service's share."""
        allowed = self._share(self._service(request)).allow(self.now_s(), self.router_count)
        self.counts['repeats_allowed' if allowed else 'repeats_refused'] += 1
        return allowed

    def event_tokens(self, request: ForwardRequest) -> int:
        """Return the most output tokens in one event of the answer.

        Where the service does not say, one event may be the whole answer: counted as
        nothing, streams of a plain service would overdraw the account.
        """
        declarations = self.routing_state.declarations
        service = declarations.services.get(self._service(request)) if declarations else None
        said = service.event_tokens if service else 0
        return said or request.max_tokens

    def dump(self) -> dict[str, dict[str, float]]:
        """Return what is known of each server, for operators."""
        now_unix_s = self.now_s()
        return {
            backend.server.lifetime: {
                'own_in_flight': backend.own_in_flight,
                'in_flight': backend.in_flight,
                'reading_tokens': backend.prefilling_tokens,
                'failed_share': round(backend.failed_share(now_unix_s), 3),
                'cold_s': self._cold_s(backend),
            }
            for backend in self.backends.all()
        }

    async def _enter(self, context: PlacementContext, policy: PlacementPolicy) -> Backend | None:
        """Choose a server and count the request there, passing over those that bear no more."""
        backends = list(context.backends)
        while backends:
            left = context._replace(backends=backends)
            if context.engine and len(backends) > 1:
                backend = await select_engine(left, policy, self.admission)
            else:
                backend = policy(left)
            if self.send_limits.try_acquire(backend, self.now_s()):
                return backend
            backends.remove(backend)
        return None

    def _none(self, request: ForwardRequest, service: str) -> Refusal:
        """Refuse where no server is open, until one may be."""
        found = self._candidates.why_none(request, service, self.now_s())
        refusal = self.refuse_overloaded(request, found.reason)
        if not found.wait_s:
            return refusal
        again_s = max(found.wait_s, AGAIN_S) + AGAIN_S * SPREAD * self._random.random()
        return refusal._replace(retry_after_s=round(again_s, 2))

    def _cold_s(self, backend: Backend) -> float:
        now_unix_s = self.now_s()
        return round(
            max(0.0, self.send_limits.cold.cold_until_unix_s(backend, now_unix_s) - now_unix_s), 2
        )

    def _service(self, request: ForwardRequest) -> str:
        """Return the service of a request: the same whenever it is asked."""
        targets = request.route.targets
        if len(targets) == 1:
            return targets[0].service
        return _drawn(request.route, Random(request.request_id))

    def _share(self, service: str) -> RetryShare:
        share = self._shares.get(service)
        if share is None:
            share = RetryShare(self._settings.retry_ratio, self._settings.retry_slack)
            self._shares[service] = share
        return share


def _drawn(route: Route, random: Random) -> str:
    names = [target.service for target in route.targets]
    return random.choices(names, [target.weight for target in route.targets])[0]
