"""Change the configuration once, whatever the store does and whoever else changes it.

Parts are written before the head, and the head by compare-and-swap: a change is
accepted at one moment, whole, or not at all.  The head lists the last changes,
so that a lost answer is found again under its change id and a conflict can name
the change that won.
"""

import random
from collections.abc import Callable, Sequence
from operator import attrgetter

import anyio

from endivesaddle.fleet import revisions
from endivesaddle.fleet.clock import Clock
from endivesaddle.fleet.configuration import Configuration
from endivesaddle.fleet.errors import StoreUnreachable, StoreWriteUnconfirmed
from endivesaddle.fleet.sentinels import Conflict
from endivesaddle.operators import audit, events
from endivesaddle.operators.configuration_store import ConfigurationStore, Loaded
from endivesaddle.operators.differences import Difference, differences
from endivesaddle.operators.outcomes import (
    ANY_REVISION,
    Accepted,
    Asked,
    ChangeConflict,
    Edit,
    NotAccepted,
    Outcome,
    Unknown,
)
from endivesaddle.operators.values import iso

CHANGES_IN_HEAD = 16
"""Older ones are found in the audit; the head is sent to every instance."""
LINES_IN_HEAD = 3
TOUCHED_IN_HEAD = 20
LINE_LENGTH = 200
EVERYTHING = '*'
_NAME: Callable[[Difference], str] = attrgetter('name')
_BEFORE: Callable[[Difference], str] = attrgetter('before')
_AFTER: Callable[[Difference], str] = attrgetter('after')
FIRST_SPREAD_S = 0.02
MOST_SPREAD_S = 0.32


class Changes:
    """Changes of the configuration through one router."""

    def __init__(
        self, clock: Clock, configurations: ConfigurationStore, records: audit.Audit
    ) -> None:
        """Change what ``configurations`` keeps; write ``records`` of it."""
        self.clock = clock
        self.configurations = configurations
        self.records = records

    async def change(self, asked: Asked, edit: Edit, deadline_unix_s: float) -> Outcome:
        """Make a change; raises ``UserError`` from ``edit`` with nothing changed."""
        outcome: Outcome
        try:
            outcome = await _Change(self, asked, edit, deadline_unix_s).run()
        except StoreWriteUnconfirmed as unsure:
            outcome = Unknown(str(unsure))
        except (StoreUnreachable, revisions.RevisionError) as error:
            outcome = NotAccepted(str(error))
        _log(asked, outcome)
        return outcome


class _Change:
    """One change under way, over as many tries as others' changes cost it."""

    def __init__(self, changes: Changes, asked: Asked, edit: Edit, deadline_unix_s: float) -> None:
        self._changes = changes
        self._asked = asked
        self._edit = edit
        self._deadline_unix_s = deadline_unix_s
        self._first_revision = ANY_REVISION
        self._random = random.Random(asked.change_id)
        self._opened: audit.Opened | None = None

    async def run(self) -> Outcome:
        """Try until it stands, loses or is out of time."""
        spread_s = FIRST_SPREAD_S
        while self._changes.clock.now_s() < self._deadline_unix_s:
            outcome = await self._try()
            if outcome is not None:
                return outcome
            # Racers that all try again at once cost the store their number squared.
            await anyio.sleep(self._random.uniform(0, spread_s))
            spread_s = min(2 * spread_s, MOST_SPREAD_S)
        return NotAccepted('other changes came first until the time was up')

    async def _try(self) -> Outcome | None:
        loaded = await self._changes.configurations.current(self._deadline_unix_s)
        if isinstance(loaded, NotAccepted):
            return loaded
        if self._first_revision == ANY_REVISION:
            self._first_revision = loaded.head['revision']
        settled = self._listed(loaded.head) or await self._lost_base(loaded.head)
        if settled is not None:
            return settled
        return await self._build(loaded)

    def _listed(self, head: revisions.Head) -> Outcome | None:
        """Find this change among the last ones: its answer was lost, or it is sent again."""
        for change in head['changes']:
            if change['change_id'] == self._asked.change_id:
                if change['content_digest'] == self._asked.content_digest:
                    return Accepted(change['revision'], repeated=True)
                reason = f'change id {self._asked.change_id} stands for another change'
                return ChangeConflict(reason, change)
        return None

    async def _lost_base(self, head: revisions.Head) -> Outcome | None:
        base = self._asked.base_revision
        standing = head['revision']
        if base in {ANY_REVISION, standing}:
            return None
        earlier = await self._changes.records.find(self._asked.change_id, self._deadline_unix_s)
        if isinstance(earlier, dict) and earlier['outcome'] == audit.ACCEPTED:
            return Accepted(earlier['revision'], repeated=True)
        if base > standing:
            return ChangeConflict(f'revision {base} does not exist; {standing} stands')
        later = [change for change in head['changes'] if change['revision'] > base]
        reason = f'planned against revision {base}; {standing} stands'
        return ChangeConflict(reason, later[0] if later else None)

    async def _build(self, loaded: Loaded) -> Outcome | None:
        after = self._edit(loaded.configuration)
        after = after._replace(revision=loaded.head['revision'] + 1)
        # Each of these steps takes milliseconds at nine thousand accounts: the router
        # serves its callers in between.
        await anyio.sleep(0)
        found = differences(loaded.configuration, after)
        await anyio.sleep(0)
        rival = self._rival(loaded.head, found)
        if rival is not None:
            return ChangeConflict('another change of the same item came first', rival)
        settled = await self._record(loaded.head, found)
        if settled is not None:
            return settled
        return await self._commit(loaded, after, found)

    def _rival(self, head: revisions.Head, found: Sequence[Difference]) -> revisions.Change | None:
        """Find a change of the same items since this one was begun.

        Applied on top of it, this change would undo it without a word to either
        operator.  Changes of other items don't matter to each other.
        """
        own = {difference.name for difference in found}
        for change in head['changes']:
            touched = set(change['touched'])
            overlaps = own & touched or (own and EVERYTHING in touched)
            if overlaps and change['revision'] > self._first_revision:
                return change
        return None

    async def _record(self, head: revisions.Head, found: Sequence[Difference]) -> Outcome | None:
        """Write the audit record, before anything takes effect."""
        records = self._changes.records
        entry = self._entry(head['revision'] + 1, found)
        if self._opened is None:
            opened = await records.open(entry, self._deadline_unix_s)
            if isinstance(opened, Conflict):
                return ChangeConflict(opened.reason)
            if opened.entry['outcome'] == audit.ACCEPTED:
                return Accepted(opened.entry['revision'], repeated=True)
            self._opened = opened
        if _differs(self._opened.entry, entry):
            self._opened = await records.update(self._opened, entry, self._deadline_unix_s)
        return None

    async def _commit(
        self, loaded: Loaded, after: Configuration, found: Sequence[Difference]
    ) -> Outcome | None:
        parts = await self._changes.configurations.write_parts(after, self._deadline_unix_s)
        changes = [*loaded.head['changes'], self._listing(loaded.head, found)]
        await self._retire(changes[:-CHANGES_IN_HEAD])
        head = revisions.Head(
            format=revisions.FORMAT,
            revision=after.revision,
            parts=parts,
            changes=changes[-CHANGES_IN_HEAD:],
        )
        stored = await self._changes.configurations.swap_head(
            head, loaded.version, self._deadline_unix_s
        )
        if isinstance(stored, Conflict):
            return None
        return Accepted(after.revision, repeated=False, found=found)

    async def _retire(self, changes: Sequence[revisions.Change]) -> None:
        """Mark changes as accepted before the head that proves it forgets them."""
        for change in changes:
            await self._changes.records.accept(
                change['change_id'], change['revision'], self._deadline_unix_s
            )

    def _listing(self, head: revisions.Head, found: Sequence[Difference]) -> revisions.Change:
        touched = [difference.name for difference in found]
        return revisions.Change(
            change_id=self._asked.change_id,
            who=self._asked.who,
            when_unix_s=self._changes.clock.now_s(),
            summary=self._asked.summary[:LINE_LENGTH],
            base_revision=head['revision'],
            revision=head['revision'] + 1,
            touched=touched if len(touched) <= TOUCHED_IN_HEAD else [EVERYTHING],
            before=_short(found, _BEFORE),
            after=_short(found, _AFTER),
            content_digest=self._asked.content_digest,
        )

    def _entry(self, revision: int, found: Sequence[Difference]) -> audit.Entry:
        return audit.Entry(
            change_id=self._asked.change_id,
            who=self._asked.who,
            when_unix_s=self._changes.clock.now_s(),
            summary=self._asked.summary,
            content_digest=self._asked.content_digest,
            outcome=audit.ASKED,
            revision=revision,
            touched=audit.lines(found, _NAME),
            before=audit.lines(found, _BEFORE),
            after=audit.lines(found, _AFTER),
        )


def _differs(recorded: audit.Entry, entry: audit.Entry) -> bool:
    """Tell whether a record has to be written anew; who and what stay the same."""
    return any(recorded[part] != entry[part] for part in ('touched', 'before', 'after'))


def told(change: revisions.Change) -> str:
    """Name a change: its id, who made it, when and what it was."""
    when = iso(change['when_unix_s'])
    return f'{change["change_id"]} by {change["who"]} at {when}: {change["summary"]}'


def _short(found: Sequence[Difference], text: Callable[[Difference], str]) -> list[str]:
    return [line[:LINE_LENGTH] for line in audit.lines(found, text, LINES_IN_HEAD)]


def _log(asked: Asked, outcome: Outcome) -> None:
    fields = {'change_id': asked.change_id, 'who': asked.who}
    match outcome:
        case Accepted(revision, repeated):
            events.CHANGE_ACCEPTED.log(**fields, revision=revision, repeated=repeated)
        case ChangeConflict(reason):
            events.CHANGE_CONFLICT.log(**fields, reason=reason)
        case NotAccepted(reason):
            events.CHANGE_NOT_ACCEPTED.log(**fields, reason=reason)
        case Unknown(reason):
            events.CHANGE_UNKNOWN.log(**fields, reason=reason)
