"""Steps of platform_connections.feature."""

from typing import Any

import anyio
from behave import given, then, when

from subjects.platform_connections import Connections, OverSockets


@given('platform connections: a store that takes {delay_s:g} seconds over a call')
def store(context: Any, delay_s: float) -> None:
    """Open the adapter for a slow store."""
    context.connections = Connections(delay_s)
    context.add_cleanup(context.connections.close)


@when('platform connections: the store takes {delay_s:g} seconds over a call')
def slow(context: Any, delay_s: float) -> None:
    """Change the time that the store takes over a call."""
    context.connections.slow(delay_s)


@when('platform connections: {count:d} keys are written at once with {within_s:d} seconds')
def write(context: Any, count: int, within_s: int) -> None:
    """Write keys; in a scenario with a watch, return while the writes wait."""
    if 'watch' in context.scenario.name:
        context.connections.begin_writing(count, within_s)
    else:
        context.connections.write(count, within_s)


@when('platform connections: "{key}" is watched meanwhile and changes after {after_s:d} seconds')
def watch(context: Any, key: str, after_s: int) -> None:
    """Watch while the writes wait."""
    context.connections.watch(key, after_s)


@when('platform connections: 64 keys are written at once over sockets, with a watch')
def over_sockets(context: Any) -> None:
    """Use a real HTTP server."""
    context.sockets = OverSockets()
    anyio.run(context.sockets.play)


@then('platform connections: all {count:d} are stored, and {most:d} calls were open at the most')
def all_stored(context: Any, count: int, most: int) -> None:
    """Check the outcomes and the largest number of open calls."""
    subject = context.connections
    assert dict(subject.outcomes) == {'stored': count}, subject.outcomes
    assert subject.gateway.most == most, subject.gateway.most


@then('platform connections: the watch reported it after {least:g} to {most:g} seconds')
def reported(context: Any, least: float, most: float) -> None:
    """Check when the watch reported the change."""
    assert least <= context.connections.reported_s <= most, context.connections.reported_s


@then(
    'platform connections: {unsure:d} were unsure and {unreachable:d} unreachable,'
    ' and {sent:d} were sent'
)
def not_stored(context: Any, unsure: int, unreachable: int, sent: int) -> None:
    """Check the outcomes and the number of calls that were sent."""
    subject = context.connections
    found = dict(subject.outcomes)
    assert found == {'unsure': unsure, 'unreachable': unreachable}, found
    assert subject.gateway.sent == sent, subject.gateway.sent


@then(
    'platform connections: the watch reported a write, and at most {most:d} connections were used'
)
def few_connections(context: Any, most: int) -> None:
    """Check that the watch reported, and the number of connections at the server."""
    assert context.sockets.reported is not None
    assert context.sockets.connections <= most, context.sockets.connections
