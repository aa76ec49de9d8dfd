"""Steps of callers.feature."""

from types import MappingProxyType
from typing import Any

import msgspec
from behave import given, then, when

from endivesaddle.fleet.sentinels import NOT_RUN, Refusal
from subjects import callers

BODIES = MappingProxyType(
    {
        'broken': b'{"model": ',
        'list': b'[]',
        'oversized': b'{"model": "%s"}' % (b'x' * 6000),
        'unknown model': {'model': 'none'},
        'negative max_tokens': {'max_tokens': -1},
        'huge max_tokens': {'max_tokens': 10**12},
        'two limits': {'max_tokens': 1, 'max_completion_tokens': 2},
        'huge n': {'n': 1000},
        'no messages': {'messages': []},
        'image': {'messages': [{'role': 'user', 'content': [{'type': 'image_url'}]}]},
        'template': {'chat_template': '{{ long }}'},
    }
)


def event(number: int) -> bytes:
    """Return a server-sent event."""
    return b'data: {"n":%d}\n\n' % number


@given('the HTTP interface of a router with one account, one model and one service')
def make_side(context: Any) -> None:
    """Create the application with fakes around it."""
    context.side = callers.CallersSide()


@given("the caller's header {header} is {text}")
def set_header(context: Any, header: str, text: str) -> None:
    """Set a header of the next request."""
    context.side.headers[header] = text


@given("the account's key is removed in the next revision")
def take_key_out(context: Any) -> None:
    """Use the key once, then apply the next revision."""
    side = context.side
    side.chat()
    assert side.caller.status == 200
    account = side.parts.configuration.accounts['atelier']._replace(key_digests=())
    side.parts.configuration = side.parts.configuration._replace(
        revision=2, accounts={'atelier': account}
    )


@given('the router is leaving')
def leave(context: Any) -> None:
    """Mark the router as leaving."""
    context.side.parts.is_leaving = True


@given('the front answers with {count:d} events')
def answer_events(context: Any, count: int) -> None:
    """Stream complete events."""
    context.side.front.headers = callers.SSE
    context.side.front.pieces = [event(number) for number in range(count)]


@given('the front answers with one and a half events, then breaks off')
def answer_half_event(context: Any) -> None:
    """Break off in the middle of an event."""
    context.side.front.headers = callers.SSE
    context.side.front.pieces = [b'data: {"n":0}\n\ndata: {"n', callers.BREAK]


@given('the front answers with half a document, then breaks off')
def answer_half_document(context: Any) -> None:
    """Break off in the middle of an unstreamed answer."""
    context.side.front.pieces = [b'{"half":', callers.BREAK]


@given('the front raises an unexpected exception')
def answer_fault(context: Any) -> None:
    """Raise an exception that isn't handled."""
    context.side.front.pieces = [callers.FAULT]


@given('the front answers with one event and then hangs')
def answer_and_hang(context: Any) -> None:
    """Stream one event and nothing more."""
    context.side.front.headers = callers.SSE
    context.side.front.pieces = [event(0), callers.HANG]


@given('the front never answers')
def never_answer(context: Any) -> None:
    """Keep the request waiting."""
    context.side.front.never_answers = True


@given('the front refuses because the budget is exhausted')
def refuse(context: Any) -> None:
    """Refuse with a time to retry after."""
    context.side.front.refusal = Refusal('budget_exhausted', 'over budget', NOT_RUN, 429, 2.2)


@when('a caller sends a chat with max_tokens {most:d} and n {choices:d}')
def send_chat(context: Any, most: int, choices: int) -> None:
    """Send "hi"."""
    context.side.chat(max_tokens=most, n=choices)


@when('a caller sends a chat with max_tokens 1 and the text {text}')
def send_text(context: Any, text: str) -> None:
    """Send a text."""
    context.side.chat(max_tokens=1, messages=[{'role': 'user', 'content': text}])


@when('a caller sends the {case} body')
def send_bad(context: Any, case: str) -> None:
    """Send bad input."""
    body = BODIES[case]
    if isinstance(body, dict):
        context.side.chat(**body)
    else:
        context.side.send('POST', '/v1/chat/completions', body)


@when('a caller sends a completion whose max_tokens is given as 400 and then as 10')
def send_twice(context: Any) -> None:
    """Send a document with a field twice."""
    body = b'{"model": "boards", "prompt": "hi", "max_tokens": 400, "max_tokens": 10}'
    context.side.send('POST', '/v1/completions', body)


@when('a caller calls the service with {method} {path}')
def call_service(context: Any, method: str, path: str) -> None:
    """Call the service."""
    context.side.send(method, f'/services/labels{path}')


@when('a caller streams a chat')
def stream_chat(context: Any) -> None:
    """Stream and read all."""
    context.side.chat(stream=True)


@when('a caller reads nothing for 2 s and then everything')
def read_late(context: Any) -> None:
    """Read slowly."""
    context.side.send_and(callers.read_nothing)


@when('a streaming caller disconnects after a second')
def leave_early(context: Any) -> None:
    """Close the connection."""
    context.side.send_and(callers.disconnect_after_a_second)


@when('a streaming caller never reads')
def never_read(context: Any) -> None:
    """Never read the answer."""
    context.side.send_and(callers.never_read)


@when('an operator sends the command {line} with change id {change_id}')
def send_command(context: Any, line: str, change_id: str) -> None:
    """Send a command."""
    context.side.headers['authorization'] = f'Bearer {callers.TOKEN}'
    body = msgspec.json.encode({'line': line, 'change_id': change_id})
    context.side.send('POST', '/operators/v1/command', body)


@then('the caller got status 200 with a request id and attempt 3')
def answered(context: Any) -> None:
    """Check the head of the answer."""
    caller = context.side.caller
    assert caller.status == 200 and caller.finished, caller.parts
    assert caller.headers['x-request-id'] == context.side.front.requests[0].request_id
    assert caller.headers['x-attempt'] == '3'


@then('the front got a request bounded by {bound:d} tokens')
def bounded(context: Any, bound: int) -> None:
    """Check the bound of the request."""
    assert context.side.front.requests[0].bound_tokens == bound, context.side.front.requests


@then('the caller was refused with status {status:d} and code {code}')
def refused(context: Any, status: int, code: str) -> None:
    """Check status and code of the error."""
    caller = context.side.caller
    assert (caller.status, caller.error['code']) == (status, code), caller.parts
    assert caller.finished


@then('the refusal has not_run {not_run}')
def has_not_run(context: Any, not_run: str) -> None:
    """Check ``not_run`` in the error."""
    expected = {'true': True, 'false': False}.get(not_run, not_run)
    assert context.side.caller.error['not_run'] == expected, context.side.caller.error


@then('the caller may retry after {seconds:d} s')
def retry_after(context: Any, seconds: int) -> None:
    """Check the Retry-After header."""
    assert context.side.caller.headers['retry-after'] == str(seconds)


@then('the front got no request')
def nothing_asked(context: Any) -> None:
    """Check that no request reached the front, so that nothing is reserved."""
    assert not context.side.front.requests, context.side.front.requests


@then("the front got max_tokens 10 and the engine's body contains 10 once")
def same_limit(context: Any) -> None:
    """Compare the two."""
    request = context.side.front.requests[0]
    assert request.max_tokens == 10
    assert request.body.count(b'max_tokens') == 1
    assert msgspec.json.decode(request.body)['max_tokens'] == 10


@then('the health checks report alive and not ready')
def not_ready(context: Any) -> None:
    """Query both health checks."""
    context.side.send('GET', '/healthz')
    assert context.side.caller.status == 200
    context.side.send('GET', '/readyz')
    assert context.side.caller.status == 503


@then('the front got the request {key} as a {kind}')
def asked_as(context: Any, key: str, kind: str) -> None:
    """Look at the request."""
    request = context.side.front.requests[0]
    assert request.key == key
    assert request.first_attempt == (kind == 'first attempt')


@then('the result of the service call is {outcome}')
def service_outcome(context: Any, outcome: str) -> None:
    """Check the request or its refusal."""
    side = context.side
    if outcome.endswith('repeatable'):
        assert side.front.requests[0].may_repeat == (outcome == 'repeatable'), side.caller.parts
    else:
        assert side.caller.error['code'] == outcome, side.caller.error
        assert not side.front.requests


@then('the front got the path {path} without an authorization header')
def passed_on(context: Any, path: str) -> None:
    """Look at the request."""
    request = context.side.front.requests[0]
    assert (request.path, request.bound_tokens) == (path, 7), request
    assert 'authorization' not in dict(request.headers), request.headers


@then('at most {count:d} events were requested while the caller read nothing')
def taken_unread(context: Any, count: int) -> None:
    """Check how many pieces were requested from the front."""
    assert context.side.requested_while_unread <= count, context.side.requested_while_unread


@then('at most {count:d} events were requested in total')
def requested(context: Any, count: int) -> None:
    """Check how many pieces were requested from the front."""
    assert context.side.front.requested <= count, context.side.front.requested


@then('the caller got all {count:d} events and a valid end')
def all_events(context: Any, count: int) -> None:
    """Compare the bytes."""
    expected = b''.join(event(number) for number in range(count))
    assert b''.join(context.side.caller.parts) == expected
    assert context.side.caller.finished


@then('the caller got one event, then the error run_lost with not_run unknown, and no [DONE]')
def broken_stream(context: Any) -> None:
    """Compare the bytes."""
    text = b''.join(context.side.caller.parts)
    first, second, rest = text.split(b'\n\n')
    assert (first, rest) == (event(0).strip(), b''), text
    error = msgspec.json.decode(second.removeprefix(b'data: '))['error']
    assert (error['code'], error['not_run']) == ('run_lost', 'unknown'), error


@then('the answer was closed')
def closed(context: Any) -> None:
    """Check that the generator of the answer was closed."""
    assert context.side.front.closed


@then("the front's work was cancelled")
def cancelled(context: Any) -> None:
    """Check that the call to the front was cancelled."""
    assert context.side.front.cancelled


@then('the command reached the operator service with its token')
def command_came(context: Any) -> None:
    """Check the command and its token."""
    assert context.side.parts.commands == [(callers.TOKEN, 'accounts', 'c-1')]
    assert context.side.caller.status == 200


@then('the operator gets the state of {instance}')
def state_seen(context: Any, instance: str) -> None:
    """Request the dump, with the operator's token and without it."""
    context.side.send('GET', '/dump')
    assert msgspec.json.decode(b''.join(context.side.caller.parts)) == {'instance': instance}
    context.side.headers['authorization'] = f'Bearer {callers.KEY}'
    context.side.send('GET', '/dump')
    assert context.side.caller.status == 401


@then("the metrics contain the router's counters")
def metrics_shown(context: Any) -> None:
    """Request the metrics."""
    context.side.send('GET', '/metrics')
    text = b''.join(context.side.caller.parts)
    assert b'endivesaddle_open_claims 4' in text, text
