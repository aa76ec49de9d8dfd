"""Admission: choose a backend server, wait for a slot, or refuse a request early and for good.

A request that can't meet its deadline is refused immediately: work on it would be wasted and would
delay other requests.  Other requests wait here instead of on the engine, so that the order stays
fair and a request is only sent to a server with a free slot.
"""

from collections import Counter
from random import Random
from typing import Any

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import Choice, RoutingRequest
from endivesaddle.fleet.ports import FleetView
from endivesaddle.fleet.routing import refusals
from endivesaddle.fleet.routing.placer import Placer
from endivesaddle.fleet.routing.queues import Queue, Waiting
from endivesaddle.fleet.routing.retries import Retries
from endivesaddle.fleet.routing.settings import RoutingSettings
from endivesaddle.fleet.routing.table import Group, GroupKey, key_of
from endivesaddle.fleet.sentinels import Refusal

DEFAULT_MAX_QUEUED = 64
SAFETY_FACTOR = 0.8
"""Factor on expected times: a false refusal is worse than a late response."""

_Waiting = Waiting[RoutingRequest, Choice]


class Admission:
    """Implements the ``Routing`` protocol for one router; ``run`` must run in the background."""

    def __init__(
        self,
        settings: RoutingSettings,
        identity: Identity,
        view: FleetView,
        clock: Clock,
    ) -> None:
        """Initialize with no requests; the router's identity seeds the random choices."""
        self._settings = settings
        self._view = view
        self._clock = clock
        self._random = Random(f'{identity.instance}/{identity.incarnation}')
        self._placer = Placer(settings, identity, view, clock, self._random)
        self._retries = Retries(settings)
        self._queues: dict[GroupKey, Queue[_Waiting]] = {}
        self._counts: Counter[str] = Counter()

    async def run(self) -> None:
        """Refresh members and loads and serve the queues until cancelled."""
        while True:
            await anyio.sleep(self._settings.routing_refresh_s)
            self._placer.table.refresh(self._clock.now_s())
            for key in list(self._queues):
                self._serve(key)

    async def admit(
        self, routing_request: RoutingRequest, exclude: frozenset[str] = frozenset()
    ) -> Choice | Refusal:
        """Choose a backend server, waiting in a bounded queue if necessary."""
        outcome = self._decide(routing_request, exclude)
        if isinstance(outcome, Waiting):
            outcome = await self._wait(outcome)
        if isinstance(outcome, Refusal):
            self._counts[f'refused_{outcome.code}'] += 1
        else:
            self._counts['placed'] += 1
        return outcome

    def first_token(self, choice: Choice, routing_request: RoutingRequest) -> None:
        """Record the first token of a response."""
        self._placer.first_token(choice, routing_request)

    def ended(
        self, choice: Choice, routing_request: RoutingRequest, ok: bool, used_tokens: int
    ) -> None:
        """Record the end of a run; always called once after a successful ``admit``."""
        self._placer.ended(choice, routing_request, ok, used_tokens)
        self._counts['ended_ok' if ok else 'ended_failed'] += 1
        if ok and used_tokens:
            self._retries.succeeded(routing_request.account)
        self._serve(key_of(routing_request))

    def may_retry(self, account: str) -> bool:
        """Spend one retry of the account's retry budget; False if it is used up."""
        allowed = self._retries.spend(account)
        self._counts['retries_allowed' if allowed else 'retries_refused'] += 1
        return allowed

    def counters(self) -> dict[str, float]:
        """Return counters since the start and current sizes."""
        sizes = {
            'prefixes': len(self._placer.prefixes),
            'servers': len(self._placer.table.servers),
            'queued': sum(len(queue) for queue in self._queues.values()),
            'retry_accounts': len(self._retries),
        }
        return {**sizes, **self._counts}

    def dump(self) -> dict[str, Any]:
        """Return the state for operators."""
        servers = self._placer.table.servers.values()
        return {
            'servers': {server.name: server.dump() for server in servers},
            'counters': self.counters(),
        }

    def _decide(
        self, routing_request: RoutingRequest, exclude: frozenset[str]
    ) -> Choice | Refusal | _Waiting:
        """Place, refuse or enqueue a request."""
        group = self._group(routing_request, exclude)
        if group is None:
            return refusals.no_server(routing_request, self._random)
        if self._clock.now_s() >= routing_request.deadline_unix_s:
            return refusals.deadline('the deadline has passed')
        queue = self._queues.setdefault(group.key, Queue())
        server = None
        if not queue.ahead_of(routing_request):
            server = self._placer.choose(group, routing_request, exclude)
        if server is None:
            return self._enqueue(
                group,
                queue,
                Waiting(
                    routing_request, exclude, self._latest_start_unix_s(group, routing_request)
                ),
            )
        refusal = self._refuse_late(
            group, routing_request, self._placer.first_token_s(server, routing_request)
        )
        return refusal or self._placer.send(group, routing_request, server)

    def _group(self, routing_request: RoutingRequest, exclude: frozenset[str]) -> Group | None:
        """Return the group of servers for a request, None if no server is eligible."""
        group = self._placer.group(routing_request)
        if group is not None and self._any_eligible(group, exclude):
            return group
        # Failure: a server was declared or joined since the last refresh.  Symptom: its
        # first requests are refused although it is a member.  A refusal is rare and
        # final, so the table is refreshed before it.
        self._placer.table.force_refresh()
        group = self._placer.group(routing_request)
        if group is not None and self._any_eligible(group, exclude):
            return group
        return None

    def _enqueue(
        self, group: Group, queue: Queue[_Waiting], waiting: _Waiting
    ) -> Refusal | _Waiting:
        """Enqueue a request unless its account's queue is full or the wait would be too long."""
        routing_request = waiting.routing_request
        wait_s = (queue.ahead_of(routing_request) + 1) * group.holding_s / max(1, group.outstanding)
        account = self._view.configuration.accounts.get(routing_request.account)
        max_queued = account.max_queued if account else DEFAULT_MAX_QUEUED
        if queue.count(routing_request.account) >= max_queued:
            return refusals.too_many(routing_request.account, wait_s, self._random)
        slack_s = waiting.latest_unix_s - self._clock.now_s()
        if slack_s < 0 or (group.outstanding and SAFETY_FACTOR * wait_s > slack_s):
            reason = f'all servers are busy for about {wait_s:.1f} s'
            return refusals.overloaded(reason, wait_s - slack_s, self._random)
        if len(queue) >= self._settings.routing_queued and not self._displace(
            queue, routing_request, wait_s
        ):
            return refusals.overloaded('too many requests are waiting', wait_s, self._random)
        queue.push(waiting)
        return waiting

    def _displace(
        self, queue: Queue[_Waiting], routing_request: RoutingRequest, wait_s: float
    ) -> bool:
        """Refuse a waiting request of lower rank than a new one; False if there is none."""
        last = queue.last()
        if last is None or last.routing_request.priority > routing_request.priority:
            return False
        has_more_waiting = (
            queue.count(last.routing_request.account) > queue.count(routing_request.account) + 1
        )
        if last.routing_request.priority == routing_request.priority and not has_more_waiting:
            return False
        queue.remove(last)
        last.decide(
            refusals.overloaded('displaced from the queue by another request', wait_s, self._random)
        )
        return True

    async def _wait(self, waiting: _Waiting) -> Choice | Refusal:
        """Wait for a slot until the request could no longer meet its deadline."""
        cancelled = anyio.get_cancelled_exc_class()
        remaining_s = max(0, waiting.latest_unix_s - self._clock.now_s())
        try:
            with anyio.move_on_after(remaining_s):
                await waiting.decided()
        except cancelled:
            self._withdraw(waiting)
            raise
        if waiting.outcome is None:
            self._withdraw(waiting)
            return refusals.overloaded('no server had a free slot in time', 0, self._random)
        return waiting.outcome

    def _withdraw(self, waiting: _Waiting) -> None:
        """Remove a waiting request, or release one that was placed and not yet returned.

        Failure: the caller disconnects between the decision and its delivery; without this, the
        slot would count as occupied forever.
        """
        if waiting.outcome is None:
            self._queues[key_of(waiting.routing_request)].remove(waiting)
        elif isinstance(waiting.outcome, Choice):
            self._placer.ended(waiting.outcome, waiting.routing_request, ok=True, used_tokens=0)

    def _serve(self, key: GroupKey) -> None:
        """Place waiting requests while there are free slots."""
        queue = self._queues.get(key)
        while queue:
            waiting = queue.first()
            group = self._placer.group(waiting.routing_request)
            server = group and self._placer.choose(group, waiting.routing_request, waiting.exclude)
            if not group or not server:
                return
            queue.take(waiting)
            waiting.decide(self._placer.send(group, waiting.routing_request, server))

    def _any_eligible(self, group: Group, exclude: frozenset[str]) -> bool:
        return any(self._placer.eligible(server, exclude) for server in group.servers)

    def _latest_start_unix_s(self, group: Group, routing_request: RoutingRequest) -> float:
        """Return the latest useful start: the response has to end by the deadline."""
        return routing_request.deadline_unix_s - SAFETY_FACTOR * self._placer.answer_s(
            group, routing_request
        )

    def _refuse_late(
        self, group: Group, routing_request: RoutingRequest, first_s: float
    ) -> Refusal | None:
        """Refuse a request that can't end by its deadline, but not on outdated estimates only.

        Failure: after a slow period the estimates are high, all requests are refused, and none
        runs that could correct the estimates.  If this router has no request in flight, the
        request is sent and serves as the measurement.
        """
        slack_s = routing_request.deadline_unix_s - self._clock.now_s()
        overrun_s = (
            SAFETY_FACTOR * (first_s + self._placer.answer_s(group, routing_request)) - slack_s
        )
        if overrun_s <= 0 or not group.outstanding:
            return None
        reason = f'the response would be late by about {overrun_s:.1f} s'
        if overrun_s > first_s:
            return refusals.deadline(reason)
        return refusals.overloaded(reason, overrun_s, self._random)
