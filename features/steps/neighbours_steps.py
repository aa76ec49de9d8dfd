"""Steps of neighbours.feature."""

from typing import Any

from behave import then, when


@when('router 0 sends a prompt of {tokens:d} tokens')
def send(context: Any, tokens: int) -> None:
    """Send it."""
    context.cut.send(0, tokens)


@when('router 0 is cut off from the others')
def silence(context: Any) -> None:
    """Drop its messages."""
    context.cut.isolate(0)


@when('{seconds:g} seconds go by')
def wait(context: Any, seconds: float) -> None:
    """Let time pass."""
    context.cut.sleep(seconds)


@then('the other routers count {requests:d} request and {tokens:d} tokens to read there')
def count(context: Any, requests: int, tokens: int) -> None:
    """Check their backends."""
    for backend in context.cut.backends()[1:]:
        assert (backend.in_flight, backend.prefilling_tokens) == (requests, tokens), (
            backend.in_flight
        )


@then('the other routers know that its shared part is cached there')
def knows(context: Any) -> None:
    """Check their backends."""
    for backend in context.cut.backends()[1:]:
        assert context.cut.holds(backend)


@then('the routers did not call each other in the last second')
def no_talk(context: Any) -> None:
    """Let a second pass and count the calls."""
    before = context.cut.talks()
    context.cut.sleep(1)
    assert context.cut.talks() == before, context.cut.talks() - before
