"""Execution of one caller's call, from its claim to its answer."""

import anyio

from endivesaddle.fleet.interfaces import Answer, Choice, Routing
from endivesaddle.fleet.requests import refusals, states
from endivesaddle.fleet.requests.answering import Answering
from endivesaddle.fleet.requests.calls import Call, PlacedAttempt
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.events import OUTCOME_UNKNOWN, SIDECAR_LOST
from endivesaddle.fleet.requests.finishing import Finisher
from endivesaddle.fleet.requests.holder_client import HolderClient
from endivesaddle.fleet.requests.starting import Start, Starter
from endivesaddle.fleet.requests.steps import StepFactory
from endivesaddle.fleet.sentinels import HAS_RUN, NOT_RUN, RUN_UNKNOWN, Refusal
from endivesaddle.wire import holders_pb2, runs_pb2


class CallExecutor:
    """Claims a request, places it on a backend server, starts the run and follows it.

    Repeats these steps until there is an answer or a refusal. Each method returns the
    caller's answer or refusal, or None if the claim has to be read again.
    """

    def __init__(
        self,
        context: Context,
        routing: Routing,
        holder_client: HolderClient,
        finisher: Finisher,
        answering: Answering,
    ) -> None:
        """Execute the calls of one router."""
        self._context = context
        self._routing = routing
        self._holder_client = holder_client
        self._finisher = finisher
        self._answering = answering
        self._starter = Starter(context)
        self._step_factory = StepFactory(context.identity, context.clock)

    async def execute(self, call: Call) -> Answer | Refusal:
        """Return the answer, or a refusal whose ``not_run`` claims no more than is known."""
        while True:
            reply = await self._holder_client.claim(call)
            if isinstance(reply, Refusal):
                return self._weaken_if_uncertain(call, reply)
            call.record = reply.record
            call.owner = reply.verdict == states.GRANTED
            result = await self._advance(call)
            if result is not None:
                return result
            if self._context.now_s() >= call.request.deadline_unix_s:
                return await self._give_up(call, refusals.DEADLINE_PASSED.refuse(NOT_RUN))
            await anyio.sleep(self._context.settings.retry_pause_s)

    async def _advance(self, call: Call) -> Answer | Refusal | None:
        record = call.record
        if record.state == states.CLAIMED:
            if not (call.owner or self._is_stale(record)):
                return None
            return await self._place(call)
        if record.state == states.DISPATCHED or record.outcome == states.ANSWERED:
            return await self._attach(call)
        if record.state == states.UNKNOWN:
            return await self._follow_again(call)
        return _refusal_of_ended(record)

    async def _follow_again(self, call: Call) -> Answer | Refusal:
        """Follow a run that was given up; it may have continued and be reachable again."""
        result = await self._answering.answer(call, call.placed())
        return _refusal_of_ended(call.record) if isinstance(result, runs_pb2.End) else result

    def _is_stale(self, record: holders_pb2.Record) -> bool:
        """Tell whether the claiming router appears to be gone; a wrong guess is harmless."""
        addresses = {member.address for member in self._context.view.members('router')}
        waited_s = self._context.now_s() - record.claimed_unix_s
        return waited_s >= self._context.settings.takeover_s or record.router not in addresses

    async def _attach(self, call: Call) -> Answer | Refusal | None:
        placed = call.placed()
        if call.record.state == states.ENDED:
            # A START would run the request again if the sidecar no longer remembers it.
            return await self._follow(call, placed)
        if placed.attempt in call.withdrawn:
            return None
        if call.request.may_repeat or placed.incarnation:
            return await self._run(call, placed, own=False)
        # The sidecar's incarnation is not known, so it may have restarted since: a START
        # could then run a non-repeatable request a second time.
        return await self._follow(call, placed)

    async def _place(self, call: Call) -> Answer | Refusal | None:
        """Choose a backend server and dispatch the next attempt to it."""
        if call.tries >= self._context.settings.max_attempts:
            return await self._give_up(call, refusals.NO_SERVER_TOOK_IT.refuse(NOT_RUN))
        choice = await self._admit(call)
        if isinstance(choice, Refusal):
            return await self._give_up(call, choice)
        call.choice = choice
        placed = self._place_attempt(call, choice)
        reason = await self._dispatch(call, placed)
        if not reason:
            call.tries += 1
            return await self._run(call, placed, own=True)
        self._answering.release(call, ok=True)
        if reason == states.NO_COPY:
            return await self._give_up(call, refusals.NO_COPY.refuse(NOT_RUN))
        if reason == states.OLD_EPOCH and call.record.state == states.DISPATCHED:
            await self._withdraw(call, states.LOST, reason)
        # If the reply to the note was lost, the note may have been accepted, and the router
        # of another call may start the attempt although this one does not.
        call.may_have_run = call.may_have_run or reason == states.NO_RECORD
        return None

    async def _admit(self, call: Call) -> Choice | Refusal:
        excluded = frozenset(call.excluded | call.passed_over)
        choice = await self._routing.admit(call.routing_request(), excluded)
        if isinstance(choice, Refusal) and call.passed_over:
            # Servers that refused temporarily may accept the request a little later.
            call.passed_over.clear()
            await anyio.sleep(self._context.settings.retry_pause_s * call.tries)
            choice = await self._routing.admit(call.routing_request(), frozenset(call.excluded))
        return choice

    def _place_attempt(self, call: Call, choice: Choice) -> PlacedAttempt:
        incarnations = {
            member.address: member.incarnation for member in self._context.view.members('sidecar')
        }
        incarnation = incarnations.get(choice.sidecar, 0)
        return PlacedAttempt(call.record.attempt + 1, choice.server, choice.sidecar, incarnation)

    async def _dispatch(self, call: Call, placed: PlacedAttempt) -> str:
        step = self._step_factory.step(states.DISPATCHED, placed.attempt, placed.server)
        reason = await self._holder_client.note(
            call,
            holders_pb2.NoteRequest(
                request_key=call.request.key,
                account=call.request.account,
                state=states.DISPATCHED,
                attempt=placed.attempt,
                server=placed.server,
                sidecar=placed.sidecar,
                sidecar_incarnation=placed.incarnation,
                steps=[step],
                epoch=call.record.epoch,
                call_id=call.call_id,
            ),
        )
        if not reason:
            _apply_dispatch(call.record, placed, step)
        return reason

    async def _withdraw(self, call: Call, step_name: str, detail: str) -> str:
        attempt = call.record.attempt
        call.withdrawn.add(attempt)
        return await self._holder_client.note(
            call,
            holders_pb2.NoteRequest(
                request_key=call.request.key,
                account=call.request.account,
                state=states.CLAIMED,
                attempt=attempt,
                steps=[self._step_factory.step(step_name, attempt, detail)],
                epoch=call.record.epoch,
                call_id=call.call_id,
            ),
        )

    async def _run(self, call: Call, placed: PlacedAttempt, own: bool) -> Answer | Refusal | None:
        holder = self._holder_client.settling_address(call.record)
        outcome = await self._starter.start(call, placed, holder, own)
        if outcome.start is Start.RUNNING:
            return await self._follow(call, placed._replace(attempt=outcome.attempt))
        if outcome.start is Start.NOT_RUN:
            stopped = await self._stop(call, placed, outcome.reason)
            return await self._try_other_server(call, placed, stopped, outcome.reason)
        return await self._handle_lost(call, placed, outcome.reason)

    async def _stop(self, call: Call, placed: PlacedAttempt, reason: str) -> bool:
        # Another router may know of this dispatch and start it shortly after, so that a
        # non-repeatable request would run on two servers.
        if call.request.may_repeat:
            return True
        return await self._starter.stop(call, placed, reason)

    async def _try_other_server(
        self, call: Call, placed: PlacedAttempt, stopped: bool, reason: str
    ) -> Answer | Refusal | None:
        """Try another server after an attempt that did not run.

        ``stopped`` is set if the attempt can no longer start at its sidecar either.
        """
        self._answering.release(call, ok=False)
        call.passed_over.add(placed.server)
        step_name = states.REFUSED_START if stopped else states.NEVER_SENT
        rejection = await self._withdraw(call, step_name, reason)
        if rejection:
            return None
        call.record.state = states.CLAIMED
        return await self._place(call)

    async def _follow(self, call: Call, placed: PlacedAttempt) -> Answer | Refusal | None:
        call.may_have_run = True
        result = await self._answering.answer(call, placed)
        if isinstance(result, runs_pb2.End):
            return await self._handle_end(call, placed, result)
        return result

    async def _handle_end(
        self, call: Call, placed: PlacedAttempt, end: runs_pb2.End
    ) -> Answer | Refusal | None:
        """Continue after a run of which the caller received nothing."""
        if end.not_run:
            return await self._try_other_server(call, placed, stopped=True, reason=end.reason)
        if end.outcome == states.CANCELLED:
            self._answering.release(call, ok=True)
            await self._finisher.settle(call, states.CANCELLED, end.used_tokens)
            kind = refusals.ANSWER_CANCELLED
            if self._context.now_s() >= call.request.deadline_unix_s:
                kind = refusals.DEADLINE_PASSED
            return kind.refuse(HAS_RUN)
        return await self._handle_lost(call, placed, end.reason, end)

    async def _handle_lost(
        self, call: Call, placed: PlacedAttempt, reason: str, end: runs_pb2.End | None = None
    ) -> Answer | Refusal | None:
        """Continue after an attempt that may have run, with a new one if that is allowed."""
        SIDECAR_LOST.log(request_key=call.request.key, server=placed.server, reason=reason)
        call.may_have_run = True
        call.excluded.add(placed.server)
        self._answering.release(call, ok=False)
        call.steps.append(self._step_factory.step(states.LOST, placed.attempt, reason))
        if self._may_retry(call):
            return await self._place(call)
        if end is not None and end.outcome == states.FAILED:
            await self._finisher.settle(call, states.FAILED, end.used_tokens)
            return refusals.RUN_FAILED.refuse(RUN_UNKNOWN, reason)
        await self._finisher.settle(call, states.UNKNOWN, 0)
        OUTCOME_UNKNOWN.log(request_key=call.request.key, reason=reason)
        return refusals.OUTCOME_UNKNOWN.refuse(RUN_UNKNOWN, reason)

    def _may_retry(self, call: Call) -> bool:
        request = call.request
        if not request.may_repeat or call.tries >= self._context.settings.max_attempts:
            return False
        if self._context.now_s() >= request.deadline_unix_s:
            return False
        return self._routing.may_retry(request.account)

    async def _give_up(self, call: Call, refusal: Refusal) -> Refusal:
        """Refuse the call, and release the reservation if nothing ran under it."""
        detail = f'{refusal.code}: {refusal.reason}'
        call.steps.append(self._step_factory.step(states.TOLD, call.record.attempt, detail))
        if call.may_have_run:
            if call.record.state != states.CLAIMED:
                await self._finisher.settle(call, states.UNKNOWN, 0)
            return self._weaken_if_uncertain(call, refusal)
        if not await self._finisher.release(call, refusal.status):
            return refusals.weaken(refusal, RUN_UNKNOWN)
        return self._weaken_if_uncertain(call, refusal)

    def _weaken_if_uncertain(self, call: Call, refusal: Refusal) -> Refusal:
        uncertain = call.may_have_run or call.record.provisional
        return refusals.weaken(refusal, RUN_UNKNOWN) if uncertain else refusal


def _apply_dispatch(
    record: holders_pb2.Record, placed: PlacedAttempt, step: holders_pb2.Step
) -> None:
    record.state = states.DISPATCHED
    record.attempt = placed.attempt
    record.server = placed.server
    record.sidecar = placed.sidecar
    record.sidecar_incarnation = placed.incarnation
    record.steps.append(step)


def _refusal_of_ended(record: holders_pb2.Record) -> Refusal:
    """Return the refusal for a retry of a request that ended without an answer."""
    if record.outcome == states.CANCELLED:
        return refusals.ANSWER_CANCELLED.refuse(HAS_RUN)
    if record.outcome == states.FAILED:
        return refusals.RUN_FAILED.refuse(RUN_UNKNOWN)
    return refusals.OUTCOME_UNKNOWN.refuse(RUN_UNKNOWN)
