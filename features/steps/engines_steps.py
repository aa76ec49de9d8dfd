"""Steps of engines.feature."""

from itertools import combinations
from typing import Any

from behave import given, then, when

from endivesaddle.backend_servers.sse import EventSplitter, EventTooLong
from subjects.engines import BackendSubject


@given('an engine behind its client')
def engine(context: Any) -> None:
    """Start with an engine without faults."""
    context.subject = BackendSubject()


@given('an engine behind its client that reports no usage')
def engine_without_usage(context: Any) -> None:
    """Switch usage off."""
    context.subject = BackendSubject(no_usage=True)


@given('an engine behind its client that refuses connections')
def engine_gone(context: Any) -> None:
    """Refuse connections."""
    context.subject = BackendSubject()
    context.subject.refuses_connections = True


@given('an engine behind its client that dies after {tokens:d} tokens')
def engine_dies(context: Any, tokens: int) -> None:
    """Break answers off."""
    context.subject = BackendSubject(die_after_tokens=tokens)


@given('an engine behind its client that falls silent after {tokens:d} tokens')
def engine_silent(context: Any, tokens: int) -> None:
    """Stop sending without closing."""
    context.subject = BackendSubject(silent_after_tokens=tokens)


@given('an engine behind its client whose streams are cut after {tokens:d} tokens')
def engine_cut(context: Any, tokens: int) -> None:
    """End streams early without an error."""
    context.subject = BackendSubject(cut_after_tokens=tokens)


@given('a plain service behind its client')
def service(context: Any) -> None:
    """Start with a service."""
    context.subject = BackendSubject()


@when('the client runs a streamed request for {tokens:d} tokens')
def run_streamed(context: Any, tokens: int) -> None:
    """Run one."""
    context.subject.run({'stream': True, 'max_tokens': tokens})


@when('the client runs a streamed request for {tokens:d} tokens that asks for usage')
def run_with_usage(context: Any, tokens: int) -> None:
    """Ask for the usage event."""
    options = {'include_usage': True}
    context.subject.run({'stream': True, 'max_tokens': tokens, 'stream_options': options})


@when('the client runs a streamed request without a limit that may generate {tokens:d} tokens')
def run_unlimited(context: Any, tokens: int) -> None:
    """Leave the limit to the router."""
    context.subject.run({'stream': True}, max_tokens=tokens)


@when('the client runs an unstreamed request for {tokens:d} tokens')
def run_whole(context: Any, tokens: int) -> None:
    """Run one that isn't streamed."""
    context.subject.run({'max_tokens': tokens})


@when('the client closes a streamed request after {tokens:d} tokens')
def run_closed(context: Any, tokens: int) -> None:
    """Close the answer early."""
    context.subject.run({'stream': True, 'max_tokens': 1000}, close_after=tokens)


@when('the client orders the engine to load "{model}" with fence {fence:d}')
def order(context: Any, model: str, fence: int) -> None:
    """Order, read the load and order again with an older number."""
    context.subject.order(model, fence)


@when('the client passes a call with a cost of {tokens:d} tokens')
def call(context: Any, tokens: int) -> None:
    """Call the service."""
    context.subject.call(tokens)


@then("the engine's events arrive unchanged and end with DONE")
def unchanged(context: Any) -> None:
    """Compare the bytes."""
    answer = context.subject.data
    assert answer.count(b'data: ') == 6, answer
    assert answer.endswith(b'data: [DONE]\n\n'), answer


@then('the engine client reports {tokens:d} used tokens')
def reports(context: Any, tokens: int) -> None:
    """Compare the last event's count."""
    assert context.subject.reported_tokens == tokens, context.subject.reported_tokens


@then('the engine client reports no usage itself')
def reports_nothing(context: Any) -> None:
    """Look for the mark of a missing report."""
    assert context.subject.reported_tokens == -1, context.subject.reported_tokens


@then('the engine client estimates at least {tokens:d} used tokens and at most the bound')
def estimates(context: Any, tokens: int) -> None:
    """Check the running count."""
    assert tokens <= context.subject.counted_tokens <= 100, context.subject.counted_tokens


@then('the engine client left out the usage that the caller did not ask for')
def usage_left_out(context: Any) -> None:
    """Look for it."""
    assert b'usage' not in context.subject.data


@then('the engine client passed the usage on')
def usage_passed(context: Any) -> None:
    """Look for it."""
    assert b'"total_tokens":7' in context.subject.data, context.subject.data


@then('the engine was asked for at most {tokens:d} tokens')
def asked_tokens(context: Any, tokens: int) -> None:
    """Read what arrived."""
    assert context.subject.arrived['max_tokens'] == tokens, context.subject.arrived


@then('the engine heard the request id in a header')
def heard_id(context: Any) -> None:
    """Read what the engine noted."""
    assert context.subject.state.seen == ['atelier/r1']


@then('the engine client says that the request was never sent')
def never_sent(context: Any) -> None:
    """Compare the error."""
    assert context.subject.error == 'NeverSent', context.subject.error


@then('the engine client says that the server was lost')
def server_lost(context: Any) -> None:
    """Compare the error."""
    assert context.subject.error == 'ServerLost', context.subject.error


@then('the engine saw {count:d} requests')
def saw(context: Any, count: int) -> None:
    """Count arrivals."""
    assert len(context.subject.state.seen) == count


@then('the engine client had relayed {tokens:d} tokens and counted them')
def relayed(context: Any, tokens: int) -> None:
    """Count events, and compare with the prompt's worst case plus at least as many."""
    assert context.subject.data.count(b'data: ') == tokens, context.subject.data
    assert context.subject.counted_tokens >= tokens


@then('the engine client noticed it within {seconds:d} seconds')
def noticed(context: Any, seconds: int) -> None:
    """Compare the time."""
    assert 9 < context.subject.took_s < seconds, context.subject.took_s


@then('the engine hears of the cancel and stops generating')
def cancelled(context: Any) -> None:
    """Look at what the engine noted."""
    state = context.subject.state
    assert state.cancelled == ['atelier/r1'], state.cancelled
    assert state.generated_tokens['atelier/r1'] <= 4, state.generated_tokens
    assert state.running == 0


@then('the engine\'s load report names "{model}"')
def names_model(context: Any, model: str) -> None:
    """Compare the report."""
    assert list(context.subject.load.models) == [model]


@then('the engine client is told that fence {fence:d} is old when it orders again')
def old_fence(context: Any, fence: int) -> None:
    """Compare the second reply."""
    reply = context.subject.order_replies[fence]
    assert not reply.done and reply.code == 'old_fence', reply
    assert reply.highest_fence == fence + 1, reply


@then('the service answered and the client reports {tokens:d} used tokens')
def service_answered(context: Any, tokens: int) -> None:
    """Compare the answer."""
    assert b'"taken":1' in context.subject.data, context.subject.data
    assert context.subject.reported_tokens == tokens


@then("the service got the caller's headers but for its key and those of one connection")
def service_headers(context: Any) -> None:
    """Look at what arrived."""
    headers = context.subject.arrived_headers
    assert headers['x-plate'] == 'p-7'
    assert 'authorization' not in headers
    assert headers.get('connection') != 'upgrade'


@then('events cut at any two bytes come out whole, with LF and with CRLF')
def cut_anywhere(context: Any) -> None:
    """Cut two events at each pair of places."""
    for whole in (
        [b'data: {"a":1}\n\n', b': comment\ndata: x\n\n'],
        [b'data: {"a":1}\r\n\r\n', b'data: x\r\ndata: y\r\n\r\n'],
    ):
        text = b''.join(whole)
        for first, second in combinations(range(len(text)), 2):
            pieces = (text[:first], text[first:second], text[second:])
            assert split(pieces) == whole, pieces


@then('an event that never ends is refused at its bound')
def endless(context: Any) -> None:
    """Feed more than the bound."""
    try:
        split((b'x' * 2000,))
    except EventTooLong:
        return
    raise AssertionError('an endless event was collected')


def split(pieces: tuple[bytes, ...]) -> list[bytes]:
    """Split pieces into events."""
    splitter = EventSplitter(1000)
    return [event for piece in pieces for event in splitter.split(piece)]
