"""Relaying of an answer to the caller as it arrives."""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from typing import Final

from endivesaddle.fleet.interfaces import AnswerInterrupted
from endivesaddle.fleet.requests import refusals, states
from endivesaddle.fleet.requests.errors import RunForgotten, RunLost
from endivesaddle.fleet.requests.events import ANSWER_BROKEN
from endivesaddle.fleet.requests.following import Follower
from endivesaddle.fleet.sentinels import HAS_RUN
from endivesaddle.wire import runs_pb2

DONE: Final = b'data: [DONE]'
"""The event after which a caller regards a streamed answer as complete."""

OnEnd = Callable[[runs_pb2.End | None], Awaitable[None]]


class Relay:
    """The bytes of an answer, as an iterator that the caller's connection reads at its pace.

    The end is yielded only after ``on_end`` has settled the request: otherwise a caller
    could have a whole answer of which no second instance knows. This is a class and not a
    generator, because closing a generator that was never started runs none of its code,
    and the run would continue for a caller that has disconnected.
    """

    def __init__(
        self,
        follower: Follower,
        pieces: AsyncGenerator[bytes, None],
        first: bytes,
        on_end: OnEnd,
        on_disconnect: Callable[[], None],
    ) -> None:
        """Yield ``first``, then ``pieces``; call ``on_disconnect`` if closed before the end."""
        self._follower = follower
        self._pieces = pieces
        self._first = first
        self._on_end = on_end
        self._on_disconnect = on_disconnect
        self._ended = False
        self._output = self._generate()

    def __aiter__(self) -> 'Relay':
        """Iterate over itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next piece; raises ``AnswerInterrupted``."""
        try:
            return await anext(self._output)
        except (AnswerInterrupted, StopAsyncIteration):
            raise
        except BaseException:
            # Cancelled: the caller has disconnected, or this router is stopping.
            self._disconnect()
            raise

    async def aclose(self) -> None:
        """Close the answer; the run is abandoned unless its end was reached."""
        self._disconnect()
        await self._output.aclose()
        await self._pieces.aclose()

    def _disconnect(self) -> None:
        if not self._ended:
            self._ended = True
            self._on_disconnect()

    async def _generate(self) -> AsyncGenerator[bytes, None]:
        held_back = b''
        try:
            async for piece in self._all():
                if held_back or DONE in piece:
                    held_back += piece
                elif piece:
                    yield piece
        except (RunLost, RunForgotten) as error:
            raise await self._report_broken(str(error)) from error
        end = self._follower.end
        if end is None or end.outcome != states.ANSWERED:
            raise await self._report_broken('' if end is None else end.reason)
        self._ended = True
        await self._on_end(end)
        if held_back:
            yield held_back

    async def _all(self) -> AsyncIterator[bytes]:
        yield self._first
        async for piece in self._pieces:
            yield piece

    async def _report_broken(self, reason: str) -> AnswerInterrupted:
        self._ended = True
        ANSWER_BROKEN.log(reason=reason, offset_bytes=self._follower.offset_bytes)
        await self._on_end(self._follower.end)
        return AnswerInterrupted(refusals.ANSWER_BROKEN.refuse(HAS_RUN, reason))
