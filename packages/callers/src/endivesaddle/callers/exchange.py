"""One HTTP exchange over ASGI: reading of the request, writing of the answer.

A send waits until the caller's connection has accepted the previous data, so a slow caller
slows down only its own answer and nothing is buffered here.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable, MutableMapping
from http import HTTPStatus
from typing import Any

import anyio
import msgspec

from endivesaddle.callers.refusals import Invalid
from endivesaddle.callers.settings import CallersSettings

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

Headers = Iterable[tuple[str, str]]

JSON = 'application/json'
_LENGTH = 'content-length'
DISCONNECT = 'http.disconnect'
SEEN_BY = 'endivesaddle.seen_by'
"""The key of a message that tells of a close: what noticed it, if not the server itself."""
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class CallerGone(Exception):
    """The caller closed its connection before its request was complete."""


class Exchange:
    """The head of a request, its body on demand, and its answer."""

    def __init__(
        self,
        scope: MutableMapping[str, Any],
        receive: Receive,
        send: Send,
        settings: CallersSettings,
        began_unix_s: float,
    ) -> None:
        """Initialize from the three ASGI arguments and the time of arrival."""
        self.began_unix_s = began_unix_s
        self._loop = asyncio.get_running_loop()
        self._receive = receive
        self._send = send
        self._settings = settings
        self.method: str = scope['method']
        self.path: str = scope['path']
        self.raw_path: str = (scope.get('raw_path') or self.path.encode()).decode('latin-1')
        self.query: str = scope.get('query_string', b'').decode('latin-1')
        self.header_list = tuple(
            (name.decode('latin-1').lower(), value.decode('latin-1'))
            for name, value in scope['headers']
        )
        self.headers = dict(self.header_list)
        self.started = False
        self.ending = False
        self.stalled = False
        self.close_seen_by = ''
        self._sending_since_s = math.inf

    @property
    def bearer(self) -> str:
        """The token after ``Authorization: Bearer``, or ''."""
        scheme, _, token = self.headers.get('authorization', '').partition(' ')
        return token.strip() if scheme.lower() == 'bearer' else ''

    @property
    def target(self) -> str:
        """The path as received, still quoted, with its query."""
        path = self.raw_path.partition('?')[0]
        return f'{path}?{self.query}' if self.query else path

    async def body(self, max_bytes: int) -> bytes | Invalid:
        """Read the body, within the limits on size and time."""
        declared = self.headers.get(_LENGTH, '')
        if declared.isdigit() and int(declared) > max_bytes:
            return _too_large(max_bytes)
        with anyio.move_on_after(self._settings.body_within_s):
            return await self._read(max_bytes)
        return Invalid(
            'body_too_slow',
            f'the body did not arrive within {self._settings.body_within_s} s',
            status=HTTPStatus.REQUEST_TIMEOUT,
        )

    async def wait_disconnected(self) -> None:
        """Wait until the caller has closed its connection or leaves its answer unread.

        This also drains the rest of a refused body: otherwise the server's queue for this
        request would fill up and its task would never end.
        """
        # A caller that reads nothing on an open connection would hold its run and its
        # reservation forever. It is detected here by a periodic check, since a timeout around
        # each send would cost more than all the rest of relaying.
        while not self.stalled:
            with anyio.move_on_after(self._settings.send_within_s):
                return await self._disconnected()
            sending_s = self._loop.time() - self._sending_since_s
            self.stalled = sending_s >= self._settings.send_within_s

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and headers of the answer."""
        self.started = True
        encoded = [(name.encode('latin-1'), value.encode('latin-1')) for name, value in headers]
        await self._put({'type': 'http.response.start', 'status': status, 'headers': encoded})

    async def write(self, data: bytes) -> None:
        """Send a part of the answer; return when the connection has room again."""
        await self._put({'type': 'http.response.body', 'body': data, 'more_body': True})

    async def finish(self, data: bytes = b'') -> None:
        """Send the last part of the answer."""
        self.ending = True
        await self._put({'type': 'http.response.body', 'body': data, 'more_body': False})

    async def reply(self, status: int, data: bytes, headers: Headers = ()) -> None:
        """Send a whole answer, as JSON unless the headers give another content type.

        An answer to HEAD keeps the length given in the headers.
        """
        named = list(headers)
        names = {name for name, _ in named}
        if 'content-type' not in names:
            named.append(('content-type', JSON))
        if self.method != 'HEAD' or _LENGTH not in names:
            named = [pair for pair in named if pair[0] != _LENGTH]
            if status not in _BODILESS:
                named.append((_LENGTH, str(len(data))))
        await self.start(status, named)
        await self.finish(data)

    async def reply_json(self, status: int, document: Any, headers: Headers = ()) -> None:
        """Send a whole answer from a JSON document."""
        await self.reply(status, msgspec.json.encode(document), headers)

    async def _disconnected(self) -> None:
        message: Message = {'type': ''}
        while message['type'] != DISCONNECT:
            message = await self._receive()
        self.close_seen_by = message.get(SEEN_BY, 'server')

    async def _put(self, message: Message) -> None:
        self._sending_since_s = self._loop.time()
        await self._send(message)
        self._sending_since_s = math.inf

    async def _read(self, max_bytes: int) -> bytes | Invalid:
        parts = bytearray()
        while True:
            message = await self._receive()
            if message['type'] == DISCONNECT:
                raise CallerGone
            parts += message.get('body', b'')
            if len(parts) > max_bytes:
                return _too_large(max_bytes)
            if not message.get('more_body', False):
                return bytes(parts)


def _too_large(max_bytes: int) -> Invalid:
    return Invalid(
        'body_too_large',
        f'the body is larger than {max_bytes} bytes',
        status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's lifespan messages."""
    while True:
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})
        if message['type'] == 'lifespan.shutdown':
            return
