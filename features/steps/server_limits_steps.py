"""Steps of server_limits.feature."""

from typing import Any

from behave import given, then, when

from subjects.limited_fleet import LimitedFleet
from subjects.limited_server import LimitedServer, VaryingLimit


@given(
    '{routers:d} routers with {sidecars:d} sidecars and {servers:d} servers in three data centres'
)
def start(context: Any, routers: int, sidecars: int, servers: int) -> None:
    """Start the routers, sidecars and servers."""
    context.play = LimitedFleet(routers, servers, sidecars)
    context.add_cleanup(context.play.close)


@when('server {server:d} advertises a limit of "{limit}" in responses with status {status:d}')
def advertise_limit(context: Any, server: int, limit: str, status: int) -> None:
    """Let it advertise the limit."""
    context.play.advertise_limit(server, limit, status)


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
    """Check the status of all responses."""
    assert context.play.sinks
    assert {sink.status for sink in context.play.sinks} == {200}


@then('the routers counted at least {least:d} placements that skipped it')
def counted(context: Any, least: int) -> None:
    """Check the counters of the routers."""
    assert context.play.throttled() >= least, context.play.throttled()


@when('server {server:d} advertises no limit any more')
def stop_advertising(context: Any, server: int) -> None:
    """Let its next responses have no limit."""
    context.play.stop_advertising(server)


@when('server {server:d} takes 2 seconds for a response and advertises a limit of "{limit}"')
def answer_late(context: Any, server: int, limit: str) -> None:
    """Let a response begin before the server advertises its limit, and arrive after."""
    context.play.answer_late(server, limit)


@when('the response that was begun before has arrived')
def late_came(context: Any) -> None:
    """Wait for the delayed response."""
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
    '{per_s:d} requests a second are sent to a server that advertises {limit:g} '
    'by {routers:d} routers with {policy}'
)
def play_policy(context: Any, per_s: int, limit: float, routers: int, policy: str) -> None:
    """Send the requests."""
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


@when('a server advertises limits of 10 to 10.5, changing in each of 100 responses within 4 s')
def vary(context: Any) -> None:
    """Let one router process them."""
    context.varying = VaryingLimit()
    context.varying.process_responses()


@then('it is reported to the other routers once')
def told(context: Any) -> None:
    """Count the reported changes."""
    assert context.varying.change_count == 1, context.varying.change_count


@then('the router itself keeps the last one')
def kept(context: Any) -> None:
    """Compare the limit that it uses."""
    assert context.varying.known_per_s == context.varying.last_per_s
