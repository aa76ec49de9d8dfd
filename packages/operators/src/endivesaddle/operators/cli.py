"""The command ``endivesaddle``: the language of operators and support engineers."""

import dataclasses
import sys
from collections.abc import Sequence
from typing import Annotated

import cappa
import msgspec

from endivesaddle.fleet.arguments import argument
from endivesaddle.fleet.errors import EXIT_USAGE, UserError
from endivesaddle.operators import client
from endivesaddle.operators.commands import COMMANDS
from endivesaddle.operators.lines import line_of
from endivesaddle.operators.local import LOCAL
from endivesaddle.operators.local_command import Invocation
from endivesaddle.operators.reply import EXIT_DONE, Reply
from endivesaddle.operators.tables import table

NAME = 'endivesaddle'
_ROUTER_URL = 'http://127.0.0.1:8080'
_FLAGS = ('--json', '--help', '-h')
_OPTIONS = ('--router', '--token', '--change-id', '--log')
_END = '--'


@cappa.command(
    name=NAME,
    help='Ask about requests, client accounts and servers, and change things. '
    '"endivesaddle help" lists the commands, "endivesaddle help COMMAND" tells of one.',
)
@dataclasses.dataclass(frozen=True)
class CommandLine:
    """One call of the command line."""

    words: Annotated[
        list[str], cappa.Arg(num_args=-1, help='a command, such as: request id:r-17')
    ] = dataclasses.field(default_factory=list)
    router: Annotated[str, argument('router', 'URL of a router', _ROUTER_URL)] = _ROUTER_URL
    token: Annotated[str, argument('token', 'token of an operator', '')] = ''
    # No variable: an id that stays set would make every later change a repeated one.
    change_id: Annotated[
        str, cappa.Arg(long='--change-id', help='id of a change, to send it again safely')
    ] = ''
    logs: Annotated[
        list[str], cappa.Arg(long='--log', action=cappa.ArgAction.append, help='a log file')
    ] = dataclasses.field(default_factory=list)
    as_json: Annotated[bool, cappa.Arg(long='--json', help='print JSON for programs')] = False


def main() -> None:
    """Run one command and exit with its status."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: Sequence[str]) -> int:
    """Run one command; return its exit status."""
    try:
        parsed = cappa.parse(CommandLine, argv=_ordered(arguments), completion=False)
        reply = _run(parsed)
    except UserError as error:
        sys.stderr.write(f'{NAME}: {error}\n')
        return EXIT_USAGE
    _print(reply, parsed.as_json)
    return reply.status


def _run(parsed: CommandLine) -> Reply:
    words = parsed.words or ['help']
    router = client.Router(parsed.router, parsed.token)
    change_id = parsed.change_id or client.new_change_id()
    if words[0] in list(LOCAL):
        return LOCAL.find(words[0]).run(Invocation(words, router, change_id, parsed.logs))
    if words[0] not in list(COMMANDS):
        known = ', '.join(sorted({*COMMANDS, *LOCAL}))
        raise UserError(f'there is no command {words[0]!r}; there is: {known}')
    changes = COMMANDS.find(words[0]).changes
    return client.send(router, line_of(words), change_id, changes)


def _ordered(arguments: Sequence[str]) -> list[str]:
    """Return the flags first and the command's words behind ``--``.

    A word such as ``-outcome:unknown`` is a term and not a flag.
    """
    flags: list[str] = []
    words: list[str] = []
    rest = iter(arguments)
    for word in rest:
        if word == _END:
            words.extend(rest)
        elif word in _FLAGS or word.startswith(tuple(f'{name}=' for name in _OPTIONS)):
            flags.append(word)
        elif word in _OPTIONS:
            flags.extend((word, *(value for value in [next(rest, None)] if value is not None)))
        else:
            words.append(word)
    return [*flags, _END, *words] if words else flags


def _print(reply: Reply, as_json: bool) -> None:
    output = sys.stdout if reply.status == EXIT_DONE or as_json else sys.stderr
    if as_json:
        lines = [msgspec.json.encode(reply.body()).decode()]
    else:
        lines = _people(reply)
    output.write(''.join(f'{line}\n' for line in lines))


def _people(reply: Reply) -> list[str]:
    lines = list(reply.messages)
    if reply.rows:
        lines.extend(table(reply.columns, reply.rows))
    elif reply.columns and not lines:
        lines.append('nothing found')
    return lines
