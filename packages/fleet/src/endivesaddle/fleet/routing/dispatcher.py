"""Decisions on forwarded requests: the server, retries, and refusals."""

from collections import Counter
from collections.abc import Callable, Sequence
from random import Random

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes.forwarded import ForwardRequest, ServerResponse
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routing import forward_refusals
from endivesaddle.fleet.routing.backends import Backend, Backends, ForwardRoutingRequest, is_engine
from endivesaddle.fleet.routing.candidates import Candidates, NoServer
from endivesaddle.fleet.routing.cold_starts import ColdStartLimits
from endivesaddle.fleet.routing.crash_records import CrashRecords
from endivesaddle.fleet.routing.engine_selection import (
    MIN_ASKED_TOKENS,
    AdmissionControl,
    NoAdmissionControl,
    select_engine,
)
from endivesaddle.fleet.routing.forward_settings import ForwardSettings
from endivesaddle.fleet.routing.forward_waiting import Arrival
from endivesaddle.fleet.routing.limit_shares import LimitShares
from endivesaddle.fleet.routing.placement_policies import (
    PlacementContext,
    PlacementPolicy,
    placement_policies,
)
from endivesaddle.fleet.routing.prefix_fetch import PrefixFetch, PrefixSources
from endivesaddle.fleet.routing.retry_share import RetryBudget, RetryDecision, RetryShares
from endivesaddle.fleet.routing.send_limits import SendLimits
from endivesaddle.fleet.routing.sent_parts import SentParts
from endivesaddle.fleet.routing.server_signals import SignalHeader, apply_signals
from endivesaddle.fleet.routing.server_slots import Hold, Need
from endivesaddle.fleet.routing.waiting_policies import HasRoom, WaitingParts, waiting_policies
from endivesaddle.fleet.routing.waiting_settings import WaitingSettings
from endivesaddle.fleet.sentinels import Refusal

LARGE_PROMPT_TOKENS = 3000
"""A prompt with at least this many uncached tokens is reported to the other routers at once.

Failure: routers that learned of it only with the next regular report sent their prompts to the
same engine, where they waited behind it."""


class Placement:
    """The assignment of one request to one server, used from ``start`` to ``finish``."""

    def __init__(
        self,
        dispatcher: 'Dispatcher',
        backend: Backend,
        routing_request: ForwardRoutingRequest,
        hold: Hold | None = None,
        sources: PrefixSources | None = None,
    ) -> None:
        """Assign ``routing_request`` to ``backend``, which may fetch shared parts of it.

        ``hold`` is its slot there, if it has one.
        """
        self.backend = backend
        self._hold = hold or Hold(backend, Need(routing_request, 0), dispatcher.now_s())
        self._acquired_unix_s = dispatcher.now_s()
        uncached = backend.uncached_tokens(routing_request, self._acquired_unix_s)
        self.source = sources.source_for(backend, uncached) if sources else None
        self.uncached_tokens = uncached - self.source.tokens if self.source else uncached
        self._dispatcher = dispatcher
        self._request = routing_request

    def may_send(self) -> bool:
        """Return whether the request may still be sent; called right before sending."""
        now_unix_s = self._dispatcher.now_s()
        accepts = self._dispatcher.accepts_requests(self.backend)
        return accepts and self._dispatcher.send_limits.may_still_send(
            self.backend, self._acquired_unix_s, now_unix_s
        )

    def start(self) -> None:
        """Record that the request is sent."""
        fetched_tokens = self._dispatcher.prefix_fetch.record(self.source)
        self.backend.start_request(self._request, self._dispatcher.now_s(), fetched_tokens)
        self._dispatcher.sent_parts.record(self.backend.server, self._request)
        if self.uncached_tokens >= LARGE_PROMPT_TOKENS:
            for listener in self._dispatcher.large_prompt_listeners:
                listener()

    def first_event(self) -> None:
        """Record an event of the response; the first one shows that the prompt is processed.

        The sidecar beside the engine is notified of the first event only: a call for each event
        would cost more than relaying the event.
        """
        if self._request.key not in self.backend.prefilling:
            return
        self.backend.first_event(self._request)
        self._dispatcher.waiting.first_event(self._hold)
        self._dispatcher.admission.load_changed(
            self.backend, soon=self.uncached_tokens >= MIN_ASKED_TOKENS
        )

    def finish(self, success: bool) -> None:
        """Record that the request has ended on the server."""
        read = self._request.key not in self.backend.prefilling
        self.backend.end_request(self._request)
        soon = not read and self.uncached_tokens >= MIN_ASKED_TOKENS
        self._dispatcher.admission.load_changed(self.backend, soon=soon)
        self.backend.record_outcome(success, self._dispatcher.now_s())
        self._dispatcher.waiting.ended(self._hold, success)

    def mark_unreachable(self, process_ended: bool) -> None:
        """Record that the server is unreachable; ``process_ended`` if its process is gone."""
        self.backend.mark_unreachable(self._dispatcher.now_s(), process_ended)
        self._dispatcher.prefix_fetch.mark_unreachable(self.backend, process_ended)

    def mark_unproven(self) -> None:
        """Record that the server may be another incarnation than its entry says."""
        self.backend.mark_unproven(self._dispatcher.now_s())

    def count_declined(self) -> None:
        """Count a request that the server declined for lack of capacity."""
        self._dispatcher.counts['declined'] += 1
        self._dispatcher.waiting.declined(self._hold)

    def apply_signals(self, answer: ServerResponse) -> None:
        """Apply the signals that the server sent in the headers of its response to this request.

        A response to another request may be a late repetition: its times have passed, and its
        limit may have been replaced.  What it said was applied when it first came.
        """
        header = SignalHeader('', answer.status, self._acquired_unix_s, self._dispatcher.now_s())
        apply_signals(answer.signals, header, self.backend, self._dispatcher.routing_state)

    def mark_misdirected(self) -> None:
        """Record that another server has the address now."""
        self._dispatcher.routing_state.remove_server(self.backend.server.lifetime, 'misdirected')


class Dispatcher:
    """Decides for one router where forwarded requests go."""

    def __init__(
        self,
        settings: ForwardSettings,
        routing_state: RoutingState,
        clock: Clock,
        name: str,
        waiting: WaitingSettings = WaitingSettings(),
    ) -> None:
        """Use the servers of ``routing_state``; ``name`` seeds the random choices."""
        self.routing_state = routing_state
        self.backends = Backends()
        self.sent_parts = SentParts()
        self.prefix_fetch = PrefixFetch(settings.prefix_fetch)
        self.crashes = CrashRecords(settings)
        self.send_limits = SendLimits(
            ColdStartLimits(settings.cold_policy, routing_state, name),
            LimitShares(settings.limit_policy, routing_state.limits, name),
        )
        self.large_prompt_listeners: list[Callable[[], None]] = []
        self.counts: Counter[str] = Counter()
        self.admission: AdmissionControl = NoAdmissionControl()
        self._settings = settings
        self._clock = clock
        self._random = Random(name)
        self._candidates = Candidates(
            routing_state, self.backends, self.send_limits, settings.regions
        )
        self.retry_shares = RetryShares(
            RetryBudget(settings.retry_ratio, settings.retry_slack, settings.retry_window_s)
        )
        self._turn = 0
        self.waiting = waiting_policies.find(waiting.waiting_policy)(
            WaitingParts(self, clock, self._random)
        )
        routing_state.listeners.append(self.waiting.servers_changed)

    def now_s(self) -> float:
        """Return the current time in Unix seconds."""
        return self._clock.now_s()

    def server_list_age_s(self) -> float:
        """Return the age of the list of servers, in seconds since the store last confirmed it.

        A long poll counts from its beginning, so the age is at most 2.7 s while the store is
        available.
        """
        return round(self.now_s() - self.routing_state.servers_heard_unix_s, 2)

    async def place(self, request: ForwardRequest, exclude: frozenset[str]) -> Placement | Refusal:
        """Choose a server for a request; servers in ``exclude`` have had it already."""
        service = request.service
        if not exclude:
            self.retry_shares.of(service).record_request(self.now_s())
        routing_request = request.routing_request(service)
        memory_tokens = self.routing_state.memory_tokens(service)
        arrival = Arrival(request, service, routing_request, exclude, memory_tokens)
        hold = await self.waiting.place(arrival)
        if isinstance(hold, Refusal):
            return hold
        return Placement(self, hold.backend, routing_request, hold, self._fetch_sources(arrival))

    def open_backends(self, arrival: Arrival) -> Sequence[Backend]:
        """Return the servers that may get a request now."""
        return self._candidates.open(
            arrival.request, arrival.service, arrival.exclude, self.now_s()
        )

    def why_none(self, arrival: Arrival) -> NoServer:
        """Return why no server may get a request now."""
        return self._candidates.why_none(arrival.request, arrival.service, self.now_s())

    async def choose(
        self, arrival: Arrival, backends: Sequence[Backend], has_room: HasRoom
    ) -> Backend | None:
        """Choose a server by the policy and count the request against its limits."""
        engine = is_engine(self.routing_state.service(arrival.service))
        name = self._settings.forward_policy if engine else 'least_busy'
        self._turn += 1
        self.counts['placed'] += 1
        context = PlacementContext(
            arrival.routing_request,
            backends,
            self._settings.forward_data_centre,
            engine,
            self.now_s(),
            self._turn,
            self._fetch_sources(arrival, backends),
        )
        return await self._acquire(context, placement_policies.find(name), has_room)

    def check_held_back(self, request: ForwardRequest) -> Refusal | None:
        """Refuse a request that crashed too many servers, or a part of it; None if it may run."""
        if not self.crashes:
            return None
        held = self.crashes.check(request.crash_subjects(), self.now_s())
        if held is None:
            return None
        self.counts['held_back'] += 1
        return forward_refusals.held_back(held)

    def record_success(self, request: ForwardRequest, began_unix_s: float) -> None:
        """Record a successful answer that a server began at a time."""
        subjects = request.crash_subjects() if self.crashes else request.part_subjects()
        self.crashes.record_success(subjects, began_unix_s, self.now_s())

    def refuse_overloaded(self, request: ForwardRequest, reason: str) -> Refusal:
        """Refuse a request that did not run, with a Retry-After that spreads the callers."""
        return forward_refusals.overloaded(reason, self._random)

    def refuse_no_server(self, arrival: Arrival) -> Refusal:
        """Refuse a request that no server may get, with the wait until one may."""
        return forward_refusals.no_server(self.why_none(arrival), self._random)

    def accepts_requests(self, backend: Backend) -> bool:
        """Return whether a server accepts requests now."""
        return self.routing_state.accepts_requests(backend.server) and backend.accepts_requests(
            self.now_s()
        )

    def decide_retry(self, request: ForwardRequest, cause: str) -> RetryDecision:
        """Grant a retry from this router's share for the service, or refuse it.

        ``cause`` is the outcome of the attempt before it, for the counters.
        """
        decision = self.retry_shares.decide(request.service, self.now_s())
        self.counts['repeats_allowed' if decision.granted else 'repeats_refused'] += 1
        if decision.granted:
            self.counts[f'repeats_{cause}'] += 1
        return decision

    def renew_retry(self, decision: RetryDecision) -> RetryDecision:
        """Pay for a granted retry right before it is sent; it may be refused now."""
        renewed = self.retry_shares.renew(decision, self.now_s())
        self.counts['repeats_refused'] += not renewed.granted
        return renewed

    def refund_retry(self, decision: RetryDecision) -> None:
        """Take back what was paid for a retry that is not sent."""
        self.counts['repeats_unsent'] += 1
        self.retry_shares.refund(decision)

    def event_tokens(self, request: ForwardRequest) -> int:
        """Return the maximum of output tokens in one event of the response.

        If the service does not declare it, one event may be the whole response.  Counted as
        nothing, streams of a plain service would overdraw the account.
        """
        service = self.routing_state.service(request.service)
        said = service.event_tokens if service else 0
        return said or request.max_tokens

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the state of each server for operators."""
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

    def _fetch_sources(
        self, arrival: Arrival, backends: Sequence[Backend] | None = None
    ) -> PrefixSources | None:
        """Return the engines that shared parts may be fetched from, None if nothing is fetched."""
        if not self.prefix_fetch.enabled:
            return None
        usable = self.open_backends(arrival) if backends is None else backends
        service = self.routing_state.service(arrival.service)
        return self.prefix_fetch.sources(arrival.routing_request, service, usable, self.now_s())

    async def _acquire(
        self, context: PlacementContext, policy: PlacementPolicy, has_room: HasRoom
    ) -> Backend | None:
        """Choose a server and count the request against its limits; skip servers at a limit.

        While sidecars are asked, other requests may take the capacity of a server.
        """
        backends = list(context.backends)
        while backends:
            remaining = context._replace(backends=backends)
            if context.engine and len(backends) > 1:
                backend = await select_engine(remaining, policy, self.admission)
            else:
                backend = policy(remaining)
            if has_room(backend) and self.send_limits.try_acquire(backend, self.now_s()):
                return backend
            backends.remove(backend)
        return None

    def _cold_s(self, backend: Backend) -> float:
        now_unix_s = self.now_s()
        return round(
            max(0.0, self.send_limits.cold.cold_until_unix_s(backend, now_unix_s) - now_unix_s), 2
        )
