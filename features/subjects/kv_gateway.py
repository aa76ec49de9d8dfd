"""A stand-in for the users' key-value store over HTTP, written from its published protocol."""

import base64
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

import anyio
import msgspec

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.stand_ins.memory_store import MemoryStore

STORE_TIMEOUT_S = 60
PAGE = 2


class KvGateway:
    """An ASGI application over a store in memory.

    A ``status`` other than 0 is the status of all responses; the next ``lost_responses`` calls
    are executed but get no response.
    """

    def __init__(self, store: MemoryStore, clock: Clock) -> None:
        """Initialize with a store that the calls read and write."""
        self.status = 0
        self.lost_responses = 0
        self.queries: list[dict[str, str]] = []
        self._store = store
        self._clock = clock

    async def __call__(self, scope: Any, receive: Any, send: Callable[[Any], Any]) -> None:
        """Answer one call."""
        body = (await receive())['body']
        if self.status:
            await _reply(send, self.status, {})
            return
        query = dict(parse_qsl(scope.get('query_string', b'').decode()))
        self.queries.append(query)
        try:
            status, document = await self._respond(scope['path'], query, body)
        except StoreUnreachable:
            # A store that is down does not respond.
            await anyio.sleep_forever()
        if self.lost_responses:
            self.lost_responses -= 1
            await anyio.sleep_forever()
        await _reply(send, status, document)

    async def _respond(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if path == '/kv-key':
            return await self._key(query['key'])
        if path == '/kv-range':
            return await self._range(query['prefix'], query.get('after', ''))
        if path == '/kv-watch':
            return await self._watch(query)
        return await self._write(path, body)

    async def _key(self, key: str) -> tuple[int, dict[str, Any]]:
        stored = await self._store.read(key, self._deadline_unix_s())
        if isinstance(stored, Absent):
            return 404, {}
        return 200, {**_item(stored), 'store_revision': 1}

    async def _range(self, prefix: str, after: str) -> tuple[int, dict[str, Any]]:
        changes = await self._store.scan(prefix, self._deadline_unix_s())
        rest = [stored for stored in changes.entries if stored.key > after]
        page = [_item(stored) for stored in rest[:PAGE]]
        return 200, {
            'entries': page,
            'more_pages': len(rest) > PAGE,
            'store_revision': changes.version,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        wait_s = int(query['wait_ms']) / 1000
        changes = await self._store.poll(
            query['prefix'], int(query['after']), wait_s, self._deadline_unix_s()
        )
        if isinstance(changes, Absent):
            return 410, {}
        events = [_item(stored) for stored in changes.entries]
        return 200, {'events': events, 'store_revision': changes.version}

    async def _write(self, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        if path == '/kv-lease':
            lease = await self._store.grant(
                msgspec.json.decode(body)['ttl_ms'] // 1000, self._deadline_unix_s()
            )
            return 200, {'lease': lease, 'ttl_ms': 1}
        if path.startswith('/kv-keep/'):
            kept = await self._store.keep_alive(
                int(path.rpartition('/')[2]), self._deadline_unix_s()
            )
            return (200 if kept else 404), {'ttl_ms': 1}
        if path.startswith('/kv-lease-end/'):
            await self._store.end_lease(int(path.rpartition('/')[2]), self._deadline_unix_s())
            return 200, {}
        change = msgspec.json.decode(body)
        put, expected = change['puts'][0], change['expected_rev'][0]
        written = await self._store.swap(
            put['key'],
            base64.b64decode(put['value']),
            expected['revision'],
            self._deadline_unix_s(),
            put['lease'],
        )
        if isinstance(written, Conflict):
            current = self._store.kept(put['key'])
            return 412, {'entries': [_item(current)] if current else []}
        return 200, {'revision': written.version}

    def _deadline_unix_s(self) -> float:
        return self._clock.now_s() + STORE_TIMEOUT_S


def _item(stored: Stored) -> dict[str, Any]:
    if stored.value is None:
        return {'key': stored.key, 'revision': stored.version, 'removed': True}
    value = base64.b64encode(stored.value).decode()
    return {'key': stored.key, 'value': value, 'revision': stored.version, 'lease': 0}


async def _reply(send: Callable[[Any], Any], status: int, document: dict[str, Any]) -> None:
    headers = [(b'content-type', b'application/json')]
    await send({'type': 'http.response.start', 'status': status, 'headers': headers})
    await send({'type': 'http.response.body', 'body': msgspec.json.encode(document)})
