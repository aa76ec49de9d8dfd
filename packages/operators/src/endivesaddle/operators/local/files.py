"""check, plan and apply: what a file of declarations says, changes, and brings into force."""

import pathlib

from endivesaddle.fleet.errors import UserError
from endivesaddle.operators import client
from endivesaddle.operators.commands import COMMANDS
from endivesaddle.operators.declarations import packed, read_declarations
from endivesaddle.operators.language import quoted
from endivesaddle.operators.lines import line_of
from endivesaddle.operators.local_command import LOCAL, Invocation, local_command
from endivesaddle.operators.reply import Reply


@local_command('check', 'Check a file of declarations, without a router.', 'check azulejo.toml')
def check(invocation: Invocation) -> Reply:
    """Read the file and count what it declares."""
    path = _path(invocation, ())
    configuration = read_declarations(_text(path), str(path))
    counts = {
        table: len(entries)
        for table, entries in configuration._asdict().items()
        if not isinstance(entries, int)
    }
    told = ', '.join(f'{count} {table}' for table, count in counts.items())
    return Reply([f'{path}: {told}'], details=counts)


@local_command('plan', COMMANDS.find('plan').summary, COMMANDS.find('plan').example)
def plan(invocation: Invocation) -> Reply:
    """Send the file to a router, which compares it."""
    return _send(invocation)


@local_command('apply', COMMANDS.find('apply').summary, COMMANDS.find('apply').example)
def apply(invocation: Invocation) -> Reply:
    """Send the file to a router, which brings it into force."""
    return _send(invocation)


def _send(invocation: Invocation) -> Reply:
    name, *rest = invocation.words
    terms = [word for word in rest if word.startswith('base:')]
    path = _path(invocation, terms)
    document = _text(path)
    # What is wrong is told here, with the file's name, and not sent.
    read_declarations(document, str(path))
    line = f'{line_of([name, *terms])} file:{quoted(path.name)}'
    changes = COMMANDS.find(name).changes
    text = f'{line}\n{packed(document, path.name)}'
    return client.send(invocation.router, text, invocation.change_id, changes)


def _path(invocation: Invocation, terms: list[str] | tuple[str, ...]) -> pathlib.Path:
    name, *rest = invocation.words
    files = [word for word in rest if word not in terms]
    if len(files) != 1:
        raise UserError(f'{name} takes one file, such as: {LOCAL.find(name).example}')
    return pathlib.Path(files[0])


def _text(path: pathlib.Path) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise UserError(f'{path} can not be read: {error}') from None
