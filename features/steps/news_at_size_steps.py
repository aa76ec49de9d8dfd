"""Steps of news_at_size.feature."""

from typing import Any

from behave import given, then, when

from subjects.update_fleet import UpdateFleet

QUIET_S = 10


@given('{routers:d} routers that report to the aggregator of a sidecar')
def start(context: Any, routers: int) -> None:
    """Start them."""
    context.updates = UpdateFleet(routers)
    context.add_cleanup(context.updates.close)


@when('one of them learns of a server that leaves, {times:d} times')
def learn(context: Any, times: int) -> None:
    """Report one after the other."""
    before_unix_s = context.updates.now_s()
    context.took_s = context.updates.spread_s(times)
    context.spread_s = context.updates.now_s() - before_unix_s
    context.calls = context.updates.calls


@then('all have learned of it within {within:g} seconds each time')
def learned(context: Any, within: float) -> None:
    """Compare the longest time."""
    assert max(context.took_s) <= within, max(context.took_s)


@then('each time cost the aggregator at most {most:g} calls of each router')
def cost(context: Any, most: float) -> None:
    """Count the calls beyond the polls that routers make without updates."""
    polls = context.updates.calls_while(QUIET_S) / QUIET_S * context.spread_s
    found = (context.calls - polls) / len(context.took_s) / context.updates.count
    assert found <= most, found


@then('it is called at most {most:g} times a second while there are no updates')
def calls(context: Any, most: float) -> None:
    """Count the calls over some time."""
    found = context.updates.calls_while(QUIET_S) / QUIET_S
    assert found <= most, found
