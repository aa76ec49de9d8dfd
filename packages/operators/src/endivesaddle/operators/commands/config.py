"""config: the revision that stands, where it is in force, and the last changes."""

from collections import Counter
from typing import Any

from endivesaddle.fleet import revisions
from endivesaddle.fleet.errors import EXIT_FAILED, StoreUnreachable
from endivesaddle.fleet.sentinels import Absent
from endivesaddle.operators import arguments
from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.in_force import NO_ANSWER, revisions_in_force
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.words import Words

EVERYWHERE = 'everywhere'
_COLUMNS = ('revision', 'when_unix_s', 'who', 'change_id', 'summary')
_INSTANCE_COLUMNS = ('instance', 'revision')


@command(
    'config',
    'Tell the revision that stands and the last changes, or what is in force everywhere.',
    'config everywhere',
    arguments=(
        arguments.word(
            EVERYWHERE,
            'ask all instances',
            arguments.one_of(EVERYWHERE),
            default='',
            choices=(EVERYWHERE,),
        ),
    ),
)
async def run(desk: Desk, words: Words) -> Reply:
    """Read the head from the store."""
    in_force = desk.view.configuration.revision
    here = f'revision {in_force} is in force at {desk.identity.instance}'
    try:
        loaded = await desk.configurations.load(desk.deadline_unix_s())
    except (StoreUnreachable, revisions.RevisionError) as error:
        stands = f'the store can not be read now: {error}'
        failed = Reply([here, stands], status=EXIT_FAILED, details={'in_force': in_force})
        return await _everywhere(desk, failed) if words[EVERYWHERE] else failed
    if isinstance(loaded, Absent):
        return Reply([loaded.reason], details={'in_force': in_force, 'stored': 0})
    stored = loaded.head['revision']
    messages = [f'revision {stored} stands in the store; {here}']
    details = {'in_force': in_force, 'stored': stored}
    reply = Reply(messages, _COLUMNS, loaded.head['changes'], details)
    return await _everywhere(desk, reply) if words[EVERYWHERE] else reply


async def _everywhere(desk: Desk, reply: Reply) -> Reply:
    found = await revisions_in_force(desk, ('router', 'sidecar'))
    counts = Counter(found.values())
    told = [f'{count} instances: {_named(revision)}' for revision, count in sorted(counts.items())]
    rows: list[dict[str, Any]] = [
        {'instance': name, 'revision': _named(found[name])} for name in sorted(found)
    ]
    return reply._replace(messages=[*reply.messages, *told], columns=_INSTANCE_COLUMNS, rows=rows)


def _named(revision: int) -> str:
    return 'no answer' if revision == NO_ANSWER else f'revision {revision}'
