"""Steps of traces.feature."""

from typing import Any

from behave import then, when

from subjects import trace_replay, trace_verdict


@when('the trace "{name}" is replayed')
def replay(context: Any, name: str) -> None:
    """Play it in virtual time."""
    context.played = trace_replay.play(name)


@then('the trace shows every promise kept and every stated outcome')
def held(context: Any) -> None:
    """List all that is broken."""
    found = trace_verdict.broken(context.played)
    assert not found, '\n'.join(found)
