"""restore: write back what is in force, after the store went back to an older state."""

import functools

from endivesaddle.operators import arguments
from endivesaddle.operators.acts import act
from endivesaddle.operators.command import command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.in_force import NO_ANSWER, revisions_in_force
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.restoring import restore
from endivesaddle.operators.results import not_accepted
from endivesaddle.operators.words import Words

ANYWAY = 'anyway'


@command(
    'restore',
    'Write back the configuration in force here, after the store went back to an older one.',
    'restore',
    arguments=(
        arguments.word(
            ANYWAY,
            'also if some routers can not be asked',
            arguments.one_of(ANYWAY),
            default='',
            choices=(ANYWAY,),
        ),
    ),
    changes=True,
)
async def run(desk: Desk, words: Words) -> Reply:
    """Make sure that nobody has a higher revision, then write."""
    found = await revisions_in_force(desk, ('router',))
    here = desk.view.configuration.revision
    higher = [name for name in sorted(found) if found[name] > here]
    if higher:
        return not_accepted(f'{higher[0]} has revision {found[higher[0]]}; restore there')
    silent = [name for name in sorted(found) if found[name] == NO_ANSWER]
    if silent and not words[ANYWAY]:
        reason = f'{", ".join(silent)} can not be asked and may have a higher one than {here}'
        return not_accepted(f'{reason}; "restore {ANYWAY}" does it all the same')
    return await act(desk, words, 'configuration', functools.partial(restore, desk, words))
