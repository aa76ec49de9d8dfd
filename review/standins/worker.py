"""A stand-in for one worker, written from the page PROTOCOL; a process of its own.

Its settings come as JSON in the first argument.  Each request that it begins to run, and how it
ended, is a line of its log; it drops a request whose channel closes; its check-ins go to standard output, from where the test passes them to
the store.  A plain worker works ``work_ms`` on a request, a model worker streams ``events`` events.
"""

import asyncio
import json
import random
import sys
import time

import http11

BEAT_S = 1.2
LOOK_S = 0.005


class Worker:
    """One lifetime of a worker."""

    def __init__(self, settings: dict) -> None:
        self.id = settings['id']
        self._settings = settings
        self._log = open(settings['log'], 'a', buffering=1)  # noqa: SIM115
        self._random = random.Random(settings.get('seed', 0))
        self._slots = asyncio.Semaphore(settings['slots'])
        self._inside = 0
        self._garble_until = 0.0

    def log(self, event: str, request: http11.Request, **more: object) -> None:
        """Write one line."""
        line = {
            't': round(time.time(), 4),
            'worker': self.id,
            'event': event,
            'id': request.headers.get('attempt-id', ''),
            'path': request.path,
            **more,
        }
        self._log.write(json.dumps(line) + '\n')

    def entry(self) -> dict:
        """Return the worker's entry in the store."""
        names = ('service', 'address', 'zone', 'slots')
        stage = {'version': 'v1', 'state': 'ready', 'cold_left_ms': 0, 'sequence': 1}
        return {**{name: self._settings[name] for name in names}, **stage}

    async def beat(self) -> None:
        """Say the entry again and again."""
        while True:
            sys.stdout.write(json.dumps({'key': f'servers/{self.id}', 'entry': self.entry()}))
            sys.stdout.write('\n')
            sys.stdout.flush()
            await asyncio.sleep(BEAT_S)

    async def orders(self) -> None:
        """Take the test's orders from standard input: spoil answers for some seconds."""
        reader = asyncio.StreamReader()
        protocol = asyncio.StreamReaderProtocol(reader)
        await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
        while line := await reader.readline():
            self._garble_until = time.monotonic() + float(line)

    async def channel(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one channel, one at a time."""
        extra = b''
        while True:
            request = await http11.read_request(reader)
            if extra:
                # A second answer to the request before: it arrives where the next one is expected.
                self.log('extra', request, answer=extra.split(b'\r\n')[0].decode())
                writer.write(extra)
                extra = b''
            whole = await self._serve(request, reader, writer)
            if not whole:
                return
            if time.monotonic() < self._garble_until:
                if self._random.random() < self._settings['garble_x']:
                    extra = whole

    async def _serve(
        self, request: http11.Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bytes:
        """Answer one request; return the whole answer, b'' if the channel can't be used again."""
        own = {'Attempt-Id': request.headers.get('attempt-id', '')}
        expected = request.headers.get('expect-instance', self.id)
        if expected != self.id:
            return self._reply(writer, 421, {**own, 'Instance-Id': self.id})
        if self._inside >= self._settings['slots'] + self._settings.get('queue', 0):
            self.log('declined', request)
            return self._reply(writer, 503, {**own, 'Not-Executed': '1'})
        self._inside += 1
        try:
            async with self._slots:
                if _closed(reader, writer):
                    self.log('dropped before it ran', request)
                    return b''
                self.log('run', request, tokens=request.headers.get('token-count', ''))
                if self._settings.get('events'):
                    await self._stream(request, writer, own)
                    return b' '
                if not await self._work(reader, writer):
                    self.log('dropped', request)
                    return b''
                self.log('done', request)
                body = f'done {own["Attempt-Id"]}'.encode()
                return self._reply(writer, 200, {**own, 'Server-Seal': self.id}, body)
        finally:
            self._inside -= 1

    async def _work(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Work on a request; return False if its channel closed meanwhile."""
        end = time.monotonic() + self._settings['work_ms'] / 1000
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left, LOOK_S))
            if _closed(reader, writer):
                return False
        return True

    def _reply(
        self, writer: asyncio.StreamWriter, status: int, headers: dict, body: bytes = b''
    ) -> bytes:
        whole = http11.response(status, headers, body)
        writer.write(whole)
        return whole

    async def _stream(
        self, request: http11.Request, writer: asyncio.StreamWriter, own: dict
    ) -> None:
        named = {**own, 'Server-Seal': self.id, 'Content-Type': 'text/event-stream'}
        named['Transfer-Encoding'] = 'chunked'
        lines = ['HTTP/1.1 200 OK', *(f'{name}: {text}' for name, text in named.items())]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        first = int(request.headers.get('last-event-id') or -1) + 1
        for number in range(first, self._settings['events']):
            await asyncio.sleep(self._settings['pause_ms'] / 1000)
            event = f'id: {number}\ndata: {own["Attempt-Id"]}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        self.log('done', request)


def _closed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    return reader.at_eof() or writer.is_closing()


async def main() -> None:
    """Serve until killed."""
    settings = json.loads(sys.argv[1])
    worker = Worker(settings)
    host, _, port = settings['address'].rpartition(':')
    async with await http11.serve(host, int(port), worker.channel):
        await asyncio.gather(worker.beat(), worker.orders())


if __name__ == '__main__':
    asyncio.run(main())
