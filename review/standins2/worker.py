"""A stand-in for a worker, from PROTOCOL.md. Argument: its settings as JSON.

It writes its entry in the store every ``heartbeat_s``, first after ``first_write_s``, and writes what it runs to ``log``, a
file with one JSON line for each run and each event that it made.

Settings: ``id``, ``service``, ``address``, ``zone``, ``version``, ``slots``, ``store``, ``log``,
``events`` (most events of a stream), ``event_s`` (time between events), ``stride`` (tokens of an
event), ``answer_bytes`` (of an answer that is no stream), ``failing`` (which of five such requests
fail once they have run) and ``failure`` (with which status).  ``turn_away`` (a list of seconds):
the Retry-After of the answers that a worker gives while ``turn_away_file`` exists.
"""

import asyncio
import json
import os
import sys
import time
import urllib.request

import wire


class Worker:
    """One worker."""

    def __init__(self, settings: dict) -> None:
        self.settings = settings
        self.log = open(settings['log'], 'a', buffering=1)
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.turned_away = 0
        self.plain = 0

    def note(self, **fields: object) -> None:
        self.log.write(json.dumps({'t': time.time(), 'worker': self.settings['id'], **fields}))
        self.log.write('\n')

    async def register(self) -> None:
        await asyncio.sleep(self.settings.get('first_write_s', 0))
        while True:
            self.sequence += 1
            entry = {name: self.settings[name] for name in ('service', 'address', 'zone')}
            entry |= {'version': self.settings['version'], 'slots': self.settings['slots']}
            entry |= {'state': 'ready', 'cold_left_ms': 0, 'stage': 'unified', 'models': []}
            entry |= {'sequence': self.sequence, 'born': self.born}
            document = json.dumps({'puts': {f'servers/{self.settings["id"]}': entry}}).encode()
            url = f'http://{self.settings["store"]}/operator'
            await asyncio.to_thread(urllib.request.urlopen, url, document, 2)
            await asyncio.sleep(self.settings['heartbeat_s'])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self.answer(await wire.read_request(reader), reader, writer)
        except (EOFError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(
        self, request: wire.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        headers = request.headers
        own = {'Attempt-Id': headers.get('attempt-id', '')}
        if headers.get('expect-instance', self.settings['id']) != self.settings['id']:
            writer.write(wire.answer(421, {**own, 'Instance-Id': self.settings['id']}))
            await writer.drain()
            return
        waits = self.settings.get('turn_away', ())
        if waits and os.path.exists(self.settings['turn_away_file']):
            wait_s = waits[min(self.turned_away, len(waits) - 1)]
            self.turned_away += 1
            self.note(arrived=own['Attempt-Id'], turned_away_s=wait_s)
            extra = {'Not-Executed': '1', 'Retry-After': str(wait_s)}
            writer.write(wire.answer(503, {**own, **extra}))
            await writer.drain()
            return
        self.note(ran=own['Attempt-Id'], version=self.settings['version'])
        seal = {**own, 'Server-Seal': f'{self.settings["id"]}.1'}
        if 'token-count' not in headers:
            await asyncio.sleep(self.settings['event_s'])
            self.plain += 1
            if self.plain % 5 in self.settings.get('failing', ()):
                writer.write(wire.answer(self.settings['failure'], seal, b'failed'))
                await writer.drain()
                return
            body = b'x' * self.settings.get('answer_bytes', 4)
            writer.write(wire.answer(200, seal, body))
            await writer.drain()
            return
        await self.stream(request, seal, writer)

    async def stream(
        self, request: wire.Message, seal: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        most = int(request.headers['token-count'].partition(',')[2])
        events = min(self.settings['events'], most // self.settings['stride'])
        first = int(request.headers.get('last-event-id', -1)) + 1
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += ['Transfer-Encoding: chunked', *(f'{name}: {seal[name]}' for name in seal)]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for number in range(first, events):
            await asyncio.sleep(self.settings['event_s'])
            event = b'id: %d\ndata: %s %d\n\n' % (number, seal['Attempt-Id'].encode(), number)
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


async def main(settings: dict) -> None:
    worker = Worker(settings)
    host, _, port = settings['address'].partition(':')
    server = await asyncio.start_server(worker.serve, host, int(port))
    async with server:
        await worker.register()


if __name__ == '__main__':
    asyncio.run(main(json.loads(sys.argv[1])))
