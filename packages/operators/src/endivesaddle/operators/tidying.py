"""Take parts of the configuration out of the store that no head names any more.

Each change leaves the part that it replaced behind, some eighteen kilobytes at nine
thousand accounts; with 1,400 changes a day the store would be full within months.
"""

import functools

import anyio

from endivesaddle.fleet import revisions
from endivesaddle.fleet.errors import StoreUnreachable
from endivesaddle.fleet.ports import Store, Stored
from endivesaddle.fleet.revision_parts import added_in_revision
from endivesaddle.operators import events
from endivesaddle.operators.together import together
from endivesaddle.operators.writes import Write, Writer

TAKES_S = 2.0
GONE_AFTER_S = 3600


class Tidying:
    """Empties parts, under a lease that then lets the store delete their keys.

    Only parts are taken that were brought in by the head's revision or an older one
    and that it doesn't name: no later head can name them (see
    ``revision_parts.versioned_digest``), however late a paused operator's change wakes up.
    An instance that reads the parts of an older head at that moment finds one
    empty, refuses the whole, and takes the newer head that there is.
    """

    def __init__(self, store: Store, writer: Writer) -> None:
        """Tidy up in ``store``."""
        self._store = store
        self._writer = writer

    async def tidy(self, head: revisions.Head, deadline_unix_s: float) -> None:
        """Take out what can be within ``TAKES_S``; the rest is for the next time."""
        with anyio.move_on_after(TAKES_S):
            try:
                await self._empty(await self._left(head, deadline_unix_s), deadline_unix_s)
            except StoreUnreachable as error:
                events.TIDYING_CUT.log(revision=head['revision'], reason=str(error))

    async def _left(self, head: revisions.Head, deadline_unix_s: float) -> list[Stored]:
        named = set(head['parts'].values())
        listed = await self._store.list(revisions.PARTS_PREFIX, deadline_unix_s)
        return [
            stored
            for stored in listed
            if stored.value
            and _name(stored) not in named
            and added_in_revision(_name(stored)) <= head['revision']
        ]

    async def _empty(self, parts: list[Stored], deadline_unix_s: float) -> None:
        if not parts:
            return
        lease_id = await self._store.grant(GONE_AFTER_S, deadline_unix_s)
        writes = [Write(stored.key, b'', stored.version, lease_id) for stored in parts]
        await together(
            functools.partial(self._writer.put, write, deadline_unix_s) for write in writes
        )


def _name(stored: Stored) -> str:
    return stored.key.removeprefix(revisions.PARTS_PREFIX)
