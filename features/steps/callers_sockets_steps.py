"""Steps of callers_sockets.feature."""

from typing import Any

from behave import then, when

from subjects import callers_sockets


@when('the HTTP server is stopped while a stream is open')
def stop_gracefully(context: Any) -> None:
    """Stop with a long time limit."""
    context.subject = callers_sockets.CallersSockets()
    context.subject.run(callers_sockets.stop_then_finish, 600)


@when('the HTTP server is stopped and the stream exceeds the time limit')
def stop_late(context: Any) -> None:
    """Stop with a short time limit."""
    context.subject = callers_sockets.CallersSockets()
    context.subject.run(callers_sockets.stop_and_hold, 0.05)


@when('the caller of an open stream closes its connection')
def close_connection(context: Any) -> None:
    """Disconnect during the stream."""
    context.subject = callers_sockets.DisconnectingCaller()
    context.subject.run(callers_sockets.disconnect, 600)


@when('the caller of an open stream cancels it')
def cancel_stream(context: Any) -> None:
    """Cancel the stream; the connection stays open."""
    context.subject = callers_sockets.CancellingCaller()
    context.subject.run(callers_sockets.stop_and_hold, 0.05)


@when('the caller of an open stream sends another request and closes its connection')
def pipeline_and_close(context: Any) -> None:
    """Send a request behind the first one and close."""
    context.subject = callers_sockets.PipeliningCaller()
    context.subject.run(callers_sockets.stop_and_hold, 0.05)


@when('the caller of an open stream sends another request and resets its connection')
def pipeline_and_reset(context: Any) -> None:
    """Send a request behind the first one and reset."""
    context.subject = callers_sockets.PipeliningCaller(resets=True)
    context.subject.run(callers_sockets.stop_and_hold, 0.05)


@when('the caller of an open stream sends {more:d} more requests and closes its connection')
def pipeline_many(context: Any, more: int) -> None:
    """Send many requests behind the first one and close."""
    context.subject = callers_sockets.PipeliningCaller(more)
    context.subject.run(callers_sockets.stop_and_hold, 0.05)


@when('a caller sends two requests at once on one connection')
def pipeline_and_read(context: Any) -> None:
    """Read both answers."""
    context.subject = callers_sockets.PatientCaller()
    context.subject.run(callers_sockets.stop_and_hold, 600)


@then('both are answered')
def both(context: Any) -> None:
    """Check the answers; the subject reads until it has both."""
    assert b''.join(context.subject.received).count(callers_sockets.LAST) == 2
    assert not context.subject.was_cut


@then('the front learns of it within half a second')
def noticed(context: Any) -> None:
    """Check whether the answer was closed in time."""
    assert context.subject.noticed


@when('a caller sends {count:d} chats over one connection and the HTTP server stops')
def send_many(context: Any, count: int) -> None:
    """Send the chats one after the other."""
    context.subject = callers_sockets.BusyCaller(count)
    context.subject.run(callers_sockets.stop_and_hold, 600)


@then('all {count:d} chats are complete, none disconnected and none cut off')
def all_whole(context: Any, count: int) -> None:
    """Check the answers and the router's counters."""
    subject = context.subject
    assert len(subject.received) == count
    assert set(subject.received) == {callers_sockets.FIRST + callers_sockets.LAST}, subject.received
    assert f'caller_ends_total{{end="whole"}} {count}\n' in subject.metrics, subject.metrics
    assert 'end="gone"' not in subject.metrics, subject.metrics
    assert subject.ended and not subject.cut_count, subject.cut_count


@when('a caller sends {parts:d} parts of a body that is too large after {fitting:d}')
def send_parts(context: Any, parts: int, fitting: int) -> None:
    """Send all parts at once, without the end of the body."""
    context.subject = callers_sockets.LongBodyCaller(parts, fitting)
    context.subject.run(callers_sockets.stop_and_hold, 600)


@then('the body is refused as too large, and the HTTP server ends without cutting off a request')
def refused_whole(context: Any) -> None:
    """Check the answer, and that the stop cut off no request."""
    subject = context.subject
    answer = b''.join(subject.received)
    assert answer.startswith(b'HTTP/1.1 413 ') and b'"body_too_large"' in answer, answer
    assert subject.ended and not subject.cut_count, subject.cut_count


@then('the HTTP server accepts no new connection')
def refused(context: Any) -> None:
    """Check that the connection attempt was refused."""
    assert context.subject.refused


@then('the stream is completed and then the HTTP server ends')
def whole(context: Any) -> None:
    """Check the bytes received, and that nothing was cut off."""
    subject = context.subject
    assert subject.received == [callers_sockets.FIRST, callers_sockets.LAST], subject.received
    assert subject.ended and not subject.was_cut and not subject.cut_count


@then('the stream is cut off and the HTTP server returns')
def cut(context: Any) -> None:
    """Check that caller and server both report the cut."""
    subject = context.subject
    assert subject.received == [callers_sockets.FIRST, callers_sockets.CUT], subject.received
    assert subject.ended and subject.was_cut and subject.cut_count == 1


@then('its answer is closed in the front')
def closed(context: Any) -> None:
    """Check that the front's answer was closed."""
    assert context.subject.was_cut
