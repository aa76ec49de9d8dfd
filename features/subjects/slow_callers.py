"""Subject: callers that read slowly from a router process that stops."""

import signal
import socket

import anyio
from anyio.abc import ByteStream, SocketAttribute

from subjects.signalled_programs import AUTHORIZED, GUARD_S, LARGE, Platform, open_platform

RECEIVE_BUFFER_BYTES = 262_144
READ_BYTES = 65_536
READ_BYTES_PER_S = 2_600_000
STOP_AFTER_S = 0.5


class SlowCallers:
    """Callers of one router, and what they had read when their connections ended."""

    def __init__(self, callers: int, answer_bytes: int) -> None:
        """Initialize before the router starts."""
        self.callers = callers
        self.answer_bytes = answer_bytes
        self.read_bytes: list[int] = []
        self.exit_status: int | None = None

    def play(self) -> None:
        """Stop the router while its answers are being read."""
        anyio.run(self._play)

    async def _play(self) -> None:
        with anyio.fail_after(GUARD_S):
            async with open_platform() as platform:
                await self._stop_router(platform)

    async def _stop_router(self, platform: Platform) -> None:
        router, address = await platform.start('router')
        await platform.until_ready(address)
        async with anyio.create_task_group() as group:
            for number in range(self.callers):
                group.start_soon(self._read, address, number)
            await anyio.sleep(STOP_AFTER_S)
            router.signal(signal.SIGTERM)
        self.exit_status = await router.has_ended()

    async def _read(self, address: str, number: int) -> None:
        host, _, port = address.partition(':')
        async with await anyio.connect_tcp(host, int(port)) as stream:
            raw: socket.socket = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            headers = {
                'host': 'boards.example',
                'attempt-id': f'slow-{number}',
                'deadline-ms': '20000',
                'content-length': '0',
                **AUTHORIZED,
            }
            lines = [f'POST {LARGE}{self.answer_bytes} HTTP/1.1']
            lines.extend(f'{name}: {content}' for name, content in headers.items())
            await stream.send('\r\n'.join([*lines, '', '']).encode())
            self.read_bytes.append(await _body_bytes(stream))


async def _body_bytes(stream: ByteStream) -> int:
    """Read slowly until the connection ends; return the number of bytes behind the head."""
    received = bytearray()
    try:
        while True:
            part = await stream.receive(READ_BYTES)
            received += part
            await anyio.sleep(len(part) / READ_BYTES_PER_S)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return len(received.partition(b'\r\n\r\n')[2])
