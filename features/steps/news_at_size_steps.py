"""Steps of news_at_size.feature."""

from typing import Any

from behave import given, then, when

from subjects.news_fleet import NewsFleet

QUIET_S = 10


@given('{routers:d} routers that leave words on the board of a sidecar')
def start(context: Any, routers: int) -> None:
    """Start them."""
    context.news = NewsFleet(routers)
    context.add_cleanup(context.news.close)


@when('one of them hears of a server that leaves, {times:d} times')
def hear(context: Any, times: int) -> None:
    """Tell one after the other."""
    before_unix_s = context.news.now_s()
    context.took_s = context.news.spread_s(times)
    context.spread_s = context.news.now_s() - before_unix_s
    context.asked = context.news.asked


@then('all have heard of it within {within:g} seconds each time')
def heard(context: Any, within: float) -> None:
    """Compare the longest."""
    assert max(context.took_s) <= within, max(context.took_s)


@then('each time cost the board at most {most:g} calls of each router')
def cost(context: Any, most: float) -> None:
    """Count the calls beyond the looks that routers make without news."""
    looks = context.news.asked_while(QUIET_S) / QUIET_S * context.spread_s
    found = (context.asked - looks) / len(context.took_s) / context.news.count
    assert found <= most, found


@then('it is asked at most {most:g} times a second while there are no news')
def asked(context: Any, most: float) -> None:
    """Count the calls of a while."""
    found = context.news.asked_while(QUIET_S) / QUIET_S
    assert found <= most, found
