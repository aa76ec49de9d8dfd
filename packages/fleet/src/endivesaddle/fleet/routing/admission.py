"""Admission: choose a backend server, wait for a slot, or refuse early and for good.

A request that can't meet its deadline is refused at once: work on it would be
thrown away, and would make others late too.  What can meet it waits here and
not at the engine, so that the order stays fair and a place is taken only where
there is room.
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
CAUTION = 0.8
"""Share of an expected time that has to fit: to refuse falsely is worse than to be late."""


class Admission:
    """The port ``Routing`` of one router; ``run`` has to run beside it."""

    def __init__(
        self,
        settings: RoutingSettings,
        identity: Identity,
        view: FleetView,
        clock: Clock,
    ) -> None:
        """Route for one router; its random choices are seeded by its identity."""
        self._settings = settings
        self._view = view
        self._clock = clock
        self._random = Random(f'{identity.instance}/{identity.incarnation}')
        self._placer = Placer(settings, identity, view, clock, self._random)
        self._retries = Retries(settings)
        self._queues: dict[GroupKey, Queue] = {}
        self._counts: Counter[str] = Counter()

    async def run(self) -> None:
        """Look at members and loads, and serve the queues, until cancelled."""
        while True:
            await anyio.sleep(self._settings.routing_refresh_s)
            self._placer.table.refresh(self._clock.now_s())
            for key in list(self._queues):
                self._serve(key)

    async def admit(
        self, routing_request: RoutingRequest, exclude: frozenset[str] = frozenset()
    ) -> Choice | Refusal:
        """Choose a backend server, waiting in a bounded queue if need be."""
        outcome = self._at_once(routing_request, exclude)
        if isinstance(outcome, Waiting):
            outcome = await self._wait(outcome)
        if isinstance(outcome, Refusal):
            self._counts[f'refused_{outcome.code}'] += 1
        else:
            self._counts['placed'] += 1
        return outcome

    def first_token(self, choice: Choice, routing_request: RoutingRequest) -> None:
        """Learn that the first token came."""
        self._placer.first_token(choice, routing_request)

    def ended(
        self, choice: Choice, routing_request: RoutingRequest, ok: bool, used_tokens: int
    ) -> None:
        """Learn that a run ended, well or not; always called once after ``admit``."""
        self._placer.ended(choice, routing_request, ok, used_tokens)
        self._counts['ended_ok' if ok else 'ended_failed'] += 1
        if ok and used_tokens:
            self._retries.succeeded(routing_request.account)
        self._serve(key_of(routing_request))

    def may_retry(self, account: str) -> bool:
        """Spend from the retry budget; False when it is used up."""
        allowed = self._retries.spend(account)
        self._counts['retries_allowed' if allowed else 'retries_refused'] += 1
        return allowed

    def counters(self) -> dict[str, float]:
        """Return counts since the start, and sizes of now."""
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

    def _at_once(
        self, routing_request: RoutingRequest, exclude: frozenset[str]
    ) -> Choice | Refusal | Waiting:
        """Place or refuse a request now, or let it wait."""
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
            return self._enqueued(
                group,
                queue,
                Waiting(routing_request, exclude, self._latest(group, routing_request)),
            )
        late = self._late(
            group, routing_request, self._placer.first_token_s(server, routing_request)
        )
        return late or self._placer.send(group, routing_request, server)

    def _group(self, routing_request: RoutingRequest, exclude: frozenset[str]) -> Group | None:
        """Return the servers that a request may go to, None where there is none."""
        group = self._placer.group(routing_request)
        if group is not None and self._any_eligible(group, exclude):
            return group
        # Failure: a server was declared or joined since the last look.  Symptom: its
        # first requests are refused though the members show it.  A refusal is rare
        # and final, so it rests on a look made for it.
        self._placer.table.look_now()
        group = self._placer.group(routing_request)
        if group is not None and self._any_eligible(group, exclude):
            return group
        return None

    def _enqueued(self, group: Group, queue: Queue, waiting: Waiting) -> Refusal | Waiting:
        """Let a request wait, unless its account's line is full or it would wait in vain."""
        routing_request = waiting.routing_request
        wait_s = (queue.ahead_of(routing_request) + 1) * group.holding_s / max(1, group.outstanding)
        account = self._view.configuration.accounts.get(routing_request.account)
        most = account.max_queued if account else DEFAULT_MAX_QUEUED
        if queue.count(routing_request.account) >= most:
            return refusals.too_many(routing_request.account, wait_s, self._random)
        spare_s = waiting.latest_unix_s - self._clock.now_s()
        if spare_s < 0 or (group.outstanding and CAUTION * wait_s > spare_s):
            reason = f'all servers are busy for about {wait_s:.1f} s'
            return refusals.overloaded(reason, wait_s - spare_s, self._random)
        if len(queue) >= self._settings.routing_queued and not self._yielded(
            queue, routing_request, wait_s
        ):
            return refusals.overloaded('too many requests wait', wait_s, self._random)
        queue.push(waiting)
        return waiting

    def _yielded(self, queue: Queue, routing_request: RoutingRequest, wait_s: float) -> bool:
        """Turn away one that has less claim to wait than a newcomer, if there is one."""
        last = queue.last()
        if last is None or last.routing_request.priority > routing_request.priority:
            return False
        longer = (
            queue.count(last.routing_request.account) > queue.count(routing_request.account) + 1
        )
        if last.routing_request.priority == routing_request.priority and not longer:
            return False
        queue.remove(last)
        last.decide(refusals.overloaded('made way for another request', wait_s, self._random))
        return True

    async def _wait(self, waiting: Waiting) -> Choice | Refusal:
        """Wait for a place until the latest moment that makes sense."""
        cancelled = anyio.get_cancelled_exc_class()
        left_s = max(0, waiting.latest_unix_s - self._clock.now_s())
        try:
            with anyio.move_on_after(left_s):
                await waiting.decided()
        except cancelled:
            self._withdraw(waiting)
            raise
        if waiting.outcome is None:
            self._withdraw(waiting)
            return refusals.overloaded('no server had room in time', 0, self._random)
        return waiting.outcome

    def _withdraw(self, waiting: Waiting) -> None:
        """Take back a request that waits, or that has just been placed unseen.

        Failure: the caller goes away in the moment between the decision and
        its hearing; the slot would count as taken for ever.
        """
        if waiting.outcome is None:
            self._queues[key_of(waiting.routing_request)].remove(waiting)
        elif isinstance(waiting.outcome, Choice):
            self._placer.ended(waiting.outcome, waiting.routing_request, ok=True, used_tokens=0)

    def _serve(self, key: GroupKey) -> None:
        """Place waiting requests while there is room."""
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

    def _latest(self, group: Group, routing_request: RoutingRequest) -> float:
        """Return until when a place is of use: the answer has to end by the deadline."""
        return routing_request.deadline_unix_s - CAUTION * self._placer.answer_s(
            group, routing_request
        )

    def _late(
        self, group: Group, routing_request: RoutingRequest, first_s: float
    ) -> Refusal | None:
        """Refuse what can't end by its deadline, but not on old knowledge alone.

        Failure: one slow spell teaches that answers take long, all are refused,
        and nothing runs that could teach otherwise.  With nothing of this
        router's under way the request goes and is the measurement.
        """
        spare_s = routing_request.deadline_unix_s - self._clock.now_s()
        lacking_s = CAUTION * (first_s + self._placer.answer_s(group, routing_request)) - spare_s
        if lacking_s <= 0 or not group.outstanding:
            return None
        reason = f'the answer would be late by about {lacking_s:.1f} s'
        if lacking_s > first_s:
            return refusals.deadline(reason)
        return refusals.overloaded(reason, lacking_s, self._random)
