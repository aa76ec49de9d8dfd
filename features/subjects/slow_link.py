"""Subject: the users' store behind a link that brings a large answer slowly."""

from collections.abc import AsyncIterator

import anyio
import httpx
import msgspec

from endivesaddle.fleet.clock import LoopClock
from endivesaddle.fleet.errors import StoreUnreachable
from subjects.httpx_links import HttpxLinks
from subjects.links_loop import ScenarioLoop
from subjects.users_platform import module

CHUNK_S = 0.2
CHUNKS = 10
LIMIT_S = 0.5
ANSWER = msgspec.json.encode({'entries': [], 'more_pages': False, 'store_revision': 7})


class SlowBody(httpx.AsyncByteStream):
    """A body that comes in pieces, and may stop coming."""

    def __init__(self, stalls: bool) -> None:
        """Bring all of it, or the half."""
        self._pieces = CHUNKS // 2 if stalls else CHUNKS
        self._stalls = stalls

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield a piece now and then."""
        size = len(ANSWER) // CHUNKS + 1
        for number in range(self._pieces):
            await anyio.sleep(CHUNK_S)
            yield ANSWER[number * size : (number + 1) * size]
        if self._stalls:
            await anyio.sleep_forever()


class SlowLink(httpx.AsyncBaseTransport):
    """Answers at once, with a body that comes slowly."""

    def __init__(self, stalls: bool) -> None:
        """Let the body stop coming, or not."""
        self._stalls = stalls

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Answer."""
        return httpx.Response(200, stream=SlowBody(self._stalls))


class SlowScan:
    """One scan of the store over such a link."""

    def __init__(self, stalls: bool) -> None:
        """Make it."""
        self.version = 0
        self.took_s = 0.0
        self.failure = ''
        loop = ScenarioLoop()
        loop.run(self._scan, stalls)
        loop.close()

    async def _scan(self, stalls: bool) -> None:
        clock = LoopClock()
        store = module('kv_store').KvStore('10.0.0.1:1', clock, HttpxLinks(SlowLink(stalls)))
        began_unix_s = clock.now_s()
        try:
            self.version = (await store.scan('op/config', began_unix_s + LIMIT_S)).version
        except StoreUnreachable as error:
            self.failure = str(error)
        self.took_s = clock.now_s() - began_unix_s
