"""HTTP client of forwarded requests, which adds the router's own headers."""

import asyncio
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager
from functools import partial

from endivesaddle.backend_servers.connection_pool import ConnectionPool, OutgoingRequest
from endivesaddle.backend_servers.held_bytes import HeldBytes, HeldShare, ResponseTooLong
from endivesaddle.backend_servers.incarnation_proofs import IncarnationProofs, ServerReports
from endivesaddle.backend_servers.server_connection import RawResponse
from endivesaddle.backend_servers.sse import EventSplitter, EventTooLong
from endivesaddle.backend_servers.unread_headers import UnreadHeaders
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.interfaces import BodyTooLong, ServerLost, ServerRefused
from endivesaddle.fleet.routes import response_events
from endivesaddle.fleet.routes.declared import RouteServer
from endivesaddle.fleet.routes.forwarded import (
    ForeignResponse,
    Pairs,
    ServerCall,
    foreign_response,
)
from endivesaddle.fleet.routes.header_names import HOP_BY_HOP, LENGTH, HeaderNames

EVENT_BYTES = 1 << 20
"""Maximum size of a relayed event."""
BODY_BYTES = 1 << 21
"""Maximum size of a body that is held back; a longer one is relayed as it arrives."""
ERROR_BYTES = 1 << 16
"""Maximum size of the body of a server error, which is held while the request is retried."""
PART_BYTES = 1 << 15
"""Maximum size of a part of a long body that is relayed."""
TURN_EVENTS = 32
"""Events after which other tasks get a turn: a single read may hold thousands of tiny ones."""
FIRST_SERVER_ERROR = 500
REFUSES = frozenset(('1', 'true'))
"""Values by which the header of a refusal states one."""
SUCCESSES = range(200, 300)
ENCODING = 'content-encoding'

_MS = 1000


class ForwardedResponse:
    """A server's response, with the header names of one platform."""

    held: HeldShare

    def __init__(self, response: RawResponse, call: ServerCall, header_names: HeaderNames) -> None:
        """Read the headers of a response; its body is not read yet."""
        pairs = tuple(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
            for name, value in response.headers
        )
        named = dict(pairs)
        self.status = response.status
        # Only the router tells a caller that its request did not run.
        dropped = (LENGTH, header_names.declined)
        self.headers: Pairs = tuple(
            pair for pair in pairs if pair[0] not in HOP_BY_HOP and pair[0] not in dropped
        )
        self.length: Pairs = tuple(pair for pair in pairs if pair[0] == LENGTH)
        statements = _values(pairs, header_names.declined)
        self.declined = bool(statements) and statements <= REFUSES
        answering = _values(pairs, header_names.answering) - {''}
        self.from_other_server = (
            len(answering) == 1 and call.server.lifetime.lower() not in answering
        )
        self.signals: Mapping[str, str] = {
            name: named[header] for name, header in header_names.signals.items() if header in named
        }
        # A response that names two requests answers neither for certain.
        ids = {value for name, value in pairs if name == header_names.request_id}
        self.answered_id = ', '.join(sorted(ids))
        self.own = self.answered_id == call.request.request_id and len(ids) <= 1
        # No caller requests an encoding: an encoded body was changed on the way.
        self.encoded = ENCODING in named
        self.skipped: ForeignResponse | None = None
        self.sealed = header_names.seal in named
        self._response = response
        self._beginning = bytearray()

    async def events(self) -> AsyncIterator[bytes]:
        """Yield complete events; raise ``ServerLost`` if the stream ends within one."""
        splitter = EventSplitter(EVENT_BYTES)
        count = 0
        async for chunk in self._response.chunks():
            for event in _split(splitter, chunk):
                yield event
                count += 1
                if not count % TURN_EVENTS:
                    await asyncio.sleep(0)
            if not self.held.resize(splitter.waiting_bytes):
                raise self.held.exceeded(splitter.waiting_bytes)
        if splitter.waiting_bytes:
            raise ServerLost('the stream ended within an event')

    async def whole(self) -> bytes:
        """Return the complete body; raise ``ServerLost`` if it ends early.

        Raises ``BodyTooLong`` if it is too long to be held back, ``ResponseTooLong`` if it is the
        body of a server error.
        """
        failed = self.status >= FIRST_SERVER_ERROR
        limit_bytes = ERROR_BYTES if failed else BODY_BYTES
        body = self._beginning
        async for chunk in self._response.chunks():
            body += chunk
            if len(body) > limit_bytes:
                error = ResponseTooLong('body', len(body), limit_bytes)
            elif self.held.resize(len(body)):
                continue
            else:
                error = self.held.exceeded(len(body))
            raise error if failed else BodyTooLong(str(error))
        return bytes(body)

    async def rest(self) -> AsyncIterator[bytes]:
        """Yield the body from its start, after ``whole`` has raised ``BodyTooLong``."""
        for start in range(0, len(self._beginning), PART_BYTES):
            yield bytes(self._beginning[start : start + PART_BYTES])
        self._beginning.clear()
        self.held.release()
        async for chunk in self._response.chunks():
            for start in range(0, len(chunk), PART_BYTES):
                yield chunk[start : start + PART_BYTES]


class ForwardClient:
    """Sends requests over pooled connections."""

    def __init__(
        self,
        pool: ConnectionPool,
        header_names: HeaderNames,
        clock: Clock,
        held: HeldBytes | None = None,
        reports: ServerReports | None = None,
    ) -> None:
        """Use ``header_names`` for the names of headers, ``reports`` to prove incarnations.

        Responses are held within ``held``.
        """
        self.pool = pool
        self.held = held or HeldBytes()
        self.proofs = IncarnationProofs(reports, header_names.request_id)
        self.unread = UnreadHeaders(header_names)
        self._header_names = header_names
        self._clock = clock

    @asynccontextmanager
    async def exchange(self, call: ServerCall) -> AsyncIterator[ForwardedResponse]:
        """Send a request and yield its response.

        A stream that can continue elsewhere runs only at the incarnation that ``call`` names: its
        version is that of the entry.  Raises ``NeverSent`` if the server did not get the request,
        ``ServerLost`` if it may have run.
        """
        request = call.request
        server = call.server
        sent = OutgoingRequest(
            request.method,
            request.target,
            partial(self._headers, call),
            request.body,
            call.may_send,
            request.request_id,
            partial(self.proofs.prove, server=server) if request.route.resumable else None,
        )
        share = self.held.share()
        try:
            async with self.pool.exchange(server.lifetime, server.address, sent) as response:
                answer = await self._read_head(call, response)
                answer.held = share
                yield answer
        except ResponseTooLong as error:
            response_events.TOO_LONG.log(
                request_id=request.request_id,
                server=server.lifetime,
                bound=error.bound,
                received=error.received,
                limit=error.limit,
            )
            raise
        except (ServerLost, ServerRefused):
            self.proofs.mark_suspect(server)
            raise
        finally:
            share.release()

    async def check(self, server: RouteServer) -> None:
        """Connect to a server; the connection stays in the pool for the next request.

        Raises ``ServerRefused`` if the server refuses connections, ``NeverSent`` on other errors.
        """
        await self.pool.check(server.lifetime, server.address)

    async def _read_head(self, call: ServerCall, response: RawResponse) -> ForwardedResponse:
        """Return the response to a request; a late one to an earlier request is passed over."""
        answer = ForwardedResponse(response, call, self._header_names)
        if not answer.own and response.may_skip(answer.answered_id):
            skipped = foreign_response(answer)
            await response.skip()
            answer = ForwardedResponse(response, call, self._header_names)
            answer.skipped = skipped
        self.unread.check(call.server.lifetime, answer.headers)
        return answer

    def _headers(self, call: ServerCall) -> list[tuple[bytes, bytes]]:
        names = self._header_names
        request = call.request
        left_ms = max(1, int((call.end_unix_s - self._clock.now_s()) * _MS))
        own = [
            (names.deadline_ms, str(left_ms)),
            (names.lifetime, call.server.lifetime),
            (names.priority, str(request.urgency)),
        ]
        if request.account is not None:
            own.append((names.account, request.account.name))
        if call.last_event >= 0:
            own.append((names.last_event, str(call.last_event)))
        if call.source is not None:
            own.append((names.fetch, call.source.address))
        if request.body:
            own.append((LENGTH, str(len(request.body))))
        pairs = (*request.headers, *own)
        return [(name.encode('latin-1'), value.encode('latin-1')) for name, value in pairs]


def _values(pairs: Pairs, header: str) -> set[str]:
    """Return the different values of a header, which may be given as lists."""
    texts = (text for name, text in pairs if name == header)
    return {value.strip().lower() for text in texts for value in text.split(',')}


def _split(splitter: EventSplitter, chunk: bytes) -> Iterator[bytes]:
    try:
        yield from splitter.split(chunk)
    except EventTooLong as error:
        raise ResponseTooLong('event', splitter.waiting_bytes, EVENT_BYTES) from error
