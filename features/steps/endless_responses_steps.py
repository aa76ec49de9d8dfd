"""Steps of endless_responses.feature."""

from typing import Any

from behave import given, then, when

from subjects.endless_process import READ_S, EndlessProcess
from subjects.endless_responses import ANSWERS, LARGE, SLOW_S, TRICKLE_S, EndlessResponses

MB = 1_000_000


@given('an endless server that answers a {kind} request with {sent_bytes}')
def start(context: Any, kind: str, sent_bytes: str) -> None:
    """Prepare one request."""
    context.endless = EndlessResponses(kind, sent_bytes)


@given('an endless server that slowly answers a {kind} request with {sent_bytes}')
def start_slowly(context: Any, kind: str, sent_bytes: str) -> None:
    """Prepare one request to a server that sends byte by byte."""
    context.endless = EndlessResponses(kind, sent_bytes, pause_s=TRICKLE_S)


@given('an endless server that answers {count:d} {kind} requests with {sent_bytes}')
def start_many(context: Any, count: int, kind: str, sent_bytes: str) -> None:
    """Prepare many requests."""
    context.endless = EndlessResponses(kind, sent_bytes, count)


@when('a router forwards it, with sound requests beside it')
def request(context: Any) -> None:
    """Forward it."""
    context.endless.request()


@when('a router forwards them to callers that read slowly, with sound requests beside them')
@when('a router forwards it to a caller that reads slowly')
def request_slowly(context: Any) -> None:
    """Forward to slow callers."""
    context.endless.request(SLOW_S)


@then('the answer to its caller is: {answer}')
def told(context: Any, answer: str) -> None:
    """Check what the caller got."""
    sink = context.endless.sink
    assert ANSWERS[answer](sink), (sink.status, sink.finished, sink.got_bytes, sink.refusal)


@then('its caller got the whole large body')
def whole(context: Any) -> None:
    """Check the size of the answer."""
    sink = context.endless.sink
    got = (sink.status, sink.finished, sink.got_bytes)
    assert got == (200, True, LARGE), got


@then('the endless connection was closed')
def closed(context: Any) -> None:
    """Check that the router closed it."""
    assert context.endless.closed_count == 1, context.endless.closed_count


@then('the router held at most {megabytes:d} MB')
def held(context: Any, megabytes: int) -> None:
    """Compare the memory that was allocated."""
    assert context.endless.held_bytes <= megabytes * MB, context.endless.held_bytes


@then('each sound request was answered within {within_ms:d} ms')
def sound(context: Any, within_ms: int) -> None:
    """Compare the slowest sound request."""
    slowest_s = max(context.endless.sound_s)
    assert slowest_s * 1000 <= within_ms, slowest_s


@then('it was sent to one server')
def once(context: Any) -> None:
    """Check that it was not sent again."""
    assert context.endless.sendings == 1, context.endless.sendings


@given('a router process before a server whose responses do not end')
def start_process(context: Any) -> None:
    """Prepare it."""
    context.process = EndlessProcess()


@when(
    'it forwards {count:d} requests to responses of status {status:d}, to callers that read {pace}'
)
def request_process(context: Any, count: int, status: int, pace: str) -> None:
    """Forward them."""
    context.process.request(count, status, READ_S if pace == 'slowly' else 0)


@then('each of them got status {status:d}')
def process_told(context: Any, status: int) -> None:
    """Compare the statuses."""
    assert set(context.process.statuses) == {b'%d' % status}, context.process.statuses


@then('the process had at most {megabytes:d} MB')
def process_held(context: Any, megabytes: int) -> None:
    """Compare its peak memory."""
    process = context.process
    figures = (process.idle_bytes, process.peak_bytes)
    assert process.peak_bytes <= megabytes * MB, figures


@then('it answered each sound request within {within_ms:d} ms')
def process_sound(context: Any, within_ms: int) -> None:
    """Compare the slowest sound request."""
    assert max(context.process.sound_s) * 1000 <= within_ms, max(context.process.sound_s)
