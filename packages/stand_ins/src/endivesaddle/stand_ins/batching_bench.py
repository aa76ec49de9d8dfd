"""A bench for routing: routers before fake engines, in virtual time, with one fault.

The routers are the real ones (``Admission``); engines, network and the view of
members and loads are fakes.  One run gives one ``Figures``.
"""

import asyncio
from functools import partial

import anyio
import looptime

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import Choice, RoutingRequest
from endivesaddle.fleet.routing import Admission, RoutingSettings
from endivesaddle.fleet.sentinels import Refusal
from endivesaddle.stand_ins.batching import BatchingEngine, EngineModel, Job
from endivesaddle.stand_ins.batching_faults import Faults
from endivesaddle.stand_ins.batching_tally import Figures, Run, Tally
from endivesaddle.stand_ins.batching_traces import FIRMS, Trace, TraceRequest
from endivesaddle.stand_ins.batching_view import View

WARM_UP_S = 10.0
NETWORK_S = 0.0005
MOST_TRIED = 3
"""Servers passed over at most before all are asked again."""
SILENCE_S = 2.0
"""Until a router notices that a stream is silent."""


class Bench:
    """One run."""

    def __init__(self, run: Run, model: EngineModel, settings: RoutingSettings) -> None:
        """Set up routers and engines for a run."""
        self.run = run
        self.clock = LoopClock()
        self.began_unix_s = self.clock.now_s()
        self.firm = FIRMS[run.firm].scaled(run.scale)
        self.tally = Tally(run, WARM_UP_S)
        self.view = View(self.firm, model, run.policy)
        self.engines = {
            name: BatchingEngine(name, model, run.seed, self._on_step)
            for name in self.view.configuration.servers
        }
        self.routers = [
            Admission(settings, self._identity(number), self.view, self.clock)
            for number in range(run.routers)
        ]

    def router(self, number: int) -> Admission:
        """Return the router that the balancer chose; the oracle is one for all."""
        return self.routers[0 if self.run.fault == 'oracle' else number]

    def data_centre(self, router: int) -> str:
        """Return where a router stands."""
        return self.firm.data_centres[router % len(self.firm.data_centres)]

    def now_s(self) -> float:
        """Return the seconds since the run began."""
        return self.clock.now_s() - self.began_unix_s

    async def measure(self) -> Figures:
        """Run the trace to its end and return the figures."""
        async with anyio.create_task_group() as engines:
            for engine in self.engines.values():
                engines.start_soon(engine.run)
            for router in self.routers:
                engines.start_soon(router.run)
            engines.start_soon(Faults(self).run)
            await self._offer()
            engines.cancel_scope.cancel()
        return self.tally.figures()

    async def _offer(self) -> None:
        """Send each request at its time, and wait for the last answer."""
        trace = Trace(self.firm, self.run.seed, self.run.routers)
        bursts = self.run.fault == 'bursts'
        async with anyio.create_task_group() as callers:
            for request in trace.requests(self.run.rate, self.run.until_s, bursts):
                await anyio.sleep(max(0, request.at_s - self.now_s()))
                self.tally.offered(request)
                callers.start_soon(self._serve, request)

    async def _serve(self, request: TraceRequest) -> None:
        """Have one request answered, as a router's front does."""
        router = self.router(request.router)
        routing_request = self._routing_request(request)
        tried: frozenset[str] = frozenset()
        outcome = 'again'
        while outcome == 'again':
            choice = await router.admit(routing_request, tried)
            if isinstance(choice, Refusal):
                outcome = self._refused(routing_request, request)
                break
            tried = frozenset() if len(tried) > MOST_TRIED else tried | {choice.server}
            outcome = await self._attempt(router, choice, routing_request, request)
        self.tally.ended(request, outcome)

    async def _attempt(
        self,
        router: Admission,
        choice: Choice,
        routing_request: RoutingRequest,
        request: TraceRequest,
    ) -> str:
        """Run one attempt at a server; return good, late, failed or again."""
        engine = self.engines[choice.server]
        await anyio.sleep(NETWORK_S)
        if engine.leaving or self._full(engine):
            router.ended(choice, routing_request, ok=True, used_tokens=0)
            return 'again'
        work = request.work
        job = Job(request.prompt_tokens, request.answer_tokens, work.priority, request.hashes)
        engine.submit(job)
        outcome = 'late'
        with anyio.move_on_after(max(0, routing_request.deadline_unix_s - self.clock.now_s())):
            outcome = await self._follow(router, choice, routing_request, request, job)
        if outcome == 'late':
            engine.cancel(job)
        ok = outcome != 'failed'
        used_tokens = request.prompt_tokens + request.answer_tokens if outcome == 'good' else 0
        router.ended(choice, routing_request, ok, used_tokens)
        if not ok and router.may_retry(routing_request.account):
            return 'again'
        return outcome

    async def _follow(
        self,
        router: Admission,
        choice: Choice,
        routing_request: RoutingRequest,
        request: TraceRequest,
        job: Job,
    ) -> str:
        """Follow an answer to its end, or until its engine has been dead for a while."""
        async with anyio.create_task_group() as following:
            died = partial(self._died, choice.server, following.cancel_scope)
            following.start_soon(died)
            await job.first.wait()
            router.first_token(choice, routing_request)
            took_s = self.now_s() + NETWORK_S - request.at_s
            self.tally.first_token(request, took_s, job.cached_tokens)
            await job.done.wait()
            following.cancel_scope.cancel()
        return 'good' if job.done.is_set() else 'failed'

    async def _died(self, server: str, scope: anyio.CancelScope) -> None:
        await self.engines[server].died.wait()
        await anyio.sleep(SILENCE_S)
        scope.cancel()

    def _full(self, engine: BatchingEngine) -> bool:
        """Tell whether the sidecar refuses because too much is on its engine."""
        most = self.run.most_running
        return 0 < most <= engine.running + engine.waiting

    def _refused(self, routing_request: RoutingRequest, request: TraceRequest) -> str:
        """Tell a refusal from a false one: some engine would have answered in time."""
        left_s = routing_request.deadline_unix_s - self.clock.now_s()
        could = any(
            engine.could_end_s(request.prompt_tokens, request.answer_tokens, request.hashes)
            < left_s
            for engine in self.engines.values()
        )
        return 'false_refusal' if could else 'refused'

    def _routing_request(self, request: TraceRequest) -> RoutingRequest:
        work = request.work
        return RoutingRequest(
            request_key=request.key,
            account=request.account,
            kind='engine',
            model=self.firm.model,
            service='',
            prompt_tokens=request.prompt_tokens,
            max_tokens=work.max_tokens,
            priority=work.priority,
            deadline_unix_s=self.clock.now_s() + work.deadline_s,
            data_centre=self.data_centre(request.router),
            prefix_hashes=request.hashes,
        )

    def _identity(self, number: int) -> Identity:
        return Identity(
            instance=f'router-{number}',
            role='router',
            data_centre=self.data_centre(number),
            region='one',
            address='',
            incarnation=self.run.seed,
        )

    def _on_step(self, took_s: float, requests: int) -> None:
        self.tally.step(self.now_s(), took_s, requests)


def measure(run: Run) -> Figures:
    """Make one run in virtual time."""

    async def main() -> Figures:
        return await Bench(run, EngineModel(), RoutingSettings()).measure()

    return anyio.run(main, backend='asyncio', backend_options={'loop_factory': _new_loop})


def _new_loop() -> asyncio.AbstractEventLoop:
    """Return a loop in virtual time without idle cycles: nothing here needs them."""
    return looptime.new_event_loop(start=0, noop_cycles=0, _enabled=True)
