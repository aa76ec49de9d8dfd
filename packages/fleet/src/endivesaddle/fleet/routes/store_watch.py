"""Watch the store for changes of the declarations and of the entries of backend servers.

One task watches each prefix; evacuations of data centres are stored beside the declarations.  A
task lists the prefix, then reads changes by long polls that end within 2 s (declarations) or 3 s
(servers), so that the next poll detects a dead connection.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

import anyio

from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.ports import Stored
from endivesaddle.fleet.routes.declared import Declarations, RouteServer
from endivesaddle.fleet.routes.retry_pause import RetryPause
from endivesaddle.fleet.routes.routing_state import RoutingState, StoreStatus
from endivesaddle.fleet.routes.store_settings import StoreSettings
from endivesaddle.fleet.routes.unread_names import UnreadNames
from endivesaddle.fleet.routes.unreadable_values import UnreadableValues
from endivesaddle.fleet.sentinels import Absent

POLL_S = 1.3
"""Time that a poll of the declarations waits for a change.

Each poll counts against the store's call limit.  Together with ``ANSWER_S`` a silent connection
is still detected 0.2 s before a change has to be in force."""
SERVERS_POLL_S = 2.2
"""Time that a poll of the servers' entries waits for a change.

It is longer, since a leaving server keeps serving for 2 s after it announced that; a connection
that fell silent is detected after 2.7 s."""
ANSWER_S = 0.5
"""Time that the store may take to answer, beyond the wait, before the connection counts as silent.

A slow store takes up to 0.35 s to answer; with that as the limit it counted as lost."""
MISSING_CHECK_S = 0.1
CHECK_S = 0.2
"""Interval between checks for missing entries."""
MISSING_GRACE_S = 1.6
"""Time after an outage for which a server whose entry is missing stays in use.

Entries that expired while the store was unavailable are back within 2 s of its return; without
this grace time all servers would be removed at once and all requests refused for 2 s.  It is
shorter than 2 s, the limit on sending requests to a server that has left."""


class Changes(NamedTuple):
    """What was written after a version; the next poll continues from ``version``."""

    entries: Sequence[Stored]
    version: int


class PolledStore(Protocol):
    """A store that is watched by long polls.

    Both calls raise ``StoreUnreachable``.
    """

    async def scan(self, prefix: str, deadline_unix_s: float) -> Changes:
        """Return all entries under a prefix, and the version from which to poll."""

    async def poll(
        self, prefix: str, after_version: int, wait_s: float, deadline_unix_s: float
    ) -> Changes | Absent:
        """Wait for changes and return them; Absent if the store has dropped that history."""


class Decoder(Protocol):
    """Decodes entries of the store; raises ``ValueError`` for an invalid one."""

    declared_key: str
    declared_prefix: str
    servers_prefix: str
    unread: UnreadNames

    def declared(self, stored: Stored) -> Declarations | None:
        """Return the declarations, None if the key holds something else."""

    def evacuated(self, key: str) -> str:
        """Return the data centre that a key evacuates, '' if it is another key."""

    def server(self, stored: Stored, now_unix_s: float) -> RouteServer:
        """Return the backend server of an entry that was read at ``now_unix_s``."""

    def lifetime(self, key: str) -> str:
        """Return the lifetime that the key of a server's entry names."""


class StoreWatcher:
    """Keep ``routing_state`` up to date from the store."""

    def __init__(
        self,
        store: PolledStore,
        decoder: Decoder,
        routing_state: RoutingState,
        clock: Clock,
        store_status: StoreStatus,
        settings: StoreSettings = StoreSettings(),
    ) -> None:
        """Watch ``store``, whose entries ``decoder`` decodes."""
        self._store = store
        self._decoder = decoder
        self._routing_state = routing_state
        self._clock = clock
        self._settings = settings
        self.store_status = store_status
        self._unreadable = UnreadableValues()

    async def run(self) -> None:
        """Watch both prefixes until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._watch,
                self._decoder.declared_prefix,
                POLL_S,
                self._apply_declared_list,
                self._apply_declared_changes,
            )
            group.start_soon(
                self._watch,
                self._decoder.servers_prefix,
                SERVERS_POLL_S,
                self._apply_server_list,
                self._apply_server_changes,
            )
            group.start_soon(self._remove_missing)

    async def _watch(
        self,
        prefix: str,
        wait_s: float,
        apply_list: Callable[[Changes], None],
        apply_changes: Callable[[Changes], None],
    ) -> None:
        pause = RetryPause(self._settings)
        while True:
            try:
                changes = await self._store.scan(prefix, self._clock.now_s() + ANSWER_S)
                self._answered(pause)
                apply_list(changes)
                await self._poll(prefix, wait_s, changes.version, apply_changes)
            except StoreUnreachable as error:
                self.store_status.failed(str(error))
                await anyio.sleep(pause.next_s())

    def _answered(self, pause: RetryPause) -> None:
        self.store_status.answered()
        pause.reset()

    async def _poll(
        self,
        prefix: str,
        wait_s: float,
        version: int,
        apply_changes: Callable[[Changes], None],
    ) -> None:
        """Apply changes until the store reports that it dropped part of the history."""
        while True:
            deadline_unix_s = self._clock.now_s() + wait_s + ANSWER_S
            changes = await self._store.poll(prefix, version, wait_s, deadline_unix_s)
            self.store_status.answered()
            if isinstance(changes, Absent):
                return
            version = changes.version
            apply_changes(changes)

    def _apply_declared_list(self, changes: Changes) -> None:
        """Apply a complete list; a data centre without an entry is not evacuated."""
        names = {self._decoder.evacuated(stored.key) for stored in changes.entries}
        self._routing_state.evacuations.replace(
            names - {''}, changes.version, self._clock.now_s(), 'store'
        )
        for stored in changes.entries:
            if stored.key == self._decoder.declared_key and stored.value is not None:
                self._declare(stored, stored.value)

    def _apply_declared_changes(self, changes: Changes) -> None:
        for stored in changes.entries:
            name = self._decoder.evacuated(stored.key)
            if name:
                self._routing_state.evacuations.change(
                    name,
                    stored.value is not None,
                    stored.version,
                    self._clock.now_s(),
                    'store',
                )
            elif stored.key == self._decoder.declared_key and stored.value is not None:
                self._declare(stored, stored.value)

    def _declare(self, stored: Stored, document: bytes) -> None:
        try:
            declared = self._decoder.declared(stored)
        except ValueError as error:
            # The declarations in force stay in force.
            self._unreadable.note(stored, error)
            return
        if declared is not None:
            self._routing_state.declare(declared, document, 'store')

    def _apply_server_list(self, changes: Changes) -> None:
        if changes.version < self._routing_state.servers_version:
            # Another router reported a newer list while this one was being read.
            return
        self._routing_state.note_server_list(changes.version, self._clock.now_s())
        present = set()
        for stored in changes.entries:
            present.add(self._decoder.lifetime(stored.key))
            self._update_server(stored)
        for lifetime in set(self._routing_state.servers) - present:
            self._handle_missing(lifetime)

    def _apply_server_changes(self, changes: Changes) -> None:
        # Other routers may have reported newer entries while the store was unavailable to this
        # one.  Applying older changes again would bring back servers that have left.
        known_version = self._routing_state.servers_version
        self._routing_state.note_server_list(changes.version, self._clock.now_s())
        for stored in changes.entries:
            if stored.version <= known_version:
                continue
            if stored.value is None:
                self._handle_missing(self._decoder.lifetime(stored.key))
            else:
                self._update_server(stored)

    def _update_server(self, stored: Stored) -> None:
        try:
            server = self._decoder.server(stored, self._clock.now_s())
            self._routing_state.update_server(server, 'store', stored.version)
        except ValueError as error:
            # The entry is of another writer, or a server's entry that was overwritten: it names
            # no usable server.
            self._unreadable.note(stored, error)
            self._routing_state.remove_server(self._decoder.lifetime(stored.key), 'unreadable')

    def _handle_missing(self, lifetime: str) -> None:
        recovered_for_s = self._clock.now_s() - self.store_status.recovered_unix_s
        if recovered_for_s < MISSING_GRACE_S and lifetime in self._routing_state.servers:
            self._routing_state.missing.setdefault(lifetime, self._clock.now_s())
        else:
            self._routing_state.remove_server(lifetime, 'store')

    async def _remove_missing(self) -> None:
        """Remove servers whose entries stayed missing after an outage."""
        while True:
            await anyio.sleep(MISSING_CHECK_S if self._routing_state.missing else CHECK_S)
            removed_before_unix_s = self._clock.now_s() - MISSING_GRACE_S
            for lifetime, missing_since_unix_s in list(self._routing_state.missing.items()):
                if missing_since_unix_s < removed_before_unix_s:
                    self._routing_state.remove_server(lifetime, 'lapsed')
