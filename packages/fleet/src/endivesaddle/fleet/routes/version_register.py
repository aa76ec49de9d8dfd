"""The record of software versions in the store, as one router reads and extends it.

The record has one key for all services.  Versions are added before a stream begins at them, and
removed when no server has had them for ``KEPT_S``.
"""

from random import Random
from typing import NamedTuple

import anyio
import msgspec

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.decoding import JsonDecoder, UnreadableValue
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.routes import store_events as events
from endivesaddle.fleet.routes.remote_store import ForwardStore
from endivesaddle.fleet.routes.routing_state import RoutingState
from endivesaddle.fleet.routing.service_versions import NONE, Versions, merged
from endivesaddle.fleet.sentinels import Absent, Conflict

KEY = 'endivesaddle/versions'
CALL_S = 0.6
RETRY_S = 0.1
SPREAD_S = 0.1
"""Routers learn of a new version at the same time; the first of them writes it, the others read."""
CHECK_S = 5.0
KEPT_S = 600.0
"""Longer than any stream, and than a router may use a list of servers from before an outage."""

_decoder: JsonDecoder[dict[str, list[str]]] = JsonDecoder(dict[str, list[str]])


class _Record(NamedTuple):
    """The record, and the store's version of its key."""

    store_version: int
    versions: Versions


class _Reading:
    """A read that several requests wait for, and what it found; None if the store is away."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.found: Versions | None = None


class VersionRegister:
    """Keeps the versions of the listed servers on record."""

    def __init__(
        self, store: ForwardStore, routing_state: RoutingState, clock: Clock, name: str
    ) -> None:
        """Let streams begin at recorded versions only; ``name`` seeds the spread of writes."""
        self._store = store
        self._versions = routing_state.versions
        self._versions.enforced = True
        self._clock = clock
        self._random = Random(name)
        self._listed = anyio.Event()
        self._wanted = anyio.Event()
        self._reading: _Reading | None = None
        self._absent_since_unix_s: dict[tuple[str, str], float] = {}
        routing_state.listeners.append(self._note_servers)

    async def run(self) -> None:
        """Answer reads and update the record until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._read_for_requests)
            while True:
                with anyio.move_on_after(CHECK_S):
                    await self._listed.wait()
                self._listed = anyio.Event()
                if not self._versions.unrecorded:
                    await self._remove_unused()
                    continue
                await anyio.sleep(self._random.uniform(0, SPREAD_S))
                while self._versions.unrecorded and not await self._try_update(NONE):
                    await anyio.sleep(RETRY_S)

    async def read(self) -> Versions | None:
        """Return the record as of now: the read begins after this call.

        None if the store does not answer.
        """
        if self._reading is None:
            self._reading = _Reading()
            self._wanted.set()
        reading = self._reading
        await reading.done.wait()
        return reading.found

    def _note_servers(self) -> None:
        if self._versions.unrecorded:
            self._listed.set()

    async def _read_for_requests(self) -> None:
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            reading = self._reading
            self._reading = None
            if reading is not None:
                try:
                    reading.found = (await self._load()).versions
                except StoreUnreachable as error:
                    events.VERSIONS_LOST.log(call='read', reason=str(error))
                reading.done.set()

    async def _load(self) -> _Record:
        found = await self._store.read(KEY, self._clock.now_s() + CALL_S)
        if isinstance(found, Absent):
            return _Record(0, NONE)
        try:
            recorded = _decoder.decode(found.value or b'{}')
        except UnreadableValue as error:
            raise StoreUnreachable(f'{KEY} is unreadable: {error}') from error
        versions = {service: frozenset(names) for service, names in recorded.items()}
        return _Record(found.version, versions)

    async def _try_update(self, unused: Versions) -> bool:
        """Add the versions of listed servers and remove ``unused`` ones; return False to retry."""
        try:
            return await self._update(unused)
        except (StoreUnreachable, StoreWriteUnconfirmed) as error:
            events.VERSIONS_LOST.log(call='write', reason=str(error))
            return False

    async def _update(self, unused: Versions) -> bool:
        record = await self._load()
        before = record.versions
        kept = {name: before[name] - unused.get(name, frozenset()) for name in before}
        after = merged(kept, self._versions.listed)
        if after != before:
            document = {service: sorted(names) for service, names in after.items() if names}
            deadline_unix_s = self._clock.now_s() + CALL_S
            written = await self._store.swap(
                KEY, msgspec.json.encode(document), record.store_version, deadline_unix_s
            )
            if isinstance(written, Conflict):
                return False
            events.VERSIONS_RECORDED.log(versions=document)
        self._versions.recorded = after
        return True

    async def _remove_unused(self) -> None:
        """Remove versions that no server has had for ``KEPT_S``."""
        now_unix_s = self._clock.now_s()
        absent = {
            (service, version)
            for service, versions in self._versions.recorded.items()
            for version in versions - self._versions.listed.get(service, frozenset())
        }
        self._absent_since_unix_s = {
            one: self._absent_since_unix_s.get(one, now_unix_s) for one in absent
        }
        unused: Versions = NONE
        for (service, version), since_unix_s in self._absent_since_unix_s.items():
            if since_unix_s <= now_unix_s - KEPT_S:
                unused = merged(unused, {service: frozenset((version,))})
        if unused:
            await self._try_update(unused)
