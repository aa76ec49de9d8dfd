"""Steps of forward_runs.feature."""

from typing import Any

from behave import given, then, when

from subjects.forward_runs import PROMISES, ForwardRuns
from subjects.logged_events import LoggedEvents
from subjects.promise_orders import broken_promises

SLACK_S = 0.1
MIN_ORDERS = 2800
REFUSALS = frozenset(
    ('forward_refused', 'forward_refused_after_sending', 'forward_unproven_refusal')
)


@given('a {kind} route with {attempts:d} attempts, whose servers {script}')
def start(context: Any, kind: str, attempts: int, script: str) -> None:
    """Start a router."""
    context.runs = ForwardRuns(kind, attempts, script.split(','))
    context.add_cleanup(context.runs.close)
    context.log = LoggedEvents()
    context.add_cleanup(context.log.close)


@given('the service does not declare the tokens of an event')
def unsaid(context: Any) -> None:
    """Declare it without that number."""
    context.runs.declare_plain()


@given('its caller does not read')
def unread(context: Any) -> None:
    """Let the sink block after the head."""
    context.runs.sink.reads = False


@then('the caller got 200, and no second answer')
def one_answer(context: Any) -> None:
    """Check the status; a second head would have failed in the sink."""
    assert context.runs.sink.status == 200, context.runs.sink.status
    assert context.runs.sink.refusal is None, context.runs.sink.refusal


@given('its service has no retries left')
def use_up_retries(context: Any) -> None:
    """Leave none."""
    context.runs.use_up_retries()


@when('a request is forwarded')
def forward(context: Any) -> None:
    """Execute one."""
    context.runs.request()


@when('a request is forwarded whose caller disconnects')
def forward_and_leave(context: Any) -> None:
    """Execute one, and cancel it."""
    context.runs.leave()


@then('the caller got {status:d}')
def got(context: Any, status: int) -> None:
    """Check the status."""
    assert context.runs.sink.status == status, context.runs.sink.status
    assert context.runs.sink.finished


@then('the request ran {times:d} times')
def ran(context: Any, times: int) -> None:
    """Count the runs at the servers."""
    assert context.runs.links.ran == times, context.runs.links.ran


@then('it was sent {times:d} times')
def sent(context: Any, times: int) -> None:
    """Count the attempts, each at another server."""
    names = [call.server.lifetime for call in context.runs.links.calls]
    assert len(names) == times, names
    assert len(set(names)) == times, names


@then('the caller gets a time to retry')
def told(context: Any) -> None:
    """Check the refusal."""
    refusal = context.runs.sink.refusal
    assert refusal.not_run == 'true', refusal
    assert 0 < refusal.retry_after_s < 2, refusal


@then('nothing was spent')
def nothing_spent(context: Any) -> None:
    """Check the account."""
    assert context.runs.spent() == 0, context.runs.spent()
    assert context.runs.reserved() == 0, context.runs.reserved()


@then('nothing is reserved')
def nothing_reserved(context: Any) -> None:
    """Check the account."""
    assert context.runs.reserved() == 0, context.runs.reserved()


@then('the caller got the events up to {last:d}, each once')
def events(context: Any, last: int) -> None:
    """Check the numbers."""
    assert context.runs.numbers() == list(range(last + 1)), context.runs.numbers()


@then('the answer was complete')
def whole(context: Any) -> None:
    """Check for the end."""
    assert context.runs.sink.finished


@then('the answer was truncated')
def cut(context: Any) -> None:
    """Check for the end."""
    assert not context.runs.sink.finished


@then('the account spent {tokens:d} tokens')
def spent(context: Any, tokens: int) -> None:
    """Check the account."""
    assert context.runs.spent() == tokens, context.runs.spent()


@then('the account spent at most {tokens:d} tokens')
def spent_at_most(context: Any, tokens: int) -> None:
    """Check the account."""
    assert 1000 < context.runs.spent() < tokens, context.runs.spent()


@then('the answer came after {after_ms:d} ms')
def after(context: Any, after_ms: int) -> None:
    """Check the time."""
    assert 0 <= context.runs.took_s - after_ms / 1000 < SLACK_S, context.runs.took_s


@then('{count:d} retries were paid for')
def paid(context: Any, count: int) -> None:
    """Compare what the router counted."""
    assert context.runs.retries() == count, context.runs.retries()


@then('{count:d} servers still take requests, without a wait or a limit')
def unchanged_servers(context: Any, count: int) -> None:
    """Check what the router believes of the servers."""
    assert context.runs.unhindered_servers() == count, context.runs.unhindered_servers()


@then('the log has {event} once, and of the others none')
def logged_refusal(context: Any, event: str) -> None:
    """Count the lines on refusals."""
    names = context.log.names()
    assert {name: names[name] for name in REFUSALS if names[name]} == {event: 1}, names


@then('the log names {proof} as the proof of an attempt')
def logged_proof(context: Any, proof: str) -> None:
    """Look at the attempts that were counted as not run."""
    fields = context.log.fields('forward_attempt_not_run')
    expected = set() if proof == 'nothing' else {proof}
    assert {one['proof'] for one in fields} == expected, fields


@then('the log has {event} once')
def logged_once(context: Any, event: str) -> None:
    """Count the lines."""
    assert context.log.names()[event] == 1, context.log.names()


@then('the caller is not told that it did not run')
def not_promised(context: Any) -> None:
    """Check the status and the error."""
    sink = context.runs.sink
    assert sink.status not in PROMISES, sink.status
    assert sink.refusal is None or sink.refusal.not_run != 'true', sink.refusal


@then('all orders of behaviours keep the promise "not run"')
def orders(context: Any) -> None:
    """Play each order."""
    played, broken = broken_promises()
    assert played > MIN_ORDERS, played
    assert not broken, f'{len(broken)} of {played}: {broken[:5]}'


@when('the entries of all servers are removed')
def remove_servers(context: Any) -> None:
    """Remove them from the routing state."""
    context.runs.remove_servers()


@then('{count:d} crashes are noted')
def crashes(context: Any, count: int) -> None:
    """Compare the records of crashes."""
    assert context.runs.crashes() == count, context.runs.crashes()
