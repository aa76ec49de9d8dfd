"""Relaying of an answer to its caller, chunk by chunk, with an error if it breaks off.

Nothing is buffered in between: the next chunk is read when the caller's connection has
accepted the last one.
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
    """How the relaying of an answer ended, for a caller that stayed connected."""

    WHOLE = 'whole'
    BROKEN = 'broken'


class Relay:
    """Relays one answer to one caller."""

    def __init__(self, exchange: Exchange, request_id: str, settings: CallersSettings) -> None:
        """Initialize for the caller of ``exchange``."""
        self._exchange = exchange
        self._request_id = request_id
        self._settings = settings

    async def run(self, answer: Answer) -> End:
        """Relay an answer to its end; ``chunks`` is closed in all cases."""
        headers = _forwarded_headers(answer, self._request_id)
        streamed = dict(headers).get('content-type', '').startswith(_EVENT_STREAM)
        try:
            if streamed:
                return await self._stream_events(answer, headers)
            return await self._hold(answer, headers)
        finally:
            await _close(answer.chunks)

    async def _stream_events(self, answer: Answer, headers: list[tuple[str, str]]) -> End:
        """Relay server-sent events, complete ones only.

        A caller that got half an event and then the error event would read the two as one
        event and could parse neither, so an incomplete event is held back. The head is sent
        with the first event: the iteration of the chunks has then begun, so that they are
        closed and not left open if the caller has disconnected by then.
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
        # "[DONE]" is left out, so that a client that ignores the error gets no valid end.
        await self._exchange.finish(b'data: %b\n\n' % error_body(refusal, self._request_id))
        return End.BROKEN

    async def _hold(self, answer: Answer, headers: list[tuple[str, str]]) -> End:
        """Relay an unstreamed answer, held back until complete so that an error can be sent.

        An answer that is too long to be held back is passed on as it arrives.
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
            # The status has been sent already. Without the last chunk, the server closes the
            # connection, and every HTTP client reports a truncated answer.
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
    """Split data into complete server-sent events and the start of the next one.

    Incomplete data that is longer than any reasonable event is passed on unsplit.
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
    """Return the headers without the length, which a stream that breaks off can't keep."""
    return [pair for pair in headers if pair[0] != 'content-length']


async def _close(chunks: AsyncIterator[bytes]) -> None:
    # Closed explicitly and not by the garbage collector, so that the front learns in time
    # that the caller has disconnected and can cancel a run that no call needs.
    close = getattr(chunks, 'aclose', None)
    if close is not None:
        with anyio.move_on_after(_CLOSE_WITHIN_S, shield=True):
            await close()


def internal_error(request_id: str) -> Refusal:
    """Return the refusal for a failure of the router itself."""
    return Refusal(
        'internal_error',
        f'the router failed; the outcome of the request can be looked up under {request_id}',
        RUN_UNKNOWN,
        500,
    )


def _forwarded_headers(answer: Answer, request_id: str) -> list[tuple[str, str]]:
    headers = [
        (name.lower(), text) for name, text in answer.headers if name.lower() not in _OWN_HEADERS
    ]
    return [*headers, (REQUEST_ID, request_id), (ATTEMPT, str(answer.attempt))]
