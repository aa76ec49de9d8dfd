"""Read replies of the platform's services within a bound.

Failure: a service in trouble sends bytes without end, and until the deadline of the call they fill
the memory of the process.
"""

from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import httpx

MAX_REPLY_BYTES = 1 << 24
"""Maximum size of a reply, and of a line of a streamed one: ten times the store's largest page."""


class ReplyTooLarge(httpx.TransportError):
    """A reply exceeds the bound; the call may have taken effect."""

    def __init__(self) -> None:
        """Name the bound."""
        super().__init__(f'the reply is larger than {MAX_REPLY_BYTES} bytes')


class Reply(NamedTuple):
    """A complete reply."""

    status_code: int
    headers: httpx.Headers
    content: bytes


async def request(client: httpx.AsyncClient, method: str, url: str, **options: Any) -> Reply:
    """Make a call as ``client.request`` does; raise ``ReplyTooLarge`` as an error of ``httpx``."""
    async with client.stream(method, url, **options) as reply:
        body = bytearray()
        async for part in reply.aiter_bytes():
            body += part
            if len(body) > MAX_REPLY_BYTES:
                raise ReplyTooLarge
        return Reply(reply.status_code, reply.headers, bytes(body))


async def read_lines(reply: httpx.Response) -> AsyncIterator[bytes]:
    """Yield the lines of a streamed reply without their ends; raise ``ReplyTooLarge``."""
    waiting = bytearray()
    async for part in reply.aiter_bytes():
        *ends, rest = part.split(b'\n')
        for end in ends:
            yield bytes(waiting + end)
            waiting.clear()
        waiting += rest
        if len(waiting) > MAX_REPLY_BYTES:
            raise ReplyTooLarge
    if waiting:
        yield bytes(waiting)
