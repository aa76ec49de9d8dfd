"""Steps of news_at_size.feature."""

from typing import Any

from behave import given, then, when

from subjects.news_fleet import NewsFleet


@given('{routers:d} routers that leave words on the board of a sidecar')
def start(context: Any, routers: int) -> None:
    """Start them."""
    context.news = NewsFleet(routers)
    context.add_cleanup(context.news.close)


@when('one of them hears of a server that leaves, {times:d} times')
def hear(context: Any, times: int) -> None:
    """Tell one after the other."""
    context.took_s = context.news.spread_s(times)


@then('all have heard of it within {within:g} seconds each time')
def heard(context: Any, within: float) -> None:
    """Compare the longest."""
    assert max(context.took_s) <= within, max(context.took_s)


@then('the board was asked at most {most:g} times a second')
def asked(context: Any, most: float) -> None:
    """Count the calls."""
    assert context.news.asked_per_s() <= most, context.news.asked_per_s()
