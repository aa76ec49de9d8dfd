"""Steps of slow_own_link.feature."""

from typing import Any

from behave import given, then, when

from subjects.slow_own_link import SlowOwnLink


@given('a router and {sidecars:d} sidecars, one of which keeps the account')
def start(context: Any, sidecars: int) -> None:
    """Start them."""
    context.play = SlowOwnLink(sidecars)
    context.add_cleanup(context.play.close)


@when("the router's own calls take {delay:g} seconds for 6 seconds")
def slow(context: Any, delay: float) -> None:
    """Slow its link down."""
    context.play.slow(delay)


@when('the keeper of the account falls silent')
def silence(context: Any) -> None:
    """Cut it off."""
    context.play.silence_keeper()


@when('{per_s:d} requests a second of {tokens:d} tokens come for {seconds:d} seconds')
def come(context: Any, per_s: int, tokens: int, seconds: int) -> None:
    """Send them."""
    context.play.come(per_s, tokens, seconds)


@then('at most {most:d} of them were refused for want of budget')
def refused(context: Any, most: int) -> None:
    """Count them."""
    assert context.play.refused <= most, context.play.refused
