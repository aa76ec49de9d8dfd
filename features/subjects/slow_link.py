"""Subject: the users' store behind a link that delivers a large response slowly."""

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
DEADLINE_S = 0.5
RESPONSE = msgspec.json.encode({'entries': [], 'more_pages': False, 'store_revision': 7})


class SlowBody(httpx.AsyncByteStream):
    """A body that arrives in chunks and may stop arriving."""

    def __init__(self, stalls: bool) -> None:
        """Deliver the whole body, or half of it if ``stalls``."""
        self._chunks = CHUNKS // 2 if stalls else CHUNKS
        self._stalls = stalls

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield a chunk every ``CHUNK_S`` seconds."""
        size = len(RESPONSE) // CHUNKS + 1
        for number in range(self._chunks):
            await anyio.sleep(CHUNK_S)
            yield RESPONSE[number * size : (number + 1) * size]
        if self._stalls:
            await anyio.sleep_forever()


class SlowLink(httpx.AsyncBaseTransport):
    """A transport that responds at once, with a body that arrives slowly."""

    def __init__(self, stalls: bool) -> None:
        """Initialize with whether the body stops arriving."""
        self._stalls = stalls

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Return the response with the slow body."""
        return httpx.Response(200, stream=SlowBody(self._stalls))


class SlowScan:
    """One scan of the store over a slow link."""

    def __init__(self, stalls: bool) -> None:
        """Run the scan and record its version, duration and failure."""
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
            self.version = (await store.scan('op/config', began_unix_s + DEADLINE_S)).version
        except StoreUnreachable as error:
            self.failure = str(error)
        self.took_s = clock.now_s() - began_unix_s
