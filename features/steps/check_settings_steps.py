"""Steps of check_settings.feature."""

from typing import Any

from behave import then, when

from subjects import check_settings


@when('the settings "{flags}" are checked')
def check(context: Any, flags: str) -> None:
    """Run the command."""
    context.checked = check_settings.check(flags)


@when('the settings of a router at an address that is taken are checked')
def check_taken(context: Any) -> None:
    """Run the command."""
    context.checked = check_settings.check_taken()


@then('the check ends with status {status:d} and says "{text}"')
def ended(context: Any, status: int, text: str) -> None:
    """Look at both."""
    checked = context.checked
    assert checked.status == status, checked
    assert text in checked.text, checked
