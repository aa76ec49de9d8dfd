"""The runs of one sidecar: what it answers to routers, and its background work."""

from collections.abc import AsyncIterator, Sequence
from typing import Any

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.identity import Identity
from endivesaddle.fleet.interfaces import BackendServerClient, ServerLost
from endivesaddle.fleet.ports import FleetView, Handlers, Peers
from endivesaddle.fleet.runs.drain import Drain
from endivesaddle.fleet.runs.events import RUN_REFUSED, RUNS_SEALED
from endivesaddle.fleet.runs.execution import Execution
from endivesaddle.fleet.runs.following import follow
from endivesaddle.fleet.runs.gate import Gate, Turned
from endivesaddle.fleet.runs.run import Past, Run
from endivesaddle.fleet.runs.settings import RunSettings
from endivesaddle.fleet.runs.settlement import Settlement
from endivesaddle.fleet.runs.shelf import Shelf
from endivesaddle.wire import holders_pb2, rpcs, runs_pb2

SWEEP_S = 5.0


class Runs:
    """Runs requests on one backend server, each request key at most once.

    A run is a task of its own: neither the router that started it nor any that
    follows it has to live for it to end and be settled.
    """

    def __init__(
        self,
        settings: RunSettings,
        identity: Identity,
        client: BackendServerClient,
        peers: Peers,
        view: FleetView,
        clock: Clock,
    ) -> None:
        """Serve one backend server through ``client``."""
        self._settings = settings
        self._identity = identity
        self._client = client
        self._clock = clock
        self._started_unix_s = 0.0
        self._shelf = Shelf(settings, clock)
        self._gate = Gate(settings, identity, view, clock, self._shelf)
        self._drain = Drain(settings, self._shelf, self._gate, clock)
        self._execution = Execution(client, clock, self._shelf.make_room)
        self._settlement = Settlement(settings, peers, view, clock)
        self._tasks: anyio.abc.TaskGroup | None = None
        self._counters: dict[str, int] = {}

    def register(self, handlers: Handlers) -> None:
        """Answer the calls of runs.proto, but for orders."""
        handlers.answer(rpcs.START, self.start)
        handlers.stream(rpcs.FOLLOW, self.follow)
        handlers.answer(rpcs.CANCEL, self.cancel)
        handlers.answer(rpcs.DRAIN, self.answer_drain)
        handlers.answer(rpcs.REPORT, self.report)
        handlers.answer(rpcs.SEAL_RUNS, self.answer_seal)

    async def run(self) -> None:
        """Carry out and settle runs, and forget old ones, until cancelled."""
        self._started_unix_s = self._clock.now_s()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._keep_alive)
            try:
                await self._sweep()
            finally:
                self._tasks = None

    async def start(self, message: runs_pb2.StartRequest) -> runs_pb2.StartReply:
        """Accept a run, say that it is known, or refuse it."""
        run = self._shelf.find(message.request_key)
        if run is not None and run.digest != message.digest:
            reason = 'the request key was used with another body'
            return self._refuse(message, Turned('other_body', reason))
        if run is not None and not run.gives_way_to(message.attempt):
            self._count('known')
            return self._reply('known', run.attempt)
        turned = self._gate.check(message)
        return self._accept(message) if turned is None else self._refuse(message, turned)

    def follow(self, message: runs_pb2.FollowRequest) -> AsyncIterator[runs_pb2.Chunk]:
        """Yield an answer from an offset to its end."""
        return follow(self._settings, message, self._shelf.find(message.request_key))

    async def cancel(self, message: runs_pb2.CancelRequest) -> runs_pb2.CancelReply:
        """Cancel a run; a router cancels only what nobody else may want."""
        run = self._shelf.find(message.request_key)
        if run is None or message.attempt > run.attempt:
            return self._cancel_before_start(message)
        if message.attempt not in {0, run.attempt}:
            return runs_pb2.CancelReply(reason=f'attempt {run.attempt} runs here')
        if isinstance(run, Past) or not run.running:
            return runs_pb2.CancelReply(reason='the run has ended', not_run=run.not_run)
        run.cancel(message.reason or 'cancelled by the caller')
        return runs_pb2.CancelReply(cancelled=True)

    async def answer_drain(self, message: runs_pb2.DrainRequest) -> runs_pb2.DrainReply:
        """Take no new runs any more; say how many go on."""
        self._drain.begin(message.reason)
        return runs_pb2.DrainReply(running=len(self._shelf.running()))

    async def report(self, _: runs_pb2.LoadRequest) -> runs_pb2.Load:
        """Return the load of the backend server, as far as it tells."""
        try:
            load = await self._client.load()
        except ServerLost:
            load = runs_pb2.Load()
        load.server = self._identity.server
        load.running = max(load.running, len(self._shelf.running()))
        load.at_unix_s = self._clock.now_s()
        load.leaving = self._gate.leaving()
        return load

    async def answer_seal(self, message: holders_pb2.SealRequest) -> holders_pb2.SealReply:
        """Seal epochs and report what was begun under them."""
        return holders_pb2.SealReply(
            sealed=True,
            instance=self._identity.instance,
            incarnation=str(self._identity.incarnation),
            started_unix_s=self._started_unix_s,
            records=await self.seal(message),
        )

    async def seal(self, message: holders_pb2.SealRequest) -> Sequence[holders_pb2.Record]:
        """Start nothing more under the sealed epochs; report what was begun."""
        self._gate.seals.seal(message)
        records = self._shelf.under_seal(message)
        RUNS_SEALED.log(shard=message.shard, below_epoch=message.below_epoch, found=len(records))
        return records

    async def drain(self, deadline_unix_s: float) -> None:
        """Take no new runs; return when the last has ended, was fetched and settled.

        Returns at the deadline at the latest.  ``run`` has to go on meanwhile.
        """
        self._drain.begin('told to stop')
        await self._drain.wait(deadline_unix_s)

    def dump(self) -> dict[str, Any]:
        """Return the state for the dump of the process."""
        return {
            'leaving': self._gate.leaving(),
            'newest_revision': self._gate.newest_revision,
            'counters': self.counters(),
            'runs': [run.told() for run in self._shelf],
        }

    def counters(self) -> dict[str, int]:
        """Return counters for metrics."""
        return {
            **self._counters,
            'running': len(self._shelf.running()),
            'remembered': len(self._shelf),
            'kept_bytes': self._shelf.kept_bytes,
        }

    def _accept(self, message: runs_pb2.StartRequest) -> runs_pb2.StartReply:
        if self._tasks is None:
            return self._refuse(message, Turned('starting', 'the sidecar does not run yet'))
        answer = self._shelf.set_aside(message)
        if answer is None:
            return self._refuse(message, Turned('full', 'no room for another answer'))
        run = Run(message, self._identity, answer, self._clock.now_s())
        self._shelf.add(run)
        self._count('started')
        self._tasks.start_soon(self._live, run)
        return self._reply('started', message.attempt)

    async def _live(self, run: Run) -> None:
        await self._execution.carry_out(run)
        self._shelf.ended(run)
        await self._settlement.settle(run)

    async def _keep_alive(self) -> None:
        while True:
            await anyio.sleep(self._settings.keep_alive_s)
            for run in self._shelf.running():
                run.answer.wake()

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_S)
            self._shelf.sweep()
            self._gate.marks.sweep()

    def _cancel_before_start(self, message: runs_pb2.CancelRequest) -> runs_pb2.CancelReply:
        marks = self._gate.marks
        if message.incarnation != self._identity.incarnation:
            # The incarnation that was chosen may have run it before it died.
            return runs_pb2.CancelReply(reason='no such run is known to this incarnation')
        if len(marks) >= self._settings.max_remembered:
            return runs_pb2.CancelReply(reason='too many cancelled attempts are remembered')
        until_unix_s = max(self._clock.now_s() + self._settings.remember_s, message.until_unix_s)
        marks.plant(message.request_key, message.attempt, until_unix_s)
        return runs_pb2.CancelReply(not_run=True, reason='it never started and will not')

    def _refuse(self, message: runs_pb2.StartRequest, turned: Turned) -> runs_pb2.StartReply:
        self._count(f'refused_{turned.code}')
        RUN_REFUSED.log(request_key=message.request_key, code=turned.code, reason=turned.reason)
        reply = self._reply('refused', message.attempt)
        reply.code = turned.code
        reply.reason = turned.reason
        reply.not_run = turned.not_run
        return reply

    def _reply(self, verdict: str, attempt: int) -> runs_pb2.StartReply:
        return runs_pb2.StartReply(
            verdict=verdict, attempt=attempt, incarnation=self._identity.incarnation
        )

    def _count(self, name: str) -> None:
        self._counters[name] = self._counters.get(name, 0) + 1
