"""HTTP/1.1 for the stand-ins of this review: read and write messages on asyncio streams."""

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """The first line of a request, its headers in lower case, and its body."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers; raises ``EOFError`` at the end of the connection."""
    line = (await reader.readline()).decode('latin-1').strip()
    if not line:
        raise EOFError
    headers: dict[str, str] = {}
    while True:
        field = (await reader.readline()).decode('latin-1').strip()
        if not field:
            return line, headers
        name, _, value = field.partition(':')
        headers[name.strip().lower()] = value.strip()


async def read_request(reader: asyncio.StreamReader) -> Message:
    """Return one request with its body."""
    line, headers = await read_head(reader)
    method, target, _ = line.split(' ', 2)
    body = b''
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        async for chunk in chunks(reader):
            body += chunk
    elif 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    return Message(method, target, headers, body)


async def chunks(reader: asyncio.StreamReader):
    """Yield the chunks of a body; raises ``EOFError`` if it ends early."""
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            raise EOFError
        size = int(line.strip() or b'0', 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return
        yield chunk[:-2]


def answer(status: int, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return a whole answer with a length."""
    lines = [f'HTTP/1.1 {status} -', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
