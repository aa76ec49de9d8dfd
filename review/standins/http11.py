"""A small HTTP/1.1 server and client for the stand-ins, on the standard library alone."""

import asyncio
from collections.abc import Awaitable, Callable

MAX_HEAD_BYTES = 1 << 16


class Request:
    """One request that was read from a channel."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition('?')
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, by name in lower case."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head[:-4].split('\r\n')
    pairs = [line.partition(':') for line in lines]
    return first, {name.strip().lower(): text.strip() for name, _, text in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks, empty without either."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            chunk = await read_chunk(reader)
            if not chunk:
                return body
            body += chunk
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return one chunk, b'' for the last one."""
    size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request; raises ``IncompleteReadError`` at the end of the channel."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(' ')
    return Request(method, target, headers, await read_body(reader, headers))


def response(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a whole response with a length."""
    named = {**headers, 'Content-Length': str(len(body))}
    lines = [f'HTTP/1.1 {status} X', *(f'{name}: {text}' for name, text in named.items())]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve each channel with ``handler`` until it returns or the peer has left."""

    async def channel(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handler(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(channel, host, port, limit=MAX_HEAD_BYTES, backlog=512)
