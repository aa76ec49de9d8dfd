"""Poll the store once for all routers that follow the same prefix through this instance.

Load pattern: 22 routers that each followed two prefixes made 27 calls per second, which grows with
the fleet.  A sidecar that polls for them makes two per second, however many routers ask.
"""

from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes.store_watch import Changes, PolledStore
from endivesaddle.fleet.sentinels import Absent

POLL_WAIT_S = 1.0
ANSWER_S = 0.4
"""Time for the answer beyond the wait of a poll.

A store that stops answering is noticed within 1.4 s, so that a router that then asks it directly
still applies a change within 2 s."""
UNUSED_S = 3.0
"""A prefix that no router has asked for in this time is no longer followed."""
KEPT_S = 3.0
"""Changes are kept for this long; routers ask again within a second."""


class _Kept(NamedTuple):
    """A change, and the time until which it is kept."""

    stored: Stored
    until_unix_s: float


class _Followed:
    """A prefix that is followed since version ``base``; ``ended`` once the store did not answer."""

    def __init__(self, prefix: str, version: int, clock: Clock) -> None:
        """Initialize without changes; those up to ``version`` are not known."""
        self.prefix = prefix
        self.base = version
        self.version = version
        self.ended = False
        self.requested_unix_s = clock.now_s()
        self.changed = anyio.Event()
        self._kept: list[_Kept] = []
        self._clock = clock

    def since(self, version: int) -> list[Stored]:
        """Return the changes after a version."""
        return [kept.stored for kept in self._kept if kept.stored.version > version]

    async def follow(self, store: PolledStore) -> None:
        """Collect changes until no router asks or the store does not answer."""
        try:
            while self._clock.now_s() - self.requested_unix_s < UNUSED_S:
                deadline_unix_s = self._clock.now_s() + POLL_WAIT_S + ANSWER_S
                changes = await store.poll(self.prefix, self.version, POLL_WAIT_S, deadline_unix_s)
                if isinstance(changes, Absent):
                    break
                self._apply(changes)
        except StoreUnreachable:
            # Waiting routers get an error and ask the store directly; the next poll starts over.
            return
        finally:
            self.ended = True
            self._wake()

    def _apply(self, changes: Changes) -> None:
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
    """A store whose polls are shared; all other calls are passed through."""

    def __init__(self, store: Any, clock: Clock) -> None:
        """Initialize without followed prefixes; ``run`` makes the polls of ``store``."""
        self._store = store
        self._clock = clock
        self._followed: dict[str, _Followed] = {}
        self._group: TaskGroup | None = None

    def __getattr__(self, name: str) -> Any:
        """Return any other method of the store."""
        return getattr(self._store, name)

    async def run(self) -> None:
        """Follow the prefixes that routers ask for, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    async def poll(
        self, prefix: str, after_version: int, wait_s: float, deadline_unix_s: float
    ) -> Changes | Absent:
        """Wait for changes and return them; raises ``StoreUnreachable``."""
        followed = self._followed_since(prefix, after_version)
        if followed is None:
            return await self._store.poll(prefix, after_version, wait_s, deadline_unix_s)
        followed.requested_unix_s = self._clock.now_s()
        with anyio.move_on_after(wait_s):
            while not followed.ended and not followed.since(after_version):
                await followed.changed.wait()
        found = followed.since(after_version)
        if followed.ended and not found:
            raise StoreUnreachable(f'the poll of {prefix} has no answer')
        return Changes(found, max(after_version, followed.version))

    def _followed_since(self, prefix: str, version: int) -> _Followed | None:
        """Return the state of a followed prefix, None if it lacks changes since ``version``."""
        followed = self._followed.get(prefix)
        if (followed is None or followed.ended) and self._group is not None:
            followed = _Followed(prefix, version, self._clock)
            self._followed[prefix] = followed
            self._group.start_soon(followed.follow, self._store)
        return followed if followed is not None and followed.base <= version else None
