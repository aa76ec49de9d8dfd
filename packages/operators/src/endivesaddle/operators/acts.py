"""Acts besides changes of the configuration, with their audit record: top-ups, orders."""

from collections.abc import Awaitable, Callable

from endivesaddle.fleet.errors import EXIT_CONFLICT, StoreUnreachable
from endivesaddle.fleet.sentinels import Conflict
from endivesaddle.operators import audit, events
from endivesaddle.operators.access import token_digest
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.reply import EXIT_DONE, Reply
from endivesaddle.operators.words import Words


async def act(
    desk: Desk, words: Words, touched: str, run: Callable[[float], Awaitable[Reply]]
) -> Reply:
    """Record that something is asked, do it, and record that it was accepted.

    ``run(deadline_unix_s)`` has to be safe to repeat.  Nothing is done where the
    record can't be written, where its change id stands for something else, or where
    it is done already.
    """
    deadline_unix_s = desk.deadline_unix_s()
    opened = await desk.audit.open(_entry(words, touched), deadline_unix_s)
    if isinstance(opened, Conflict):
        return Reply(messages=[f'conflict: {opened.reason}'], status=EXIT_CONFLICT)
    if opened.entry['outcome'] == audit.ACCEPTED:
        # Others may have acted since: what is done once must not be done on top of them.
        return Reply(['accepted before, by this same change:', *opened.entry['after']])
    reply = await run(deadline_unix_s)
    if reply.status == EXIT_DONE:
        entry = audit.Entry(**{**opened.entry, 'outcome': audit.ACCEPTED})
        entry['after'] = list(reply.messages)
        await _mark(desk, opened, entry, deadline_unix_s)
    return reply


async def _mark(
    desk: Desk, opened: audit.Opened, entry: audit.Entry, deadline_unix_s: float
) -> None:
    try:
        await desk.audit.update(opened, entry, deadline_unix_s)
    except StoreUnreachable as error:
        # The act itself stands: a "no" now would have the operator do it again.
        events.AUDIT_INCOMPLETE.log(change_id=entry['change_id'], reason=str(error))


def _entry(words: Words, touched: str) -> audit.Entry:
    return audit.Entry(
        change_id=words.given.change_id,
        who=words.given.operator,
        when_unix_s=words.given.now_unix_s,
        summary=words.line,
        content_digest=token_digest(words.line),
        outcome=audit.ASKED,
        revision=0,
        touched=[touched],
        before=[],
        after=[],
    )
