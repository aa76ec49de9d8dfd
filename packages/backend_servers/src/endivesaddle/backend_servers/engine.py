"""Client of a model engine with the OpenAI API."""

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
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue
from endivesaddle.fleet.interfaces import EngineEvent, NeverSent, ServerLost
from endivesaddle.wire import runs_pb2

OK = 200
CONTENT_TYPE = 'content-type'
_body_decoder: JsonDecoder[dict[str, Any]] = JsonDecoder(dict[str, Any])


class EngineRequest:
    """A caller's request body as sent to the engine.

    The token limit is always explicit: an engine's default might generate beyond the reservation.
    The priority is set by the fleet, never by the caller.
    """

    def __init__(self, message: runs_pb2.StartRequest) -> None:
        """Decode the body of a request; raise ``NeverSent`` if it is not a JSON object."""
        try:
            self.body = _body_decoder.decode(message.body)
        except UnreadableValue as error:
            raise NeverSent(f'the body is not a JSON object: {error}') from error
        self.stream = self.body.get('stream') is True
        self.choices = max(1, _integer(self.body.get('n')))
        self.usage_wanted = self._wants_usage()
        self._limit(message)
        self.body['priority'] = message.priority

    def encoded(self) -> bytes:
        """Return the encoded body."""
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
            self.body[name] = min(_integer(self.body.get(name)) or limit_tokens, limit_tokens)


@KINDS.add('engine')
class EngineClient(EngineControl):
    """Runs requests on one engine and relays its responses event by event."""

    def __init__(
        self,
        settings: BackendSettings,
        server: BackendServer,
        clock: Clock,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        """Connect to the engine at the server's declared address."""
        super().__init__(settings, Link(settings, server.url, clock, transport), clock)

    async def run(self, message: runs_pb2.StartRequest) -> AsyncIterator[EngineEvent]:
        """Send a request and yield its response; closing the iterator cancels it on the engine.

        An engine cancels a request when its connection closes.  Events with data carry the token
        count so far, for a run that is interrupted.
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
        # A response that isn't streamed arrives when all tokens are generated.  Until then
        # a hang looks the same as work, so that only the caller's deadline limits the wait.
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
                if _is_relayed(text, meter, usage_wanted):
                    yield EngineEvent(data=event, used_tokens=meter.so_far_tokens)
        # A response without its last event was cut off: the engine crashed.
        raise ServerLost('the stream ended without its last event')

    async def _relay_whole(
        self, response: httpx.Response, meter: Meter
    ) -> AsyncIterator[EngineEvent]:
        body = await self._read_body(response)
        try:
            meter.take(parse_piece(body))
        except ValueError as error:
            raise ServerLost(f'the response is not valid for an engine: {error}') from error
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
                raise ServerLost(f'the response is longer than {self.settings.body_bytes} bytes')
        return bytes(body)


def _integer(value: Any) -> int:
    """Return an integer from a caller's body, 0 for any other type."""
    return value if isinstance(value, int) else 0


def _is_relayed(text: bytes, meter: Meter, usage_wanted: bool) -> bool:
    """Count an event's tokens; return whether to relay it to the caller.

    The usage-only event that the fleet requests is dropped unless the caller requested it too.
    """
    if not text:
        return True
    try:
        piece = parse_piece(text)
    except ValueError as error:
        raise ServerLost(f'an event is not valid for an engine: {error}') from error
    meter.take(piece)
    return usage_wanted or bool(piece.choices) or piece.usage is None
