"""Steps of server_limits.feature."""

from typing import Any

from behave import given, then, when

from subjects.limited_fleet import LimitedFleet
from subjects.limited_server import LimitedServer, VaryingLimit


@given(
    '{routers:d} routers with {sidecars:d} sidecars and {servers:d} servers in three data centres'
)
def start(context: Any, routers: int, sidecars: int, servers: int) -> None:
    """Start them."""
    context.play = LimitedFleet(routers, servers, sidecars)
    context.add_cleanup(context.play.close)


@when('server {server:d} names a limit of "{limit}" in answers with status {status:d}')
def name_limit(context: Any, server: int, limit: str, status: int) -> None:
    """Have it say so."""
    context.play.name_limit(server, limit, status)


@then(
    'from {begin:d} seconds on server {server:d} got at most {most:d} requests '
    'in any {window:d} seconds'
)
def busiest_from(context: Any, begin: int, server: int, most: int, window: int) -> None:
    """Count what it got."""
    busiest = context.play.busiest(server, begin, window)
    assert busiest <= most, busiest


@then('server {server:d} got at most {most:d} requests in any {window:d} seconds')
def busiest(context: Any, server: int, most: int, window: int) -> None:
    """Count what it got."""
    busiest_from(context, 0, server, most, window)


@then('each of them was answered')
def answered(context: Any) -> None:
    """Look at what the callers have."""
    assert context.play.sinks
    assert {sink.status for sink in context.play.sinks} == {200}


@then('the routers counted at least {least:d} that passed it over')
def counted(context: Any, least: int) -> None:
    """Look at their counters."""
    assert context.play.withheld() >= least, context.play.withheld()


@when('server {server:d} names no limit any more')
def name_none(context: Any, server: int) -> None:
    """Have its next answers be plain."""
    context.play.name_none(server)


@when('server {server:d} takes 2 seconds for an answer, and meanwhile names a limit of "{limit}"')
def answer_late(context: Any, server: int, limit: str) -> None:
    """Have one answer be begun before the server names its limit, and come after."""
    context.play.answer_late(server, limit)


@when('the answer that was begun before has come')
def late_came(context: Any) -> None:
    """Wait for it."""
    context.play.await_late()


@then('server {server:d} got at least {least:d} of the last {count:d} requests')
def got_of_last(context: Any, server: int, least: int, count: int) -> None:
    """Count what it got."""
    got = context.play.got_of_last(server, count)
    assert got >= least, got


@then('from {begin:d} seconds on server {server:d} got at least {least:d} requests')
def got_from(context: Any, begin: int, server: int, least: int) -> None:
    """Count what it got."""
    got = context.play.got_from(server, begin)
    assert got >= least, got


@when(
    '{per_s:d} requests a second meet a server that names {limit:g} '
    'and {routers:d} routers by {policy}'
)
def play_policy(context: Any, per_s: int, limit: float, routers: int, policy: str) -> None:
    """Send them."""
    context.limited = LimitedServer(policy, routers, limit)
    context.limited.play(per_s)


@then('the limited server got at most {most:d} within any 4 seconds')
def busiest_window(context: Any, most: int) -> None:
    """Count what it got."""
    assert context.limited.busiest <= most, context.limited.busiest


@then('it got at least {least:d} in 60 seconds')
def served(context: Any, least: int) -> None:
    """Count what it got."""
    assert context.limited.served >= least, context.limited.served


@when('a server names limits of 10 to 10.5, another one in each of 100 answers within 4 seconds')
def vary(context: Any) -> None:
    """Have one router hear them."""
    context.varying = VaryingLimit()
    context.varying.hear()


@then('the other routers are told of it once')
def told(context: Any) -> None:
    """Count what is told."""
    assert context.varying.told == 1, context.varying.told


@then('the router itself keeps the last one')
def kept(context: Any) -> None:
    """Look at what it believes."""
    assert context.varying.believed_per_s == context.varying.last_per_s
