"""Steps of unframed_answers.feature."""

from typing import Any

from behave import given, then, when

from subjects.unframed_answers import BODY, BREAK, EVENTS, UnframedAnswers, events


@given('a server whose {kind} answer has no length and ends {ending}')
def start(context: Any, kind: str, ending: str) -> None:
    """Prepare it."""
    context.answers = UnframedAnswers(kind, ending)


@when('a router forwards a request to it')
def request(context: Any) -> None:
    """Forward it."""
    context.answers.request()


@then('its caller has the whole answer after {sendings:d} sendings')
def whole(context: Any, sendings: int) -> None:
    """Compare the body."""
    sink = context.answers.sink
    assert (sink.status, sink.finished, sink.refusal) == (200, True, None)
    assert sink.body in {BODY, events(0, EVENTS)}, sink.body
    assert context.answers.sendings == sendings, context.answers.sendings


@then('its caller has a broken stream of whole events')
def broken(context: Any) -> None:
    """Check that the stream has no end, and no part of an event."""
    sink = context.answers.sink
    assert (sink.status, sink.finished) == (200, False)
    assert sink.body == events(0, BREAK), sink.body


@then('its caller is told that it may have run')
def lost(context: Any) -> None:
    """Check the refusal."""
    sink = context.answers.sink
    assert sink.status == 502
    assert sink.refusal is not None and sink.refusal.not_run != 'true'
