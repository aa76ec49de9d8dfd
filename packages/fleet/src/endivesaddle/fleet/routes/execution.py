"""Send one forwarded request to backend servers until it is answered or can't be retried.

The repeat kind of the route decides what may be retried.  If the request may have run and is
not repeatable, the caller gets an error that leaves open whether it ran.  If it ran nowhere, the
error says so and names a time after which to retry.
"""

import enum
from functools import partial
from typing import Any, NamedTuple

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.interfaces import (
    BodyTooLong,
    NeverSent,
    ServerLeft,
    ServerLost,
    ServerRefused,
    ServerReplaced,
)
from endivesaddle.fleet.routes import response_events
from endivesaddle.fleet.routes import run_events as events
from endivesaddle.fleet.routes.attempts import MISDIRECTED, Proof, judge
from endivesaddle.fleet.routes.caller_answer import DEADLINE, CallerAnswer
from endivesaddle.fleet.routes.crash_detection import CrashDetector, LostRun
from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routes.departures import Caller, CallerLeft, Stage
from endivesaddle.fleet.routes.forwarded import (
    ForeignResponse,
    ForwardRequest,
    ServerCall,
    ServerConnections,
    ServerResponse,
    Sink,
    foreign_response,
)
from endivesaddle.fleet.routes.progress import Progress
from endivesaddle.fleet.routes.stream_resumption import StreamResumption
from endivesaddle.fleet.routing.dispatcher import Dispatcher, Placement
from endivesaddle.fleet.routing.retry_share import RetryDecision
from endivesaddle.fleet.sentinels import NOT_RUN, Refusal

MIN_REMAINING_S = 0.02
"""A request with less time left is not sent: no server could answer it."""
REST_S = 0.1
"""Time-out of a body that nobody gets."""
FIRST_SERVER_ERROR = 500
SUCCESS_STATUSES = range(200, 300)

UNAVAILABLE = 503

USED_UP = 'the retry share of the service is used up'


class Outcome(enum.Enum):
    """The result of one attempt at a backend server."""

    DONE = 'done'
    NOT_SENT = 'not_sent'
    DECLINED = 'declined'
    FAILED = 'failed'
    LOST = 'lost'


class CompleteResponse(NamedTuple):
    """A complete response of a server, held back in case no attempt gets a better one."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ExecutionParts(NamedTuple):
    """Collaborators that all executions of a router share."""

    dispatcher: Dispatcher
    links: ServerConnections
    clock: Clock
    crashes: CrashDetector
    streams: StreamResumption


class Execution:
    """The execution of one request, over all its attempts."""

    def __init__(
        self,
        parts: ExecutionParts,
        request: ForwardRequest,
        sink: Sink,
        progress: Progress,
        caller: Caller,
    ) -> None:
        """Execute ``request`` of ``caller`` and write the answer to ``sink``."""
        self.request = request
        self._parts = parts
        self._sink = sink
        self._progress = progress
        self._attempts = progress.attempts
        self._answer = CallerAnswer(request.request_id, sink, progress.attempts)
        self._caller = caller
        self._fallback: CompleteResponse | None = None
        self._relays_long = False
        self._first_event_unix_s = 0.0
        self._run_first_event_unix_s = 0.0
        self._tried: set[str] = set()
        self._current_server: RouteServer | None = None
        self._sent_unix_s = 0.0
        self._retry_decision: RetryDecision | None = None
        self._unsent_retry: RetryDecision | None = None

    async def run(self) -> None:
        """Send the request until it is answered or can't be retried.

        Raises ``CallerLeft`` if nobody waits for the answer any more.
        """
        try:
            await self._run()
        finally:
            if self._unsent_retry is not None:
                self._parts.dispatcher.refund_retry(self._unsent_retry)

    async def timed_out(self) -> None:
        """Answer a request whose deadline has passed."""
        if self._current_server is not None and self._attempts.last_may_have_run:
            self._parts.crashes.run_timed_out(self._lost_run(self._current_server))
        if self._answer.started:
            self._log_broken('the deadline has passed')
            return
        refusal = Refusal('deadline', 'the deadline has passed', NOT_RUN, UNAVAILABLE)
        await self._answer.refuse(refusal, DEADLINE)

    async def _run(self) -> None:
        while True:
            self._caller.check()
            self._caller.stage = Stage.RETRYING if self._tried else Stage.PLACING
            placement = await self._parts.dispatcher.place(self.request, frozenset(self._tried))
            if isinstance(placement, Refusal):
                await self._finish_unanswered(placement)
                return
            self._tried.add(placement.backend.server.lifetime)
            self._current_server = placement.backend.server
            self._attempts.begin(placement.backend.server.lifetime)
            self._sent_unix_s = self._parts.clock.now_s()
            self._run_first_event_unix_s = 0.0
            outcome = await self._send(placement)
            self._current_server = None
            if outcome is Outcome.DONE or not await self._retry_or_finish(outcome):
                return

    async def _send(self, placement: Placement) -> Outcome:
        """Send the request to one server and relay its response."""
        request = self.request
        server = placement.backend.server
        call = self._server_call(placement)
        events.PLACED.log(
            request_id=request.request_id,
            server=server.lifetime,
            sending=len(self._tried),
            unread_tokens=placement.uncached_tokens,
            in_flight=placement.backend.in_flight,
            reading_tokens=placement.backend.prefilling_tokens,
            source=placement.source.server.lifetime if placement.source else '',
            servers_heard_s=self._parts.dispatcher.server_list_age_s(),
            version=server.version,
            last_event=self._progress.last_event,
        )
        placement.start()
        self._caller.stage = Stage.CONNECTING
        success = False
        try:
            async with self._parts.links.exchange(call) as response:
                outcome = await self._handle_response(placement, response)
                success = outcome in {Outcome.DONE, Outcome.DECLINED}
                return outcome
        except CallerLeft:
            success = True
            raise
        except NeverSent as error:
            success = isinstance(error, ServerLeft)
            return self._handle_never_sent(placement, error)
        except ServerLost as error:
            return await self._handle_lost(placement, str(error))
        finally:
            placement.finish(success)
            self._caller.ended(server.lifetime, self._progress.events)

    def _handle_never_sent(self, placement: Placement, error: NeverSent) -> Outcome:
        self._record_not_run(Proof.NOT_WRITTEN)
        if isinstance(error, ServerReplaced):
            placement.mark_unproven()
        elif not isinstance(error, ServerLeft):
            placement.mark_unreachable(isinstance(error, ServerRefused))
        return self._log_failed(placement, Outcome.NOT_SENT, str(error))

    async def _handle_lost(self, placement: Placement, reason: str) -> Outcome:
        """Check after a broken run whether the process of the server ended."""
        outcome = self._log_failed(placement, Outcome.LOST, reason)
        server = placement.backend.server
        if await self._parts.crashes.run_broke(self._lost_run(server)):
            placement.mark_unreachable(process_ended=True)
        return outcome

    def _lost_run(self, server: RouteServer) -> LostRun:
        return LostRun(
            self.request.crash_subjects(),
            server,
            self._sent_unix_s,
            self._run_first_event_unix_s,
        )

    def _server_call(self, placement: Placement) -> ServerCall:
        last_event = self._progress.last_event
        request = self.request
        return ServerCall(
            request,
            placement.backend.server,
            request.end_unix_s,
            last_event,
            partial(self._may_send, placement),
            placement.source.server if placement.source else None,
        )

    def _may_send(self, placement: Placement) -> bool:
        """Return whether the server still accepts the request, which is sent right after this.

        The event loop may not have read a close yet, whatever the request waited for: it is read
        in the next turn, and the request is sent in this one.
        """
        self._caller.check()
        if not placement.may_send() or not self._renew_retry():
            return False
        self._caller.sent(placement.backend.server.lifetime)
        self._attempts.mark_sent()
        return True

    def _renew_retry(self) -> bool:
        """Pay for the retry that is about to be sent, if it is one; return False if refused."""
        if self._unsent_retry is None:
            return True
        self._retry_decision = self._parts.dispatcher.renew_retry(self._unsent_retry)
        self._unsent_retry = None
        return self._retry_decision.granted

    def _log_foreign(
        self, placement: Placement, foreign: ForeignResponse, request_state: str
    ) -> None:
        events.FOREIGN_RESPONSE.log(
            request_id=self.request.request_id,
            server=placement.backend.server.lifetime,
            answered_id=foreign.answered_id,
            status=foreign.status,
            declined=foreign.declined,
            signals=foreign.signals,
            request_state=request_state,
        )

    def _log_failed(self, placement: Placement, outcome: Outcome, reason: str) -> Outcome:
        events.SENDING_FAILED.log(
            request_id=self.request.request_id,
            server=placement.backend.server.lifetime,
            outcome=outcome.value,
            events=self._progress.events,
            # Identifies attempts of the same request, since each attempt has its own id.
            digest=self.request.digest() if outcome is Outcome.LOST else '',
            reason=reason,
        )
        return outcome

    async def _handle_response(self, placement: Placement, response: ServerResponse) -> Outcome:
        # Nothing that a response says counts before it is known to answer this request.
        if response.skipped is not None:
            self._log_foreign(placement, response.skipped, 'passed over')
        if not response.own:
            self._log_foreign(placement, foreign_response(response), 'given up')
            return self._log_failed(
                placement, Outcome.LOST, 'the response belongs to another request'
            )
        return await self._handle_own(placement, response)

    async def _handle_own(self, placement: Placement, response: ServerResponse) -> Outcome:
        """Handle the response to this request."""
        _learn_of_server(placement, response)
        if response.sealed:
            self._attempts.mark_ran()
        judgement = judge(response)
        if judgement.proof is not Proof.NONE:
            return self._handle_refused(placement, response, judgement.proof)
        if judgement.flaw:
            return await self._handle_unproven(placement, response, judgement.flaw)
        if response.encoded:
            return self._log_failed(placement, Outcome.LOST, 'the body was encoded on the way')
        if response.status in SUCCESS_STATUSES and not response.sealed:
            return self._log_failed(
                placement, Outcome.LOST, 'the success lacks the seal of the server'
            )
        if self.request.route.streamed and response.status in SUCCESS_STATUSES:
            return await self._relay_stream(placement, response)
        return await self._relay_complete(placement, response)

    def _handle_refused(
        self, placement: Placement, response: ServerResponse, proof: Proof
    ) -> Outcome:
        self._record_not_run(proof, response.status)
        if proof is Proof.MISDIRECTED:
            reason = 'the address belongs to another server'
        else:
            placement.count_declined()
            reason = f'declined with {response.status}'
        return self._log_failed(placement, Outcome.DECLINED, reason)

    async def _handle_unproven(
        self, placement: Placement, response: ServerResponse, flaw: str
    ) -> Outcome:
        """Handle a response that says, but does not prove, that the request did not run."""
        events.UNPROVEN_REFUSAL.log(
            request_id=self.request.request_id,
            server=placement.backend.server.lifetime,
            sending=len(self._tried),
            status=response.status,
            declined=response.declined,
            sealed=response.sealed,
            flaw=flaw,
        )
        # The server has answered: it has not crashed, whatever becomes of the body.
        self._current_server = None
        if response.status not in SUCCESS_STATUSES:
            # A response that is read to its end leaves the connection usable.
            with anyio.move_on_after(REST_S):
                await response.whole()
        return self._log_failed(placement, Outcome.LOST, f'it answered {response.status} {flaw}')

    def _record_not_run(self, proof: Proof, status: int = 0) -> None:
        if self._attempts.mark_not_run(proof, status):
            events.ATTEMPT_NOT_RUN.log(
                request_id=self.request.request_id,
                **self._attempts.last(),
                runs=self._progress.runs,
            )

    async def _relay_stream(self, placement: Placement, response: ServerResponse) -> Outcome:
        async for event in response.events():
            placement.first_event()
            self._run_first_event_unix_s = self._run_first_event_unix_s or self._parts.clock.now_s()
            if not self._progress.accept_event(event):
                continue
            if not self._answer.started:
                self._first_event_unix_s = self._parts.clock.now_s()
                self._caller.stage = Stage.STREAMING
                self.request = self._parts.streams.begin(self.request, placement.backend.server)
                await self._answer.start(response.status, response.headers)
            await self._sink.write(event)
        if not self._answer.started:
            await self._answer.start(response.status, response.headers)
        await self._sink.finish()
        self._log_answered(placement, response.status)
        return Outcome.DONE

    async def _relay_complete(self, placement: Placement, response: ServerResponse) -> Outcome:
        try:
            body = await response.whole()
        except BodyTooLong as error:
            response_events.NOT_HELD.log(
                request_id=self.request.request_id,
                server=placement.backend.server.lifetime,
                status=response.status,
                reason=str(error),
            )
            return await self._relay_long(placement, response)
        complete = CompleteResponse(response.status, response.headers, body)
        if self._answer.started:
            # The caller is reading a stream, into which no second head can be sent.
            return self._log_failed(placement, Outcome.LOST, f'it answered {response.status}')
        if response.status >= FIRST_SERVER_ERROR:
            self._fallback = complete
            return self._log_failed(placement, Outcome.FAILED, f'it answered {response.status}')
        await self._answer.relay(*complete)
        self._log_answered(placement, complete.status)
        return Outcome.DONE

    async def _relay_long(self, placement: Placement, response: ServerResponse) -> Outcome:
        """Relay a body that is too long to be held back; from here on no retry can replace it."""
        if self._answer.started:
            raise ServerLost('a long body can not follow the events of a stream')
        self._relays_long = True
        self._caller.stage = Stage.STREAMING
        await self._answer.start(response.status, (*response.headers, *response.length))
        async for chunk in response.rest():
            await self._sink.write(chunk)
        await self._sink.finish()
        self._log_answered(placement, response.status)
        return Outcome.DONE

    async def _retry_or_finish(self, outcome: Outcome) -> bool:
        """Return whether to retry after ``outcome``; if not, send the final answer."""
        reason = self._retry_obstacle(outcome)
        request_id = self.request.request_id
        budget: dict[str, Any] = self._retry_decision.logged() if self._retry_decision else {}
        if reason:
            events.NOT_SENT_AGAIN.log(
                request_id=request_id, outcome=outcome.value, reason=reason, **budget
            )
            await self._finish_unanswered(
                self._parts.dispatcher.refuse_overloaded(self.request, reason)
            )
            return False
        events.SENT_AGAIN.log(
            request_id=request_id,
            outcome=outcome.value,
            runs=self._progress.runs,
            last_event=self._progress.last_event,
            **budget,
        )
        return True

    def _retry_obstacle(self, outcome: Outcome) -> str:
        request = self.request
        if self._relays_long:
            return 'a part of the body has been relayed'
        if outcome in {Outcome.FAILED, Outcome.LOST} and not request.route.repeatable:
            return 'it may have run and is not repeatable'
        if self._parts.dispatcher.check_held_back(request) is not None:
            return 'servers crashed while they ran it'
        if self._progress.runs >= request.route.max_attempts:
            return f'it ran on {self._progress.runs} servers'
        if request.end_unix_s - self._parts.clock.now_s() < MIN_REMAINING_S:
            return 'too little time is left before the deadline'
        if outcome is not Outcome.NOT_SENT:
            self._retry_decision = self._parts.dispatcher.decide_retry(request, outcome.value)
            self._unsent_retry = self._retry_decision if self._retry_decision.granted else None
        refused = self._retry_decision is not None and not self._retry_decision.granted
        return USED_UP if refused else ''

    async def _finish_unanswered(self, refusal: Refusal) -> None:
        """Send the final answer: a held-back response, or an error that tells whether it ran."""
        if self._answer.started:
            self._log_broken(refusal.reason)
        elif self._fallback:
            await self._answer.relay(*self._fallback)
        else:
            await self._answer.refuse(refusal)

    def _log_broken(self, reason: str) -> None:
        # The caller already has the head.  The connection is closed before the end of the body,
        # which every HTTP client reports as a truncated response.
        events.BROKEN.log(
            request_id=self.request.request_id, events=self._progress.events, reason=reason
        )

    def _log_answered(self, placement: Placement, status: int) -> None:
        now_unix_s = self._parts.clock.now_s()
        if status in SUCCESS_STATUSES:
            began_unix_s = self._run_first_event_unix_s or self._sent_unix_s
            self._parts.dispatcher.record_success(self.request, began_unix_s)
        first_s = (self._first_event_unix_s or now_unix_s) - self.request.began_unix_s
        events.ANSWERED.log(
            request_id=self.request.request_id,
            server=placement.backend.server.lifetime,
            status=status,
            events=self._progress.events,
            first_s=round(first_s, 4),
            took_s=round(now_unix_s - self.request.began_unix_s, 4),
        )


def _learn_of_server(placement: Placement, response: ServerResponse) -> None:
    """Apply what a response to this request says of its server."""
    if response.status != MISDIRECTED:
        placement.apply_signals(response)
    elif not response.sealed:
        placement.mark_misdirected()
