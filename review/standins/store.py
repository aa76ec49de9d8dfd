"""A stand-in for the platform's store, written from the page PROTOCOL.

It runs in the process of the test.  ``put`` and ``remove`` are the operator's and the workers' own
way in; the system's calls come over HTTP.  Entries of workers lapse after three silent intervals.
"""

import asyncio
import base64
import bisect
import json
import time
from urllib.parse import parse_qsl

import http11

HEARTBEAT_S = 1.2
PAGE = 500
HISTORY = 5000


class Store:
    """Items with revisions, leases, and a history for those that watch."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self.beats: dict[str, float] = {}
        self.next_lease = 100
        self.changed = asyncio.Event()

    async def run(self) -> None:
        """End leases, and the entries of silent workers, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [one for one, (end, _) in self.leases.items() if end <= now]:
                self.end_lease(lease)
            for key in [one for one, at in self.beats.items() if now - at > 3 * HEARTBEAT_S]:
                del self.beats[key]
                self.remove(key)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item."""
        self.revision += 1
        created = self.items.get(key, {}).get('create_revision', self.revision)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'create_revision': created,
            'lease': lease,
        }
        self._note(self.items[key])
        return self.revision

    def beat(self, key: str, value: bytes) -> None:
        """Take the check-in of a worker."""
        self.beats[key] = time.monotonic()
        if self.items.get(key, {}).get('value') != base64.b64encode(value).decode():
            self.put(key, value)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({'key': key, 'revision': self.revision, 'removed': True})

    def end_lease(self, lease: int) -> None:
        """End a lease and remove its items."""
        self.leases.pop(lease, None)
        for key in [one for one, item in self.items.items() if item['lease'] == lease]:
            self.remove(key)

    def _note(self, event: dict) -> None:
        self.history.append(dict(event))
        del self.history[:-HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    async def channel(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one channel."""
        while True:
            request = await http11.read_request(reader)
            status, document = await self._answer(request)
            body = json.dumps(document).encode()
            writer.write(http11.response(status, {'Content-Type': 'application/json'}, body))
            await writer.drain()

    async def _answer(self, request: http11.Request) -> tuple[int, dict]:
        query = dict(parse_qsl(request.query))
        call = request.path.strip('/').split('/')
        if call[0] == 'kv-key':
            item = self.items.get(query['key'])
            return (200, {**item, 'store_revision': self.revision}) if item else (404, {})
        if call[0] == 'kv-range':
            keys = sorted(key for key in self.items if key.startswith(query['prefix']))
            keys = keys[bisect.bisect_right(keys, query.get('after', '')) :]
            page = {'entries': [self.items[key] for key in keys[:PAGE]]}
            return 200, {
                **page,
                'more_pages': len(keys) > PAGE,
                'store_revision': self.revision,
            }
        if call[0] == 'kv-watch':
            return await self._watch(query)
        document = json.loads(request.body or b'{}')
        if call[0] == 'kv-txn':
            return self._write(document)
        return self._lease(call, document)

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query['after'])
        end = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            if self.history and len(self.history) == HISTORY:
                if self.history[0]['revision'] > after + 1:
                    return 410, {}
            events = [
                one
                for one in self.history
                if one['revision'] > after and one['key'].startswith(query['prefix'])
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'store_revision': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def _write(self, document: dict) -> tuple[int, dict]:
        expected = document.get('expected_rev', [])
        puts = document.get('puts', [])
        keys = [one['key'] for one in puts] + list(document.get('remove', []))
        if any(key.startswith(('op/', 'servers/')) for key in keys):
            return 403, {}
        current = {row['key']: self.items.get(row['key']) for row in expected}
        for row in expected:
            item = current[row['key']]
            if (item['revision'] if item else 0) != row['revision']:
                entries = [item or {'key': key, 'revision': 0} for key, item in current.items()]
                return 412, {'entries': entries}
        if any(one.get('lease') and one['lease'] not in self.leases for one in puts):
            return 404, {}
        for one in puts:
            self.put(one['key'], base64.b64decode(one['value']), one.get('lease') or 0)
        for key in document.get('remove', []):
            self.remove(key)
        return 200, {'revision': self.revision}

    def _lease(self, call: list[str], document: dict) -> tuple[int, dict]:
        if call[0] == 'kv-lease':
            ttl_s = max(1.0, min(600.0, document['ttl_ms'] / 1000))
            self.next_lease += 1
            self.leases[self.next_lease] = [time.monotonic() + ttl_s, ttl_s]
            return 200, {'lease': self.next_lease, 'ttl_ms': int(ttl_s * 1000)}
        lease = int(call[1])
        if lease not in self.leases:
            return 404, {}
        if call[0] == 'kv-keep':
            ttl_s = self.leases[lease][1]
            self.leases[lease][0] = time.monotonic() + ttl_s
            return 200, {'ttl_ms': int(ttl_s * 1000)}
        self.end_lease(lease)
        return 200, {}
