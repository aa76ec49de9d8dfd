"""Subject: a router as a real process, before a server that sends bytes without end."""

import asyncio
import multiprocessing
import pathlib
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import anyio

from subjects.endless_responses import WRITTEN
from subjects.signalled_programs import AUTHORIZED, GUARD_S, Platform, open_platform

DEADLINE_MS = 3000
READ_S = 0.02
SOUND_GAP_S = 0.05
MAX_SENT = 32 << 20
"""The server falls silent after so many bytes of one response."""
SOUND = b'a sound answer'
KIBIBYTE = 1024


class EndlessProcess:
    """Requests at once to one router; ``peak_bytes`` is the most memory that its process had."""

    def __init__(self) -> None:
        """Initialize before the play."""
        self.peak_bytes = 0
        self.idle_bytes = 0
        self.sound_s: list[float] = []
        self.statuses: list[bytes] = []

    def request(self, count: int, status: int, read_s: float) -> None:
        """Send requests whose responses of ``status`` do not end; callers read each ``read_s``."""
        anyio.run(self._play, count, status, read_s)

    async def _play(self, count: int, status: int, read_s: float) -> None:
        with anyio.fail_after(GUARD_S), _flooding_server() as server_address:
            async with open_platform(server_address) as platform:
                await self._ask_all(platform, count, status, read_s)

    async def _ask_all(self, platform: Platform, count: int, status: int, read_s: float) -> None:
        router, address = await platform.start('router')
        await platform.until_ready(address)
        await _exchange(address, '/p/sound', 0)
        self.idle_bytes = _peak_bytes(router.pid)
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask_sound, address)
            async with anyio.create_task_group() as endless:
                for number in range(count):
                    target = f'/p/endless/{status}/{number}'
                    endless.start_soon(self._ask_endless, address, target, read_s)
            group.cancel_scope.cancel()
        self.peak_bytes = _peak_bytes(router.pid)

    async def _ask_endless(self, address: str, target: str, read_s: float) -> None:
        self.statuses.append((await _exchange(address, target, read_s)).split(b' ')[1])

    async def _ask_sound(self, address: str) -> None:
        number = 0
        while True:
            number += 1
            began_s = anyio.current_time()
            answer = await _exchange(address, f'/p/sound/{number}', 0)
            assert answer.startswith(b'HTTP/1.1 200') and SOUND in answer, answer
            self.sound_s.append(anyio.current_time() - began_s)
            await anyio.sleep(SOUND_GAP_S)


@contextmanager
def _flooding_server() -> Iterator[str]:
    """Yield the address of a server in a process of its own, so that it delays no caller here."""
    context = multiprocessing.get_context('spawn')
    own, other = context.Pipe()
    process = context.Process(target=_run_server, args=(other,), daemon=True)
    process.start()
    try:
        yield own.recv()
    finally:
        process.terminate()
        process.join()


def _run_server(pipe: Any) -> None:
    asyncio.run(_serve_until_ended(pipe))


async def _serve_until_ended(pipe: Any) -> None:
    server = await asyncio.start_server(_serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    pipe.send(f'{host}:{port}')
    await server.serve_forever()


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while True:
            await _answer(await reader.readuntil(b'\r\n\r\n'), writer)
    except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
        writer.transport.abort()


async def _answer(head: bytes, writer: asyncio.StreamWriter) -> None:
    lines = head.split(b'\r\n')
    named = next(line for line in lines if line.lower().startswith(b'attempt-id: '))
    target = lines[0].split(b' ')[1]
    status = target.split(b'/')[3] if b'endless' in target else b'200'
    writer.write(b'HTTP/1.1 %s x\r\nserver-seal: x\r\n%s\r\n' % (status, named))
    if b'endless' not in target:
        writer.write(b'content-length: %d\r\n\r\n%s' % (len(SOUND), SOUND))
        return
    writer.write(b'\r\n')
    for _ in range(MAX_SENT // WRITTEN):
        writer.write(b'x' * WRITTEN)
        await writer.drain()


async def _exchange(address: str, target: str, read_s: float) -> bytes:
    """Return the first bytes of the answer, which is read to its end, slowly if told to."""
    host, _, port = address.partition(':')
    reader, writer = await asyncio.open_connection(host, int(port), limit=WRITTEN)
    fields = {
        'host': 'boards.example',
        'attempt-id': target.replace('/', '-'),
        'deadline-ms': str(DEADLINE_MS),
        'connection': 'close',
        'content-length': '0',
        **AUTHORIZED,
    }
    head = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
    writer.write(f'POST {target} HTTP/1.1\r\n{head}\r\n'.encode())
    answer = b''
    while part := await reader.read(WRITTEN):
        answer = answer if len(answer) > WRITTEN else answer + part
        await anyio.sleep(read_s)
    writer.close()
    return answer


def _peak_bytes(pid: int) -> int:
    """Return the most memory that a process has had so far."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(line for line in status.splitlines() if line.startswith('VmHWM'))
    return int(line.split()[1]) * KIBIBYTE
