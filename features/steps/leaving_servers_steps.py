"""Steps of leaving_servers.feature."""

from typing import Any

from behave import given, then, when

from subjects.leaving_servers import SERVICE, DelayedAnswer, LeavingFleet
from subjects.slow_connections import SlowConnections


@given('{routers:d} routers that watch the entries of {servers:d} servers')
def start(context: Any, routers: int, servers: int) -> None:
    """Start them without sidecars."""
    start_with_sidecars(context, routers, servers, 0)


@given(
    '{routers:d} routers that watch the entries of {servers:d} servers '
    'through {sidecars:d} sidecars'
)
def start_with_sidecars(context: Any, routers: int, servers: int, sidecars: int) -> None:
    """Start them."""
    context.play = LeavingFleet(routers, servers, sidecars)
    context.add_cleanup(context.play.close)


@given('a router to which another reported as of version {version:d} that the only server leaves')
def report(context: Any, version: int) -> None:
    """Send it the report."""
    context.play = DelayedAnswer(version)


@when("the store's list of version {version:d} arrives, in which the server takes requests")
def late_answer(context: Any, version: int) -> None:
    """Let it arrive."""
    assert context.play.arrive() == version


@then('the router does not choose the server')
def not_chosen_late(context: Any) -> None:
    """Check which servers it may choose."""
    assert not context.play.routing_state.available_servers(SERVICE)


@given('a router whose connections take {seconds:g} seconds')
def slow(context: Any, seconds: float) -> None:
    """Make its connections slow."""
    context.play = SlowConnections(seconds)
    context.add_cleanup(context.play.close)


@when('router {router:d} gets no more answers of the store')
def silence(context: Any, router: int) -> None:
    """Drop the answers to it."""
    context.play.silence(router)


@when('{seconds:g} seconds later server {server:d} announces that it leaves')
def leave(context: Any, seconds: float, server: int) -> None:
    """Write its announcement."""
    context.play.sleep(seconds)
    context.play.leave(server)


@when(
    '{seconds:g} seconds later router {router:d} knows of it, and gets no more answers of the store'
)
def silence_later(context: Any, seconds: float, router: int) -> None:
    """Check that it knows, then drop the answers to it."""
    context.play.sleep(seconds)
    assert not context.play.chosen(router, 0, seconds)
    context.play.silence(router)


@then('router {router:d} does not choose server {server:d} in the next {seconds:d} seconds')
def not_chosen(context: Any, router: int, server: int, seconds: int) -> None:
    """Check during all that time."""
    assert not context.play.chosen(router, server, seconds)


@when('a request is sent, and {seconds:g} seconds later the chosen server announces that it leaves')
def request(context: Any, seconds: float) -> None:
    """Send it."""
    context.play.request(seconds)


@then('the caller gets the response of another server')
def answered(context: Any) -> None:
    """Check what the caller got."""
    assert context.play.runs.sink.status == 200, context.play.runs.sink.refusal
    assert context.play.runs.sink.body == b'body'


@then('the server that left received nothing')
def untouched(context: Any) -> None:
    """Check that nothing arrived there."""
    assert not context.play.network.sent[context.play.left]


@when('the sidecars are gone, but stay registered')
def lose(context: Any) -> None:
    """Lose their machines."""
    context.play.lose_sidecars()


@when('all routers are watched for {seconds:d} seconds')
def observe(context: Any, seconds: int) -> None:
    """Collect the routers that take the store for lost."""
    context.lost = context.play.lost(seconds)


@then('no router took the store for lost')
def none_lost(context: Any) -> None:
    """Check that there were none."""
    assert not context.lost, context.lost
