"""Reading of a run's answer by offset, until its end or until its sidecar is lost."""

from collections.abc import AsyncGenerator

import anyio

from endivesaddle.fleet.errors import PeerNoReply, PeerRefused, PeerUnreachable
from endivesaddle.fleet.interfaces import CallerRequest
from endivesaddle.fleet.requests.calls import PlacedAttempt
from endivesaddle.fleet.requests.context import Context
from endivesaddle.fleet.requests.errors import RunForgotten, RunLost
from endivesaddle.fleet.requests.loss_detector import LossDetector
from endivesaddle.wire import rpcs, runs_pb2

FORGOTTEN = frozenset(('no_such_run', 'other_attempt', 'answer_dropped'))
"""Codes of an end that means the answer isn't available; it gives no outcome of the run."""


class Follower:
    """Yields the bytes of one attempt's answer, each byte once and in order.

    Failure: chunks arrive late, twice, or from another attempt or request. Symptom: a
    caller reads the answer of another request, or a mix of two runs. Every chunk carries
    its request, attempt and offset, so chunks that don't continue the answer are dropped;
    after a gap, the answer is requested again from the offset reached.
    """

    def __init__(self, context: Context, request: CallerRequest, placed: PlacedAttempt) -> None:
        """Initialize to read from the first byte."""
        self.placed = placed
        self.head: runs_pb2.Head | None = None
        self.end: runs_pb2.End | None = None
        self.offset_bytes = 0
        self.dropped_chunks = 0
        self._context = context
        self._request = request
        self._loss_detector = LossDetector(context, request.may_repeat)

    async def pieces(self) -> AsyncGenerator[bytes, None]:
        """Yield the data of the answer; ``head`` is set before the first piece.

        An empty piece means that the head has arrived; ``end`` is set when all data has
        been yielded. Raises ``RunLost`` or ``RunForgotten``.
        """
        while self.end is None:
            try:
                async for piece in self._follow():
                    yield piece
            except (PeerUnreachable, PeerNoReply, PeerRefused) as error:
                await self._wait_or_give_up(error)

    async def _follow(self) -> AsyncGenerator[bytes, None]:
        message = runs_pb2.FollowRequest(
            request_key=self._request.key,
            attempt=self.placed.attempt,
            offset_bytes=self.offset_bytes,
        )
        silence_s = self._context.settings.silence_s
        chunks = self._context.peers.follow(self.placed.sidecar, rpcs.FOLLOW, message, silence_s)
        async for chunk in chunks:
            if not self._belongs(chunk):
                self.dropped_chunks += 1
                continue
            if self._has_gap(chunk):
                break
            self._loss_detector.heard_from()
            piece = self._take(chunk)
            if piece or chunk.HasField('head'):
                yield piece
            if self.end is not None:
                return
        raise PeerUnreachable('the answer stopped or skipped bytes')

    def _belongs(self, chunk: runs_pb2.Chunk) -> bool:
        names = (self._request.key, self.placed.attempt)
        return (chunk.request_key, chunk.attempt) == names

    def _has_gap(self, chunk: runs_pb2.Chunk) -> bool:
        if chunk.offset_bytes > self.offset_bytes:
            return True
        reached = max(self.offset_bytes, chunk.offset_bytes + len(chunk.data))
        ended = chunk.HasField('end') and chunk.end.code not in FORGOTTEN
        return ended and chunk.end.length_bytes > reached

    def _take(self, chunk: runs_pb2.Chunk) -> bytes:
        if chunk.HasField('head') and self.head is None:
            self.head = chunk.head
        known_bytes = self.offset_bytes - chunk.offset_bytes
        fresh = chunk.data[known_bytes:]
        self.offset_bytes += len(fresh)
        if chunk.HasField('end'):
            if chunk.end.code in FORGOTTEN:
                raise RunForgotten(chunk.end.reason)
            self.end = chunk.end
        return fresh

    async def _wait_or_give_up(self, error: Exception) -> None:
        late = (
            self._context.now_s() >= self._request.deadline_unix_s + self._context.settings.call_s
        )
        if late or self._loss_detector.lost(self.placed):
            raise RunLost(str(error)) from error
        await anyio.sleep(self._context.settings.retry_pause_s)
