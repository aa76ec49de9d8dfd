"""Conversion of a followed run into the caller's answer."""

from collections.abc import AsyncGenerator, AsyncIterator
from typing import NamedTuple

from endivesaddle.fleet.interfaces import Answer, Routing
from endivesaddle.fleet.requests import refusals, states
from endivesaddle.fleet.requests.background import BackgroundTasks
from endivesaddle.fleet.requests.calls import Call, PlacedAttempt
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.errors import RunForgotten, RunLost
from endivesaddle.fleet.requests.finishing import Finisher
from endivesaddle.fleet.requests.following import Follower
from endivesaddle.fleet.requests.relaying import Relay
from endivesaddle.fleet.sentinels import HAS_RUN, Refusal
from endivesaddle.wire import runs_pb2


class OpenedAnswer(NamedTuple):
    """An answer that has not been passed to the caller yet, with its first bytes."""

    follower: Follower
    pieces: AsyncGenerator[bytes, None]
    first: bytes


class Answering:
    """Holds an answer back for as long as the request may still be run again."""

    def __init__(
        self, context: Context, routing: Routing, finisher: Finisher, background: BackgroundTasks
    ) -> None:
        """Settle through ``finisher``; handle disconnected callers in ``background``."""
        self._context = context
        self._routing = routing
        self._finisher = finisher
        self._background = background

    async def answer(self, call: Call, placed: PlacedAttempt) -> Answer | Refusal | runs_pb2.End:
        """Return the answer, or the end of a run of which the caller received nothing.

        If the sidecar is lost, the end has the outcome "unknown".
        """
        follower = Follower(self._context, call.request, placed)
        pieces = follower.pieces()
        try:
            first = await self._read_first(call, follower, pieces)
        except RunLost as error:
            return runs_pb2.End(outcome=states.UNKNOWN, reason=str(error))
        except RunForgotten as error:
            return self._forgotten(call, error)
        opened = OpenedAnswer(follower, pieces, first)
        end = follower.end
        if end is None:
            return self._relayed(call, opened)
        if end.outcome != states.ANSWERED:
            return end
        return await self._finish_whole(call, opened, end)

    def abandon(self, call: Call) -> None:
        """Handle a call whose caller has disconnected."""
        self.release(call, ok=True)
        self._background.start(self._finisher.handle_disconnect, call)

    def release(self, call: Call, ok: bool, used_tokens: int = 0) -> None:
        """Report the end of an admitted attempt to routing, once."""
        choice = call.choice
        call.choice = None
        if choice is not None:
            self._routing.ended(choice, call.routing_request(), ok, used_tokens)

    async def _read_first(
        self, call: Call, follower: Follower, pieces: AsyncGenerator[bytes, None]
    ) -> bytes:
        """Return the bytes held back: a whole answer, or the first token of a streamed one."""
        held_bytes = 1 if call.request.stream else self._context.settings.buffer_bytes
        held = bytearray()
        async for piece in pieces:
            if piece and not held and call.choice is not None:
                self._routing.first_token(call.choice, call.routing_request())
            held += piece
            if len(held) >= held_bytes and follower.end is None:
                break
        return bytes(held)

    async def _finish_whole(self, call: Call, opened: OpenedAnswer, end: runs_pb2.End) -> Answer:
        await self._on_end(call, end)
        return _answer(opened, _once(opened.first))

    def _relayed(self, call: Call, opened: OpenedAnswer) -> Answer:
        async def on_end(end: runs_pb2.End | None) -> None:
            await self._on_end(call, end)

        def on_disconnect() -> None:
            self.abandon(call)

        return _answer(
            opened, Relay(opened.follower, opened.pieces, opened.first, on_end, on_disconnect)
        )

    async def _on_end(self, call: Call, end: runs_pb2.End | None) -> None:
        outcome = states.UNKNOWN if end is None else end.outcome
        used_tokens = 0 if end is None else end.used_tokens
        self.release(call, ok=outcome == states.ANSWERED, used_tokens=used_tokens)
        if call.request.may_repeat and outcome in {states.UNKNOWN, states.FAILED}:
            # The request is not settled here, since every retry would then attach to the
            # broken answer, although the request may be run again under the same
            # reservation. If no retry does that, the sidecar settles it after a while, or
            # the holder at the deadline.
            return
        await self._finisher.settle(call, outcome, used_tokens)

    def _forgotten(self, call: Call, error: RunForgotten) -> Refusal | runs_pb2.End:
        if call.record.state == states.ENDED:
            return refusals.ANSWER_GONE.refuse(HAS_RUN, str(error))
        return runs_pb2.End(outcome=states.UNKNOWN, reason=str(error))


def _answer(opened: OpenedAnswer, chunks: AsyncIterator[bytes]) -> Answer:
    head = opened.follower.head or runs_pb2.Head()
    headers = tuple((header.name, header.value) for header in head.headers)
    return Answer(head.status, headers, chunks, opened.follower.placed.attempt)


async def _once(whole: bytes) -> AsyncIterator[bytes]:
    if whole:
        yield whole
