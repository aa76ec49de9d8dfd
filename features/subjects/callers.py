"""Subject: the HTTP interface of a router, with a scripted front and an ASGI caller."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import msgspec

from endivesaddle.callers.accounts import digest
from endivesaddle.callers.app import CallersApp
from endivesaddle.callers.settings import CallersSettings
from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.configuration import (
    Account,
    Configuration,
    Model,
    Operator,
    RepeatRule,
    Service,
)
from endivesaddle.fleet.errors import UserError
from endivesaddle.fleet.interfaces import Answer, AnswerInterrupted, CallerRequest
from endivesaddle.fleet.sentinels import RUN_UNKNOWN, Refusal
from endivesaddle.stand_ins import virtual

KEY = 'sk-atelier'
TOKEN = 'op-1'
LOST = Refusal('run_lost', 'the run was lost', RUN_UNKNOWN, 502)
BREAK = object()
FAULT = object()
HANG = object()
SSE = (('content-type', 'text/event-stream'), ('content-length', '9999'))

DECLARED = Configuration(
    revision=1,
    accounts={'atelier': Account('atelier', (digest(KEY),), priority=2)},
    models={'boards': Model('boards', max_output_tokens=500, message_overhead_tokens=10)},
    services={'labels': Service('labels', cost_tokens=7)},
    repeat_rules=(
        RepeatRule(False, service='labels', method='GET', path_prefix='/cut'),
        RepeatRule(False, service='labels', path_prefix='/choose', caller_may_choose=True),
    ),
    operators={'ana': Operator('ana', digest(TOKEN), 'operator')},
)


class ScriptedFront:
    """Answers every request with the same pieces, and records the requests."""

    def __init__(self) -> None:
        """Initialize with an empty complete answer."""
        self.requests: list[CallerRequest] = []
        self.headers: tuple[tuple[str, str], ...] = (('content-type', 'application/json'),)
        self.pieces: list[Any] = [b'{}']
        self.refusal: Refusal | None = None
        self.never_answers = False
        self.requested = 0
        self.closed = False
        self.cancelled = False

    async def serve(self, request: CallerRequest) -> Answer | Refusal:
        """Answer, refuse, or wait forever."""
        self.requests.append(request)
        if self.never_answers:
            try:
                await anyio.sleep_forever()
            finally:
                self.cancelled = True
        if self.refusal:
            return self.refusal
        return Answer(200, self.headers, self._chunks(), attempt=3)

    async def _chunks(self) -> AsyncIterator[bytes]:
        try:
            for piece in self.pieces:
                self.requested += 1
                if piece is BREAK:
                    raise AnswerInterrupted(LOST)
                if piece is FAULT:
                    raise ValueError('an exception in the front')
                if piece is HANG:
                    await anyio.sleep_forever()
                yield piece
        finally:
            self.closed = True


class Parts:
    """Fakes of the view, the operator service and the router's state."""

    def __init__(self) -> None:
        """Initialize as ready."""
        self.configuration = DECLARED
        self.is_leaving = False
        self.commands: list[tuple[str, str, str]] = []

    def leaving(self) -> bool:
        """Tell whether the router is leaving."""
        return self.is_leaving

    def ready(self) -> tuple[bool, str]:
        """Return that it is ready."""
        return True, ''

    def dump(self) -> dict[str, Any]:
        """Return some state."""
        return {'instance': 'router-1'}

    def counters(self) -> dict[str, float]:
        """Return one counter."""
        return {'open claims': 4}

    async def command(self, token: str, line: str, change_id: str) -> tuple[int, dict[str, Any]]:
        """Accept one command; fail for all others."""
        if line == 'top-up nobody 5':
            return 404, {'status': 1, 'messages': ['there is no such account'], 'rows': []}
        if line != 'accounts':
            raise UserError(f'no command {line!r}')
        self.commands.append((token, line, change_id))
        return 200, {'rows': []}


class AsgiCaller:
    """One caller's connection: its request, what it reads, and when it disconnects."""

    def __init__(self, body: bytes = b'') -> None:
        """Initialize with a body to send; the whole answer is read."""
        self.body = body
        self.status = 0
        self.headers: dict[str, str] = {}
        self.parts: list[bytes] = []
        self.finished = False
        self.reads = anyio.Event()
        self.reads.set()
        self._body_sent = False
        self._left = anyio.Event()

    async def receive(self) -> dict[str, Any]:
        """Return the body, then the disconnect."""
        if not self._body_sent:
            self._body_sent = True
            return {'type': 'http.request', 'body': self.body, 'more_body': False}
        await self._left.wait()
        return {'type': 'http.disconnect'}

    async def send(self, message: Any) -> None:
        """Accept a piece of the answer, once this caller reads."""
        await self.reads.wait()
        if message['type'] == 'http.response.start':
            self.status = message['status']
            self.headers = {name.decode(): text.decode() for name, text in message['headers']}
        else:
            self.parts.append(message['body'])
            self.finished = not message['more_body']

    def disconnect(self) -> None:
        """Close the connection."""
        self._left.set()

    @property
    def error(self) -> dict[str, Any]:
        """The error object of a JSON answer."""
        return msgspec.json.decode(b''.join(self.parts))['error']


class CallersSide:
    """The application with fakes of all its dependencies."""

    def __init__(self) -> None:
        """Initialize with no request sent."""
        self.front = ScriptedFront()
        self.parts = Parts()
        self.settings = CallersSettings(max_body_bytes=5000, send_within_s=60)
        self.caller = AsgiCaller()
        self.headers = {'authorization': f'Bearer {KEY}'}

    def chat(self, **fields: Any) -> None:
        """Send a chat completion."""
        document = {'model': 'boards', 'messages': [{'role': 'user', 'content': 'hi'}], **fields}
        self.send('POST', '/v1/chat/completions', msgspec.json.encode(document))

    def send(self, method: str, path: str, body: bytes = b'') -> None:
        """Send a request and wait for the end of its answer."""
        virtual.run(lambda: self._exchange(method, path, body, _nothing))

    def send_and(self, act: Callable[['CallersSide'], Awaitable[None]], **fields: Any) -> None:
        """Send a streamed chat and act as its caller a second later."""
        document = {'model': 'boards', 'messages': [{'role': 'user', 'content': 'hi'}]}
        body = msgspec.json.encode({**document, 'stream': True, **fields})
        virtual.run(lambda: self._exchange('POST', '/v1/chat/completions', body, act))

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        act: Callable[['CallersSide'], Awaitable[None]],
    ) -> None:
        self.caller = AsgiCaller(body)
        app = CallersApp(self.settings, self.front, self.parts, LoopClock(), self.parts, self.parts)
        async with anyio.create_task_group() as group:
            group.start_soon(app, self._scope(method, path), self.caller.receive, self.caller.send)
            await act(self)

    def _scope(self, method: str, path: str) -> dict[str, Any]:
        raw, _, query = path.partition('?')
        return {
            'type': 'http',
            'method': method,
            'path': raw.replace('%2e', '.').replace('%63', 'c'),
            'raw_path': raw.encode(),
            'query_string': query.encode(),
            'headers': [(name.encode(), text.encode()) for name, text in self.headers.items()],
        }


async def _nothing(side: CallersSide) -> None:
    """Wait for the answer without further actions."""


async def disconnect_after_a_second(side: CallersSide) -> None:
    """Close the connection before the end of the answer."""
    await anyio.sleep(1)
    side.caller.disconnect()


async def read_nothing(side: CallersSide) -> None:
    """Stop reading for two seconds, note how many pieces were requested, then read on."""
    side.caller.reads = anyio.Event()
    await anyio.sleep(2)
    side.requested_while_unread = side.front.requested  # type: ignore[attr-defined]
    side.caller.reads.set()


async def never_read(side: CallersSide) -> None:
    """Keep the connection open and never read again."""
    side.caller.reads = anyio.Event()
