"""Client of a model engine that speaks the OpenAI API."""

from collections.abc import AsyncIterator
from typing import Any

import httpx
import msgspec

from endivesaddle.backend_servers.clients import KINDS
from endivesaddle.backend_servers.engine_control import EngineControl
from endivesaddle.backend_servers.link import Link
from endivesaddle.backend_servers.settings import BackendSettings
from endivesaddle.backend_servers.sse import DONE, EventSplitter, EventTooLong, event_data
from endivesaddle.backend_servers.usage import Meter, parse_piece
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import BackendServer
from endivesaddle.fleet.interfaces import EngineEvent, NeverSent, ServerLost
from endivesaddle.wire import runs_pb2

OK = 200
CONTENT_TYPE = 'content-type'


class EngineRequest:
    """A caller's body as the engine gets it.

    The limit of the answer is always written out: an engine's own default might
    generate beyond the reservation.  The priority is the fleet's, never the
    caller's own.
    """

    def __init__(self, message: runs_pb2.StartRequest) -> None:
        """Raise ``NeverSent`` for a body that no engine could read."""
        try:
            self.body: dict[str, Any] = msgspec.json.decode(message.body, type=dict[str, Any])
        except msgspec.DecodeError as error:
            raise NeverSent(f'the body is not a JSON object: {error}') from error
        self.stream = self.body.get('stream') is True
        self.choices = max(1, _whole(self.body.get('n')))
        self.usage_wanted = self._wants_usage()
        self._limit(message)
        self.body['priority'] = message.priority

    def encoded(self) -> bytes:
        """Return the body to send."""
        return msgspec.json.encode(self.body)

    def _wants_usage(self) -> bool:
        options = self.body.get('stream_options') or {}
        wanted = options.get('include_usage') is True
        if self.stream:
            self.body['stream_options'] = {**options, 'include_usage': True}
        return wanted

    def _limit(self, message: runs_pb2.StartRequest) -> None:
        names = [name for name in ('max_tokens', 'max_completion_tokens') if self.body.get(name)]
        limit_tokens = message.max_tokens or message.bound_tokens
        for name in names or ('max_tokens',):
            self.body[name] = min(_whole(self.body.get(name)) or limit_tokens, limit_tokens)


@KINDS.add('engine')
class EngineClient(EngineControl):
    """Runs requests on one engine and relays its answers event by event."""

    def __init__(
        self,
        settings: BackendSettings,
        server: BackendServer,
        clock: Clock,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Reach the engine at the server's declared address."""
        super().__init__(settings, Link(settings, server.url, clock, transport), clock)

    async def run(self, message: runs_pb2.StartRequest) -> AsyncIterator[EngineEvent]:
        """Send a request and yield its answer; closing cancels it at the engine.

        An engine takes the end of the connection as the cancel.  Events with data
        carry the count of tokens so far, for a run that is broken off.
        """
        wanted = EngineRequest(message)
        headers = (
            (CONTENT_TYPE, 'application/json'),
            ('accept-encoding', 'identity'),
            ('x-request-id', message.request_key),
            ('x-attempt', str(message.attempt)),
        )
        request = self.link.build(message.method or 'POST', message.path, headers, wanted.encoded())
        first_unix_s = self._first_byte_unix_s(message, wanted)
        async with self.link.exchange(request, first_unix_s) as response:
            kept = ((CONTENT_TYPE, response.headers.get(CONTENT_TYPE, '')),)
            yield EngineEvent(status=response.status_code, headers=kept)
            meter = Meter(message, wanted.choices)
            async for event in self._relay(response, wanted, meter):
                yield event

    def _relay(
        self, response: httpx.Response, wanted: EngineRequest, meter: Meter
    ) -> AsyncIterator[EngineEvent]:
        if response.status_code == OK:
            if wanted.stream:
                return self._relay_stream(response, meter, wanted.usage_wanted)
            return self._relay_whole(response, meter)
        return self._relay_error(response)

    def _first_byte_unix_s(self, message: runs_pb2.StartRequest, wanted: EngineRequest) -> float:
        # An answer that isn't streamed comes as a whole when all is generated: its
        # silence can't be told from work, so only the caller's deadline bounds it.
        soon_unix_s = self.clock.now_s() + self.settings.first_byte_s
        return soon_unix_s if wanted.stream else max(soon_unix_s, message.deadline_unix_s)

    async def _relay_stream(
        self, response: httpx.Response, meter: Meter, usage_wanted: bool
    ) -> AsyncIterator[EngineEvent]:
        splitter = EventSplitter(self.settings.event_bytes)
        async for piece in self.link.pieces(response, self.settings.silence_s):
            try:
                events = list(splitter.split(piece))
            except EventTooLong as error:
                raise ServerLost(str(error)) from error
            for event in events:
                text = event_data(event)
                if text == DONE:
                    yield EngineEvent(data=event, ended=True, used_tokens=meter.reported_tokens)
                    return
                if _passes(text, meter, usage_wanted):
                    yield EngineEvent(data=event, used_tokens=meter.so_far_tokens)
        # An answer without its last event was cut: the engine died.
        raise ServerLost('the stream ended without its last event')

    async def _relay_whole(
        self, response: httpx.Response, meter: Meter
    ) -> AsyncIterator[EngineEvent]:
        body = await self._read_body(response)
        try:
            meter.take(parse_piece(body))
        except ValueError as error:
            raise ServerLost(f'the answer is not what an engine sends: {error}') from error
        yield EngineEvent(data=body, used_tokens=meter.so_far_tokens)
        yield EngineEvent(ended=True, used_tokens=meter.reported_tokens)

    async def _relay_error(self, response: httpx.Response) -> AsyncIterator[EngineEvent]:
        yield EngineEvent(data=await self._read_body(response))
        yield EngineEvent(ended=True, used_tokens=0)

    async def _read_body(self, response: httpx.Response) -> bytes:
        body = bytearray()
        async for piece in self.link.pieces(response, self.settings.silence_s):
            body += piece
            if len(body) > self.settings.body_bytes:
                raise ServerLost(f'the answer is longer than {self.settings.body_bytes} bytes')
        return bytes(body)


def _whole(value: Any) -> int:
    """Return a whole number of a caller's body, 0 for anything else."""
    return value if isinstance(value, int) else 0


def _passes(text: bytes, meter: Meter, usage_wanted: bool) -> bool:
    """Count an event; tell whether the caller gets it.

    The usage-only event that was asked for on the fleet's behalf is left out
    unless the caller asked for it too.
    """
    if not text:
        return True
    try:
        piece = parse_piece(text)
    except ValueError as error:
        raise ServerLost(f'an event is not what an engine sends: {error}') from error
    meter.take(piece)
    return usage_wanted or bool(piece.choices) or piece.usage is None
