"""Send one forwarded request to servers until it is answered or nothing more can be done.

What may be sent again follows from the route's kind.  A request that may have
run and can't be repeated gets an answer that promises nothing; one that ran
nowhere is told so, and when to come back.
"""

import enum
from typing import NamedTuple

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.interfaces import NeverSent, ServerLeft, ServerLost, ServerRefused
from endivesaddle.fleet.routes import run_events as events
from endivesaddle.fleet.routes.crash_detection import CrashDetector
from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routes.forwarded import (
    ForwardRequest,
    ServerCall,
    ServerConnections,
    ServerResponse,
    Sink,
)
from endivesaddle.fleet.routes.progress import Progress
from endivesaddle.fleet.routing.dispatcher import Dispatcher, Placement
from endivesaddle.fleet.sentinels import HAS_RUN, NOT_RUN, RUN_UNKNOWN, Refusal

LEAST_LEFT_S = 0.02
"""With less time left a request is not sent: no server could answer it."""
PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that tell a caller that its request did not run."""
FAILURES = 500
SUCCESSES = range(200, 300)

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class Outcome(enum.Enum):
    """What came of one sending."""

    DONE = 'done'
    NOT_SENT = 'not_sent'
    DECLINED = 'declined'
    FAILED = 'failed'
    LOST = 'lost'


class Whole(NamedTuple):
    """A whole answer that was kept back, to be passed on if nothing better comes."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ExecutionParts(NamedTuple):
    """What requests are carried with."""

    dispatcher: Dispatcher
    links: ServerConnections
    clock: Clock
    crashes: CrashDetector


async def refuse(request: ForwardRequest, sink: Sink, refusal: Refusal) -> None:
    """Give a request an answer of the router's own."""
    events.REFUSED.log(request_id=request.request_id, code=refusal.code, reason=refusal.reason)
    await sink.refuse(refusal)


class Execution:
    """One request under way."""

    def __init__(
        self, parts: ExecutionParts, request: ForwardRequest, sink: Sink, progress: Progress
    ) -> None:
        """Carry ``request``, answering to ``sink``."""
        self.request = request
        self._parts = parts
        self._sink = sink
        self._progress = progress
        self._kept: Whole | None = None
        self._first_unix_s = 0.0
        self._tried: set[str] = set()
        self._at: RouteServer | None = None
        self._sent_unix_s = 0.0

    async def run(self) -> None:
        """Send it until it is answered or nothing more can be done."""
        while True:
            placement = await self._parts.dispatcher.place(self.request, frozenset(self._tried))
            if isinstance(placement, Refusal):
                await self._give_up(placement)
                return
            self._tried.add(placement.backend.server.lifetime)
            self._at = placement.backend.server
            self._sent_unix_s = self._parts.clock.now_s()
            outcome = await self._send(placement)
            self._at = None
            if outcome is Outcome.DONE or not await self._again(outcome):
                return

    async def timed_out(self) -> None:
        """Answer at the end of the time that the request had."""
        if self._at is not None:
            self._parts.crashes.hung(self.request.digest(), self._at, self._sent_unix_s)
        if self._progress.started:
            self._log_broken('the time is over')
            return
        told = (RUN_UNKNOWN, GATEWAY_TIMEOUT) if self._progress.runs else (NOT_RUN, UNAVAILABLE)
        await refuse(self.request, self._sink, Refusal('deadline', 'the time is over', *told))

    async def _send(self, placement: Placement) -> Outcome:
        """Send it to one server and pass on what comes."""
        request = self.request
        server = placement.backend.server
        call = self._call(placement)
        events.PLACED.log(
            request_id=request.request_id,
            server=server.lifetime,
            sending=len(self._tried),
            unread_tokens=placement.uncached_tokens,
            in_flight=placement.backend.in_flight,
            reading_tokens=placement.backend.prefilling_tokens,
            servers_heard_s=self._parts.dispatcher.server_list_age_s(),
        )
        placement.start()
        self._progress.sent()
        well = False
        try:
            async with self._parts.links.exchange(call) as answer:
                outcome = await self._answered(placement, answer)
                well = outcome in {Outcome.DONE, Outcome.DECLINED}
                return outcome
        except ServerLeft as error:
            self._progress.not_run()
            well = True
            return self._failed(placement, Outcome.NOT_SENT, str(error))
        except NeverSent as error:
            self._progress.not_run()
            placement.mark_unreachable(isinstance(error, ServerRefused))
            return self._failed(placement, Outcome.NOT_SENT, str(error))
        except ServerLost as error:
            return await self._lost(placement, str(error))
        finally:
            placement.finish(well)

    async def _lost(self, placement: Placement, reason: str) -> Outcome:
        """Learn from a run that broke whether its server ended, and under which request."""
        outcome = self._failed(placement, Outcome.LOST, reason)
        server = placement.backend.server
        if await self._parts.crashes.broke(self.request.digest(), server, self._sent_unix_s):
            placement.mark_unreachable(process_ended=True)
        return outcome

    def _call(self, placement: Placement) -> ServerCall:
        last_event = self._progress.last_event
        request = self.request
        return ServerCall(
            request,
            placement.backend.server,
            request.end_unix_s,
            last_event,
            placement.may_send,
        )

    def _failed(self, placement: Placement, outcome: Outcome, reason: str) -> Outcome:
        events.SENDING_FAILED.log(
            request_id=self.request.request_id,
            server=placement.backend.server.lifetime,
            outcome=outcome.value,
            events=self._progress.events,
            # Tells which attempts are the same request: each has an id of its own.
            digest=self.request.digest() if outcome is Outcome.LOST else '',
            reason=reason,
        )
        return outcome

    async def _answered(self, placement: Placement, answer: ServerResponse) -> Outcome:
        if answer.misdirected:
            self._progress.not_run()
            placement.mark_misdirected()
            return self._failed(placement, Outcome.DECLINED, 'another server has the address')
        placement.apply_signals(answer)
        if answer.declined:
            self._progress.not_run()
            placement.count_declined()
            return self._failed(placement, Outcome.DECLINED, f'declined with {answer.status}')
        if not answer.own:
            return self._failed(placement, Outcome.LOST, 'the answer of another request')
        if answer.status in SUCCESSES and not answer.sealed:
            return self._failed(
                placement, Outcome.LOST, 'a success that the server does not vouch for'
            )
        if self.request.route.streamed and answer.status in SUCCESSES:
            return await self._stream(placement, answer)
        return await self._pass_whole(placement, answer)

    async def _stream(self, placement: Placement, answer: ServerResponse) -> Outcome:
        async for event in answer.events():
            placement.first_event()
            if not self._progress.fresh(event):
                continue
            if not self._progress.started:
                self._first_unix_s = self._parts.clock.now_s()
                self._progress.started = True
                await self._sink.start(answer.status, answer.headers)
            await self._sink.write(event)
        if not self._progress.started:
            await self._sink.start(answer.status, answer.headers)
        await self._sink.finish()
        self._log_answered(placement, answer.status)
        return Outcome.DONE

    async def _pass_whole(self, placement: Placement, answer: ServerResponse) -> Outcome:
        body = await answer.whole()
        whole = Whole(answer.status, answer.headers, body)
        if answer.status >= FAILURES:
            if self._progress.started or answer.status in PROMISES:
                return self._failed(placement, Outcome.LOST, f'it answered {answer.status}')
            self._kept = whole
            return self._failed(placement, Outcome.FAILED, f'it answered {answer.status}')
        await self._pass_on(whole)
        self._log_answered(placement, whole.status)
        return Outcome.DONE

    async def _pass_on(self, whole: Whole) -> None:
        # A caller that reads slowly may still take it when the time is over: the answer
        # that stands then must not be followed by another.
        self._progress.started = True
        await self._sink.reply(whole.status, whole.headers, whole.body)

    async def _again(self, outcome: Outcome) -> bool:
        """Tell whether to send it again; else give the final answer at once."""
        reason = self._why_not_again(outcome)
        request_id = self.request.request_id
        if reason:
            events.NOT_SENT_AGAIN.log(request_id=request_id, outcome=outcome.value, reason=reason)
            await self._give_up(self._parts.dispatcher.refuse_overloaded(self.request, reason))
            return False
        events.SENT_AGAIN.log(
            request_id=request_id,
            outcome=outcome.value,
            runs=self._progress.runs,
            last_event=self._progress.last_event,
        )
        return True

    def _why_not_again(self, outcome: Outcome) -> str:
        request = self.request
        if outcome in {Outcome.FAILED, Outcome.LOST} and not request.route.repeatable:
            return 'it may have run and can not be repeated'
        if self._parts.dispatcher.check_held_back(request) is not None:
            return 'servers ended while they ran it'
        if self._progress.runs >= request.route.max_attempts:
            return f'it ran on {self._progress.runs} servers'
        if request.end_unix_s - self._parts.clock.now_s() < LEAST_LEFT_S:
            return 'too little time is left'
        if outcome is not Outcome.NOT_SENT and not self._parts.dispatcher.may_retry(request):
            return 'the share of repeats is used up'
        return ''

    async def _give_up(self, refusal: Refusal) -> None:
        """Give the final answer: what a server said, what is known, or when to come back."""
        if self._progress.started:
            self._log_broken(refusal.reason)
        elif self._kept:
            await self._pass_on(self._kept)
        elif self._progress.runs:
            known = HAS_RUN if self._progress.events else RUN_UNKNOWN
            await refuse(
                self.request, self._sink, Refusal('server_lost', refusal.reason, known, BAD_GATEWAY)
            )
        else:
            await refuse(self.request, self._sink, refusal)

    def _log_broken(self, reason: str) -> None:
        # The head is with the caller: left without its end, the connection is closed, and
        # every HTTP client reports a cut answer.
        events.BROKEN.log(
            request_id=self.request.request_id, events=self._progress.events, reason=reason
        )

    def _log_answered(self, placement: Placement, status: int) -> None:
        now_unix_s = self._parts.clock.now_s()
        if status in SUCCESSES:
            self._parts.dispatcher.record_success(self.request)
        first_s = (self._first_unix_s or now_unix_s) - self.request.began_unix_s
        events.ANSWERED.log(
            request_id=self.request.request_id,
            server=placement.backend.server.lifetime,
            status=status,
            events=self._progress.events,
            first_s=round(first_s, 4),
            took_s=round(now_unix_s - self.request.began_unix_s, 4),
        )
