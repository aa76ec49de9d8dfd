"""Steps of query.feature."""

from typing import Any

from behave import given, then, when

from subjects.queries import Queries


@given('query records')
def start(context: Any) -> None:
    """Make records."""
    context.subject = Queries(context.table)


@when('query "{text}" is asked')
def ask(context: Any, text: str) -> None:
    """Ask."""
    context.subject.ask(text)


@when('query "{text}" is made absolute')
def absolute(context: Any, text: str) -> None:
    """Make the times absolute."""
    context.written = context.subject.absolute(text)


@then('query finds {found}')
def finds(context: Any, found: str) -> None:
    """Compare the ids."""
    assert not context.subject.error, context.subject.error
    assert (', '.join(context.subject.found) or 'none') == found, context.subject.found


@then('query fails with "{message}" under "{word}"')
def fails(context: Any, message: str, word: str) -> None:
    """Compare the mistake."""
    heading, line, carets, *_ = context.subject.error.split('\n')
    place = carets.index('^')
    assert message in heading, heading
    assert line[place : len(carets)] == word, (line, carets)


@then('query reads "{text}"')
def reads(context: Any, text: str) -> None:
    """Compare the absolute query."""
    assert context.written == text, context.written


@then('query takes or refuses any text with a message')
def any_text(context: Any) -> None:
    """Search for a text that breaks it."""
    context.subject.survive_any_text()


@then('query items survive writing and reading')
def round_trip(context: Any) -> None:
    """Search for items that come back changed."""
    context.subject.survive_writing()
