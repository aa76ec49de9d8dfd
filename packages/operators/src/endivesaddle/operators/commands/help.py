"""help: the commands, or one of them."""

from endivesaddle.operators import arguments
from endivesaddle.operators.command import COMMANDS, command
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.helping import help_lines
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.words import Words


@command(
    'help',
    'List the commands, or tell how one is written.',
    'help top-up',
    arguments=(arguments.word('command', 'the command', arguments.anything, default=''),),
)
async def run(desk: Desk, words: Words) -> Reply:
    """Write the help."""
    name = words['command']
    if name and name not in list(COMMANDS):
        raise words.wrong('command', f'there is no command {name!r}', COMMANDS)
    return Reply(help_lines(name))
