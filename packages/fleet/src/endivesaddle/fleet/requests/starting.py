"""Start of an attempt at its sidecar."""

import enum
from typing import NamedTuple

import anyio

from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.requests import states
from endivesaddle.fleet.requests.calls import SERVICE, Call, PlacedAttempt
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.loss_detector import LossDetector
from endivesaddle.wire import rpcs, runs_pb2


class Start(enum.Enum):
    """The result of starting an attempt."""

    RUNNING = 'it is running or has run'
    NOT_RUN = 'it has not run and this call will not start it'
    LOST = 'it may have run'


class StartOutcome(NamedTuple):
    """The result, the attempt that runs at the sidecar, and the reason given."""

    start: Start
    attempt: int
    reason: str = ''


class Starter:
    """Sends START until the sidecar has replied or counts as lost.

    A START is idempotent within one incarnation of a sidecar, which the message names.
    """

    def __init__(self, context: Context) -> None:
        """Initialize for the calls of one router."""
        self._context = context

    async def start(
        self, call: Call, placed: PlacedAttempt, holder: str, own: bool
    ) -> StartOutcome:
        """Start an attempt; ``own`` is set if this call dispatched it.

        An attempt dispatched by the router of another call may have been started by that
        router: then only a reply of the sidecar proves that the attempt did not run.
        """
        message = self._message(call, placed, holder)
        loss_detector = LossDetector(self._context, call.request.may_repeat)
        sent = not own
        while True:
            try:
                reply = await self._context.peers.call(
                    placed.sidecar, rpcs.START, message, self._call_deadline_unix_s(call)
                )
            except PeerNoReply as error:
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
        """Prevent an attempt that did not start from being started later by any router.

        A CANCEL that finds no run leaves a mark at the sidecar, which then refuses a START.
        Returns False if the sidecar doesn't confirm that the attempt did not run.
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
        except (PeerUnreachable, PeerNoReply, PeerRefused):
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
