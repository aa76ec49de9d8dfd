"""Send one forwarded request to backend servers until it is answered or can't be retried.

The repeat kind of the route decides what may be retried.  If the request may have run and is
not repeatable, the caller gets an error that leaves open whether it ran.  If it ran nowhere, the
error says so and names a time after which to retry.
"""

import enum
from functools import partial
from typing import Any, NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.interfaces import (
    NeverSent,
    ServerLeft,
    ServerLost,
    ServerRefused,
    ServerReplaced,
)
from endivesaddle.fleet.routes import run_events as events
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
from endivesaddle.fleet.sentinels import HAS_RUN, NOT_RUN, RUN_UNKNOWN, Refusal

MIN_REMAINING_S = 0.02
"""A request with less time left is not sent: no server could answer it."""
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that tell a caller that its request did not run."""
FIRST_SERVER_ERROR = 500
SUCCESS_STATUSES = range(200, 300)

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

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


async def refuse(request: ForwardRequest, sink: Sink, refusal: Refusal) -> None:
    """Answer a request with an error of the router."""
    events.REFUSED.log(request_id=request.request_id, code=refusal.code, reason=refusal.reason)
    await sink.refuse(refusal)


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
        self._caller = caller
        self._fallback: CompleteResponse | None = None
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
        if self._current_server is not None:
            self._parts.crashes.run_timed_out(self._lost_run(self._current_server))
        if self._progress.started:
            self._log_broken('the deadline has passed')
            return
        run_state = (
            (RUN_UNKNOWN, GATEWAY_TIMEOUT) if self._progress.runs else (NOT_RUN, UNAVAILABLE)
        )
        await refuse(
            self.request, self._sink, Refusal('deadline', 'the deadline has passed', *run_state)
        )

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
        self._progress.record_not_run()
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
        self._progress.start_run()
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
        if response.misdirected:
            self._progress.record_not_run()
            placement.mark_misdirected()
            return self._log_failed(
                placement, Outcome.DECLINED, 'the address belongs to another server'
            )
        placement.apply_signals(response)
        if response.declined:
            self._progress.record_not_run()
            placement.count_declined()
            return self._log_failed(placement, Outcome.DECLINED, f'declined with {response.status}')
        if response.encoded:
            return self._log_failed(placement, Outcome.LOST, 'the body was encoded on the way')
        if response.status in SUCCESS_STATUSES and not response.sealed:
            return self._log_failed(
                placement, Outcome.LOST, 'the success lacks the seal of the server'
            )
        if self.request.route.streamed and response.status in SUCCESS_STATUSES:
            return await self._relay_stream(placement, response)
        return await self._relay_complete(placement, response)

    async def _relay_stream(self, placement: Placement, response: ServerResponse) -> Outcome:
        async for event in response.events():
            placement.first_event()
            self._run_first_event_unix_s = self._run_first_event_unix_s or self._parts.clock.now_s()
            if not self._progress.accept_event(event):
                continue
            if not self._progress.started:
                self._first_event_unix_s = self._parts.clock.now_s()
                self._progress.started = True
                self._caller.stage = Stage.STREAMING
                self.request = self._parts.streams.begin(self.request, placement.backend.server)
                await self._sink.start(response.status, response.headers)
            await self._sink.write(event)
        if not self._progress.started:
            await self._sink.start(response.status, response.headers)
        await self._sink.finish()
        self._log_answered(placement, response.status)
        return Outcome.DONE

    async def _relay_complete(self, placement: Placement, response: ServerResponse) -> Outcome:
        body = await response.whole()
        complete = CompleteResponse(response.status, response.headers, body)
        if response.status >= FIRST_SERVER_ERROR:
            if self._progress.started or response.status in NOT_RUN_STATUSES:
                return self._log_failed(placement, Outcome.LOST, f'it answered {response.status}')
            self._fallback = complete
            return self._log_failed(placement, Outcome.FAILED, f'it answered {response.status}')
        await self._reply(complete)
        self._log_answered(placement, complete.status)
        return Outcome.DONE

    async def _reply(self, complete: CompleteResponse) -> None:
        # A slow caller may still be reading this response when the deadline passes: no other
        # answer may follow it then.
        self._progress.started = True
        await self._sink.reply(complete.status, complete.headers, complete.body)

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
        if self._progress.started:
            self._log_broken(refusal.reason)
        elif self._fallback:
            await self._reply(self._fallback)
        elif self._progress.runs:
            run_state = HAS_RUN if self._progress.events else RUN_UNKNOWN
            await refuse(
                self.request,
                self._sink,
                Refusal('server_lost', refusal.reason, run_state, BAD_GATEWAY),
            )
        else:
            await refuse(self.request, self._sink, refusal)

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
