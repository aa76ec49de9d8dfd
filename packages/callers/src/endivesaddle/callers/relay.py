"""Pass an answer on to its caller, chunk by chunk, and tell the truth when it breaks.

Nothing piles up between the two ends: the next chunk is asked for when the
caller's connection has taken the last one.
"""

import enum
from collections.abc import AsyncIterator

import anyio

from endivesaddle.callers import events
from endivesaddle.callers.exchange import Exchange
from endivesaddle.callers.refusals import error_body
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.fleet.interfaces import Answer, AnswerInterrupted
from endivesaddle.fleet.sentinels import RUN_UNKNOWN, Refusal

REQUEST_ID = 'x-request-id'
ATTEMPT = 'x-attempt'

_EVENT_STREAM = 'text/event-stream'
_EVENT_ENDS = (b'\n\n', b'\n\r\n')
_MAX_HELD_EVENT_BYTES = 1_048_576
_CLOSE_WITHIN_S = 5
_OWN_HEADERS = frozenset(
    ('connection', 'date', 'keep-alive', 'server', 'transfer-encoding', REQUEST_ID, ATTEMPT)
)


class End(enum.Enum):
    """How relaying an answer to a caller that stayed ended."""

    WHOLE = 'whole'
    BROKEN = 'broken'


class Relay:
    """One answer on its way to one caller."""

    def __init__(self, exchange: Exchange, request_id: str, settings: CallersSettings) -> None:
        """Relay to the caller of ``exchange``."""
        self._exchange = exchange
        self._request_id = request_id
        self._settings = settings

    async def run(self, answer: Answer) -> End:
        """Relay a whole answer; ``chunks`` is closed however it ends."""
        headers = _forwarded_headers(answer, self._request_id)
        streamed = dict(headers).get('content-type', '').startswith(_EVENT_STREAM)
        try:
            if streamed:
                return await self._stream_events(answer, headers)
            return await self._hold(answer, headers)
        finally:
            await _close(answer.chunks)

    async def _stream_events(self, answer: Answer, headers: list[tuple[str, str]]) -> End:
        """Relay server-sent events, whole ones only.

        A caller that got half an event and then the one that tells of the break
        would read them as one and understand neither; so the half is held back.
        The head goes out with the first event: the chunks have then begun, and a
        caller that is gone by now has them closed and not forgotten.
        """
        held = b''
        try:
            async for chunk in answer.chunks:
                ready, held = split_events(held + chunk)
                if ready:
                    await self._start(answer, headers)
                    await self._exchange.write(ready)
        except AnswerInterrupted as broken:
            return await self._break_events(broken.refusal)
        await self._start(answer, headers)
        await self._exchange.finish(held)
        return End.WHOLE

    async def _start(self, answer: Answer, headers: list[tuple[str, str]]) -> None:
        if not self._exchange.started:
            await self._exchange.start(answer.status, without_length(headers))

    async def _break_events(self, refusal: Refusal) -> End:
        if not self._exchange.started:
            return await self._break_held(refusal)
        self._log_broken(refusal)
        # Without "[DONE]": a client that overlooks the error still sees no good end.
        await self._exchange.finish(b'data: %b\n\n' % error_body(refusal, self._request_id))
        return End.BROKEN

    async def _hold(self, answer: Answer, headers: list[tuple[str, str]]) -> End:
        """Relay an answer that isn't streamed: held back until whole, so that a break is told.

        What is too long to be held is passed on as it comes.
        """
        held = bytearray()
        chunks = aiter(answer.chunks)
        try:
            async for chunk in chunks:
                held += chunk
                if len(held) > self._settings.max_held_answer_bytes:
                    return await self._pass_long(answer, headers, bytes(held), chunks)
        except AnswerInterrupted as broken:
            return await self._break_held(broken.refusal)
        await self._exchange.reply(answer.status, bytes(held), headers)
        return End.WHOLE

    async def _break_held(self, refusal: Refusal) -> End:
        self._log_broken(refusal)
        body = error_body(refusal, self._request_id)
        await self._exchange.reply(refusal.status, body, [(REQUEST_ID, self._request_id)])
        return End.BROKEN

    async def _pass_long(
        self,
        answer: Answer,
        headers: list[tuple[str, str]],
        held: bytes,
        chunks: AsyncIterator[bytes],
    ) -> End:
        await self._exchange.start(answer.status, without_length(headers))
        await self._exchange.write(held)
        try:
            async for chunk in chunks:
                await self._exchange.write(chunk)
        except AnswerInterrupted as broken:
            # The status is gone already.  Left without its last chunk, the connection is
            # closed by the server, and every HTTP client reports a cut answer.
            self._log_broken(broken.refusal)
            return End.BROKEN
        await self._exchange.finish()
        return End.WHOLE

    def _log_broken(self, refusal: Refusal) -> None:
        events.BROKEN.log(
            request_id=self._request_id,
            code=refusal.code,
            reason=refusal.reason,
            not_run=refusal.not_run,
        )


def split_events(data: bytes) -> tuple[bytes, bytes]:
    """Split into whole server-sent events and the start of one.

    What is longer than any sensible event is passed on as it is.
    """
    end = 0
    for mark in _EVENT_ENDS:
        found = data.rfind(mark)
        if found >= 0:
            end = max(end, found + len(mark))
    if end == 0 and len(data) > _MAX_HELD_EVENT_BYTES:
        return data, b''
    return data[:end], data[end:]


def without_length(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Leave out the length: a stream that breaks ends otherwise than announced."""
    return [pair for pair in headers if pair[0] != 'content-length']


async def _close(chunks: AsyncIterator[bytes]) -> None:
    # Closed at once and not by the garbage collector: only so does the front learn in
    # time that the caller is gone, and can cancel a run that nobody waits for.
    close = getattr(chunks, 'aclose', None)
    if close is not None:
        with anyio.move_on_after(_CLOSE_WITHIN_S, shield=True):
            await close()


def fault(request_id: str) -> Refusal:
    """Return what a caller is told when the router itself failed."""
    return Refusal(
        'internal_error',
        f'the router failed; what became of the request can be asked under {request_id}',
        RUN_UNKNOWN,
        500,
    )


def _forwarded_headers(answer: Answer, request_id: str) -> list[tuple[str, str]]:
    passed = [
        (name.lower(), text) for name, text in answer.headers if name.lower() not in _OWN_HEADERS
    ]
    return [*passed, (REQUEST_ID, request_id), (ATTEMPT, str(answer.attempt))]
