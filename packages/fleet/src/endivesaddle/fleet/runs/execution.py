"""Carry out a run: send the request to the backend server and keep its answer."""

from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import cast

import anyio

from endivesaddle.fleet.clock import Clock, left_s
from endivesaddle.fleet.interfaces import BackendServerClient, EngineEvent, NeverSent, ServerLost
from endivesaddle.fleet.runs.events import OVER_REPORTED, RUN_ENDED, USAGE_MISSING
from endivesaddle.fleet.runs.run import ANSWERED, CANCELLED, FAILED, UNKNOWN, Run
from endivesaddle.wire import runs_pb2

ENGINE = 'engine'
REFUSING_STATUS = frozenset((429, 502, 503, 504))
"""Answers of an engine that did not generate: a repeatable request goes elsewhere."""


class RunBroken(Exception):
    """The run was broken off by the sidecar itself; ``end`` tells what is known."""

    def __init__(self, end: runs_pb2.End) -> None:
        """Carry the end of the run."""
        super().__init__(end.reason)
        self.end = end


class Execution:
    """Carries out runs on one backend server, each as a task of its own."""

    def __init__(
        self, client: BackendServerClient, clock: Clock, make_room: Callable[[Run, int], bool]
    ) -> None:
        """``make_room(run, more_bytes)`` tells whether an answer may grow."""
        self._client = client
        self._clock = clock
        self._make_room = make_room

    async def carry_out(self, run: Run) -> None:
        """Carry out a run to its end, which is always told to the answer.

        The caller's deadline is a cancel of its own, so that the backend server
        stops at it even when every router is gone.
        """
        if run.cancel_reason:
            # Cancelled before this task's first step: the backend server has heard nothing.
            run.finish(self._clock.now_s(), _cancelled(run, not_run=True))
            return
        end = None
        with run.scope:
            with anyio.move_on_after(left_s(self._clock, run.message.deadline_unix_s)):
                end = await self._outcome(run)
        if end is None:
            end = _cancelled(run, not_run=False)
        if end.outcome in {CANCELLED, UNKNOWN}:
            # A plain service that was called may have done its work: its price is due.
            run.used_tokens = max(run.used_tokens, run.message.cost_tokens)
        run.finish(self._clock.now_s(), end)
        RUN_ENDED.log(request_key=run.key, outcome=end.outcome, used_tokens=end.used_tokens)

    async def _outcome(self, run: Run) -> runs_pb2.End:
        try:
            return await self._relay(run)
        except NeverSent as error:
            return runs_pb2.End(outcome=FAILED, code='not_sent', reason=str(error), not_run=True)
        except ServerLost as error:
            # A request that may not be repeated may have run to its end on the
            # server: "failed" would invite a second run, so it is "unknown".
            outcome = FAILED if run.message.may_repeat else UNKNOWN
            return runs_pb2.End(outcome=outcome, code='server_lost', reason=str(error))
        except RunBroken as error:
            return error.end

    async def _relay(self, run: Run) -> runs_pb2.End:
        ended = False
        # Closing at once is what cancels the work on the backend server; left to
        # the garbage collector it would go on generating for nobody.
        stream = cast(AsyncGenerator[EngineEvent, None], self._client.run(run.message))
        async with aclosing(stream) as events:
            async for event in events:
                self._take(run, event)
                ended = event.ended
        if not ended:
            raise ServerLost('the answer stopped without an end')
        return runs_pb2.End(outcome=ANSWERED)

    def _take(self, run: Run, event: EngineEvent) -> None:
        if event.status:
            self._open(run, event)
        # Billed before it is kept: what does not fit any more was generated too.
        if event.used_tokens >= 0:
            self._bill(run, event.used_tokens)
        elif event.ended:
            USAGE_MISSING.log(request_key=run.key, used_tokens=run.used_tokens)
        if event.data:
            self._append(run, event.data)

    def _open(self, run: Run, event: EngineEvent) -> None:
        message = run.message
        if message.may_repeat and message.kind == ENGINE and event.status in REFUSING_STATUS:
            reason = f'the engine answered with status {event.status}'
            raise RunBroken(runs_pb2.End(outcome=FAILED, code='server_refused', reason=reason))
        run.answer.open(event.status, event.headers)

    def _append(self, run: Run, data: bytes) -> None:
        answer = run.answer
        if not self._make_room(run, len(data)):
            reason = f'no room beyond {answer.length_bytes} bytes'
            raise RunBroken(runs_pb2.End(outcome=CANCELLED, code='answer_too_long', reason=reason))
        if not answer.length_bytes:
            run.step(self._clock.now_s(), 'first_token')
        answer.append(data)

    def _bill(self, run: Run, used_tokens: int) -> None:
        # The bound is what the budget was reserved for: an engine that reports
        # more would overspend it, so the bound is the most that is ever billed.
        bound_tokens = run.message.bound_tokens
        if used_tokens > bound_tokens and run.used_tokens < bound_tokens:
            OVER_REPORTED.log(
                request_key=run.key, reported_tokens=used_tokens, bound_tokens=bound_tokens
            )
        run.used_tokens = min(used_tokens, bound_tokens)


def _cancelled(run: Run, not_run: bool) -> runs_pb2.End:
    code = 'cancelled' if run.cancel_reason else 'deadline'
    reason = run.cancel_reason or 'the deadline of the caller passed'
    return runs_pb2.End(outcome=CANCELLED, code=code, reason=reason, not_run=not_run)
