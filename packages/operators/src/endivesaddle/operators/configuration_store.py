"""The operators' configuration in the platform's store: its head and its parts."""

import functools
from collections.abc import Callable, Sequence
from typing import NamedTuple

import anyio

from endivesaddle.fleet import revisions
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.ports import Store, Stored
from endivesaddle.fleet.revision_cache import RevisionCache
from endivesaddle.fleet.revision_parts import plain_digest
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.operators import events
from endivesaddle.operators.outcomes import NotAccepted
from endivesaddle.operators.settings import OperatorSettings
from endivesaddle.operators.tidying import Tidying
from endivesaddle.operators.together import together
from endivesaddle.operators.writes import Write, Writer

_FEW_PARTS = 8
_WRITTEN_KEPT = 1000


class Loaded(NamedTuple):
    """The configuration as it stands in the store; ``version`` is the head's."""

    head: revisions.Head
    version: int
    configuration: Configuration


class ConfigurationStore:
    """Reads and writes head and parts; ``known`` is the configuration in force here."""

    def __init__(
        self,
        settings: OperatorSettings,
        store: Store,
        clock: Clock,
        known: Callable[[], Configuration],
    ) -> None:
        """Start with nothing read."""
        self._store = store
        self._known = known
        self._writer = Writer(store, clock, settings.store_retry_s)
        self._cache = RevisionCache()
        self._bodies: dict[str, bytes] = {}
        self._written: set[str] = set()
        self._tidying = Tidying(store, self._writer)
        self._tidy_every = settings.tidy_every

    async def load(self, deadline_unix_s: float) -> Loaded | Absent:
        """Return what stands in the store; raises ``StoreUnreachable`` or ``RevisionError``."""
        tried = 0
        while True:
            stored = await self._store.read(revisions.HEAD_KEY, deadline_unix_s)
            if isinstance(stored, Absent) or stored.value is None:
                return Absent('no configuration has been applied yet')
            head = revisions.decode_head(stored.value)
            bodies = await self._fetch(head, deadline_unix_s)
            await anyio.sleep(0)
            try:
                return Loaded(head, stored.version, self._cache.assemble(head, bodies))
            except revisions.RevisionError:
                # A newer head may stand already, and the parts of this one be tidied up.
                if stored.version == tried:
                    raise
                tried = stored.version

    async def current(self, deadline_unix_s: float) -> Loaded | NotAccepted:
        """Return what a change may build on; raises as ``load`` does."""
        loaded = await self.load(deadline_unix_s)
        if isinstance(loaded, Absent):
            loaded = Loaded(revisions.empty_head(), 0, Configuration())
        if not revisions.can_overwrite(loaded.head):
            return NotAccepted('the configuration is of a newer release than this router')
        stored, in_force = loaded.head['revision'], self._known().revision
        if stored < in_force:
            # A store restored from an old copy: a change on top of it would give a
            # revision number a second meaning, and instances would never take it.
            events.STORE_REVERTED.log(stored_revision=stored, revision=in_force)
            return NotAccepted(
                f'the store went back to revision {stored}; {in_force} is in force: "restore"'
            )
        return loaded

    async def write_parts(
        self, configuration: Configuration, deadline_unix_s: float
    ) -> dict[str, str]:
        """Write the parts that the store may lack; return the digests of all by name."""
        made = self._cache.parts_of(configuration)
        await anyio.sleep(0)
        known = self._bodies.keys() | self._written
        fresh = [part for part in made.parts if part.digest not in known]
        await together(functools.partial(self._put, part, deadline_unix_s) for part in fresh)
        return made.digests

    async def swap_head(
        self, head: revisions.Head, version: int, deadline_unix_s: float
    ) -> Stored | Conflict:
        """Replace the head at ``version``; may also raise ``StoreWriteUnconfirmed``."""
        write = Write(revisions.HEAD_KEY, revisions.encode_head(head), version)
        stored = await self._writer.write(write, deadline_unix_s)
        if isinstance(stored, Stored) and head['revision'] % self._tidy_every == 0:
            await self._tidying.tidy(head, deadline_unix_s)
        return stored

    async def _put(self, part: revisions.Part, deadline_unix_s: float) -> None:
        key = revisions.PARTS_PREFIX + part.digest
        stored = await self._writer.put(Write(key, part.body, 0), deadline_unix_s)
        while isinstance(stored, Conflict):
            # Mostly it is there: another change brings the same in, or this one's first
            # try did.  A part that was emptied is written anew.
            found = await self._store.read(key, deadline_unix_s)
            if isinstance(found, Stored) and found.value == part.body:
                break
            version = found.version if isinstance(found, Stored) else 0
            stored = await self._writer.put(Write(key, part.body, version), deadline_unix_s)
        # A change that is sent again goes on where its first try ran out of time.
        if len(self._written) >= _WRITTEN_KEPT:
            self._written.clear()
        self._written.add(part.digest)

    async def _fetch(self, head: revisions.Head, deadline_unix_s: float) -> dict[str, bytes]:
        """Return the bodies of a head's parts, and keep just these."""
        wanted = set(head['parts'].values())
        bodies = {digest: body for digest, body in self._bodies.items() if digest in wanted}
        if len(wanted - bodies.keys()) > _FEW_PARTS:
            # What is in force here has most parts: that spares the store the reads.
            bodies.update(_matching(head, revisions.parts_of(self._known())))
        lacking = wanted - bodies.keys()
        await together(
            functools.partial(self._read, digest, bodies, deadline_unix_s) for digest in lacking
        )
        self._bodies = bodies
        return bodies

    async def _read(self, digest: str, bodies: dict[str, bytes], deadline_unix_s: float) -> None:
        found = await self._store.read(revisions.PARTS_PREFIX + digest, deadline_unix_s)
        if isinstance(found, Stored) and found.value is not None:
            bodies[digest] = found.value


def _matching(head: revisions.Head, parts: Sequence[revisions.Part]) -> dict[str, bytes]:
    """Return, as a head names them, the bodies of those parts that it holds too."""
    bodies = {part.digest: part.body for part in parts}
    names = head['parts'].values()
    return {name: bodies[plain_digest(name)] for name in names if plain_digest(name) in bodies}
