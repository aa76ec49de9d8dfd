"""A caller without a network: speaks ASGI to a router in the same process."""

import math
from collections.abc import Awaitable, Callable, Mapping
from types import MappingProxyType
from typing import Any

import anyio
import msgspec

Told = Callable[['Got'], Awaitable[None]]
NOTHING: Mapping[str, str] = MappingProxyType({})


class Connections:
    """The open connections of callers to one router, which break when it dies."""

    def __init__(self) -> None:
        """Start with none."""
        self.scopes: set[anyio.CancelScope] = set()

    def break_off(self) -> None:
        """Break all of them, without a word to the callers."""
        for scope in list(self.scopes):
            scope.cancel()


class Got:
    """What a caller has received so far; ``complete`` once the answer has ended."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.complete = False

    def json(self) -> Any:
        """Return the body as a JSON value."""
        return msgspec.json.decode(self.body)

    @property
    def code(self) -> str:
        """The code of a refusal or of an error that ended a stream, or ''."""
        documents = [self.body, *self.body.split(b'data: ')]
        errors = [document for document in documents if document.startswith(b'{"error"')]
        if not errors:
            return ''
        return str(msgspec.json.decode(errors[-1])['error'].get('code', ''))

    def take(self, message: Any) -> None:
        """Take in one ASGI message of the router."""
        if message['type'] == 'http.response.start':
            self.status = message['status']
            self.headers = {name.decode(): text.decode() for name, text in message['headers']}
            return
        self.body += message.get('body', b'')
        self.complete = not message.get('more_body', False)


class Caller:
    """Sends requests with one key; ``told`` hears of every piece that comes."""

    def __init__(self, app: Any, key: str, connections: Connections) -> None:
        """Speak to one router; hang up on it after ``timeout_s``."""
        self._app = app
        self._key = key
        self._connections = connections
        self.timeout_s = math.inf

    async def post(
        self,
        path: str,
        body: Any,
        headers: Mapping[str, str] = NOTHING,
        told: Told | None = None,
    ) -> Got:
        """Send JSON and return all that came back."""
        return await self.ask('POST', path, msgspec.json.encode(body), headers, told)

    async def ask(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] = NOTHING,
        told: Told | None = None,
    ) -> Got:
        """Send a request and return all that came back."""
        got = Got()
        sent = False

        async def receive() -> Any:
            nonlocal sent
            if sent:
                await anyio.sleep(self.timeout_s)
                return {'type': 'http.disconnect'}
            sent = True
            return {'type': 'http.request', 'body': body, 'more_body': False}

        async def send(message: Any) -> None:
            got.take(message)
            if told is not None:
                await told(got)

        scope = anyio.CancelScope()
        self._connections.scopes.add(scope)
        with scope:
            await self._app(self._scope(method, path, headers), receive, send)
        self._connections.scopes.discard(scope)
        return got

    def _scope(self, method: str, path: str, headers: Mapping[str, str]) -> dict[str, Any]:
        sent = {'content-type': 'application/json', **headers}
        if self._key:
            sent['authorization'] = f'Bearer {self._key}'
        return {
            'type': 'http',
            'method': method,
            'path': path,
            'raw_path': path.encode(),
            'query_string': b'',
            'headers': [(name.lower().encode(), text.encode()) for name, text in sent.items()],
        }
