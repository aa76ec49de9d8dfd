"""Store calls made through another instance: the client and the handlers.

A router that the store does not answer may still reach instances that it does answer, above all
sidecars.  They make the router's calls; they neither cache nor decide anything, so that the store
remains the only place that holds state.
"""

from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import NoReturn, Protocol

from endivesaddle.fleet.clock import Clock, left_s
from endivesaddle.fleet.errors import (
    FleetError,
    PeerUnreachable,
    StoreUnreachable,
    StoreWriteUnconfirmed,
)
from endivesaddle.fleet.ports import Handlers, KeyStore, Peers, Stored
from endivesaddle.fleet.registry import Registry
from endivesaddle.fleet.routes.parts import PartsReader, in_parts
from endivesaddle.fleet.routes.store_watch import Changes, PolledStore
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.wire import rpcs
from endivesaddle.wire.routers_pb2 import Part, StoreAsk, StoreEntry, StoreReply


class ForwardStore(KeyStore, PolledStore, Protocol):
    """A store that is read, written, and followed by long polls."""

    async def list_stale(self, prefix: str, deadline_unix_s: float) -> Changes:
        """Return what ``scan`` does at less cost; the values may be seconds old.

        They are those of the version that is returned, or newer.
        """

    async def end_lease(self, lease_id: int, deadline_unix_s: float) -> None:
        """End a lease and delete everything written under it."""


Handler = Callable[[ForwardStore, StoreAsk, float], Awaitable[StoreReply]]

calls: Registry[Handler] = Registry('call of the store')


class RemoteStore:
    """A store client whose calls are made by one other instance."""

    def __init__(self, address: str, peers: Peers, clock: Clock) -> None:
        """Make calls through the instance at ``address``."""
        self._address = address
        self._peers = peers
        self._clock = clock

    async def read(self, key: str, deadline_unix_s: float) -> Stored | Absent:
        """Return the value of one key."""
        reply = await self._fetch(StoreAsk(call='read', key=key), deadline_unix_s)
        if reply.outcome == StoreReply.ABSENT:
            return Absent(reply.reason)
        return _stored(reply.entries[0])

    async def list(self, prefix: str, deadline_unix_s: float) -> Sequence[Stored]:
        """Return the values of all keys that start with ``prefix``, sorted."""
        reply = await self._fetch(StoreAsk(call='list', key=prefix), deadline_unix_s)
        return [_stored(entry) for entry in reply.entries]

    async def list_stale(self, prefix: str, deadline_unix_s: float) -> Changes:
        """Return what ``scan`` does at less cost; the values may be seconds old."""
        reply = await self._fetch(StoreAsk(call='glance', key=prefix), deadline_unix_s)
        return _changes(reply)

    async def scan(self, prefix: str, deadline_unix_s: float) -> Changes:
        """Return all values under a prefix, and the version from which to follow changes."""
        reply = await self._fetch(StoreAsk(call='scan', key=prefix), deadline_unix_s)
        return _changes(reply)

    async def poll(
        self, prefix: str, after_version: int, wait_s: float, deadline_unix_s: float
    ) -> Changes | Absent:
        """Wait for changes and return them; ``Absent`` if the history since then is dropped."""
        ask = StoreAsk(call='poll', key=prefix, version=after_version, duration_s=wait_s)
        reply = await self._fetch(ask, deadline_unix_s)
        if reply.outcome == StoreReply.ABSENT:
            return Absent(reply.reason)
        return _changes(reply)

    async def swap(
        self,
        key: str,
        value: bytes,
        expected_version: int,
        deadline_unix_s: float,
        lease_id: int = 0,
    ) -> Stored | Conflict:
        """Write if the key still has ``expected_version`` (0: must not exist)."""
        ask = StoreAsk(
            call='swap', key=key, value=value, version=expected_version, lease_id=lease_id
        )
        reply = await self._ask(ask, deadline_unix_s)
        if reply.outcome == StoreReply.CONFLICT:
            current = _stored(reply.entries[0]) if reply.entries else Stored(key, None, 0)
            return Conflict(reply.reason, current.version, current.value)
        return Stored(key, value, reply.number)

    async def grant(self, ttl_s: int, deadline_unix_s: float) -> int:
        """Return the id of a new lease."""
        return (await self._ask(StoreAsk(call='grant', duration_s=ttl_s), deadline_unix_s)).number

    async def keep_alive(self, lease_id: int, deadline_unix_s: float) -> bool:
        """Extend a lease; False when it has lapsed."""
        ask = StoreAsk(call='keep_alive', lease_id=lease_id)
        return bool((await self._ask(ask, deadline_unix_s)).number)

    async def end_lease(self, lease_id: int, deadline_unix_s: float) -> None:
        """End a lease and delete everything written under it."""
        await self._ask(StoreAsk(call='end_lease', lease_id=lease_id), deadline_unix_s)

    async def _ask(self, ask: StoreAsk, deadline_unix_s: float) -> StoreReply:
        ask.left_s = left_s(self._clock, deadline_unix_s)
        try:
            reply = await self._peers.call(self._address, rpcs.STORE, ask, deadline_unix_s)
        except PeerUnreachable as error:
            raise StoreUnreachable(f'relay: {error}') from error
        except (FleetError, TimeoutError) as error:
            _raise_lost(ask, f'relay: {error}', error)
        return self._checked(reply)

    async def _fetch(self, ask: StoreAsk, deadline_unix_s: float) -> StoreReply:
        """Make a call that changes nothing, and read its reply in parts while they arrive."""
        ask.left_s = left_s(self._clock, deadline_unix_s)
        reader = PartsReader(self._peers, self._clock)
        try:
            reply = await reader.read(self._address, rpcs.READ, ask, StoreReply, deadline_unix_s)
        except (FleetError, TimeoutError) as error:
            raise StoreUnreachable(f'relay: {error}') from error
        return self._checked(reply)

    def _checked(self, reply: StoreReply) -> StoreReply:
        if reply.outcome == StoreReply.UNREACHABLE:
            raise StoreUnreachable(f'{self._address} answered: {reply.reason}')
        if reply.outcome == StoreReply.UNSURE:
            raise StoreWriteUnconfirmed(f'{self._address} answered: {reply.reason}')
        return reply


def answer_store(handlers: Handlers, store: ForwardStore, clock: Clock) -> None:
    """Register handlers that make other instances' calls to ``store``."""

    async def make(ask: StoreAsk) -> StoreReply:  # noqa: WPS430 (bound to the store)
        try:
            return await calls.find(ask.call)(store, ask, clock.now_s() + ask.left_s)
        except StoreUnreachable as error:
            return StoreReply(outcome=StoreReply.UNREACHABLE, reason=str(error))
        except StoreWriteUnconfirmed as error:
            return StoreReply(outcome=StoreReply.UNSURE, reason=str(error))

    async def send(ask: StoreAsk) -> AsyncIterator[Part]:  # noqa: WPS430 (bound to the store)
        async for part in in_parts(await make(ask)):
            yield part

    handlers.answer(rpcs.STORE, make)
    handlers.stream(rpcs.READ, send)


@calls.add('read')
async def _read(store: ForwardStore, ask: StoreAsk, deadline_unix_s: float) -> StoreReply:
    found = await store.read(ask.key, deadline_unix_s)
    if isinstance(found, Absent):
        return StoreReply(outcome=StoreReply.ABSENT, reason=found.reason)
    return StoreReply(entries=[_entry(found)])


@calls.add('list')
async def _list(store: ForwardStore, ask: StoreAsk, deadline_unix_s: float) -> StoreReply:
    found = await store.list(ask.key, deadline_unix_s)
    return StoreReply(entries=[_entry(one) for one in found])


@calls.add('glance')
async def _glance(store: ForwardStore, ask: StoreAsk, deadline_unix_s: float) -> StoreReply:
    return _changes_reply(await store.list_stale(ask.key, deadline_unix_s))


@calls.add('scan')
async def _scan(store: ForwardStore, ask: StoreAsk, deadline_unix_s: float) -> StoreReply:
    return _changes_reply(await store.scan(ask.key, deadline_unix_s))


@calls.add('poll')
async def _poll(store: ForwardStore, ask: StoreAsk, deadline_unix_s: float) -> StoreReply:
    found = await store.poll(ask.key, ask.version, ask.duration_s, deadline_unix_s)
    if isinstance(found, Absent):
        return StoreReply(outcome=StoreReply.ABSENT, reason=found.reason)
    return _changes_reply(found)


@calls.add('swap')
async def _swap(store: ForwardStore, ask: StoreAsk, deadline_unix_s: float) -> StoreReply:
    written = await store.swap(ask.key, ask.value, ask.version, deadline_unix_s, ask.lease_id)
    if isinstance(written, Stored):
        return StoreReply(number=written.version)
    reply = StoreReply(outcome=StoreReply.CONFLICT, reason=written.reason)
    reply.entries.append(_entry(Stored(ask.key, written.value, written.version)))
    return reply


@calls.add('grant')
async def _grant(store: ForwardStore, ask: StoreAsk, deadline_unix_s: float) -> StoreReply:
    return StoreReply(number=await store.grant(int(ask.duration_s), deadline_unix_s))


@calls.add('keep_alive')
async def _keep_alive(store: ForwardStore, ask: StoreAsk, deadline_unix_s: float) -> StoreReply:
    return StoreReply(number=int(await store.keep_alive(ask.lease_id, deadline_unix_s)))


@calls.add('end_lease')
async def _end_lease(store: ForwardStore, ask: StoreAsk, deadline_unix_s: float) -> StoreReply:
    await store.end_lease(ask.lease_id, deadline_unix_s)
    return StoreReply()


def _raise_lost(ask: StoreAsk, reason: str, error: Exception) -> NoReturn:
    if ask.call == 'swap':
        raise StoreWriteUnconfirmed(reason) from error
    raise StoreUnreachable(reason) from error


def _changes_reply(changes: Changes) -> StoreReply:
    return StoreReply(entries=[_entry(one) for one in changes.entries], number=changes.version)


def _changes(reply: StoreReply) -> Changes:
    return Changes([_stored(entry) for entry in reply.entries], reply.number)


def _entry(stored: Stored) -> StoreEntry:
    return StoreEntry(key=stored.key, value=stored.value, version=stored.version)


def _stored(entry: StoreEntry) -> Stored:
    return Stored(entry.key, entry.value if entry.HasField('value') else None, entry.version)
