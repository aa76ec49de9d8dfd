"""Steps of server_connections.feature."""

from typing import Any

from behave import given, then, when

from subjects.server_connections import LARGE, TARGET, ServerConnections


@given('a server whose answers are: {scripts}')
def start(context: Any, scripts: str) -> None:
    """Start a server with these responses in this order."""
    context.server = ServerConnections(scripts.split(', '))


@when('it is sent a request for each')
def send(context: Any) -> None:
    """Send them one after the other."""
    context.server.request()


@when('it is sent a request of 3 MB for each')
def send_large(context: Any) -> None:
    """Send them one after the other."""
    context.server.request(LARGE)


@when('it is sent a request that is given up')
def give_up(context: Any) -> None:
    """Cancel the request once the server has it; return when its connection is closed."""
    context.server.cancel()


@then('the router got: {outcomes}')
def got(context: Any, outcomes: str) -> None:
    """Compare the outcomes."""
    assert context.server.outcomes == outcomes.split(', '), context.server.outcomes


@then('{count:d} connections were opened')
def opened(context: Any, count: int) -> None:
    """Compare the count."""
    assert context.server.opened_count == count, context.server.opened_count


@then('each request arrived as it was sent, with its large body')
def arrived_large(context: Any) -> None:
    """Compare the bytes."""
    assert len(context.server.bodies) == len(context.server.outcomes)
    assert set(context.server.bodies) == {LARGE}


@then('its target arrived as it was sent')
def target(context: Any) -> None:
    """Check the request line."""
    assert context.server.heads[0].startswith(f'POST {TARGET} HTTP/1.1\r\n'), context.server.heads


@then('the server saw its connection closed')
def closed(context: Any) -> None:
    """The previous step ends only when the connection is closed."""
    assert context.server.bodies


@when('it is looked at, sent a request for each, ended, and looked at again')
def check(context: Any) -> None:
    """Check the server before and after."""
    context.server.check()


@then('it listened before and refused after')
def checked(context: Any) -> None:
    """Compare the results of the checks."""
    assert context.server.checks == ['listens', 'refuses'], context.server.checks
