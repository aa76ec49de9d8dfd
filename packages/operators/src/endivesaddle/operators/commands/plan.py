"""plan: what a file of declarations would change."""

from collections.abc import Sequence

import anyio

from endivesaddle.operators import arguments
from endivesaddle.operators.applying import carried_over, lowered
from endivesaddle.operators.command import command
from endivesaddle.operators.declarations import read_travelled
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.differences import Difference, differences
from endivesaddle.operators.outcomes import NotAccepted
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.results import not_accepted
from endivesaddle.operators.words import Words

_LINES_AT_ONCE = 200
FILE = arguments.field(
    'file', 'name of the file, for messages', arguments.anything, default='declarations'
)


@command(
    'plan',
    'Tell what a file of declarations would change, and the revision to apply it against.',
    'plan azulejo.toml',
    arguments=(FILE,),
)
async def run(desk: Desk, words: Words) -> Reply:
    """Compare the document below the line with what stands in the store."""
    wanted = await read_travelled(words.given.document, words['file'])
    deadline_unix_s = desk.deadline_unix_s()
    loaded = await desk.configurations.current(deadline_unix_s)
    if isinstance(loaded, NotAccepted):
        return not_accepted(loaded.reason)
    current = loaded.configuration
    await anyio.sleep(0)
    found = differences(current, carried_over(wanted, current))
    await anyio.sleep(0)
    short = await desk.budgets.shortfalls(lowered(current, wanted), deadline_unix_s)
    lines = await _lines(found)
    lines.extend(f'! account {name} can not be lowered: {short[name]}' for name in sorted(short))
    revision = loaded.head['revision']
    heading = f'{len(found)} changes against revision {revision}; apply with base:{revision}'
    details = {'revision': revision, 'changes': len(found), 'refused': short}
    return Reply([*lines, heading], details=details)


async def _lines(found: Sequence[Difference]) -> list[str]:
    lines: list[str] = []
    for start in range(0, len(found), _LINES_AT_ONCE):
        lines.extend(difference.line for difference in found[start : start + _LINES_AT_ONCE])
        await anyio.sleep(0)
    return lines
