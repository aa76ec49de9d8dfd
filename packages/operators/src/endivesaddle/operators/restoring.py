"""Write back what is in force, after the store went back to an older state."""

import functools

from endivesaddle.fleet import revisions
from endivesaddle.fleet.errors import EXIT_CONFLICT, StoreWriteUnconfirmed
from endivesaddle.fleet.revision_cache import RevisionCache
from endivesaddle.fleet.sentinels import Absent, Conflict
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.results import not_accepted, unknown
from endivesaddle.operators.together import together
from endivesaddle.operators.words import Words
from endivesaddle.operators.writes import Write, Writer

JUMP = 1000
"""Added to the revision: one that is in force at an instance that could not be asked,
or was accepted and then lost with the store, must not be given a second meaning."""


async def restore(desk: Desk, words: Words, deadline_unix_s: float) -> Reply:
    """Bring the configuration in force here into the store, as a much higher revision."""
    loaded = await desk.configurations.load(deadline_unix_s)
    in_force = desk.view.configuration
    version, head = 0, revisions.empty_head()
    if not isinstance(loaded, Absent):
        version, head = loaded.version, loaded.head
    if head['revision'] >= in_force.revision:
        return not_accepted(f'revision {head["revision"]} stands in the store: nothing is lost')
    after = in_force._replace(revision=in_force.revision + JUMP)
    writer = Writer(desk.ports.store, desk.clock, desk.settings.store_retry_s)
    made = RevisionCache().parts_of(after)
    await together(functools.partial(_put, writer, part, deadline_unix_s) for part in made.parts)
    listed = [*head['changes'], _change(words, head['revision'], after.revision)]
    head = revisions.Head(
        format=revisions.FORMAT, revision=after.revision, parts=made.digests, changes=listed
    )
    try:
        stored = await desk.configurations.swap_head(head, version, deadline_unix_s)
    except StoreWriteUnconfirmed as unsure:
        return unknown(str(unsure), words.given.change_id)
    if isinstance(stored, Conflict):
        return Reply([f'conflict, nothing changed: {stored.reason}'], status=EXIT_CONFLICT)
    return Reply([f'accepted: revision {after.revision}, with all of {in_force.revision}'])


async def _put(writer: Writer, part: revisions.Part, deadline_unix_s: float) -> None:
    await writer.put(Write(revisions.PARTS_PREFIX + part.digest, part.body, 0), deadline_unix_s)


def _change(words: Words, base: int, revision: int) -> revisions.Change:
    return revisions.Change(
        change_id=words.given.change_id,
        who=words.given.operator,
        when_unix_s=words.given.now_unix_s,
        summary=words.line,
        base_revision=base,
        revision=revision,
        touched=['*'],
        before=[],
        after=[],
        content_digest='',
    )
