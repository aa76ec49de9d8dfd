"""Starting an attempt at its sidecar."""

import enum
from typing import NamedTuple

import anyio

from endivesaddle.fleet.errors import PeerRefused, PeerSilent, PeerUnreachable
from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.calls import SERVICE, Call, PlacedAttempt
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.loss_detector import LossDetector
from endivesaddle.wire import rpcs, runs_pb2


class Start(enum.Enum):
    """What came of starting an attempt."""

    RUNNING = 'it runs, or has run'
    NOT_RUN = 'it did not run there, nor will it by this call'
    LOST = 'it may have run'


class StartOutcome(NamedTuple):
    """What came of it, which attempt runs there, and the sidecar's words."""

    start: Start
    attempt: int
    reason: str = ''


class Starter:
    """Sends START until the sidecar has answered or counts as lost.

    A START is idempotent at one incarnation of a sidecar, which the message names.
    """

    def __init__(self, context: Context) -> None:
        """Start in the name of one router."""
        self._context = context

    async def start(
        self, call: Call, placed: PlacedAttempt, holder: str, own: bool
    ) -> StartOutcome:
        """Start an attempt; ``own`` tells that this call dispatched it.

        An attempt that another call's router dispatched may have been started by
        it: only the sidecar's own word then tells that it did not run.
        """
        message = self._message(call, placed, holder)
        loss_detector = LossDetector(self._context, call.request.may_repeat)
        sent = not own
        while True:
            try:
                reply = await self._context.peers.call(
                    placed.sidecar, rpcs.START, message, self._call_deadline_unix_s(call)
                )
            except PeerSilent as error:
                sent = True
                reason = str(error)
            except (PeerUnreachable, PeerRefused) as error:
                reason = str(error)
                if not sent:
                    return StartOutcome(Start.NOT_RUN, placed.attempt, reason)
            else:
                return _interpret(reply, placed)
            late = self._context.now_s() >= call.request.deadline_unix_s
            if late or loss_detector.lost(placed):
                return StartOutcome(Start.LOST, placed.attempt, reason)
            await anyio.sleep(self._context.settings.retry_pause_s)

    async def stop(self, call: Call, placed: PlacedAttempt, reason: str) -> bool:
        """Make sure that an attempt which did not start never will, whoever sends it.

        A cancel that finds no run leaves a mark at the sidecar; False where the
        sidecar can't say so.
        """
        message = runs_pb2.CancelRequest(
            request_key=call.request.key,
            attempt=placed.attempt,
            reason=reason,
            incarnation=placed.incarnation,
        )
        try:
            reply = await self._context.peers.call(
                placed.sidecar, rpcs.CANCEL, message, self._call_deadline_unix_s(call)
            )
        except (PeerUnreachable, PeerSilent, PeerRefused):
            return False
        return bool(reply.not_run)

    def _call_deadline_unix_s(self, call: Call) -> float:
        soon_unix_s = self._context.now_s() + self._context.settings.call_s
        return min(call.request.deadline_unix_s, soon_unix_s)

    def _message(self, call: Call, placed: PlacedAttempt, holder: str) -> runs_pb2.StartRequest:
        request = call.request
        record = call.record
        return runs_pb2.StartRequest(
            request_key=request.key,
            account=request.account,
            attempt=placed.attempt,
            shard=record.shard,
            data_centre=record.data_centre,
            epoch=record.epoch,
            revision=self._context.view.configuration.revision,
            deadline_unix_s=request.deadline_unix_s,
            bound_tokens=request.bound_tokens,
            may_repeat=request.may_repeat,
            method=request.method,
            path=request.path,
            headers=[runs_pb2.Header(name=name, value=text) for name, text in request.headers],
            body=request.body,
            stream=request.stream,
            kind=request.kind,
            priority=request.priority,
            digest=call.digest,
            holder=holder,
            max_tokens=request.max_tokens,
            batch=record.batch,
            cost_tokens=request.bound_tokens if request.kind == SERVICE else 0,
            incarnation=placed.incarnation,
        )


def _interpret(reply: runs_pb2.StartReply, placed: PlacedAttempt) -> StartOutcome:
    if reply.verdict != states.REFUSED:
        return StartOutcome(Start.RUNNING, reply.attempt or placed.attempt)
    start = Start.NOT_RUN if reply.not_run else Start.LOST
    return StartOutcome(start, placed.attempt, f'{reply.code}: {reply.reason}')
