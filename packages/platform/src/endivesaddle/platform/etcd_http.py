"""Calls to the etcd v3 JSON gateway over HTTP, at one of several URLs.

What is told of a failed call decides whether the fleet may try again, so each
failure is sorted by one question: can the store have got it?
"""

import ssl
from collections.abc import AsyncGenerator, AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpx
import msgspec

from endivesaddle.fleet import events
from endivesaddle.fleet.clock import Clock, left_s
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed, UserError
from endivesaddle.platform.settings import PlatformSettings

NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
"""Failures before the first byte of a call left."""
LEAST_TRIES = 2
WATCHES = 8
"""Connections kept for watches: each holds one for good, and calls never take them."""
NOT_APPLIED = frozenset((3, 5, 7, 8, 11, 12, 16))
"""gRPC codes of replies that say that the store refused the call as it was."""

FAILED_OVER = events.event(
    5001, 'WARNING', 'store_failed_over', 'a URL of the store failed, the next one is used'
)
ANSWER_LOST = events.event(
    5002, 'WARNING', 'store_answer_lost', 'a write was sent and its answer lost'
)


def new_client(settings: PlatformSettings) -> httpx.AsyncClient:
    """Return a client that trusts the store's authority; raises ``UserError``."""
    connections = settings.store_connections + WATCHES
    limits = httpx.Limits(max_connections=connections, max_keepalive_connections=connections)
    if not settings.store_ca:
        return httpx.AsyncClient(trust_env=False, limits=limits)
    try:
        context = ssl.create_default_context(cafile=settings.store_ca)
    except (OSError, ssl.SSLError) as error:
        raise UserError(f'--store-ca {settings.store_ca} can not be used: {error}') from error
    return httpx.AsyncClient(trust_env=False, limits=limits, verify=context)


class Refused(Exception):
    """The store answered that it doesn't do this; nothing took effect."""


class Unavailable(Exception):
    """The store answered that it failed; the call may have taken effect."""


BROKEN = (httpx.HTTPError, TimeoutError, Unavailable)
"""Failures after which the store may or may not have got the call."""


WATCH_BROKEN = (*BROKEN, Refused, msgspec.DecodeError)


class Gateway:
    """The store's URLs, and the HTTP client that all calls share."""

    def __init__(
        self,
        urls: Sequence[str],
        settings: PlatformSettings,
        clock: Clock,
        client: httpx.AsyncClient,
    ) -> None:
        """Prefer the first URL until it fails."""
        self._urls = list(urls)
        self._settings = settings
        self._clock = clock
        self._client = client
        self._free = anyio.Semaphore(settings.store_connections)

    async def ask(self, path: str, body: dict[str, Any], deadline_unix_s: float) -> dict[str, Any]:
        """Make an idempotent call, at each URL in turn, or twice at the only one.

        An open connection may be silent while a new one to the same URL works.

        Raises ``StoreUnreachable`` when none answers before the deadline.
        """
        async with self._connection(path, deadline_unix_s):
            return await self._ask(path, body, deadline_unix_s)

    async def write(
        self, path: str, body: dict[str, Any], deadline_unix_s: float
    ) -> dict[str, Any]:
        """Make a call that changes something, once.

        A URL that was not reached is followed by the next.  A call that may have
        been sent is not repeated: the first one may yet take effect, and the
        second would then lose to it and be reported as another's change.  It is
        ``StoreWriteUnconfirmed``, and the caller reads back under its id.
        """
        async with self._connection(path, deadline_unix_s):
            return await self._write(path, body, deadline_unix_s)

    async def lines(
        self, path: str, body: dict[str, Any], silence_s: float
    ) -> AsyncGenerator[Any, None]:
        """Yield the messages of a streamed reply; ends when the store ends it.

        Raises ``StoreUnreachable`` when it breaks or is silent for ``silence_s``.
        """
        url = self._urls[0]
        try:
            async with self._stream(url + path, body) as reply:
                raise_for_status(reply.status_code, b'')
                async for text in _until_silent(reply.aiter_lines(), silence_s):
                    yield msgspec.json.decode(text)
        except WATCH_BROKEN as error:
            self._fail_over(url, describe(error))
            raise StoreUnreachable(f'a watch broke: {describe(error)}') from error

    async def _ask(self, path: str, body: dict[str, Any], deadline_unix_s: float) -> dict[str, Any]:
        reason = 'no URL was tried before the deadline'
        for left_tries in range(max(len(self._urls), LEAST_TRIES), 0, -1):
            # The last try has all the time that is left; the others leave some for it.
            limit_s = left_s(self._clock, deadline_unix_s)
            if left_tries > 1:
                limit_s = min(self._settings.store_read_s, limit_s / 2)
            url = self._urls[0]
            try:
                return await self._post(url + path, body, limit_s)
            except BROKEN as error:
                reason = describe(error)
                self._fail_over(url, reason)
            except Refused as error:
                raise StoreUnreachable(f'the store refused {path}: {error}') from error
        raise StoreUnreachable(f'the store did not answer {path}: {reason}')

    async def _write(
        self, path: str, body: dict[str, Any], deadline_unix_s: float
    ) -> dict[str, Any]:
        reason = 'the deadline has passed'
        for _ in self._urls:
            limit_s = left_s(self._clock, deadline_unix_s)
            if not limit_s:
                break
            url = self._urls[0]
            try:
                return await self._post(url + path, body, limit_s)
            except NEVER_SENT as error:
                reason = describe(error)
                self._fail_over(url, reason)
            except BROKEN as error:
                self._fail_over(url, describe(error))
                raise _unsure(path, error) from error
            except Refused as error:
                raise StoreUnreachable(f'the store refused {path}: {error}') from error
        raise StoreUnreachable(f'the store was not reached for {path}: {reason}')

    @asynccontextmanager
    async def _connection(self, path: str, deadline_unix_s: float) -> AsyncIterator[None]:
        # Waited for here and not in the client's pool: a time-out there looks like one
        # on the way, so a write that never left was "unsure", and a URL was blamed for it.
        free = False
        with anyio.move_on_after(left_s(self._clock, deadline_unix_s)):
            await self._free.acquire()
            free = True
        if not free:
            raise StoreUnreachable(f'no connection came free for {path} before its deadline')
        try:
            yield
        finally:
            self._free.release()

    def _fail_over(self, url: str, reason: str) -> None:
        # Calls side by side fail at one URL together: only the first moves it back.
        if self._urls[0] != url:
            return
        self._urls.append(self._urls.pop(0))
        FAILED_OVER.log(failed=url, next=self._urls[0], reason=reason)

    async def _post(self, url: str, body: dict[str, Any], limit_s: float) -> dict[str, Any]:
        timeout = httpx.Timeout(None, connect=self._settings.store_connect_s)
        with anyio.fail_after(limit_s):
            reply = await self._client.post(url, content=msgspec.json.encode(body), timeout=timeout)
        raise_for_status(reply.status_code, reply.content)
        try:
            return msgspec.json.decode(reply.content, type=dict[str, Any])
        except msgspec.DecodeError as error:
            raise Unavailable('the reply is no JSON object') from error

    def _stream(self, url: str, body: dict[str, Any]) -> Any:
        connect_s = self._settings.store_connect_s
        timeout = httpx.Timeout(None, connect=connect_s, pool=connect_s)
        return self._client.stream('POST', url, content=msgspec.json.encode(body), timeout=timeout)


def raise_for_status(status: int, content: bytes) -> None:
    """Sort a reply that is no success into ``Refused`` and ``Unavailable``.

    A time-out inside the store ("etcdserver: request timed out") may come after
    the write took effect, so only codes that speak of the call itself are refusals.
    """
    if status == httpx.codes.OK:
        return
    try:
        found = msgspec.json.decode(content, type=dict[str, Any])
    except msgspec.DecodeError:
        found = {}
    text = f'HTTP {status} {found.get("message", "")}'.strip()
    if found.get('code') in NOT_APPLIED:
        raise Refused(text)
    raise Unavailable(text)


async def _until_silent(texts: AsyncIterator[str], silence_s: float) -> AsyncIterator[str]:
    # An open connection can go silent for good: no error ever comes and the watcher
    # would keep an old configuration for ever.  The store's signs of life come more
    # often than this deadline, so a silence beyond it is a broken watch.
    while True:
        with anyio.fail_after(silence_s):
            text = await anext(texts, None)
        if text is None:
            return
        if text:
            yield text


def _unsure(path: str, error: Exception) -> StoreWriteUnconfirmed:
    reason = describe(error)
    ANSWER_LOST.log(path=path, reason=reason)
    return StoreWriteUnconfirmed(f'the answer to {path} was lost: {reason}')


def describe(error: Exception) -> str:
    """Return an error in a few words; time-outs have no text of their own."""
    return str(error) or type(error).__name__
