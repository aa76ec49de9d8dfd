"""Steps of virtual_time.feature."""

from typing import Any

from behave import then, when

from subjects.virtual_time import VirtualTime


@when('a task sleeps for {seconds:d} seconds')
def sleep(context: Any, seconds: int) -> None:
    """Sleep in virtual time."""
    context.subject = VirtualTime()
    context.subject.sleep(seconds)


@then('the clock has advanced by {seconds:d} seconds')
def advanced(context: Any, seconds: int) -> None:
    """Check the elapsed time on the clock."""
    assert round(context.subject.elapsed_s, 3) == seconds, context.subject.elapsed_s
