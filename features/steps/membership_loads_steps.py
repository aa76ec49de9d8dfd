"""Steps of membership_loads.feature."""

from typing import Any

from behave import given, then, when

from subjects.membership_loads import LoadBookSubject, LoadFleetSubject


@given('a load book that has {servers:d} servers and {rate:g} bytes a second')
def book(context: Any, servers: int, rate: float) -> None:
    """Make a book."""
    context.subject = LoadBookSubject(servers, rate)


@given('a load fleet of {routers:d} routers and {sidecars:d} sidecar in {name}')
@given('a load fleet of {routers:d} routers and {sidecars:d} sidecars in {name}')
def small_fleet(context: Any, routers: int, sidecars: int, name: str) -> None:
    """Start a fleet in one data centre."""
    start(context, [name], routers, sidecars)


@given(
    'a load fleet over {one} and {other} with {routers:d} routers and {sidecars:d} sidecars each'
)
def two_fleets(context: Any, one: str, other: str, routers: int, sidecars: int) -> None:
    """Start a fleet in two data centres."""
    start(context, [one, other], routers, sidecars)


def start(context: Any, names: list[str], routers: int, sidecars: int) -> None:
    """Start a fleet and end it with the scenario."""
    context.subject = LoadFleetSubject(names, routers, sidecars)
    context.add_cleanup(context.subject.close)


@given("the load fleet's servers are declared")
def declared(context: Any) -> None:
    """Accept a configuration."""
    context.subject.declare()


@when(
    'the load book is offered cached prefixes {one:d}, {two:d} and {three:d} '
    'one a second for {seconds:d} seconds'
)
def offered(context: Any, one: int, two: int, three: int, seconds: int) -> None:
    """Offer reports."""
    context.subject.offer_one_by_one([one, two, three], seconds)


@when('the load book is offered {count:d} cached prefixes at once')
def offered_at_once(context: Any, count: int) -> None:
    """Offer one large report."""
    context.subject.offer_at_once(list(range(1, count + 1)))


@when("the load fleet's sidecar gets no answers while it reports prefix {prefix:d}")
def lose_answers(context: Any, prefix: int) -> None:
    """Lose answers to beats."""
    context.subject.lose_answers(prefix)


@when("the load fleet's sidecar reports prefix {prefix:d}")
def report_prefix(context: Any, prefix: int) -> None:
    """Report with answers."""
    context.subject.heal_and_report(prefix)


@when('each load fleet sidecar of {data_centre} reports {running:d} running requests')
def report_all(context: Any, data_centre: str, running: int) -> None:
    """Report one load everywhere, for long enough to be spread."""
    for _ in range(15):
        for node in context.subject.nodes('sidecar', data_centre):
            context.subject.report(node, running)
        context.subject.stage.run_for(1)


@when('the load fleet reports each second for {seconds:d} seconds')
def report_each_second(context: Any, seconds: int) -> None:
    """Report and count."""
    context.subject.report_each_second(seconds)


@then('the load book spread {low:d} to {high:d} reports of the server')
def spread(context: Any, low: int, high: int) -> None:
    """Count spread reports."""
    assert low <= len(context.subject.spread) <= high, len(context.subject.spread)


@then("the load book's reports told of prefixes {one:d}, {two:d} and {three:d}")
def told(context: Any, one: int, two: int, three: int) -> None:
    """All prefixes were spread."""
    assert context.subject.told() == {one, two, three}, context.subject.told()


@then("the load book's reports counted their cache changes without a gap")
def no_gap(context: Any) -> None:
    """The count grew by at most one."""
    assert max(context.subject.steps()) == 1, context.subject.steps()


@then("the load book's reports counted their cache changes with a gap")
def gap(context: Any) -> None:
    """The count jumped once, and no prefix was spread."""
    assert max(context.subject.steps()) > 1, context.subject.steps()
    assert not context.subject.told()


@then("the load fleet's routers know of prefixes {one:d} and {other:d}")
def known(context: Any, one: int, other: int) -> None:
    """Every router was told of both."""
    found = context.subject.prefixes()
    assert found and all(told == {one, other} for told in found), found


@then(
    "the load fleet's routers of {place} know {running:d} running requests "
    'at each server of {other}'
)
def known_far(context: Any, place: str, running: int, other: str) -> None:
    """Routers elsewhere know a load for each server."""
    found = context.subject.running(place, other)
    assert found and all(known == {running} for known in found), found


@then('no load fleet router was sent more than {rate:d} bytes of reports a second from above')
def rate_kept(context: Any, rate: int) -> None:
    """Compare the mean rates."""
    sent = context.subject.from_above_bytes
    assert sent and max(sent.values()) <= rate * context.subject.seconds, sent


@then('every load fleet report is at most {seconds:d} seconds old at every router')
def fresh(context: Any, seconds: int) -> None:
    """Compare ages."""
    assert context.subject.oldest_s() <= seconds, context.subject.oldest_s()
