"""Calls to the etcd v3 JSON gateway over HTTP, at one of several URLs.

Whether the fleet may retry a failed call depends on the reported error, so each
failure is classified by whether the store may have received the call.
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
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue, decode_json
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed, UserError
from endivesaddle.platform.replies import read_lines, request
from endivesaddle.platform.settings import PlatformSettings

NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
"""Failures before the first byte of a call was sent."""
MIN_TRIES = 2
WATCH_CONNECTIONS = 8
"""Connections reserved for watches, each of which holds one permanently."""
NOT_APPLIED = frozenset((3, 5, 7, 8, 11, 12, 16))
"""gRPC codes by which the store refuses the call itself; nothing took effect."""

FAILED_OVER = events.event(
    5001, 'WARNING', 'store_failed_over', 'a URL of the store failed; using the next one'
)
RESPONSE_LOST = events.event(
    5002, 'WARNING', 'store_answer_lost', 'a write was sent and its response was lost'
)


def new_client(settings: PlatformSettings) -> httpx.AsyncClient:
    """Return a client that trusts the store's certificate authority.

    Raises ``UserError`` if the file of the authority can't be used.
    """
    connections = settings.store_connections + WATCH_CONNECTIONS
    limits = httpx.Limits(max_connections=connections, max_keepalive_connections=connections)
    if not settings.store_ca:
        return httpx.AsyncClient(trust_env=False, limits=limits)
    try:
        context = ssl.create_default_context(cafile=settings.store_ca)
    except (OSError, ssl.SSLError) as error:
        raise UserError(f'--store-ca {settings.store_ca} cannot be used: {error}') from error
    return httpx.AsyncClient(trust_env=False, limits=limits, verify=context)


class Refused(Exception):
    """The store refused the call; nothing took effect."""


class Unavailable(Exception):
    """The store reported a failure; the call may have taken effect."""


MAYBE_SENT = (httpx.HTTPError, TimeoutError, Unavailable)
"""Failures after which the store may or may not have received the call."""


_object_decoder: JsonDecoder[dict[str, Any]] = JsonDecoder(dict[str, Any])
WATCH_FAILURES = (*MAYBE_SENT, Refused, UnreadableValue)


class Gateway:
    """The store's URLs, and the HTTP client that all calls share."""

    def __init__(
        self,
        urls: Sequence[str],
        settings: PlatformSettings,
        clock: Clock,
        client: httpx.AsyncClient,
    ) -> None:
        """Initialize with the first URL preferred until it fails."""
        self._urls = list(urls)
        self._settings = settings
        self._clock = clock
        self._client = client
        self._free_connections = anyio.Semaphore(settings.store_connections)

    async def call_idempotent(
        self, path: str, body: dict[str, Any], deadline_unix_s: float
    ) -> dict[str, Any]:
        """Make an idempotent call at each URL in turn, or twice if there is only one.

        The second try helps if an open connection is unresponsive and a new one works.

        Raises ``StoreUnreachable`` if no URL responds before the deadline.
        """
        async with self._connection(path, deadline_unix_s):
            return await self._call_idempotent(path, body, deadline_unix_s)

    async def write(
        self, path: str, body: dict[str, Any], deadline_unix_s: float
    ) -> dict[str, Any]:
        """Make a call that is not idempotent, and send it at most once.

        If a URL can't be reached, the next one is tried.  A call that may have been
        sent is not repeated: the first may still take effect, and the second would
        then conflict with it and be reported as another writer's change.  It raises
        ``StoreWriteUnconfirmed``, and the caller reads back by its own id.
        """
        async with self._connection(path, deadline_unix_s):
            return await self._write(path, body, deadline_unix_s)

    async def lines(
        self, path: str, body: dict[str, Any], silence_s: float
    ) -> AsyncGenerator[Any, None]:
        """Yield the messages of a streamed reply; ends when the store ends it.

        Raises ``StoreUnreachable`` if it breaks or nothing arrives for ``silence_s``.
        """
        url = self._urls[0]
        try:
            async with self._stream(url + path, body) as reply:
                raise_for_status(reply.status_code, b'')
                async for text in _until_silent(read_lines(reply), silence_s):
                    yield decode_json(text)
        except WATCH_FAILURES as error:
            self._fail_over(url, describe(error))
            raise StoreUnreachable(f'a watch broke: {describe(error)}') from error

    async def _call_idempotent(
        self, path: str, body: dict[str, Any], deadline_unix_s: float
    ) -> dict[str, Any]:
        reason = 'no URL was tried before the deadline'
        for remaining_tries in range(max(len(self._urls), MIN_TRIES), 0, -1):
            # The last try may use all the time left; the others leave some for it.
            limit_s = left_s(self._clock, deadline_unix_s)
            if remaining_tries > 1:
                limit_s = min(self._settings.store_read_s, limit_s / 2)
            url = self._urls[0]
            try:
                return await self._post(url + path, body, limit_s)
            except MAYBE_SENT as error:
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
            except MAYBE_SENT as error:
                self._fail_over(url, describe(error))
                raise _unconfirmed(path, error) from error
            except Refused as error:
                raise StoreUnreachable(f'the store refused {path}: {error}') from error
        raise StoreUnreachable(f'the store was not reached for {path}: {reason}')

    @asynccontextmanager
    async def _connection(self, path: str, deadline_unix_s: float) -> AsyncIterator[None]:
        # Wait here and not in the client's pool: a time-out there looks like one of the network,
        # so a write that was never sent would be unconfirmed and its URL counted as failed.
        acquired = False
        with anyio.move_on_after(left_s(self._clock, deadline_unix_s)):
            await self._free_connections.acquire()
            acquired = True
        if not acquired:
            raise StoreUnreachable(f'no connection became available for {path} before its deadline')
        try:
            yield
        finally:
            self._free_connections.release()

    def _fail_over(self, url: str, reason: str) -> None:
        # Concurrent calls fail at one URL together: only the first moves it to the end.
        if self._urls[0] != url:
            return
        self._urls.append(self._urls.pop(0))
        FAILED_OVER.log(failed=url, next=self._urls[0], reason=reason)

    async def _post(self, url: str, body: dict[str, Any], limit_s: float) -> dict[str, Any]:
        timeout = httpx.Timeout(None, connect=self._settings.store_connect_s)
        encoded = msgspec.json.encode(body)
        with anyio.fail_after(limit_s):
            reply = await request(self._client, 'POST', url, content=encoded, timeout=timeout)
        raise_for_status(reply.status_code, reply.content)
        try:
            return _object_decoder.decode(reply.content)
        except UnreadableValue as error:
            raise Unavailable('the reply is not a JSON object') from error

    def _stream(self, url: str, body: dict[str, Any]) -> Any:
        connect_s = self._settings.store_connect_s
        timeout = httpx.Timeout(None, connect=connect_s, pool=connect_s)
        return self._client.stream('POST', url, content=msgspec.json.encode(body), timeout=timeout)


def raise_for_status(status: int, content: bytes) -> None:
    """Raise ``Refused`` or ``Unavailable`` for an unsuccessful reply.

    A time-out inside the store ("etcdserver: request timed out") may occur after
    the write took effect, so only codes about the call itself count as refusals.
    """
    if status == httpx.codes.OK:
        return
    try:
        found = _object_decoder.decode(content)
    except UnreadableValue:
        found = {}
    text = f'HTTP {status} {found.get("message", "")}'.strip()
    if found.get('code') in NOT_APPLIED:
        raise Refused(text)
    raise Unavailable(text)


async def _until_silent(texts: AsyncIterator[bytes], silence_s: float) -> AsyncIterator[bytes]:
    # A half-open connection delivers nothing and reports no error, so the watcher would
    # keep an old configuration for ever.  The store sends progress messages more often
    # than this deadline, so a watch that is silent for longer is broken.
    while True:
        with anyio.fail_after(silence_s):
            text = await anext(texts, None)
        if text is None:
            return
        if text:
            yield text


def _unconfirmed(path: str, error: Exception) -> StoreWriteUnconfirmed:
    reason = describe(error)
    RESPONSE_LOST.log(path=path, reason=reason)
    return StoreWriteUnconfirmed(f'the response to {path} was lost: {reason}')


def describe(error: Exception) -> str:
    """Return the text of an error, or its class name if it has none, as time-outs do."""
    return str(error) or type(error).__name__
