"""A stand-in of the etcd v3 JSON gateway, over a ``MemoryStore`` and its faults.

A store that is down breaks the connection off; one that lost an answer, too,
after the write took effect; a slow one answers late.
"""

import base64
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from typing import Any

import anyio
import msgspec

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.sentinels import Conflict
from endivesaddle.stand_ins.memory_store import MemoryStore

PATIENCE_S = 3600
"""How long the store stand-in may take over one call."""
PROGRESS_S = 1.0

Body = dict[str, Any]
Answer = Callable[['EtcdGateway', Body], Awaitable[Body]]

answers: Registry[Answer] = Registry('path of the gateway')


class EtcdGateway:
    """An ASGI application; ``silent`` stops all answers, ``progress_s`` paces watches."""

    def __init__(self, store: MemoryStore, clock: Clock, progress_s: float = PROGRESS_S) -> None:
        """Answer from ``store``."""
        self.store = store
        self.clock = clock
        self.progress_s = progress_s
        self.compacted = 0
        self.silent = False
        self.revision = 0
        self.paths: list[str] = []

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope['type'] == 'lifespan':
            return
        self.paths.append(scope['path'])
        body = msgspec.json.decode(await _read(receive))
        if scope['path'] == '/v3/watch':
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_until_left, receive, tasks.cancel_scope)
                await self._watch(body['create_request'], send)
                tasks.cancel_scope.cancel()
            return
        try:
            answer = await answers.find(scope['path'])(self, body)
        except (StoreUnreachable, StoreWriteUnconfirmed):
            await _break_off(send)
            return
        await self._hold()
        await _reply(send, answer)

    @property
    def deadline_unix_s(self) -> float:
        """A deadline that the store stand-in never meets by itself."""
        return self.clock.now_s() + PATIENCE_S

    def header(self, *entries: Stored) -> Body:
        """Return a header with the newest revision seen."""
        self.revision = max(self.revision, *(entry.version for entry in entries), 0)
        return {'revision': str(self.revision)}

    async def _hold(self) -> None:
        while self.silent:
            await anyio.sleep(self.progress_s)

    async def _watch(self, wanted: Body, send: Any) -> None:
        start = int(wanted.get('start_revision', 0))
        await _start(send)
        await _line(send, {'result': {'header': self.header(), 'created': True}})
        if start <= self.compacted:
            lost = {'canceled': True, 'compact_revision': str(self.compacted)}
            await _line(send, {'result': lost})
            return
        prefix = _text(wanted['key']).rstrip('\0')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tell_progress, send)
            try:
                await self._tell_changes(prefix, start - 1, send)
            except StoreUnreachable:
                tasks.cancel_scope.cancel()

    async def _tell_changes(self, prefix: str, after_version: int, send: Any) -> None:
        changes: AsyncIterator[Stored] = self.store.watch(prefix, after_version)
        async with aclosing(changes) as entries:  # type: ignore[type-var]
            async for stored in entries:
                await self._hold()
                kind = 'DELETE' if stored.value is None else 'PUT'
                event = {'kv': pair(stored), 'type': kind}
                await _line(send, {'result': {'header': self.header(stored), 'events': [event]}})

    async def _tell_progress(self, send: Any) -> None:
        while True:
            await anyio.sleep(self.progress_s)
            await self._hold()
            await _line(send, {'result': {'header': self.header()}})


async def _until_left(receive: Any, scope: anyio.CancelScope) -> None:
    """End a watch when the other end has closed it."""
    kind = ''
    while kind != 'http.disconnect':
        kind = (await receive())['type']
    scope.cancel()


def pair(stored: Stored) -> Body:
    """Return a key with its value as the gateway writes it: empty fields are left out."""
    found = {'key': _b64(stored.key.encode()), 'mod_revision': str(stored.version)}
    if stored.value:
        found['value'] = _b64(stored.value)
    return found


@answers.add('/v3/kv/range')
async def read_range(gateway: EtcdGateway, body: Body) -> Body:
    """Answer a read of a key, or a page of a prefix."""
    key = _text(body['key'])
    if not body.get('range_end'):
        stored = await gateway.store.read(key, gateway.deadline_unix_s)
        found = [stored] if isinstance(stored, Stored) else []
        return {'header': gateway.header(*found), 'kvs': [pair(entry) for entry in found]}
    start, end = base64.b64decode(body['key']), base64.b64decode(body['range_end'])
    entries = [
        entry
        for entry in await gateway.store.list('', gateway.deadline_unix_s)
        if start <= entry.key.encode() and (end == b'\0' or entry.key.encode() < end)
    ]
    limit = int(body.get('limit', 0)) or len(entries)
    page = [pair(entry) for entry in entries[:limit]]
    return {'header': gateway.header(*entries), 'kvs': page, 'more': len(entries) > limit}


@answers.add('/v3/kv/txn')
async def swap(gateway: EtcdGateway, body: Body) -> Body:
    """Answer a swap: one compare on one key, one put of the same key."""
    (compare,), (success,) = body['compare'], body['success']
    put = success['request_put']
    outcome = await gateway.store.swap(
        _text(put['key']),
        base64.b64decode(put.get('value', '')),
        int(compare['mod_revision']),
        gateway.deadline_unix_s,
        int(put.get('lease', 0)),
    )
    if isinstance(outcome, Stored):
        return {'header': gateway.header(outcome), 'succeeded': True, 'responses': [{}]}
    return _conflict(gateway, outcome, compare['key'])


@answers.add('/v3/lease/grant')
async def grant(gateway: EtcdGateway, body: Body) -> Body:
    """Answer a request for a lease."""
    lease_id = await gateway.store.grant(int(body['TTL']), gateway.deadline_unix_s)
    return {'header': gateway.header(), 'ID': str(lease_id), 'TTL': body['TTL']}


@answers.add('/v3/lease/keepalive')
async def keep_alive(gateway: EtcdGateway, body: Body) -> Body:
    """Answer an extension of a lease; one that has lapsed has no TTL."""
    alive = await gateway.store.keep_alive(int(body['ID']), gateway.deadline_unix_s)
    found = {'header': gateway.header(), 'ID': body['ID']}
    return {'result': {**found, 'TTL': '10'} if alive else found}


def _conflict(gateway: EtcdGateway, conflict: Conflict, key: str) -> Body:
    found = {'key': key, 'mod_revision': str(conflict.version)}
    response = {'response_range': {'kvs': [found] if conflict.version else []}}
    return {'header': gateway.header(), 'responses': [response]}


def _b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _text(encoded: str) -> str:
    return base64.b64decode(encoded).decode()


async def _read(receive: Any) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get('body', b''))
        if not message.get('more_body'):
            return b''.join(parts)


async def _start(send: Any) -> None:
    headers = [(b'content-type', b'application/json')]
    await send({'type': 'http.response.start', 'status': 200, 'headers': headers})


async def _line(send: Any, message: Body) -> None:
    body = b'%b\n' % msgspec.json.encode(message)
    await send({'type': 'http.response.body', 'body': body, 'more_body': True})


async def _reply(send: Any, answer: Body) -> None:
    await _start(send)
    await send({'type': 'http.response.body', 'body': msgspec.json.encode(answer)})


async def _break_off(send: Any) -> None:
    # An answer begun and not ended: the server closes the connection.
    await _start(send)
    await send({'type': 'http.response.body', 'body': b'{', 'more_body': True})
