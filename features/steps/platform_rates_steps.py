"""Steps of platform_rates.feature."""

from typing import Any

from behave import given, then, when

from subjects.platform_rates import RatedStart, Rates


@given('platform rates: {count:d} routers that have just started')
def start(context: Any, count: int) -> None:
    """Start the routers."""
    context.rates = Rates(count)
    context.add_cleanup(context.rates.close)


@given('platform rates: {count:d} routers that have seen each other for {for_s:d} seconds')
def started(context: Any, count: int, for_s: int) -> None:
    """Start the routers and have them see the fleet."""
    start(context, count)
    context.rates.see(count, for_s)


@given('platform rates: {count:d} sidecars that have just started')
def start_sidecars(context: Any, count: int) -> None:
    """Start sidecars."""
    start(context, count)
    context.rates.limit_sidecars()


@given('platform rates: a fleet of 4 routers in virtual time')
def fleet(context: Any) -> None:
    """Build a fleet."""
    context.start = RatedStart()


@when(
    'platform rates: each requests {reads:d} reads and {writes:d} writes within {within:d} seconds'
)
def call(context: Any, reads: int, writes: int, within: int) -> None:
    """Make calls at once."""
    context.rates.call(reads, writes, within)


@when('platform rates: all of them write without pause for {for_s:d} seconds')
def write(context: Any, for_s: int) -> None:
    """Write as fast as the rates allow."""
    context.rates.write(for_s)


@when('platform rates: each sees only {count:d} of them for {for_s:d} seconds')
def see(context: Any, count: int, for_s: int) -> None:
    """Change the number of routers that each sees."""
    context.rates.see(count, for_s)


@when('platform rates: the fleet starts and gets its declarations and a request at once')
def play(context: Any) -> None:
    """Run the start of the fleet."""
    context.start.play()


@then('platform rates: none of these calls was refused')
def none_refused(context: Any) -> None:
    """Check the number of refused calls."""
    assert context.rates.refused() == 0, context.rates.refused()


@then('platform rates: the store saw {least:g} to {most:g} writes a second')
def saw(context: Any, least: float, most: float) -> None:
    """Check the rate of writes."""
    assert least <= context.rates.writes_per_s <= most, context.rates.writes_per_s


@then('platform rates: each has the share of a fleet of {count:d}')
def share(context: Any, count: int) -> None:
    """Check the number by which the rates are divided."""
    assert {rate.routers for rate in context.rates.rates} == {count}


@then('platform rates: the request gets its response and no call was refused')
def responded(context: Any) -> None:
    """Check the response and the number of refused calls."""
    response = context.start.response
    assert response.complete and response.status == 200, response
    assert context.start.refused == 0, context.start.refused


@then("platform rates: each of the fleet's routers divides by 4")
def divided(context: Any) -> None:
    """Check the number by which the real routers divide."""
    assert context.start.routers == [4, 4, 4, 4], context.start.routers
