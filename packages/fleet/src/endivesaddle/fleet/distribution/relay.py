"""Relays: the routers that watch the store on behalf of their data centre."""

from collections.abc import Callable

import anyio

from endivesaddle.fleet import revisions
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.distribution import events
from endivesaddle.fleet.distribution.revision_state import RevisionState
from endivesaddle.fleet.distribution.settings import DistributionSettings
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.ports import Store
from endivesaddle.fleet.sentinels import Absent

STORE = 'store'
_RETRY_S = 0.5


class Relay:
    """Watches the head while this router is a relay; the first relay also polls it.

    A watch can break without an error if a device between the two ends drops the
    connection.  The first relay therefore reads the head every few seconds: a change that
    a broken watch misses is delayed by at most that interval, for one store call each time.
    Each watch is restarted regularly, so that a broken one is replaced eventually.
    """

    def __init__(
        self,
        settings: DistributionSettings,
        store: Store,
        revision_state: RevisionState,
        clock: Clock,
    ) -> None:
        """Initialize; ``run`` starts the watch."""
        self._settings = settings
        self._store = store
        self._revision_state = revision_state
        self._clock = clock
        self._store_answers = True
        self._fetch_lock = anyio.Lock()

    async def run(self, rank: Callable[[], int], on_adopted: Callable[[], None]) -> None:
        """Relay whenever ``rank`` is 0 or 1, not when it is -1; run until cancelled."""
        while True:
            # A process that has just started doesn't know any other router yet.
            await anyio.sleep(self._settings.relay_check_s)
            if rank() >= 0:
                events.RELAYING.log(place=rank())
                await self._relay(rank, on_adopted)
                events.RELAY_ENDED.log(revision=self._revision_state.revision)

    async def _relay(self, rank: Callable[[], int], on_adopted: Callable[[], None]) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch, on_adopted)
            group.start_soon(self._reread, rank, on_adopted)
            while rank() >= 0:
                await anyio.sleep(self._settings.relay_check_s)
            group.cancel_scope.cancel()

    async def _watch(self, on_adopted: Callable[[], None]) -> None:
        while True:
            try:
                with anyio.move_on_after(self._settings.watch_s):
                    await self._follow(on_adopted)
            except StoreUnreachable as error:
                self._log_store_state(answers=False, error=str(error))
            await anyio.sleep(_RETRY_S)

    async def _follow(self, on_adopted: Callable[[], None]) -> None:
        version = await self._read(on_adopted)
        async for stored in self._store.watch(revisions.HEAD_KEY, version):
            if stored.value is not None:
                await self._apply(stored.value, on_adopted)

    async def _reread(self, rank: Callable[[], int], on_adopted: Callable[[], None]) -> None:
        while True:
            await anyio.sleep(self._settings.reread_s)
            if rank() == 0:
                try:
                    await self._read(on_adopted)
                except StoreUnreachable as error:
                    self._log_store_state(answers=False, error=str(error))

    async def _read(self, on_adopted: Callable[[], None]) -> int:
        stored = await self._store.read(revisions.HEAD_KEY, self._deadline_unix_s())
        self._log_store_state(answers=True, error='')
        if isinstance(stored, Absent) or stored.value is None:
            return 0
        await self._apply(stored.value, on_adopted)
        return stored.version

    async def _apply(self, raw: bytes, on_adopted: Callable[[], None]) -> None:
        async with self._fetch_lock:
            head = self._revision_state.decode_next(raw, STORE)
            if head is None:
                return
            bodies = await self._fetch(self._revision_state.missing_parts(head))
        if self._revision_state.adopt(raw, head, bodies):
            on_adopted()

    async def _fetch(self, missing: dict[str, str]) -> dict[str, bytes]:
        bodies: dict[str, bytes] = {}
        for digest in missing.values():
            key = revisions.PARTS_PREFIX + digest
            stored = await self._store.read(key, self._deadline_unix_s())
            if not isinstance(stored, Absent) and stored.value is not None:
                bodies[digest] = stored.value
        return bodies

    def _deadline_unix_s(self) -> float:
        return self._clock.now_s() + self._settings.store_call_s

    def _log_store_state(self, answers: bool, error: str) -> None:
        if answers != self._store_answers:
            self._store_answers = answers
            event = events.STORE_BACK if answers else events.STORE_LOST
            event.log(revision=self._revision_state.revision, error=error)
