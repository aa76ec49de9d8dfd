"""Run one line of the operators' language at a router."""

import secrets
from collections.abc import Sequence

from endivesaddle.fleet.errors import EXIT_FAILED, FleetError, StoreUnreachable, UserError
from endivesaddle.operators import arguments, language
from endivesaddle.operators.access import Person
from endivesaddle.operators.command import Command
from endivesaddle.operators.commands import COMMANDS
from endivesaddle.operators.desk import Desk
from endivesaddle.operators.mistakes import mistake
from endivesaddle.operators.reply import Reply
from endivesaddle.operators.words import Given, read_words

_ID_BYTES = 9


class Forbidden(UserError):
    """The operator's role doesn't allow the command."""


async def execute(desk: Desk, text: str, person: Person, change_id: str = '') -> Reply:
    """Run one line, and the document below it; raises ``UserError`` for mistakes.

    A changing command without a change id gets one, which its reply tells.
    """
    line, _, document = text.partition('\n')
    items = language.read_items(line)
    entry = _command(line, items)
    if entry.changes and not person.may_change:
        raise Forbidden(f'{entry.name} changes something; {person.name} may only read')
    given = Given(person.name, _checked_id(change_id), desk.clock.now_s(), document)
    words = read_words(line, given, items[1:], entry.arguments, entry.fields)
    try:
        reply = await entry.run(desk, words)
    except StoreUnreachable as error:
        return _failed(f'the configuration store is out of reach: {error}', entry, given)
    except FleetError as error:
        return _failed(str(error), entry, given)
    return reply._replace(change_id=given.change_id) if entry.changes else reply


def _command(line: str, items: Sequence[language.Item]) -> Command:
    if not items or items[0].form is not language.Form.WORD or items[0].negated:
        column = items[0].column if items else 0
        raise mistake(line, column, 'a line begins with a command', COMMANDS)
    name = items[0].low
    if name not in list(COMMANDS):
        message = f'there is no command {name!r}'
        raise mistake(line, items[0].column, message, COMMANDS, items[0].length)
    return COMMANDS.find(name)


def _failed(reason: str, entry: Command, given: Given) -> Reply:
    if not entry.changes:
        return Reply(messages=[reason], status=EXIT_FAILED)
    message = f'not accepted: {reason}'
    return Reply(messages=[message], status=EXIT_FAILED, change_id=given.change_id)


def _checked_id(change_id: str) -> str:
    if not change_id:
        return f'c-{secrets.token_hex(_ID_BYTES)}'
    try:
        return arguments.change_id(change_id)
    except ValueError as error:
        raise UserError(f'the change id {change_id!r}: {error}') from None
