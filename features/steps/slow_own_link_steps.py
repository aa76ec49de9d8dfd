"""Steps of slow_own_link.feature."""

from typing import Any

from behave import given, then, when

from subjects.slow_own_link import SlowOwnLink


@given('a router and {sidecars:d} sidecars, one of which owns the account')
def start(context: Any, sidecars: int) -> None:
    """Start the router and the sidecars."""
    context.fleet = SlowOwnLink(sidecars)
    context.add_cleanup(context.fleet.close)


@when("the router's own calls take {delay:g} seconds for 6 seconds")
def slow(context: Any, delay: float) -> None:
    """Slow the router's link down."""
    context.fleet.slow(delay)


@when('the allocator of the account stops answering')
def silence(context: Any) -> None:
    """Cut the allocator off from the router."""
    context.fleet.silence_allocator()


@when('{per_s:d} requests a second of {tokens:d} tokens come for {seconds:d} seconds')
def requests_come(context: Any, per_s: int, tokens: int, seconds: int) -> None:
    """Send the requests."""
    context.fleet.send_requests(per_s, tokens, seconds)


@then('at most {most:d} of them are refused for lack of budget')
def refused(context: Any, most: int) -> None:
    """Check the number of refusals."""
    assert context.fleet.refused <= most, context.fleet.refused
