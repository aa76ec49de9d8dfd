"""Steps of daemon_ready.feature."""

from typing import Any

from behave import given, then, when

from subjects.daemon_ready import Readiness


@given('daemon ready: a fleet of two routers under way')
def fleet(context: Any) -> None:
    """Build the subject; the fleet starts with the plot."""
    context.readiness = Readiness()


@when('daemon ready: router "r1" crashes and is started again 20 seconds later')
def crash(context: Any) -> None:
    """Start it again."""
    context.readiness.play(context.readiness.crash)


@when('daemon ready: router "r1" crashes and is started again 2 seconds later without the store')
def crash_without_store(context: Any) -> None:
    """Start it again while the store is down."""
    context.readiness.play(context.readiness.crash_without_store)


@when('daemon ready: router "r2" is killed')
def lose(context: Any) -> None:
    """Lose the other router."""
    context.readiness.play(context.readiness.lose_other)


@then('daemon ready: "r1" says "{word}" and is ready once it holds and knows its shards')
def waited(context: Any, word: str) -> None:
    """Compare what it said, and what it held when it said that it is ready."""
    subject = context.readiness
    assert any(word in reason for reason in subject.said), set(subject.said)
    assert subject.held_when_ready, set(subject.said)


@then('daemon ready: a request at the moment when it is ready has its answer')
def answered(context: Any) -> None:
    """Compare the answer."""
    got = context.readiness.got
    assert got.complete and got.status == 200, (got.status, got.body)


@then('daemon ready: "r1" is ready {least:g} to {most:g} seconds after its start')
def in_time(context: Any, least: float, most: float) -> None:
    """Compare the time."""
    assert least <= context.readiness.ready_after_s <= most, context.readiness.ready_after_s


@then('daemon ready: "r1" is ready all the time while it takes its shards')
def stayed(context: Any) -> None:
    """Compare all that it said."""
    assert set(context.readiness.said) == {'ready'}, set(context.readiness.said)
    assert context.readiness.held_when_ready
