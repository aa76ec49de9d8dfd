"""One poll of the store for all routers that follow the same prefix through this instance.

Load pattern: 22 routers that each follow two prefixes made 27 calls a second, which grows with
the fleet.  A sidecar that they follow through makes two a second, however many ask.
"""

from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes.store_watch import Changes, PolledStore
from endivesaddle.fleet.sentinels import Absent

POLL_S = 1.0
ANSWER_S = 0.4
"""With the wait of a poll, a store that fell silent is noticed within 1.4 s: a router that then
asks it directly still has a change in force within 2 s."""
UNUSED_S = 3.0
"""A prefix that nobody asked for so long is followed no more."""
KEPT_S = 3.0
"""Changes are kept for so long; routers ask again within a second."""


class _Kept(NamedTuple):
    """A change, and until when it is kept."""

    stored: Stored
    until_unix_s: float


class _Followed:
    """One prefix, followed from ``base`` on; ``ended`` once the store did not answer."""

    def __init__(self, prefix: str, version: int, clock: Clock) -> None:
        """Know nothing of what came before ``version``."""
        self.prefix = prefix
        self.base = version
        self.version = version
        self.ended = False
        self.asked_unix_s = clock.now_s()
        self.changed = anyio.Event()
        self._kept: list[_Kept] = []
        self._clock = clock

    def since(self, version: int) -> list[Stored]:
        """Return what changed after a version."""
        return [kept.stored for kept in self._kept if kept.stored.version > version]

    async def follow(self, store: PolledStore) -> None:
        """Take changes until nobody asks, or the store does not answer."""
        try:
            while self._clock.now_s() - self.asked_unix_s < UNUSED_S:
                deadline_unix_s = self._clock.now_s() + POLL_S + ANSWER_S
                changes = await store.poll(self.prefix, self.version, POLL_S, deadline_unix_s)
                if isinstance(changes, Absent):
                    break
                self._take_in(changes)
        except StoreUnreachable:
            # Who asked is told, and asks the store directly; the next one starts anew.
            self.ended = True
        self.ended = True
        self._wake()

    def _take_in(self, changes: Changes) -> None:
        now_unix_s = self._clock.now_s()
        old = [kept for kept in self._kept if kept.until_unix_s <= now_unix_s]
        if old:
            self.base = max(kept.stored.version for kept in old)
        self._kept = [kept for kept in self._kept if kept.until_unix_s > now_unix_s]
        self._kept.extend(_Kept(stored, now_unix_s + KEPT_S) for stored in changes.entries)
        self.version = changes.version
        if changes.entries:
            self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()


class SharedPolls:
    """A store whose polls are shared; all other calls are made as they come."""

    def __init__(self, store: Any, clock: Clock) -> None:
        """Share the polls of ``store``; ``run`` makes them."""
        self._store = store
        self._clock = clock
        self._followed: dict[str, _Followed] = {}
        self._group: TaskGroup | None = None

    def __getattr__(self, name: str) -> Any:
        """Return any other call of the store."""
        return getattr(self._store, name)

    async def run(self) -> None:
        """Follow what is asked for until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    async def poll(
        self, prefix: str, after_version: int, wait_s: float, deadline_unix_s: float
    ) -> Changes | Absent:
        """Return what changed, waiting for it; raises ``StoreUnreachable``."""
        followed = self._of(prefix, after_version)
        if followed is None:
            return await self._store.poll(prefix, after_version, wait_s, deadline_unix_s)
        followed.asked_unix_s = self._clock.now_s()
        with anyio.move_on_after(wait_s):
            while not followed.ended and not followed.since(after_version):
                await followed.changed.wait()
        found = followed.since(after_version)
        if followed.ended and not found:
            raise StoreUnreachable(f'the poll of {prefix} has no answer')
        return Changes(found, max(after_version, followed.version))

    def _of(self, prefix: str, version: int) -> _Followed | None:
        """Return how a prefix is followed, None where it was not from ``version`` on."""
        followed = self._followed.get(prefix)
        if (followed is None or followed.ended) and self._group is not None:
            followed = _Followed(prefix, version, self._clock)
            self._followed[prefix] = followed
            self._group.start_soon(followed.follow, self._store)
        return followed if followed is not None and followed.base <= version else None
