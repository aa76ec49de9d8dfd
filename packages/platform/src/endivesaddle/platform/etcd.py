"""The configuration store over the etcd v3 JSON gateway.

A swap is a transaction that compares the ``mod_revision`` of the one key that it
writes.  No other feature of transactions is used, so that another key-value
service with compare-and-swap can replace etcd.
"""

from collections.abc import AsyncIterator, Sequence
from contextlib import aclosing
from typing import Any

import httpx

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.platform import etcd_json
from endivesaddle.platform.etcd_http import Gateway, new_client
from endivesaddle.platform.rate import StoreRate
from endivesaddle.platform.settings import PlatformSettings
from endivesaddle.platform.stores import stores

RANGE = '/v3/kv/range'
TXN = '/v3/kv/txn'
GRANT = '/v3/lease/grant'
KEEP_ALIVE = '/v3/lease/keepalive'
WATCH = '/v3/watch'

SCHEME = 'etcd+'


@stores.add('etcd')
class EtcdStore:
    """Implementation of ``Store`` on etcd; ``rate.calls`` counts the calls by kind."""

    def __init__(
        self,
        settings: PlatformSettings,
        clock: Clock,
        client: httpx.AsyncClient | None = None,
    ) -> None:
        """Initialize without a connection; ``aclose`` also closes ``client``.

        Raises ``UserError`` if the file of the store's certificate authority can't be used.
        """
        self._settings = settings
        self._clock = clock
        self._client = client or new_client(settings)
        urls = [url.removeprefix(SCHEME).rstrip('/') for url in settings.store_urls]
        self._gateway = Gateway(urls, settings, clock, self._client)
        self.rate = StoreRate(settings, clock)
        self._revisions: dict[str, tuple[int, int]] = {}

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def read(self, key: str, deadline_unix_s: float) -> Stored | Absent:
        """Return the value of one key, or Absent."""
        await self.rate.take('read', deadline_unix_s)
        reply = await self._gateway.call_idempotent(
            RANGE, etcd_json.read_request(key), deadline_unix_s
        )
        found = etcd_json.page(reply)
        self._record_revision(key, found.entries, found.revision)
        return found.entries[0] if found.entries else Absent(f'no key {key}')

    async def list(self, prefix: str, deadline_unix_s: float) -> Sequence[Stored]:
        """Return the values of all keys that start with ``prefix``, sorted.

        Read in pages, since a reply has a size limit; all pages are read at the
        revision of the first one, so that the list is a snapshot.
        """
        found = await self._page(prefix, '', 0, deadline_unix_s)
        entries, revision = list(found.entries), found.revision
        while found.more and found.entries:
            found = await self._page(prefix, entries[-1].key, revision, deadline_unix_s)
            entries.extend(found.entries)
        self._record_revision(prefix, entries, revision)
        return entries

    async def swap(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        deadline_unix_s: float,
        lease_id: int = 0,
    ) -> Stored | Conflict:
        """Write if the key still has ``expected_version`` (0: must not exist)."""
        await self.rate.take('swap', deadline_unix_s)
        request = etcd_json.swap_request(key, value, expected_version, lease_id)
        reply = await self._gateway.write(TXN, request, deadline_unix_s)
        if reply.get('succeeded'):
            return Stored(key, value, etcd_json.revision_of(reply))
        version = etcd_json.conflicting_version(reply)
        return Conflict(f'{key} is at {version}, not {expected_version}', version)

    async def grant(self, ttl_s: int, deadline_unix_s: float) -> int:
        """Return the id of a new lease."""
        await self.rate.take('lease', deadline_unix_s)
        reply = await self._gateway.write(GRANT, {'TTL': str(ttl_s)}, deadline_unix_s)
        return int(reply['ID'])

    async def keep_alive(self, lease_id: int, deadline_unix_s: float) -> bool:
        """Extend a lease; return False if it has expired.

        The call may be sent twice, so an unresponsive URL does not end the lease.
        """
        await self.rate.take('lease', deadline_unix_s)
        reply = await self._gateway.call_idempotent(
            KEEP_ALIVE, {'ID': str(lease_id)}, deadline_unix_s
        )
        return int(reply.get('result', {}).get('TTL', 0)) > 0

    async def watch(self, prefix: str, after_version: int) -> AsyncIterator[Stored]:
        """Yield the changes under ``prefix`` after a version.

        Raises ``StoreUnreachable`` when the watch breaks.
        """
        await self.rate.take('watch', self._clock.now_s() + self._settings.store_watch_silence_s)
        request = etcd_json.watch_request(
            prefix.encode(), self._start_revision(prefix, after_version)
        )
        silence_s = self._settings.store_watch_silence_s
        async with aclosing(self._gateway.lines(WATCH, request, silence_s)) as messages:
            async for message in messages:
                for stored in _entries(message):
                    yield stored
        raise StoreUnreachable('the store ended a watch')

    async def _page(
        self, prefix: str, after_key: str, revision: int, deadline_unix_s: float
    ) -> etcd_json.Page:
        await self.rate.take('list', deadline_unix_s)
        request = etcd_json.page_request(
            prefix.encode(), after_key.encode(), self._settings.store_page_keys, revision
        )
        return etcd_json.page(await self._gateway.call_idempotent(RANGE, request, deadline_unix_s))

    def _record_revision(self, prefix: str, entries: Sequence[Stored], revision: int) -> None:
        newest = max((entry.version for entry in entries), default=0)
        self._revisions[prefix] = (newest, revision)

    def _start_revision(self, prefix: str, after_version: int) -> int:
        # The store may have compacted its history beyond the version of a key that has
        # not changed for long: a watch from that version breaks, and breaks again
        # after every list.  The last list under the prefix found nothing newer up to its own
        # revision, which is recent, so the watch starts after that revision.
        newest, revision = self._revisions.get(prefix, (0, 0))
        if newest == after_version:
            return revision + 1
        return after_version + 1


def _entries(message: dict[str, Any]) -> Sequence[Stored]:
    found = etcd_json.watch_message(message)
    if found.end_reason:
        raise StoreUnreachable(f'the store broke a watch: {found.end_reason}')
    return found.entries
