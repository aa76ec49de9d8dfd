"""Handing an answer to the caller as it comes."""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from typing import Final

from endivesaddle.fleet.interfaces import AnswerBroken
from endivesaddle.fleet.requests import refusals, states
from endivesaddle.fleet.requests.errors import RunForgotten, RunLost
from endivesaddle.fleet.requests.events import ANSWER_BROKEN
from endivesaddle.fleet.requests.following import Follower
from endivesaddle.fleet.sentinels import HAS_RUN
from endivesaddle.wire import runs_pb2

DONE: Final = b'data: [DONE]'
"""After this a caller takes a streamed answer for complete."""

OnEnd = Callable[[runs_pb2.End | None], Awaitable[None]]


class Relay:
    """An answer's bytes; the caller pulls, so that a slow one holds nothing up.

    The end is handed out only after ``on_end`` has settled the request: else a
    caller could have a whole answer of which no second instance knows.  A class
    and not a generator, because one that was never begun tells nobody when it is
    closed, and the run would go on for a caller who is gone.
    """

    def __init__(
        self,
        follower: Follower,
        pieces: AsyncGenerator[bytes, None],
        first: bytes,
        on_end: OnEnd,
        on_leave: Callable[[], None],
    ) -> None:
        """Hand out ``first``, then the rest; ``on_leave`` is called if it is closed early."""
        self._follower = follower
        self._pieces = pieces
        self._first = first
        self._on_end = on_end
        self._on_leave = on_leave
        self._ended = False
        self._output = self._generate()

    def __aiter__(self) -> 'Relay':
        """Iterate over itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next piece; raises ``AnswerBroken``."""
        try:
            return await anext(self._output)
        except (AnswerBroken, StopAsyncIteration):
            raise
        except BaseException:
            # Cancelled: the caller is gone, or this router stops.
            self._leave()
            raise

    async def aclose(self) -> None:
        """Stop; the run is given up unless its end was reached."""
        self._leave()
        await self._output.aclose()
        await self._pieces.aclose()

    def _leave(self) -> None:
        if not self._ended:
            self._ended = True
            self._on_leave()

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

    async def _report_broken(self, reason: str) -> AnswerBroken:
        self._ended = True
        ANSWER_BROKEN.log(reason=reason, offset_bytes=self._follower.offset_bytes)
        await self._on_end(self._follower.end)
        return AnswerBroken(refusals.ANSWER_BROKEN.refuse(HAS_RUN, reason))
