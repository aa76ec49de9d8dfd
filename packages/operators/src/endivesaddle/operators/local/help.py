"""help: the commands, or one of them, without a router."""

from endivesaddle.fleet.errors import UserError
from endivesaddle.operators.commands import COMMANDS
from endivesaddle.operators.helping import help_lines
from endivesaddle.operators.local_command import LOCAL, Invocation, local_command
from endivesaddle.operators.reply import Reply


@local_command('help', 'List the commands, or tell how one is written.', 'help top-up')
def show_help(invocation: Invocation) -> Reply:
    """Write the help on commands of routers and on local ones."""
    name = invocation.words[1] if len(invocation.words) > 1 else ''
    if not name:
        return Reply(help_lines('', _only_local()))
    if name in list(COMMANDS):
        return Reply(help_lines(name))
    if name not in list(LOCAL):
        known = ', '.join(sorted({*COMMANDS, *LOCAL}))
        raise UserError(f'there is no command {name!r}; there is: {known}')
    entry = LOCAL.find(name)
    return Reply([entry.summary, f'example: {entry.example}'])


def _only_local() -> dict[str, str]:
    return {name: LOCAL.find(name).summary for name in LOCAL if name not in list(COMMANDS)}
