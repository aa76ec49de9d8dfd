"""Steps of server_limits.feature."""

from typing import Any

from behave import given, then, when

from subjects.limited_fleet import LimitedFleet


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
