"""Steps of links_sockets.feature."""

from types import MappingProxyType
from typing import Any

from behave import given, then, when

from subjects.links_sockets import (
    HASTY,
    KEYED,
    PLAIN,
    LinksSockets,
    deaf,
    instance,
    keyed,
    listens,
    secure,
)

GIVEN = MappingProxyType(
    {
        'nothing': PLAIN,
        'a fleet key': KEYED,
        'TLS': secure('fleet', PLAIN),
        'TLS and the key': secure('fleet'),
    }
)


@given('links sockets: an instance with TLS and a fleet key')
def tls_instance(context: Any) -> None:
    """Listen with a certificate of the fleet."""
    context.sockets = LinksSockets(instance(secure('fleet')))


@given('links sockets: an instance with a certificate for another address')
def elsewhere(context: Any) -> None:
    """Listen with the certificate of another instance."""
    context.sockets = LinksSockets(instance(secure('elsewhere')))


@given('links sockets: an instance without TLS')
def plain_instance(context: Any) -> None:
    """Listen in clear."""
    context.sockets = LinksSockets(instance(PLAIN))


@given('links sockets: a listener that accepts and never answers')
def deaf_listener(context: Any) -> None:
    """Listen and say nothing."""
    context.sockets = LinksSockets(deaf)


@when('links sockets: a peer with a certificate of the fleet calls')
def fleet_calls(context: Any) -> None:
    """Call with a certificate of the fleet."""
    context.sockets.call(secure('fleet'))


@when('links sockets: a peer with a certificate of another authority calls')
def stranger_calls(context: Any) -> None:
    """Call with a certificate of another authority."""
    context.sockets.call(secure('stranger'))


@given('links sockets: an instance with key {own:w} that also takes {also:w}')
def keyed_instance(context: Any, own: str, also: str) -> None:
    """Listen in clear, with one or two keys."""
    context.sockets = LinksSockets(instance(keyed(own, also)))


@when('links sockets: a peer with key {sent:w} calls')
def keyed_calls(context: Any, sent: str) -> None:
    """Call in clear, with a key or without."""
    context.sockets.call(keyed(sent))


@then('links sockets: the call is refused')
def call_refused(context: Any) -> None:
    """Look for the refusal."""
    assert context.sockets.outcome == 'PeerRefused', context.sockets.outcome
    assert not context.sockets.ran


@when('links sockets: a peer without TLS calls')
def plain_calls(context: Any) -> None:
    """Call in clear."""
    context.sockets.call(PLAIN)


@when('links sockets: a peer that waits 0.1 seconds for a connection calls')
def hasty_calls(context: Any) -> None:
    """Call in clear, with little patience."""
    context.sockets.call(HASTY)


@then('links sockets: the call is answered')
def answered(context: Any) -> None:
    """Look for the reply."""
    assert context.sockets.outcome == 'granted', context.sockets.outcome
    assert context.sockets.ran


@then('links sockets: the call was not sent and the handler did not run')
def not_sent(context: Any) -> None:
    """Look for the failure that says that nothing was sent."""
    assert context.sockets.outcome == 'PeerUnreachable', context.sockets.outcome
    assert not context.sockets.ran


@then("links sockets: both ends have Nagle's algorithm off")
def no_nagle(context: Any) -> None:
    """Look at the sockets of both ends."""
    assert context.sockets.no_delay == [1, 1], context.sockets.no_delay


@then('links sockets: listening on {address} with {what} is {outcome:w}')
def listening(context: Any, address: str, what: str, outcome: str) -> None:
    """Try to listen."""
    found = listens(address, GIVEN[what])
    assert found == (outcome == 'allowed'), found
