"""A stand-in for the platform's store, from PROTOCOL.md. Arguments: IP:PORT.

``POST /operator`` with ``puts`` ({key: value or null}) is how the operator and the workers write.
"""

import asyncio
import base64
import json
import sys
import time
from urllib.parse import parse_qsl, urlsplit

import wire

KEPT = 20_000
PAGE = 500


class Store:
    """Items by key, leases, and the history of changes."""

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        created = self.items.get(key, {}).get('create_revision', self.revision)
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'create_revision': created,
            'lease': lease,
        }
        self._note(self.items[key])

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._note({'key': key, 'revision': self.revision, 'removed': True})

    def _note(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def lapse(self) -> None:
        now_s = time.monotonic()
        for lease in [one for one, (_, until_s) in self.leases.items() if until_s < now_s]:
            self.end(lease)

    def end(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item['lease'] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.remove(key)

    async def call(self, method: str, path: str, query: dict, body: bytes) -> tuple[int, dict]:
        self.lapse()
        document = json.loads(body) if body else {}
        if path == '/operator':
            self.revision += 1
            for key, value in document['puts'].items():
                if value is None:
                    self.remove(key)
                else:
                    self.put(key, json.dumps(value).encode())
            return 200, {'revision': self.revision}
        if path == '/kv-key':
            item = self.items.get(query['key'])
            return (200, {**item, 'store_revision': self.revision}) if item else (404, {})
        if path == '/kv-range':
            after = query.get('after', '')
            keys = sorted(key for key in self.items if key.startswith(query['prefix']))
            keys = [key for key in keys if key > after]
            return 200, {
                'entries': [self.items[key] for key in keys[:PAGE]],
                'more_pages': len(keys) > PAGE,
                'store_revision': self.revision,
            }
        if path == '/kv-watch':
            return await self.watch(query)
        if path == '/kv-txn':
            return self.change(document)
        if path == '/kv-lease':
            self.next_lease += 1
            ttl_s = document['ttl_ms'] / 1000
            self.leases[self.next_lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {'lease': self.next_lease, 'ttl_ms': document['ttl_ms']}
        lease = int(path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith('/kv-keep/'):
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {'ttl_ms': int(ttl_s * 1000)}
        self.end(lease)
        return 200, {}

    async def watch(self, query: dict) -> tuple[int, dict]:
        after, until_s = int(query['after']), time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['revision'] > after and event['key'].startswith(query['prefix'])
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'store_revision': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left_s, 0.5))
            except TimeoutError:
                self.lapse()

    def change(self, document: dict) -> tuple[int, dict]:
        for row in document['expected_rev']:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                keys = [row['key'] for row in document['expected_rev']]
                return 412, {'entries': [self.items[key] for key in keys if key in self.items]}
        if any(put.get('lease') and put['lease'] not in self.leases for put in document['puts']):
            return 404, {}
        self.revision += 1
        for put in document['puts']:
            self.put(put['key'], base64.b64decode(put['value']), put.get('lease', 0))
        for key in document['remove']:
            self.remove(key)
        return 200, {'revision': self.revision}


async def main(address: str) -> None:
    store = Store()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await wire.read_request(reader)
                split = urlsplit(request.target)
                query = dict(parse_qsl(split.query))
                status, document = await store.call(request.method, split.path, query, request.body)
                headers = {'Content-Type': 'application/json'}
                writer.write(wire.answer(status, headers, json.dumps(document).encode()))
                await writer.drain()
        except (EOFError, OSError):
            pass
        finally:
            writer.close()

    host, _, port = address.partition(':')
    server = await asyncio.start_server(serve, host, int(port))
    await server.serve_forever()


if __name__ == '__main__':
    asyncio.run(main(sys.argv[1]))
