"""Steps of server_statements.feature."""

from typing import Any

from behave import given, then

from subjects.server_statements import NAMES, StatedResponse


@given('the response {status:d} to request "{request_id}" with {headers}')
def respond(context: Any, status: int, request_id: str, headers: str) -> None:
    """Parse it."""
    context.stated = StatedResponse(status, request_id, headers)


@given('the response {status:d} to request "" with {headers}')
def respond_unnamed(context: Any, status: int, headers: str) -> None:
    """Parse it."""
    context.stated = StatedResponse(status, '', headers)


@then('it proves {expected}')
def proved(context: Any, expected: str) -> None:
    """Judge it."""
    assert context.stated.proves() == expected, context.stated.proves()


@then('no caller gets the header of a refusal')
def not_relayed(context: Any) -> None:
    """Look at the headers that are relayed."""
    assert NAMES.declined not in context.stated.relayed(), context.stated.relayed()
