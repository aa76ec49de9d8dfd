"""Steps of operators_cli.feature."""

import json
from typing import Any

from behave import given, then, when

from endivesaddle.operators.access import token_digest
from endivesaddle.operators.declarations import read_declarations
from subjects.operators_cli import CommandLineSubject


def _start(context: Any, answer: str) -> None:
    context.subject = CommandLineSubject(answer)
    context.add_cleanup(context.subject.close)


@given('operators_cli has a router that answers {answer:w}')
def router(context: Any, answer: str) -> None:
    """Start a router."""
    _start(context, answer)


@given('operators_cli has no router')
def no_router(context: Any) -> None:
    """Take an address where nobody listens."""
    _start(context, '')


@when('operators_cli runs {words}')
def run(context: Any, words: str) -> None:
    """Run."""
    if not hasattr(context, 'subject'):
        _start(context, '')
    context.subject.run(words)


@when('operators_cli applies a file of {count:d} accounts')
def apply(context: Any, count: int) -> None:
    """Apply a long file."""
    context.subject.apply_accounts(count)


@then('operators_cli exits {status:d} and the router got the line {line}')
def got(context: Any, status: int, line: str) -> None:
    """Compare what was sent."""
    subject = context.subject
    assert subject.status == status, (subject.status, subject.output)
    assert subject.got[-1]['line'] == line, subject.got


@then('operators_cli exits {status:d} and says {text}')
def says(context: Any, status: int, text: str) -> None:
    """Compare status and output."""
    subject = context.subject
    assert subject.status == status, (subject.status, subject.output)
    assert text in subject.output, subject.output
    assert 'Traceback' not in subject.output, subject.output


@then('operators_cli has sent nothing')
def silent(context: Any) -> None:
    """Look at the router."""
    assert context.subject.got == [], context.subject.got


@then('operators_cli exits 0 and the router got that file within a megabyte')
def got_file(context: Any) -> None:
    """Unpack what was sent."""
    subject = context.subject
    assert subject.status == 0, subject.output
    line, _, document = subject.got[-1]['line'].partition('\n')
    assert line == 'apply base:0 file:"many.toml"', line
    assert subject.read(document) == read_declarations(subject.document, 'many.toml')
    assert subject.got[-1]['bytes'] < 1_000_000 < len(subject.document), subject.got[-1]['bytes']


@then('operators_cli helps with every command, whose example can be read')
def helps(context: Any) -> None:
    """Read all examples."""
    _start(context, '')
    assert context.subject.examples_read() == []


@then('operators_cli finds docs/COMMANDS.md as tools/commands_page.py writes it')
def page(context: Any) -> None:
    """Compare the page."""
    _start(context, '')
    written, page = context.subject.commands_page()
    assert written == page, 'run .venv/bin/python tools/commands_page.py'


@then('operators_cli shows a key with its digest')
def shows_key(context: Any) -> None:
    """Compare the digest."""
    details = json.loads(context.subject.output)['details']
    assert details['digest'] == token_digest(details['secret']), details
