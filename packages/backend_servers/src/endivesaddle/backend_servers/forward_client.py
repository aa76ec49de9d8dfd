"""HTTP client of forwarded requests, which adds the router's own headers."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from functools import partial

from endivesaddle.backend_servers.connection_pool import ConnectionPool, OutgoingRequest
from endivesaddle.backend_servers.incarnation_proofs import IncarnationProofs, ServerReports
from endivesaddle.backend_servers.server_connection import RawResponse
from endivesaddle.backend_servers.sse import EventSplitter, EventTooLong
from endivesaddle.backend_servers.unread_headers import UnreadHeaders
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.interfaces import ServerLost, ServerRefused
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
MISDIRECTED = 421
SUCCESSES = range(200, 300)
ENCODING = 'content-encoding'

_MS = 1000


class ForwardedResponse:
    """A server's response, with the header names of one platform."""

    def __init__(self, response: RawResponse, call: ServerCall, header_names: HeaderNames) -> None:
        """Read the headers of a response; its body is not read yet."""
        pairs = [
            (name.decode('latin-1').lower(), value.decode('latin-1'))
            for name, value in response.headers
        ]
        named = dict(pairs)
        self.status = response.status
        self.headers: Pairs = tuple(
            pair for pair in pairs if pair[0] not in HOP_BY_HOP and pair[0] != LENGTH
        )
        self.declined = header_names.declined in named
        self.signals: Mapping[str, str] = {
            name: named[header] for name, header in header_names.signals.items() if header in named
        }
        self.misdirected = response.status == MISDIRECTED
        echoed = named.get(header_names.request_id, '')
        self.answered_id = echoed
        self.own = echoed == call.request.request_id
        # No caller requests an encoding: an encoded body was changed on the way.
        self.encoded = ENCODING in named
        self.skipped: ForeignResponse | None = None
        self.sealed = header_names.seal in named
        self._response = response

    async def events(self) -> AsyncIterator[bytes]:
        """Yield complete events; raise ``ServerLost`` if the stream ends within one."""
        splitter = EventSplitter(EVENT_BYTES)
        try:
            async for chunk in self._response.chunks():
                for event in splitter.split(chunk):
                    yield event
        except EventTooLong as error:
            raise ServerLost(str(error)) from error
        if splitter.waiting:
            raise ServerLost('the stream ended within an event')

    async def whole(self) -> bytes:
        """Return the complete body; raise ``ServerLost`` if it ends early."""
        return b''.join([chunk async for chunk in self._response.chunks()])


class ForwardClient:
    """Sends requests over pooled connections."""

    def __init__(
        self,
        pool: ConnectionPool,
        header_names: HeaderNames,
        clock: Clock,
        reports: ServerReports | None = None,
    ) -> None:
        """Use ``header_names`` for the names of headers, ``reports`` to prove incarnations."""
        self.pool = pool
        self.proofs = IncarnationProofs(reports)
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
        headers = self._headers(call)
        sent = OutgoingRequest(
            request.method,
            request.target,
            headers,
            request.body,
            call.may_send,
            request.request_id,
            partial(self.proofs.prove, server=server) if request.route.resumable else None,
        )
        try:
            async with self.pool.exchange(server.lifetime, server.address, sent) as response:
                answer = ForwardedResponse(response, call, self._header_names)
                if not answer.own and response.may_skip(answer.answered_id):
                    skipped = foreign_response(answer)
                    await response.skip()
                    answer = ForwardedResponse(response, call, self._header_names)
                    answer.skipped = skipped
                self.unread.check(server.lifetime, answer.headers)
                yield answer
        except (ServerLost, ServerRefused):
            self.proofs.doubt(server)
            raise

    async def check(self, server: RouteServer) -> None:
        """Connect to a server; the connection stays in the pool for the next request.

        Raises ``ServerRefused`` if the server refuses connections, ``NeverSent`` on other errors.
        """
        await self.pool.check(server.lifetime, server.address)

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
