"""Steps of large_declarations.feature."""

from typing import Any

from behave import given, then, when

from subjects.large_declarations import LargeDeclarations


@given('{routers:d} routers on links of 5 Mbit/s, and {sidecars:d} sidecars')
def start(context: Any, routers: int, sidecars: int) -> None:
    """Start them."""
    context.large = LargeDeclarations(routers, sidecars)
    context.add_cleanup(context.large.close)


@when('{routers:d} of the routers are cut off from the store')
def cut(context: Any, routers: int) -> None:
    """Cut them off."""
    context.large.cut(routers)


@when('a configuration of {routes:d} routes is written')
def declare(context: Any, routes: int) -> None:
    """Write it."""
    context.large.declare(routes)


@then('all routers have it in force within {seconds:d} seconds')
def in_force(context: Any, seconds: int) -> None:
    """Wait until it is in force."""
    behind = context.large.behind(seconds)
    assert not behind, behind


@then('the link of each router carried at most {times:d} times what was written')
def carried(context: Any, times: int) -> None:
    """Compare with the size of the document."""
    most = context.large.most_arrived_bytes()
    assert most <= times * len(context.large.document), (most, len(context.large.document))
