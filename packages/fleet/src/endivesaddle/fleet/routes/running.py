"""Serve forwarded requests: reserve tokens, execute until the deadline, settle."""

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.routes import run_events as events
from endivesaddle.fleet.routes.caller_answer import refuse_unsent
from endivesaddle.fleet.routes.crash_detection import CrashDetector
from endivesaddle.fleet.routes.departures import Caller, CallerLeft, Departures, Stage
from endivesaddle.fleet.routes.execution import Execution, ExecutionParts
from endivesaddle.fleet.routes.forwarded import ForwardRequest, ServerConnections, Sink
from endivesaddle.fleet.routes.prepaid_pools import PrepaidPools
from endivesaddle.fleet.routes.progress import Progress
from endivesaddle.fleet.routes.reservation import Reservation
from endivesaddle.fleet.routes.stream_resumption import StreamResumption
from endivesaddle.fleet.routing.dispatcher import Dispatcher
from endivesaddle.fleet.sentinels import Refusal

GRACE_S = 0.03
"""A server's own answer at the deadline may arrive this late and still counts."""


class Runner:
    """Serves the forwarded requests of one router."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        pools: PrepaidPools,
        links: ServerConnections,
        clock: Clock,
        departures: Departures | None = None,
        streams: StreamResumption | None = None,
    ) -> None:
        """Send requests over ``links``."""
        crashes = CrashDetector(dispatcher.crashes, dispatcher.routing_state, links, clock)
        self.streams = streams or StreamResumption(clock)
        self.parts = ExecutionParts(dispatcher, links, clock, crashes, self.streams)
        self.departures = departures or Departures(clock)
        self._pools = pools

    async def serve(
        self, request: ForwardRequest, sink: Sink, caller: Caller | None = None
    ) -> None:
        """Answer a request; if the call is cancelled, its reservation is settled too.

        Without a ``caller``, only a cancellation tells that nobody waits for the answer.
        """
        caller = caller or self.departures.caller(request.request_id)
        refusal = self.parts.dispatcher.check_held_back(request)
        if refusal is not None:
            await refuse_unsent(request.request_id, sink, refusal)
            return
        if request.takes_up:
            caller.stage = Stage.RESUMING
            taken_up = await self.streams.take_up(request)
            if isinstance(taken_up, Refusal):
                await refuse_unsent(request.request_id, sink, taken_up)
                return
            request = taken_up
        reservation: Reservation | Refusal = Reservation(None, 0)
        if request.account is not None:
            caller.stage = Stage.RESERVING
            reservation = await self._pools.reserve(
                request.account, request.cost_tokens, request.request_id, request.end_unix_s
            )
        if isinstance(reservation, Refusal):
            await refuse_unsent(request.request_id, sink, reservation)
            return
        progress = Progress(request, self.parts.dispatcher.event_tokens(request))
        try:
            await self._run_until_deadline(Execution(self.parts, request, sink, progress, caller))
        except CallerLeft:
            return
        finally:
            reservation.settle(progress.spent_tokens)
            events.SETTLED.log(
                request_id=request.request_id,
                account=request.account.name if request.account else '',
                reserved_tokens=reservation.tokens,
                spent_tokens=progress.spent_tokens,
                runs=progress.runs,
                events=progress.events,
            )

    async def _run_until_deadline(self, execution: Execution) -> None:
        remaining_s = execution.request.end_unix_s + GRACE_S - self.parts.clock.now_s()
        limit = anyio.move_on_after(max(0, remaining_s))
        with limit:
            await execution.run()
        if limit.cancelled_caught:
            await execution.timed_out()
